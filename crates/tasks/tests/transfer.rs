//! Handover of jobs between cells, and the JSON form of records and snapshots.
//!
//! Guards against a job that runs in two cells or in none after handover messages are
//! repeated or arrive late, and against records that can't be read back.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, Epoch};
use sycamorerill_core::model::{Class, Config, Team, Urgency};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_tasks::cell::{Cell, Command, Event, Reply, Settings};
use sycamorerill_tasks::job::{Job, Outcome, RequestId, Spread};
use sycamorerill_tasks::journal::{Entry, Record, Snapshot, Transfer};
use sycamorerill_tasks::life::State;

const NOW: Time = Time::from_ms(1_000);

fn size() -> Size {
    Size::new(Cpu::from_cores(2), Memory::from_gib(4), Accel(0))
}

fn config() -> Config {
    let mut config = Config::default();
    config.version.0 = 1;
    let class = Class {
        name: "cut-list".parse().unwrap(),
        size: size(),
        run_time: Span::from_secs(30),
        deadline: Span::from_secs(600),
        urgency: Urgency::Normal,
        checkpoint: true,
        attempts: 3,
        service: false,
    };
    let team = Team { name: "crew".parse().unwrap(), weight: 1, quota: size(), borrow: true };
    config.classes.insert(class.name.clone(), class);
    config.teams.insert(team.name.clone(), team);
    config
}

fn job() -> Job {
    Job {
        name: "kits".parse().unwrap(),
        class: "cut-list".parse().unwrap(),
        team: "crew".parse().unwrap(),
        urgency: Urgency::Normal,
        tasks: 2,
        size: Some(size()),
        run_time_ms: Some(1_500),
        deadline: Some(Time::from_ms(90_000)),
        spread: Spread::Rack(2),
        never: vec!["fredericia".parse().unwrap()],
    }
}

fn domain(name: &str) -> DomainName {
    name.parse().unwrap()
}

/// A cell whose records become durable immediately.
struct TestCell {
    cell: Cell,
    log: Vec<Record>,
    out: Vec<Command>,
}

impl TestCell {
    fn new(name: &str, log: Vec<Record>) -> Self {
        let mut cell = Cell::new(Settings::default(), domain(name), Epoch(1), 1);
        let mut out = Vec::new();
        cell.handle(NOW, Event::Configured(Arc::new(config())), &mut out);
        cell.restore(NOW, Snapshot::default(), log.clone(), &mut out);
        Self { cell, log, out }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.cell.handle(NOW, event, &mut out);
        for command in out {
            if let Command::Journal(record) = command {
                let sequence = record.sequence;
                self.log.push(record);
                self.handle(Event::Durable(sequence));
            } else {
                self.out.push(command);
            }
        }
    }

    fn take_offers(&mut self) -> Vec<Transfer> {
        let offers =
            std::mem::take(&mut self.out).into_iter().filter_map(|command| match command {
                Command::OfferHandover { transfer, .. } => Some(*transfer),
                _ => None,
            });
        offers.collect()
    }

    fn take_confirmations(&mut self) -> usize {
        let out = std::mem::take(&mut self.out);
        out.iter().filter(|command| matches!(command, Command::ConfirmHandover { .. })).count()
    }

    fn waiting(&self) -> u64 {
        self.cell.status().counts.states.get(&State::Waiting).copied().unwrap_or(0)
    }
}

fn cell_with_submitted_job() -> TestCell {
    let mut test_cell = TestCell::new("vejle-a", Vec::new());
    let request = RequestId { id: "r1".into() };
    test_cell.handle(Event::Submit { job: job(), request });
    assert!(matches!(test_cell.out[0], Command::Reply { reply: Reply::Accepted, .. }));
    test_cell
}

