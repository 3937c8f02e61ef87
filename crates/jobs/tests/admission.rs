//! Admission of jobs by the outlook of their shard's owner, and what it costs and gains in a burst
//! and after a loss of capacity.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use arbtest::arbtest;
use support::{Simulation, job, step};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::admission::{Assessment, Forecast, Outlook, Refusal, Settings, assess};
use sycamorerill_jobs::config::{Config, Queue};
use sycamorerill_jobs::id::QueueName;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::shard::Event;
use sycamorerill_jobs::spec::{Job, Schedule, Step};

/// Run time of each job in the replays.
const PATH: Span = Span::from_ms(1_000);
/// Length of a replay, in units of 100 ms.
const SLOTS: usize = 600;
/// Time after which executors are lost or urgent jobs arrive, in the same units.
const EVENT_SLOT: usize = 50;
/// Number of the first urgent job.
const URGENT_ID: u64 = 1 << 32;
/// Number of times that a caller repeats a refused request.
const MAX_REPEATS: u32 = 4;
/// Share of its value that a job has after its objective and within three times that.
const LATE_VALUE: f64 = 0.15;

fn queue() -> Queue {
    Simulation::new(0).config.queues[&QueueName::from("q")].clone()
}

/// Returns a configuration with a second queue `low` behind `q`, which gets a long objective.
fn two_queues(config: &Config) -> Config {
    let low = Queue { name: QueueName::from("low"), priority: 1, ..queue() };
    let urgent = Queue { objective: Span::from_secs(60), ..queue() };
    let queues = [low, urgent].map(|queue| (queue.name.clone(), queue));
    Config { version: config.version + 1, queues: BTreeMap::from(queues), ..config.clone() }
}

fn one_step_job(step: Step) -> Job {
    Job { text: String::new(), steps: vec![step], schedule: None }
}

/// Whatever the outlook says, it must refuse nothing once it is old or missing, and nothing that
/// has no time within which it must be completed.
#[test]
fn old_or_missing_outlooks_refuse_nothing() {
    let settings = Settings::default();
    let job = one_step_job(step(1));
    let lasting = one_step_job(Step { long_running: true, ..step(1) });
    let schedule = Some(Schedule { start_ms: 0, period_ms: 1, times: 2 });
    let scheduled = Job { schedule, ..job.clone() };
    assert_eq!(assess(&settings, &queue(), &job, None), None);
    arbtest(|u| {
        let wait = Span::from_ms(u.int_in_range(200_000..=u64::MAX)?);
        let old = settings.max_age + Span::from_ms(u.int_in_range(1..=60_000)?);
        let forecast = Forecast { wait, age: old };
        assert_eq!(assess(&settings, &queue(), &job, Some(forecast)), None);
        let fresh = Some(Forecast { wait, age: Span::ZERO });
        assert!(assess(&settings, &queue(), &job, fresh).is_some());
        assert_eq!(assess(&settings, &queue(), &lasting, fresh), None);
        assert_eq!(assess(&settings, &queue(), &scheduled, fresh), None);
        let disabled = Settings { enabled: false, ..settings };
        assert_eq!(assess(&disabled, &queue(), &job, fresh), None);
        Ok(())
    });
}

/// A longer wait must not make a refusal less likely, a job that can be completed within three times
/// its objective must be accepted, and callers must get a bounded time in whole seconds.
#[test]
fn refusals_are_monotone_and_bounded() {
    let settings = Settings::default();
    let queue = queue();
    arbtest(|u| {
        let estimate_ms = u.int_in_range(0..=100_000)?;
        let job = one_step_job(Step { estimate_ms, ..step(1) });
        let age = Span::from_ms(u.int_in_range(0..=3_000)?);
        let (first, second): (u32, u32) = (u.arbitrary()?, u.arbitrary()?);
        let at = |wait: u32| {
            let wait = Span::from_ms(wait.into());
            assess(&settings, &queue, &job, Some(Forecast { wait, age }))
        };
        let (short, long) = (at(first.min(second)), at(first.max(second)));
        let probability = |found: Option<Assessment>| found.map_or(0.0, |found| found.probability);
        assert!(probability(short) <= probability(long));
        if let Some(found) = long {
            assert!(found.probability > 0.0 && found.probability <= 1.0);
            assert!(found.expected > found.limit);
            assert!(found.refuses(0.0));
            let after = found.retry_after(&settings, f64::from(u.arbitrary::<u8>()?) / 256.0);
            assert!(after >= Span::from_secs(1) && after <= settings.max_retry);
            assert_eq!(after.as_ms() % 1_000, 0);
        }
        Ok(())
    });
}

