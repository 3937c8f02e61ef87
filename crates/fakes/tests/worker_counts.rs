//! Compares the workers' safety counters with a reference model over random command histories.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::cell::Cell;
use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use common::{platform, undelayed, worker};
use sycamorerill_clients::worker::{Client, Command, Exchange, Outcome, Start, Token};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{Attempt, Epoch};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_fakes::faults::{Selector, WorkerFaults};
use sycamorerill_fakes::{Deployment, Fault, Platform, Settings};

const NAMES: [&str; 2] = ["w-vejle-a-01", "w-vejle-a-02"];
/// Longer than any test.
const ENDLESS: Span = Span::from_secs(600);
/// Cores of a worker.
const CORES: u64 = 64;
/// Largest number of steps in a history.
const STEPS: usize = 40;

/// Expected tasks of a worker: token, cores and whether the task is running.
type Held = BTreeMap<u64, (u64, u64, bool)>;

/// Reference model of two workers: expected tasks and counters.
struct Model {
    case: u64,
    held: [Held; 2],
    seen: [BTreeMap<u64, u64>; 2],
    overcommitted: u64,
    doubled: u64,
    started: u64,
}

impl Model {
    /// Starts a task and returns whether the worker should accept the start.
    fn start(&mut self, at: usize, task: u64, token: u64, cores: u64) -> bool {
        if let Some((held, _, _)) = self.held[at].get(&task) {
            return *held == token;
        }
        if self.seen[at].get(&task).is_some_and(|seen| *seen >= token) {
            return false;
        }
        let running = self.held[at].values().filter(|(_, _, runs)| *runs);
        if running.map(|(_, cores, _)| cores).sum::<u64>() + cores > CORES {
            self.overcommitted += 1;
            return false;
        }
        self.doubled += u64::from(self.held[1 - at].get(&task).is_some_and(|held| held.2));
        self.started += 1;
        self.seen[at].insert(task, token);
        self.held[at].insert(task, (token, cores, true));
        true
    }

    /// Stops a task and returns whether the worker should accept the stop.
    fn stop(&mut self, at: usize, task: u64, token: u64) -> bool {
        match self.held[at].get_mut(&task) {
            Some((held, _, runs)) if *held == token => {
                *runs = false;
                true
            }
            _ => false,
        }
    }

    /// Acknowledges a task and returns whether the worker should accept the acknowledgement.
    fn ack(&mut self, at: usize, task: u64, token: u64) -> bool {
        match self.held[at].get(&task) {
            None => true,
            Some((held, _, false)) if *held == token => self.held[at].remove(&task).is_some(),
            Some(_) => false,
        }
    }
}

fn start(case: u64, task: u64, token: u64, cores: u64) -> Command {
    let size = Size::new(Cpu::from_cores(cores), Memory::from_gib(1), Accel(0));
    Command::Start(Start {
        task: format!("job-{case}/{task}").parse().unwrap(),
        attempt: Attempt(1),
        token: Token(token),
        size,
        lease: ENDLESS,
        class: "cut-list".parse().unwrap(),
        declared: size,
        run_time: ENDLESS,
        checkpoint: false,
        service: false,
        resume_from: None,
    })
}

fn accepted(client: &Client, command: Command) -> bool {
    let owner = "entry-1".parse().unwrap();
    let exchange = Exchange { owner, epoch: Epoch(1), not_after: None, commands: vec![command] };
    client.exchange(&exchange).unwrap().results == [Outcome::Accepted]
}

fn step(
    u: &mut Unstructured<'_>,
    model: &mut Model,
    platform: &Platform,
    clients: &[Client; 2],
) -> Result<()> {
    let at = usize::from(u.arbitrary::<bool>()?);
    let client = &clients[at];
    let (case, task, token) = (model.case, u.int_in_range(0..=1)?, u.int_in_range(1..=4)?);
    let name = || format!("job-{case}/{task}").parse().unwrap();
    match u.int_in_range(0..=8)? {
        0..=4 => {
            let cores = u.int_in_range(16..=48)?;
            let expected = model.start(at, task, token, cores);
            assert_eq!(accepted(client, start(case, task, token, cores)), expected);
        }
        5 | 6 => {
            let held = model.held[at].get(&task).map(|held| held.0);
            let token = if u.ratio(2, 3)? { held.unwrap_or(token) } else { token };
            let stop = Command::Stop { task: name(), token: Token(token), checkpoint: false };
            assert_eq!(accepted(client, stop), model.stop(at, task, token));
        }
        7 => {
            let ack = Command::Ack { task: name(), token: Token(token) };
            assert_eq!(accepted(client, ack), model.ack(at, task, token));
        }
        _ => {
            lose(platform, at);
            model.held[at].clear();
        }
    }
    Ok(())
}

/// Removes a worker with its tasks and restores it without tasks.
fn lose(platform: &Platform, at: usize) {
    let select = || Selector::Name(NAMES[at].to_owned());
    let gone = WorkerFaults { gone: true, ..WorkerFaults::default() };
    platform.set_fault(Fault::Workers { select: select(), faults: gone });
    platform.set_fault(Fault::Workers { select: select(), faults: WorkerFaults::default() });
}

/// Number of random histories.
const CASES: u64 = 60;
/// Random bytes from which each history is generated.
const BYTES: u64 = 512;

#[test]
fn counters_match_the_reference_model() {
    let deployment = Deployment::ropes().scaled(8, 0);
    let platform = platform(Settings { deployment, ..undelayed() });
    let clients = NAMES.map(|name| worker(&platform, name));
    let cases = Cell::new(0);
    let mut history = |u: &mut Unstructured<'_>| {
        cases.set(cases.get() + 1);
        let before = platform.counts().workers;
        let mut model = Model {
            case: cases.get(),
            held: Default::default(),
            seen: Default::default(),
            overcommitted: before.overcommitted,
            doubled: before.doubled,
            started: before.started,
        };
        for _ in 0..u.int_in_range(1..=STEPS)? {
            step(u, &mut model, &platform, &clients)?;
        }
        let counts = platform.counts().workers;
        assert_eq!(counts.overcommitted, model.overcommitted);
        assert_eq!(counts.doubled, model.doubled);
        assert_eq!(counts.started, model.started);
        (0..NAMES.len()).for_each(|at| lose(&platform, at));
        Ok(())
    };
    // Fixed seeds make the result of every run the same.
    for case in 1..=CASES {
        arbtest(&mut history).seed(case << 32 | BYTES);
    }
}