#[test]
fn repeated_handover_messages_move_a_job_once() {
    let mut sender = cell_with_submitted_job();
    sender.handle(Event::StartHandover { job: job().name, to: domain("horsens") });
    let offer = sender.take_offers().pop().unwrap();
    let mut receiver = TestCell::new("horsens", Vec::new());
    let from = domain("vejle-a");
    for _ in 0..3 {
        let transfer = Box::new(offer.clone());
        receiver.handle(Event::HandoverOffered { from: from.clone(), transfer });
    }
    assert_eq!(receiver.take_confirmations(), 3);
    assert_eq!(receiver.waiting(), 2);
    // A successor of the sender repeats an offer that is not confirmed.
    let mut successor = TestCell::new("vejle-a", sender.log.clone());
    assert_eq!(successor.take_offers(), [offer]);
    for test_cell in [&mut sender, &mut successor] {
        test_cell.handle(Event::HandoverConfirmed { job: job().name });
        test_cell.handle(Event::HandoverConfirmed { job: job().name });
        assert_eq!(test_cell.waiting(), 0);
        let ended = test_cell
            .log
            .iter()
            .filter(|record| matches!(record.entry, Entry::Ended { outcome: Outcome::Moved, .. }));
        assert_eq!(ended.count(), 1);
    }
}

#[test]
fn late_offer_of_an_earlier_handover_is_not_accepted() {
    let mut first = cell_with_submitted_job();
    first.handle(Event::StartHandover { job: job().name, to: domain("horsens") });
    let first_offer = first.take_offers().pop().unwrap();
    let mut second = TestCell::new("horsens", Vec::new());
    let offered = |from, transfer: &Transfer| Event::HandoverOffered {
        from: domain(from),
        transfer: Box::new(transfer.clone()),
    };
    second.handle(offered("vejle-a", &first_offer));
    first.handle(Event::HandoverConfirmed { job: job().name });
    second.handle(Event::StartHandover { job: job().name, to: domain("vejle-a") });
    let return_offer = second.take_offers().pop().unwrap();
    first.handle(offered("horsens", &return_offer));
    second.handle(Event::HandoverConfirmed { job: job().name });
    second.handle(offered("vejle-a", &first_offer));
    assert_eq!(first.waiting(), 2);
    assert_eq!(second.waiting(), 0);
    // Successors of both cells behave the same.
    assert_eq!(TestCell::new("vejle-a", first.log.clone()).waiting(), 2);
    let mut second = TestCell::new("horsens", second.log.clone());
    second.handle(offered("vejle-a", &first_offer));
    assert_eq!(second.waiting(), 0);
}

#[test]
fn job_in_handover_cannot_be_cancelled_at_the_sender() {
    let mut sender = cell_with_submitted_job();
    sender.handle(Event::StartHandover { job: job().name, to: domain("horsens") });
    sender.out.clear();
    sender.handle(Event::Cancel { job: job().name, request: RequestId { id: "r2".into() } });
    let reply = Reply::Ended(Outcome::Moved);
    assert_eq!(sender.out, [Command::Reply { request: RequestId { id: "r2".into() }, reply }]);
}

#[test]
fn records_and_snapshots_round_trip_through_json() {
    let mut test_cell = cell_with_submitted_job();
    test_cell.handle(Event::StartHandover { job: job().name, to: domain("horsens") });
    for record in &test_cell.log {
        let text = serde_json::to_string(record).unwrap();
        assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), *record, "{text}");
    }
    let snapshot = test_cell.cell.snapshot();
    let text = serde_json::to_string(&snapshot).unwrap();
    assert_eq!(serde_json::from_str::<Snapshot>(&text).unwrap(), snapshot);
    // A snapshot replaces the records that it includes.
    let mut out = Vec::new();
    let mut cell = Cell::new(Settings::default(), domain("vejle-a"), Epoch(2), 1);
    cell.handle(NOW, Event::Configured(Arc::new(config())), &mut out);
    cell.restore(NOW, snapshot.clone(), test_cell.log.clone(), &mut out);
    assert_eq!(cell.snapshot(), snapshot);
}