/// A caller that comes back too early must gain nothing, one that comes back in time must go before
/// new ones, and one that waited must not lose its time.
#[test]
fn callers_that_obey_go_first() {
    let settings = Settings::default();
    let job = one_step_job(step(1));
    let forecast = |wait| Some(Forecast { wait: Span::from_ms(wait), age: Span::ZERO });
    // The limit of the job is 7.5 s.
    let some = assess(&settings, &queue(), &job, forecast(12_000)).expect("some are refused");
    let all = assess(&settings, &queue(), &job, forecast(60_000)).expect("all are refused");
    assert!(some.probability < 1.0 && all.probability >= 1.0);
    let refusal = Refusal::new(100_000, Span::from_secs(8));
    let early = refusal.again(&settings, &some, 0.5, 103_000);
    assert_eq!(early, Some((refusal, Span::from_secs(5))));
    assert_eq!(refusal.again(&settings, &some, 0.5, 108_000), None);
    let (next, _) = refusal.again(&settings, &all, 0.5, 108_000).expect("all are refused");
    assert_eq!((next.since_ms, next.back_ms > 108_000), (100_000, true));
    assert_eq!(refusal.counts_from(108_000), 100_000);
    // Another clock was wrong, or the caller has begun anew.
    assert_eq!(refusal.again(&settings, &some, 0.5, 1_000), None);
    assert_eq!(refusal.counts_from(1_000), 1_000);
    assert_eq!(refusal.counts_from(900_000), 900_000);
}

/// One replay: jobs of one task of one core for 1 s, on ten executors of eight cores. Callers use the
/// queue `low`.
struct Replay {
    admits_all: bool,
    /// Jobs that arrive in each 100 ms, from the first on.
    arrivals: Vec<u32>,
    /// Executors that go away after 5 s.
    lost: u32,
    /// Jobs of the queue `q`, which goes before, that arrive after 5 s.
    urgent: u32,
    is_best_effort: bool,
}

/// Outcome of a replay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    submitted: u32,
    refused: u32,
    /// Jobs that were refused to the end, or not completed within three times their objective.
    lost: u32,
    value: f64,
    /// Urgent jobs that were completed.
    urgent: u32,
    /// Outlooks that were recorded.
    outlooks: u32,
    /// Whether the last of them names no queue.
    ends_clear: bool,
}

/// A job of a caller.
#[derive(Clone, Copy, Debug)]
struct Request {
    first: Time,
    next: Option<Time>,
    repeats: u32,
    refusal: Option<Refusal>,
    done: Option<Time>,
}

/// Returns a number from 0 up to 1 for a job.
fn draw(id: u64, salt: u64) -> f64 {
    let mixed = (id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15 ^ salt.wrapping_mul(0xa24b_aed4));
    (mixed >> 40) as f64 / (1_u64 << 24) as f64
}

impl Replay {
    fn play(&self) -> Outcome {
        let mut sim = Simulation::new(10);
        sim.shares_processors = self.is_best_effort;
        sim.handle(Event::Configured(Arc::new(two_queues(&sim.config))));
        sim.advance(Span::from_ms(6_000));
        let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
        let mut outcome = Outcome::default();
        let mut known: Option<(Outlook, Time)> = None;
        for slot in 0..SLOTS {
            for _ in 0..self.arrivals.get(slot).copied().unwrap_or(0) {
                let id = requests.len() as u64;
                let first = sim.now;
                let next = Some(first);
                let request = Request { first, next, repeats: 0, refusal: None, done: None };
                requests.insert(id, request);
            }
            if slot == EVENT_SLOT {
                self.begin_trouble(&mut sim);
            }
            for (id, request) in &mut requests {
                if request.next.is_some_and(|at| at <= sim.now) {
                    self.submit(&mut sim, *id, request, known.as_ref(), &mut outcome);
                }
            }
            sim.advance(Span::from_ms(100));
            if let Some(outlook) = sim.outlook.take() {
                outcome.outlooks += 1;
                known = Some((outlook, sim.now));
            }
            for (id, request) in &mut requests {
                if request.done.is_none() && sim.state(*id) == Some(State::Completed) {
                    request.done = Some(sim.now);
                }
            }
        }
        assert_eq!(sim.violations, Vec::<String>::new());
        outcome.submitted = requests.len() as u32;
        outcome.ends_clear = known.is_none_or(|(outlook, _)| outlook.wait_ms.is_empty());
        let objective = PATH.scale(2.0) + Span::from_ms(500);
        for request in requests.values() {
            match request.done.map(|at| at.since(request.first)) {
                Some(took) if took <= objective => outcome.value += 1.0,
                Some(took) if took <= objective.saturating_mul(3) => outcome.value += LATE_VALUE,
                _ => outcome.lost += 1,
            }
        }
        let urgent = (0..self.urgent)
            .filter(|id| sim.state(URGENT_ID + u64::from(*id)) == Some(State::Completed));
        outcome.urgent = urgent.count() as u32;
        outcome
    }

    /// Cuts executors off and submits the urgent jobs.
    fn begin_trouble(&self, sim: &mut Simulation) {
        for number in 0..self.lost {
            sim.executor(&format!("x{number}")).reachable = false;
        }
        for id in 0..self.urgent {
            sim.submit(job(URGENT_ID + u64::from(id)), vec![step(1)]);
        }
    }

