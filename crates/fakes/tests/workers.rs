//! Tests that workers run tasks under leases, fence lower epochs, apply faults and count.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::{platform, undelayed, wait_until, worker};
use sycamorerill_clients::Error;
use sycamorerill_clients::worker::{
    Checkpoint, Client, ClockReading, Command, Exchange, Outcome, Refusal, Response, Start, State,
    TaskReport, Token,
};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{Attempt, Epoch};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_fakes::faults::{Selector, ServiceFaults, WorkerFaults};
use sycamorerill_fakes::{Fault, Platform, Settings};

const ONE: &str = "w-vejle-a-01";
const TWO: &str = "w-vejle-a-02";
/// Longer than any test.
const ENDLESS: Span = Span::from_secs(600);

fn size(cores: u64, gib: u64) -> Size {
    Size::new(Cpu::from_cores(cores), Memory::from_gib(gib), Accel(0))
}

fn start(task: &str, token: u64) -> Start {
    Start {
        task: task.parse().unwrap(),
        attempt: Attempt(1),
        token: Token(token),
        size: size(4, 8),
        lease: ENDLESS,
        class: "cut-list".parse().unwrap(),
        declared: size(4, 8),
        run_time: ENDLESS,
        checkpoint: true,
        service: false,
        resume_from: None,
    }
}

fn exchange(client: &Client, epoch: u64, commands: Vec<Command>) -> Response {
    let owner = "entry-1".parse().unwrap();
    let exchange = Exchange { owner, epoch: Epoch(epoch), not_after: None, commands };
    client.exchange(&exchange).expect("the worker answers")
}

fn begin(client: &Client, start: Start) -> Outcome {
    exchange(client, 1, vec![Command::Start(start)]).results[0]
}

fn held(client: &Client, task: &str) -> Option<TaskReport> {
    let tasks = exchange(client, 1, Vec::new()).report.tasks;
    tasks.into_iter().find(|held| held.task.as_str() == task)
}

fn state(client: &Client, task: &str) -> Option<State> {
    held(client, task).map(|held| held.state)
}

fn set(name: &str, faults: WorkerFaults) -> Fault {
    Fault::Workers { select: Selector::Name(name.to_owned()), faults }
}

fn two(settings: Settings) -> (Platform, Client, Client) {
    let platform = platform(settings);
    let one = worker(&platform, ONE);
    let two = worker(&platform, TWO);
    (platform, one, two)
}

#[test]
fn a_task_runs_finishes_and_is_kept_until_it_is_acknowledged() {
    let (platform, one, _) = two(undelayed());
    let short = Start { run_time: Span::from_ms(5), ..start("job/0", 1) };
    assert_eq!(begin(&one, short.clone()), Outcome::Accepted);
    wait_until(|| state(&one, "job/0") == Some(State::Finished));
    assert_eq!(begin(&one, short.clone()), Outcome::Accepted, "a repeat is harmless");
    let task = short.task.clone();
    let ack = Command::Ack { task, token: Token(1) };
    assert_eq!(exchange(&one, 1, vec![ack.clone(), ack]).results, [Outcome::Accepted; 2]);
    assert_eq!(held(&one, "job/0"), None);
    let late = begin(&one, short);
    assert_eq!(late, Outcome::Refused(Refusal::Stale { token: Token(1) }));
    let counts = platform.counts().workers;
    assert_eq!((counts.started, counts.finished, counts.finished_twice), (1, 1, 0));
}

#[test]
fn a_lower_epoch_is_fenced() {
    let (platform, one, _) = two(undelayed());
    begin(&one, start("job/0", 1));
    let round = exchange(&one, 7, Vec::new());
    assert_eq!((round.epoch, round.fenced, round.report.tasks.len()), (Epoch(7), false, 1));
    let stop = Command::Stop { task: "job/0".parse().unwrap(), token: Token(1), checkpoint: false };
    let late = exchange(&one, 6, vec![stop, Command::Start(start("job/1", 2))]);
    assert_eq!((late.epoch, late.fenced), (Epoch(7), true));
    assert_eq!(late.results, [Outcome::Refused(Refusal::Fenced); 2]);
    let tasks = exchange(&one, 7, Vec::new()).report.tasks;
    assert_eq!(tasks.len(), 1);
    assert_eq!(tasks[0].state, State::Running);
    assert_eq!(platform.counts().workers.fenced, 1);
}

#[test]
fn an_exchange_that_comes_too_late_has_no_effect() {
    let (_platform, one, _) = two(undelayed());
    let ClockReading(clock) = exchange(&one, 1, Vec::new()).clock;
    let mut late = Exchange {
        owner: "entry-1".parse().unwrap(),
        epoch: Epoch(1),
        not_after: Some(ClockReading(clock)),
        commands: vec![Command::Start(start("job/0", 1))],
    };
    wait_until(|| exchange(&one, 1, Vec::new()).clock > ClockReading(clock));
    let response = one.exchange(&late).unwrap();
    assert_eq!(response.results, [Outcome::Refused(Refusal::Expired)]);
    late.not_after = Some(ClockReading(clock + ENDLESS.as_ms()));
    assert_eq!(one.exchange(&late).unwrap().results, [Outcome::Accepted]);
}

