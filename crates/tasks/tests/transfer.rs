//! A job that changes cells runs in one of them, and records survive their text form.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, Epoch};
use sycamorerill_core::model::{Class, Config, Team, Urgency};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_tasks::cell::{Cell, Command, Event, Reply, Settings};
use sycamorerill_tasks::job::{Job, Outcome, Request, Spread};
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

/// A cell whose records are durable at once.
struct Side {
    cell: Cell,
    log: Vec<Record>,
    out: Vec<Command>,
}

impl Side {
    fn new(name: &str, log: Vec<Record>) -> Self {
        let mut cell = Cell::new(Settings::default(), domain(name), Epoch(1), 1);
        let mut out = Vec::new();
        cell.handle(NOW, Event::Configured(Arc::new(config())), &mut out);
        cell.restore(NOW, Snapshot::default(), log.clone(), &mut out);
        Self { cell, log, out }
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.cell.handle(NOW, event, &mut out);
        for command in out {
            if let Command::Journal(record) = command {
                let sequence = record.sequence;
                self.log.push(record);
                self.tell(Event::Durable(sequence));
            } else {
                self.out.push(command);
            }
        }
    }

    fn offers(&mut self) -> Vec<Transfer> {
        let offers =
            std::mem::take(&mut self.out).into_iter().filter_map(|command| match command {
                Command::Offer { transfer, .. } => Some(*transfer),
                _ => None,
            });
        offers.collect()
    }

    fn taken(&mut self) -> usize {
        let out = std::mem::take(&mut self.out);
        out.iter().filter(|command| matches!(command, Command::Taken { .. })).count()
    }

    fn waiting(&self) -> u64 {
        self.cell.status().counts.states.get(&State::Waiting).copied().unwrap_or(0)
    }
}

fn submitted() -> Side {
    let mut side = Side::new("vejle-a", Vec::new());
    let request = Request { id: "r1".into() };
    side.tell(Event::Submit { job: job(), request });
    assert!(matches!(side.out[0], Command::Reply { reply: Reply::Accepted, .. }));
    side
}

#[test]
fn a_job_is_handed_over_once_whatever_is_repeated() {
    let mut sender = submitted();
    sender.tell(Event::Move { job: job().name, to: domain("horsens") });
    let offer = sender.offers().pop().unwrap();
    let mut receiver = Side::new("horsens", Vec::new());
    let from = domain("vejle-a");
    for _ in 0..3 {
        let transfer = Box::new(offer.clone());
        receiver.tell(Event::Offered { from: from.clone(), transfer });
    }
    assert_eq!(receiver.taken(), 3);
    assert_eq!(receiver.waiting(), 2);
    // While the hand-over is under way a takeover of the sender offers the job again.
    let mut successor = Side::new("vejle-a", sender.log.clone());
    assert_eq!(successor.offers(), [offer]);
    for side in [&mut sender, &mut successor] {
        side.tell(Event::Taken { job: job().name });
        side.tell(Event::Taken { job: job().name });
        assert_eq!(side.waiting(), 0);
        let ended = side
            .log
            .iter()
            .filter(|record| matches!(record.entry, Entry::Ended { outcome: Outcome::Moved, .. }));
        assert_eq!(ended.count(), 1);
    }
}

#[test]
fn a_late_offer_of_a_job_that_went_on_is_not_taken_again() {
    let mut first = submitted();
    first.tell(Event::Move { job: job().name, to: domain("horsens") });
    let there = first.offers().pop().unwrap();
    let mut second = Side::new("horsens", Vec::new());
    let offered = |from, transfer: &Transfer| Event::Offered {
        from: domain(from),
        transfer: Box::new(transfer.clone()),
    };
    second.tell(offered("vejle-a", &there));
    first.tell(Event::Taken { job: job().name });
    second.tell(Event::Move { job: job().name, to: domain("vejle-a") });
    let back = second.offers().pop().unwrap();
    first.tell(offered("horsens", &back));
    second.tell(Event::Taken { job: job().name });
    second.tell(offered("vejle-a", &there));
    assert_eq!(first.waiting(), 2);
    assert_eq!(second.waiting(), 0);
    // The same holds for successors of both.
    assert_eq!(Side::new("vejle-a", first.log.clone()).waiting(), 2);
    let mut second = Side::new("horsens", second.log.clone());
    second.tell(offered("vejle-a", &there));
    assert_eq!(second.waiting(), 0);
}

#[test]
fn a_job_that_is_being_moved_is_not_cancelled_here() {
    let mut sender = submitted();
    sender.tell(Event::Move { job: job().name, to: domain("horsens") });
    sender.out.clear();
    sender.tell(Event::Cancel { job: job().name, request: Request { id: "r2".into() } });
    let reply = Reply::Ended(Outcome::Moved);
    assert_eq!(sender.out, [Command::Reply { request: Request { id: "r2".into() }, reply }]);
}

#[test]
fn records_and_snapshots_survive_their_text_form() {
    let mut side = submitted();
    side.tell(Event::Move { job: job().name, to: domain("horsens") });
    for record in &side.log {
        let text = serde_json::to_string(record).unwrap();
        assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), *record, "{text}");
    }
    let snapshot = side.cell.snapshot();
    let text = serde_json::to_string(&snapshot).unwrap();
    assert_eq!(serde_json::from_str::<Snapshot>(&text).unwrap(), snapshot);
    // A snapshot stands for the records that it contains.
    let mut out = Vec::new();
    let mut cell = Cell::new(Settings::default(), domain("vejle-a"), Epoch(2), 1);
    cell.handle(NOW, Event::Configured(Arc::new(config())), &mut out);
    cell.restore(NOW, snapshot.clone(), side.log.clone(), &mut out);
    assert_eq!(cell.snapshot(), snapshot);
}