    /// Submits a job, as a caller that comes back when it is told to.
    fn submit(
        &self,
        sim: &mut Simulation,
        id: u64,
        request: &mut Request,
        known: Option<&(Outlook, Time)>,
        outcome: &mut Outcome,
    ) {
        let settings = Settings { enabled: !self.admits_all, ..Settings::default() };
        // Estimates are off by up to 35 percent.
        let estimate_ms = PATH.scale(0.65 + 0.7 * draw(id, 3)).as_ms();
        let step = Step { best_effort: self.is_best_effort, estimate_ms, ..step(1) };
        let forecast = known.and_then(|(outlook, at)| {
            let wait = Span::from_ms(*outlook.wait_ms.get(&QueueName::from("low"))?);
            // An instance learns of an outlook a second after it was made.
            Some(Forecast { wait, age: sim.now.since(*at) + Span::from_secs(1) })
        });
        let queue = queue();
        let found = assess(&settings, &queue, &one_step_job(step.clone()), forecast);
        let now_ms = sim.wall_ms();
        let refused = found.and_then(|found| match request.refusal {
            Some(refusal) => refusal.again(&settings, &found, draw(id, 2), now_ms),
            None => found.refuses(draw(id, 1)).then(|| {
                let after = found.retry_after(&settings, draw(id, 2));
                (Refusal::new(now_ms, after), after)
            }),
        });
        request.next = None;
        if let Some((refusal, after)) = refused {
            outcome.refused += 1;
            request.refusal = Some(refusal);
            request.repeats += 1;
            request.next = (request.repeats <= MAX_REPEATS).then(|| sim.now + after);
        } else {
            let from = request.refusal.map_or(now_ms, |refusal| refusal.counts_from(now_ms));
            sim.submit_to("low", job(id), one_step_job(step), from);
        }
    }
}

/// Returns the number of jobs in each 100 ms: `base` for 30 s, `factor` times as many for `burst`
/// from 5 s on.
fn arrivals(base: u32, factor: f64, burst: Span) -> Vec<u32> {
    let in_burst = |slot: u64| slot >= 50 && (slot - 50) * 100 < burst.as_ms();
    let count = |slot| if in_burst(slot) { (f64::from(base) * factor) as u32 } else { base };
    (0..300).map(count).collect()
}

/// Plays a replay with and without admission, prints both outcomes and returns them.
fn compare(name: &str, mut replay: Replay) -> (Outcome, Outcome) {
    let with = replay.play();
    replay.admits_all = true;
    let without = replay.play();
    println!("{name}: with {with:?}\n{name}: without {without:?}");
    (with, without)
}

/// Returns a replay of `base` jobs in each 100 ms.
fn steady(base: u32) -> Replay {
    let arrivals = arrivals(base, 1.0, Span::ZERO);
    Replay { admits_all: false, arrivals, lost: 0, urgent: 0, is_best_effort: false }
}

/// Without a backlog no outlook may be written.
#[test]
fn quiet_load_writes_no_outlook() {
    let outcome = steady(7).play();
    assert_eq!((outcome.outlooks, outcome.refused, outcome.lost), (0, 0, 0));
}

/// A new job comes before those of its priority that are late, so that it may still earn its value
/// whatever their number: a burst, or a loss of executors, must cost nobody a refusal.
#[test]
fn a_backlog_of_the_same_priority_refuses_nothing() {
    for is_best_effort in [false, true] {
        let burst =
            Replay { arrivals: arrivals(7, 2.6, Span::from_secs(4)), is_best_effort, ..steady(7) };
        let loss = Replay { lost: 9, is_best_effort, ..steady(7) };
        for (name, replay) in [("burst", burst), ("loss", loss)] {
            let outcome = replay.play();
            println!("{name}: {outcome:?}");
            assert_eq!((outcome.refused, outcome.outlooks), (0, 0));
        }
    }
}

/// Behind urgent work of 30 s nothing can be completed in time: most callers must be told so, at no
/// cost in value, and they must be accepted again afterwards.
#[test]
fn jobs_behind_a_long_urgent_backlog_are_refused_at_no_cost() {
    let (with, without) = compare("urgent", Replay { urgent: 2_400, ..steady(3) });
    assert!(with.refused > 0 && with.ends_clear);
    assert!(with.value >= without.value && with.urgent == 2_400);
}

/// A successor must make no outlook before the executors have had the time to answer it, and must
/// make one afterwards.
#[test]
fn a_successor_waits_before_its_first_outlook() {
    let mut sim = Simulation::new(10);
    sim.config = Arc::new(two_queues(&sim.config));
    sim.handle(Event::Configured(Arc::clone(&sim.config)));
    for id in 0..2_400 {
        sim.submit(job(URGENT_ID + id), vec![step(1)]);
    }
    let at_ms = sim.wall_ms();
    sim.submit_to("low", job(1), one_step_job(step(1)), at_ms);
    let names_low = |sim: &mut Simulation| {
        sim.outlook.take().is_some_and(|found| found.wait_ms.contains_key(&QueueName::from("low")))
    };
    sim.advance(Span::from_secs(5));
    assert!(names_low(&mut sim));
    sim.take_over();
    sim.advance(Span::from_ms(4_500));
    assert!(!names_low(&mut sim));
    sim.advance(Span::from_ms(4_500));
    assert!(names_low(&mut sim));
}