#[test]
fn a_start_above_the_size_of_a_worker_is_refused_and_counted() {
    let (platform, one, _) = two(undelayed());
    let large = |task, token| Start { size: size(40, 8), ..start(task, token) };
    assert_eq!(begin(&one, large("job/0", 1)), Outcome::Accepted);
    assert_eq!(platform.counts().workers.overcommitted, 0);
    let refused = begin(&one, large("job/1", 2));
    let free = size(24, 242);
    assert_eq!(refused, Outcome::Refused(Refusal::NoRoom { free }));
    assert_eq!(platform.counts().workers.overcommitted, 1);
}

#[test]
fn a_task_that_runs_on_two_workers_is_counted() {
    let (platform, one, two) = two(undelayed());
    begin(&one, start("job/0", 1));
    begin(&two, start("job/0", 2));
    assert_eq!(platform.counts().workers.doubled, 1);
}

#[test]
fn a_task_started_again_after_its_end_is_not_counted_as_doubled() {
    let (platform, one, two) = two(undelayed());
    begin(&one, start("job/0", 1));
    let stop = Command::Stop { task: "job/0".parse().unwrap(), token: Token(1), checkpoint: false };
    exchange(&one, 1, vec![stop]);
    begin(&two, start("job/0", 2));
    let counts = platform.counts().workers;
    assert_eq!((counts.doubled, counts.stopped, counts.running), (0, 1, 1));
}

#[test]
fn a_lapsed_lease_ends_the_task_even_while_the_worker_is_paused() {
    let (platform, one, two) = two(undelayed());
    begin(&one, Start { lease: Span::from_ms(50), ..start("job/0", 1) });
    platform.set_fault(set(ONE, WorkerFaults { pause: ENDLESS, ..WorkerFaults::default() }));
    wait_until(|| platform.counts().workers.lease_lapsed == 1);
    begin(&two, start("job/0", 2));
    assert_eq!(platform.counts().workers.doubled, 0);
    platform.set_fault(set(ONE, WorkerFaults::default()));
    assert_eq!(state(&one, "job/0"), Some(State::LeaseLapsed));
}

#[test]
fn a_renewed_lease_does_not_lapse() {
    let (platform, one, _) = two(undelayed());
    begin(&one, Start { lease: Span::from_secs(20), ..start("job/0", 1) });
    exchange(&one, 1, vec![Command::RenewAll { lease: ENDLESS }]);
    let left = held(&one, "job/0").unwrap().lease_left;
    assert!(left > Span::from_secs(60), "the lease has {left} left");
    assert_eq!(platform.counts().workers.lease_lapsed, 0);
}

#[test]
fn a_checkpoint_is_resumed_and_a_second_resume_is_counted() {
    let (platform, one, two) = two(undelayed());
    begin(&one, start("job/0", 1));
    let task = "job/0".parse().unwrap();
    exchange(&one, 1, vec![Command::Stop { task, token: Token(1), checkpoint: true }]);
    wait_until(|| matches!(state(&one, "job/0"), Some(State::Checkpointed { .. })));
    let Some(State::Checkpointed { checkpoint }) = state(&one, "job/0") else {
        panic!("expected a checkpoint");
    };
    let resume = |token| Start { resume_from: Some(checkpoint.clone()), ..start("job/0", token) };
    assert_eq!(begin(&two, resume(2)), Outcome::Accepted);
    assert_eq!(begin(&two, resume(2)), Outcome::Accepted, "a repeat is harmless");
    let counts = platform.counts().workers;
    assert_eq!((counts.resumed, counts.resumed_twice, counts.doubled), (1, 0, 0));
    let three = worker(&platform, "w-vejle-a-03");
    begin(&three, resume(3));
    assert_eq!(platform.counts().workers.resumed_twice, 1);
}

#[test]
fn a_checkpoint_may_be_resumed_again_after_its_worker_was_lost() {
    let (platform, one, two) = two(undelayed());
    begin(&one, start("job/0", 1));
    let task = "job/0".parse().unwrap();
    exchange(&one, 1, vec![Command::Checkpoint { task, token: Token(1) }]);
    wait_until(|| matches!(state(&one, "job/0"), Some(State::Checkpointed { .. })));
    let checkpoint = Some(Checkpoint::new("checkpoints/job/0/t1"));
    begin(&two, Start { resume_from: checkpoint.clone(), ..start("job/0", 2) });
    platform.set_fault(set(TWO, WorkerFaults { gone: true, ..WorkerFaults::default() }));
    let three = worker(&platform, "w-vejle-a-03");
    begin(&three, Start { resume_from: checkpoint, ..start("job/0", 3) });
    let counts = platform.counts().workers;
    assert_eq!((counts.lost, counts.resumed, counts.resumed_twice), (1, 2, 0));
}

