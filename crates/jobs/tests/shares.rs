//! Shares of queues: a flood of one queue beside calm ones of the same priority.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::config::{Config, Queue};
use sycamorerill_jobs::id::QueueName;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::shard::{Decision, Event};
use sycamorerill_jobs::spec::{AcceptedJob, Job};

const QUEUES: u64 = 10;
/// Time in which jobs arrive.
const ARRIVALS: Span = Span::from_secs(12);
/// Objective of a job of one second, with the stretch and the objective of the queues.
const OBJECTIVE: Span = Span::from_ms(2_500);
/// Number of a queue's jobs is its first digits.
const JOBS_PER_QUEUE: u64 = 100_000;

fn queue(number: u64) -> QueueName {
    QueueName::from(format!("q{number}").as_str())
}

/// Returns a simulation with ten queues of the same settings; `has_shares` tells whether they have
/// shares.
fn simulation(has_shares: bool) -> Simulation {
    let mut sim = Simulation::new(16);
    let pattern = sim.config.queues[&QueueName::from("q")].clone();
    let queues = (0..QUEUES).map(|n| (queue(n), Queue { name: queue(n), ..pattern.clone() }));
    let config = Config { version: 2, queues: queues.collect(), ..(*sim.config).clone() };
    sim.config = Arc::new(config);
    if !has_shares {
        sim.settings.over_share_factor = f64::INFINITY;
    }
    sim.restart_shard();
    sim.advance(Span::from_ms(100));
    sim
}

fn submit(sim: &mut Simulation, number: u64, sequence: u64, tasks: u32) {
    let id = job(number * JOBS_PER_QUEUE + sequence);
    let steps = vec![step(tasks)];
    let job = Job { text: "text".to_owned(), steps, schedule: None };
    let accepted = AcceptedJob { queue: queue(number), at_ms: sim.wall_ms(), job, terms: None };
    sim.accepted.insert(id, accepted.clone());
    sim.handle(Event::Accepted(id, Box::new(accepted)));
}

/// Returns the number of jobs by queue that were completed within [`OBJECTIVE`], with `flood`
/// times the usual jobs of the first queue and a takeover in the middle if `takes_over`.
fn timely_jobs(
    mut sim: Simulation,
    flood: u64,
    takes_over: bool,
) -> (BTreeMap<u64, usize>, Simulation) {
    let mut timely: BTreeMap<u64, usize> = BTreeMap::new();
    let mut open: BTreeMap<u64, u64> = BTreeMap::new();
    let mut sequence = 0;
    let begun = sim.now;
    while sim.now.since(begun) < ARRIVALS + OBJECTIVE {
        let elapsed = sim.now.since(begun);
        if elapsed < ARRIVALS && elapsed.as_ms().is_multiple_of(500) {
            for number in 0..QUEUES {
                for _ in 0..if number == 0 { flood } else { 1 } {
                    sequence += 1;
                    submit(&mut sim, number, sequence, 4);
                    open.insert(number * JOBS_PER_QUEUE + sequence, sim.now.as_ms());
                }
            }
        }
        if takes_over && elapsed == Span::from_secs(6) {
            sim.take_over();
        }
        sim.advance(Span::from_ms(10));
        let (now, states) = (sim.now.as_ms(), &sim.states);
        open.retain(|id, accepted| {
            let is_open = states.get(&job(*id)) != Some(&State::Completed);
            if !is_open && now - *accepted <= OBJECTIVE.as_ms() {
                *timely.entry(id / JOBS_PER_QUEUE).or_default() += 1;
            }
            is_open
        });
    }
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    (timely, sim)
}

fn held_back(sim: &Simulation) -> usize {
    sim.decisions.iter().filter(|found| matches!(found, Decision::HeldBack { .. })).count()
}

/// A flood of one queue must not make the jobs of calm queues late.
#[test]
fn calm_queues_keep_their_completed_jobs_beside_a_flood() {
    for takes_over in [false, true] {
        let (calm, _) = timely_jobs(simulation(true), 1, takes_over);
        let (flooded, sim) = timely_jobs(simulation(true), 10, takes_over);
        let sum = |timely: &BTreeMap<u64, usize>| (1..QUEUES).map(|n| timely[&n]).sum::<usize>();
        let (before, with) = (sum(&calm), sum(&flooded));
        assert!(with * 100 >= before * 95, "{with} of {before} jobs of calm queues");
        // What the calm queues leave is lent to the flood.
        assert!(flooded[&0] > calm[&0], "{} of the flood, {} before", flooded[&0], calm[&0]);
        assert!(held_back(&sim) > 0);
    }
}

/// Shares must not change the order on a load for which there is room.
#[test]
fn without_competition_no_step_is_held_back() {
    let (timely, sim) = timely_jobs(simulation(true), 4, false);
    let (_, before) = timely_jobs(simulation(false), 4, false);
    assert_eq!(sim.log, before.log);
    assert_eq!(timely.values().sum::<usize>(), 24 * 13);
}