#[test]
fn a_checkpoint_waits_for_the_object_store() {
    let (platform, one, _) = two(undelayed());
    platform.set_fault(Fault::Objects(ServiceFaults { down: true, ..ServiceFaults::default() }));
    begin(&one, start("job/0", 1));
    let task = "job/0".parse().unwrap();
    exchange(&one, 1, vec![Command::Checkpoint { task, token: Token(1) }]);
    std::thread::sleep(Span::from_ms(20).into());
    assert_eq!(state(&one, "job/0"), Some(State::Checkpointing));
    platform.set_fault(Fault::Objects(ServiceFaults::default()));
    wait_until(|| matches!(state(&one, "job/0"), Some(State::Checkpointed { .. })));
}

#[test]
fn a_faulty_worker_fails_everything_and_a_failing_job_fails_everywhere() {
    let (platform, one, two) = two(undelayed());
    platform
        .set_fault(set(ONE, WorkerFaults { fails_everything: true, ..WorkerFaults::default() }));
    platform.set_fault(Fault::Job { name: "bad".parse().unwrap(), fails: true });
    begin(&one, start("job/0", 1));
    begin(&two, Start { run_time: Span::from_ms(20), ..start("bad/0", 1) });
    begin(&two, Start { run_time: Span::from_ms(20), ..start("job/1", 1) });
    wait_until(|| matches!(state(&one, "job/0"), Some(State::Failed { .. })));
    wait_until(|| matches!(state(&two, "bad/0"), Some(State::Failed { .. })));
    wait_until(|| state(&two, "job/1") == Some(State::Finished));
}

#[test]
fn a_task_goes_on_while_its_worker_is_unreachable() {
    let (platform, one, _) = two(undelayed());
    begin(&one, Start { run_time: Span::from_ms(50), ..start("job/0", 1) });
    platform.set_fault(set(ONE, WorkerFaults { unreachable: true, ..WorkerFaults::default() }));
    wait_until(|| platform.counts().workers.finished == 1);
    platform.set_fault(set(ONE, WorkerFaults::default()));
    assert_eq!(state(&one, "job/0"), Some(State::Finished));
}

#[test]
fn commands_whose_answer_was_lost_took_effect() {
    let (platform, one, _) = two(undelayed());
    platform.set_fault(set(ONE, WorkerFaults { lose_next: 1, ..WorkerFaults::default() }));
    let lost = one.exchange(&Exchange {
        owner: "entry-1".parse().unwrap(),
        epoch: Epoch(1),
        not_after: None,
        commands: vec![Command::Start(start("job/0", 1))],
    });
    assert!(matches!(lost, Err(Error::Unknown { .. })), "{lost:?}");
    assert_eq!(state(&one, "job/0"), Some(State::Running));
}

#[test]
fn a_throttled_task_does_less_work() {
    let (_platform, one, _) = two(undelayed());
    let short = |task| Start { run_time: Span::from_ms(20), ..start(task, 1) };
    let task = "job/0".parse().unwrap();
    let throttle = Command::Throttle { task, token: Token(1), share: 0.0 };
    let starts = [short("job/0"), short("job/1")].map(Command::Start);
    exchange(&one, 1, starts.into_iter().chain([throttle]).collect());
    wait_until(|| state(&one, "job/1") == Some(State::Finished));
    assert_eq!(state(&one, "job/0"), Some(State::Throttled));
}

#[test]
fn interference_shows_in_reports_only_after_their_lag() {
    let lag = Span::from_ms(300);
    let lagging = Settings { interference: 3.0, report_lag: lag, ..undelayed() };
    let (_platform, one, _) = two(lagging);
    for (index, class) in ["cut-list", "packing", "knots", "slips"].iter().enumerate() {
        let class = class.parse().unwrap();
        begin(
            &one,
            Start {
                class,
                size: size(16, 8),
                declared: size(16, 8),
                ..start(&format!("job/{index}"), 1)
            },
        );
    }
    let first = held(&one, "job/0").unwrap();
    assert!(first.usage.is_none_or(|usage| usage.age >= lag));
    let slowdowns = || {
        let tasks = exchange(&one, 1, Vec::new()).report.tasks;
        tasks.into_iter().filter_map(|held| held.usage).collect::<Vec<_>>()
    };
    wait_until(|| slowdowns().len() == 4);
    let seen = slowdowns();
    assert!(seen.iter().all(|usage| usage.age >= lag), "{seen:?}");
    assert!(seen.iter().any(|usage| usage.slowdown > 1.0), "{seen:?}");
}

#[test]
fn the_guard_ends_a_task_that_uses_more_memory_than_there_is() {
    let (platform, one, _) = two(undelayed());
    let greedy = Start { size: size(4, 8), declared: size(4, 300), ..start("job/0", 1) };
    begin(&one, start("job/1", 1));
    begin(&one, greedy);
    assert!(matches!(state(&one, "job/0"), Some(State::Failed { .. })));
    assert_eq!(state(&one, "job/1"), Some(State::Running));
    assert_eq!(platform.counts().workers.guarded, 1);
}
