//! Waits for a place near the data or the group of tasks: when they begin, how they end, and what
//! they change for callers.

#![allow(clippy::unwrap_used, reason = "a case that can't be generated ends the test")]

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::{Availability, Registration};
use sycamorerill_jobs::id::{ExecutorId, Label, StepId};
use sycamorerill_jobs::shard::{
    Decision, Event, LocalityWait, Settings, WaitChoice, WaitInputs, WaitState, decide_wait,
};
use sycamorerill_jobs::spec::{Resources, Step};

/// Executors of a rack; each has eight cores.
const PER_RACK: u32 = 2;
/// Tasks of one core that a rack takes.
const RACK_TASKS: u32 = 16;

fn rack(number: u32) -> Label {
    Label::from(format!("rack-{number}").as_str())
}

/// Returns a simulation with executors `x0`, `x1` on rack 0, `x2`, `x3` on rack 1 and so on.
fn racks(count: u32, settings: Settings) -> Simulation {
    let mut sim = Simulation::new(count * PER_RACK);
    for (id, executor) in &mut sim.executors {
        let number: u32 = id.to_string()[1..].parse().unwrap();
        executor.rack = rack(number / PER_RACK);
    }
    sim.settings = settings;
    sim.restart_shard();
    sim.advance(Span::from_ms(50));
    sim
}

/// Returns a step of tasks that run nowhere but on a rack.
fn only_on(number: u32, count: u32) -> Step {
    Step { label: Some(rack(number)), ..step(count) }
}

/// Returns a step of tasks of about two seconds whose data is on a rack.
fn data_on(number: u32, count: u32) -> Step {
    Step { data_rack: Some(rack(number)), estimate_ms: 2_000, ..step(count) }
}

/// Returns a simulation in which rack 0 has been full for `ran` with tasks of one second.
fn full_rack(count: u32, ran: Span) -> Simulation {
    let mut sim = racks(count, Settings::default());
    sim.submit(job(1), vec![only_on(0, RACK_TASKS)]);
    sim.advance(ran);
    sim
}

fn waits(sim: &Simulation) -> Vec<&LocalityWait> {
    let decisions = sim.decisions.iter().filter_map(|decision| match decision {
        Decision::Locality(wait) => Some(wait.as_ref()),
        _ => None,
    });
    decisions.collect()
}

fn states(sim: &Simulation) -> Vec<WaitState> {
    waits(sim).iter().map(|wait| wait.state).collect()
}

/// Returns the number of placed tasks of a job that run on a rack, and elsewhere.
fn placed(sim: &Simulation, id: u64, number: u32) -> (usize, usize) {
    let of_job = sim.decisions.iter().filter_map(|decision| match decision {
        Decision::Placed { order, .. } if order.task.step.job == job(id) => Some(&order.executor),
        _ => None,
    });
    let (near, far): (Vec<_>, Vec<_>) =
        of_job.partition(|executor| sim.executors[*executor].rack == rack(number));
    (near.len(), far.len())
}

fn list(sim: &mut Simulation, id: &str, availability: Availability) {
    let entry = Registration { availability, ..sim.registration_of(id) };
    sim.handle(Event::Listed(Box::new(entry)));
}

/// Guards against running far for 3 s instead of 2 s where a near place is free in 0.2 s.
#[test]
fn tasks_wait_for_places_that_are_free_soon() {
    let mut sim = full_rack(2, Span::from_ms(800));
    sim.submit(job(2), vec![data_on(0, 2)]);
    sim.advance(Span::from_ms(100));
    assert_eq!(placed(&sim, 2, 0), (0, 0));
    sim.advance(Span::from_ms(400));
    assert_eq!(placed(&sim, 2, 0), (2, 0));
    assert_eq!(states(&sim), [WaitState::Begun, WaitState::Near]);
}

/// Guards against waiting for longer than the far place costs.
#[test]
fn tasks_run_far_at_once_if_a_wait_does_not_pay() {
    let mut sim = full_rack(2, Span::from_ms(100));
    sim.submit(job(2), vec![data_on(0, 2)]);
    sim.advance(Span::from_ms(20));
    assert_eq!(placed(&sim, 2, 0), (0, 2));
    assert!(states(&sim).is_empty());
}

/// Guards against waiting to the limit for a rack that is gone.
#[test]
fn a_wait_ends_when_the_rack_is_lost() {
    let mut sim = full_rack(2, Span::from_ms(800));
    sim.submit(job(2), vec![data_on(0, 2)]);
    sim.advance(Span::from_ms(30));
    assert_eq!(states(&sim), [WaitState::Begun]);
    for id in ["x0", "x1"] {
        list(&mut sim, id, Availability::Draining);
    }
    sim.advance(Span::from_ms(160));
    assert_eq!(states(&sim), [WaitState::Begun, WaitState::RackLost]);
    assert_eq!(placed(&sim, 2, 0), (0, 2));
}

/// Guards against waiting for places in which nothing may start.
#[test]
fn a_wait_ends_when_the_domain_of_the_rack_is_evacuated() {
    let mut sim = full_rack(2, Span::from_ms(800));
    for id in ["x0", "x1"] {
        sim.executor(id).domain = "evacuated";
        list(&mut sim, id, Availability::Ready);
    }
    sim.submit(job(2), vec![data_on(0, 2)]);
    sim.advance(Span::from_ms(30));
    assert_eq!(states(&sim), [WaitState::Begun]);
    sim.evacuate(&["evacuated"]);
    sim.advance(Span::from_ms(160));
    assert_eq!(states(&sim), [WaitState::Begun, WaitState::RackLost]);
    assert_eq!(placed(&sim, 2, 0), (0, 2));
}

/// Guards against waiting for runs that do not end.
#[test]
fn tasks_do_not_wait_for_long_running_ones() {
    let mut sim = racks(2, Settings::default());
    sim.submit(job(1), vec![Step { long_running: true, ..only_on(0, RACK_TASKS) }]);
    sim.advance(Span::from_ms(800));
    sim.submit(job(2), vec![data_on(0, 2)]);
    sim.advance(Span::from_ms(20));
    assert_eq!(placed(&sim, 2, 0), (0, 2));
}

/// Guards against a crowd that waits for the few places of one rack.
#[test]
fn of_a_hundred_jobs_for_one_rack_as_many_wait_as_it_pays_for() {
    let mut sim = full_rack(9, Span::from_ms(800));
    for id in 0..100 {
        sim.submit(job(10 + id), vec![data_on(0, 1)]);
    }
    sim.advance(Span::from_ms(20));
    let waiting = states(&sim).len();
    assert!((1..=RACK_TASKS as usize).contains(&waiting), "{waiting} jobs wait");
    let far: usize = (0..100).map(|id| placed(&sim, 10 + id, 0).1).sum();
    assert_eq!(far, 100 - waiting);
    sim.advance(Span::from_ms(1_000));
    let near: usize = (0..100).map(|id| placed(&sim, 10 + id, 0).0).sum();
    assert_eq!(near, waiting);
}

/// Guards against waits without a bound where runs take twice their estimates, and against
/// estimates that stay wrong.
#[test]
fn estimates_off_by_half_bound_the_wait_and_are_corrected() {
    let mut sim = racks(2, Settings::default());
    sim.run_times.insert(job(1), Span::from_ms(2_000));
    sim.submit(job(1), vec![only_on(0, RACK_TASKS)]);
    sim.advance(Span::from_ms(800));
    sim.submit(job(2), vec![data_on(0, 2)]);
    sim.advance(Span::from_ms(800));
    assert_eq!(placed(&sim, 2, 0), (0, 2));
    let last = waits(&sim).last().unwrap().waited;
    assert!(last <= sim.settings.max_locality_wait, "waited for {last}");
    // From here on runs take half of their estimates.
    sim.advance(Span::from_secs(2));
    for id in 3..9 {
        sim.run_times.insert(job(id), Span::from_ms(500));
        sim.submit(job(id), vec![only_on(0, RACK_TASKS)]);
        sim.advance(Span::from_ms(600));
    }
    sim.run_times.insert(job(9), Span::from_ms(500));
    sim.submit(job(9), vec![only_on(0, RACK_TASKS)]);
    sim.advance(Span::from_ms(430));
    sim.submit(job(10), vec![data_on(0, 1)]);
    sim.advance(Span::from_ms(300));
    assert_eq!(placed(&sim, 10, 0), (1, 0), "{:?}", waits(&sim));
}

/// Guards against waits for one rack that hold up tasks of another, or tasks that have no rack.
#[test]
fn a_wait_for_a_rack_delays_no_others() {
    let mut sim = full_rack(2, Span::from_ms(800));
    sim.submit(job(2), vec![data_on(0, 8)]);
    sim.submit(job(3), vec![data_on(1, 4)]);
    sim.submit(job(4), vec![step(4)]);
    sim.advance(Span::from_ms(20));
    assert_eq!(placed(&sim, 2, 0), (0, 0));
    assert_eq!(placed(&sim, 3, 1), (4, 0));
    assert_eq!(placed(&sim, 4, 1), (4, 0));
    assert_eq!(sim.shard.backlog().waiting_steps, 1);
}

/// Guards against the rack of the fullest executor being chosen for a step that it cannot take.
#[test]
fn tasks_of_one_rack_go_to_the_rack_that_can_take_most_of_them() {
    let mut sim = racks(3, Settings::default());
    sim.submit(job(1), vec![only_on(0, 10), only_on(1, 3), only_on(2, 12)]);
    sim.advance(Span::from_ms(50));
    sim.submit(job(2), vec![Step { same_rack: true, ..step(10) }]);
    sim.advance(Span::from_ms(50));
    assert_eq!(placed(&sim, 2, 1), (10, 0));
}

/// Guards against a gang in two parts, and against one that waits for the rack of some members.
#[test]
fn a_gang_is_placed_whole_near_or_far() {
    let mut sim = full_rack(2, Span::from_ms(800));
    let gang = |count| Step { gang: true, ..data_on(0, count) };
    sim.submit(job(2), vec![gang(4)]);
    sim.advance(Span::from_ms(100));
    assert_eq!(placed(&sim, 2, 0), (0, 0));
    sim.advance(Span::from_ms(400));
    assert_eq!(placed(&sim, 2, 0), (4, 0));
    // The rest of the rack is taken again, so that the next gang has no place there soon.
    sim.submit(job(3), vec![only_on(0, RACK_TASKS - 4)]);
    sim.advance(Span::from_ms(50));
    sim.submit(job(4), vec![gang(4)]);
    sim.advance(Span::from_ms(50));
    assert_eq!(placed(&sim, 4, 0), (0, 4));
}

/// Guards against a gang that waits although only some of its members get a place.
#[test]
fn a_gang_does_not_wait_for_places_of_some_members() {
    let mut sim = racks(2, Settings::default());
    sim.run_times.insert(job(1), Span::from_secs(20));
    sim.submit(job(1), vec![Step { estimate_ms: 20_000, ..only_on(0, RACK_TASKS - 2) }]);
    sim.submit(job(2), vec![only_on(0, 2)]);
    sim.advance(Span::from_ms(800));
    sim.submit(job(3), vec![Step { gang: true, ..data_on(0, 4) }]);
    sim.advance(Span::from_ms(20));
    assert_eq!(placed(&sim, 3, 0), (0, 4));
}

/// Guards against waits that use up a pass, as steps without an executor do.
#[test]
fn hundreds_of_waits_do_not_keep_a_pass_from_others() {
    const WAITS: usize = 210;
    let mut sim = racks(20, Settings::default());
    for (id, executor) in &mut sim.executors {
        let number: u32 = id.to_string()[1..].parse().unwrap();
        executor.rack = rack(number / 30);
    }
    sim.restart_shard();
    sim.advance(Span::from_ms(50));
    sim.submit(job(1), vec![only_on(0, 240)]);
    sim.advance(Span::from_ms(800));
    for id in 0..WAITS as u64 {
        sim.submit(job(10 + id), vec![data_on(0, 1)]);
    }
    sim.advance(Span::from_ms(20));
    assert_eq!(states(&sim), [WaitState::Begun; WAITS]);
    sim.submit(job(1_000), vec![Step { estimate_ms: 4_000, ..step(4) }]);
    sim.advance(Span::from_ms(20));
    assert_eq!(placed(&sim, 1_000, 1), (4, 0));
}

/// Guards against a long-running task that is not placed within the time allowed for it.
#[test]
fn long_running_tasks_wait_for_a_short_time() {
    let mut sim = racks(2, Settings::default());
    sim.run_times.insert(job(1), Span::from_secs(20));
    sim.submit(job(1), vec![only_on(0, RACK_TASKS)]);
    sim.advance(Span::from_ms(800));
    sim.submit(job(2), vec![Step { long_running: true, ..data_on(0, 2) }]);
    sim.advance(Span::from_ms(100));
    assert_eq!(placed(&sim, 2, 0), (0, 0));
    sim.advance(sim.settings.max_locality_wait_long_running);
    assert_eq!(placed(&sim, 2, 0), (0, 2));
    // A task that has run before does not wait.
    list(&mut sim, "x2", Availability::Draining);
    list(&mut sim, "x3", Availability::Draining);
    sim.advance(Span::from_ms(300));
    list(&mut sim, "x2", Availability::Ready);
    sim.advance(Span::from_ms(100));
    assert_eq!(placed(&sim, 2, 0).1, 4, "{:?}", sim.log);
}

/// Guards against a wait after a lack of room that has taken most of the time allowed.
#[test]
fn long_running_tasks_that_had_no_room_do_not_wait() {
    let mut sim = racks(2, Settings::default());
    for (id, number) in [(1, 0), (3, 1)] {
        sim.run_times.insert(job(id), Span::from_secs(20));
        sim.submit(job(id), vec![only_on(number, RACK_TASKS)]);
    }
    sim.advance(Span::from_ms(50));
    sim.submit(job(2), vec![Step { long_running: true, ..data_on(0, 2) }]);
    sim.advance(Span::from_ms(1_000));
    sim.cancel(job(3));
    sim.advance(Span::from_ms(150));
    assert_eq!(placed(&sim, 2, 0), (0, 2), "{:?}", waits(&sim));
}

/// Guards against waits that add up over takeovers, and over runs that fail.
#[test]
fn a_step_waits_at_most_once_and_not_after_a_takeover() {
    let mut sim = full_rack(2, Span::from_ms(800));
    // Far away it loses more than the time that runs take anew to the successor.
    sim.submit(job(2), vec![Step { estimate_ms: 5_000, ..data_on(0, 2) }]);
    sim.advance(Span::from_ms(60));
    assert_eq!(states(&sim), [WaitState::Begun]);
    sim.take_over();
    sim.advance(Span::from_ms(60));
    assert_eq!(states(&sim), [WaitState::Begun]);
    assert_eq!(placed(&sim, 2, 0), (0, 2));
}

/// Guards against a change for steps without a preference.
#[test]
fn steps_without_a_rack_are_placed_as_without_the_decision() {
    let play = |decides_locality: bool| {
        let mut sim = racks(3, Settings { decides_locality, ..Settings::default() });
        for id in 0..40 {
            let cpu = 500 + 500 * (id % 5);
            let resources = Resources { cpu, memory: 2_000, accelerators: 0 };
            let plain = Step { resources, ..step(1 + id as u32 % 7) };
            let step = match id % 4 {
                0 => Step { gang: true, ..plain },
                1 => Step { best_effort: true, ..plain },
                2 => Step { long_running: id % 8 == 2, objective_ms: Some(50), ..plain },
                _ => plain,
            };
            sim.submit(job(id), vec![step]);
            sim.advance(Span::from_ms(110));
        }
        sim.log
    };
    assert_eq!(play(true), play(false));
}

fn arbitrary_inputs(u: &mut Unstructured<'_>) -> Result<WaitInputs> {
    let ms = |u: &mut Unstructured<'_>| Ok(Span::from_ms(u.int_in_range(0..=20_000)?));
    let fraction = |u: &mut Unstructured<'_>| Ok(f64::from(u.int_in_range(0..=100)?) / 100.0);
    Ok(WaitInputs {
        run: ms(u)?,
        penalty: 1.0 + 3.0 * fraction(u)?,
        expected: if u.ratio(9, 10)? { Some(ms(u)?) } else { None },
        error: fraction(u)?,
        success: fraction(u)?,
        load: fraction(u)?,
        slack: if u.arbitrary()? { Some(ms(u)?) } else { None },
        allowance: ms(u)?,
        is_waiting: u.arbitrary()?,
    })
}

fn limit(inputs: &WaitInputs) -> Span {
    match decide_wait(inputs) {
        WaitChoice::Far => Span::ZERO,
        WaitChoice::Wait(limit) => limit,
    }
}

/// Guards against waits where the far place costs nothing, waits beyond their bound, and waits
/// that become shorter as the far place becomes dearer.
#[test]
fn a_wait_is_bounded_and_grows_with_the_penalty() {
    arbtest(|u| {
        let inputs = arbitrary_inputs(u)?;
        assert!(limit(&inputs) <= inputs.allowance, "{inputs:?}");
        assert_eq!(limit(&WaitInputs { penalty: 1.0, ..inputs }), Span::ZERO, "{inputs:?}");
        assert_eq!(limit(&WaitInputs { expected: None, ..inputs }), Span::ZERO, "{inputs:?}");
        assert_eq!(limit(&WaitInputs { success: 0.0, ..inputs }), Span::ZERO, "{inputs:?}");
        // With an objective, a dearer far place may leave no time for a wait that fails.
        let free = WaitInputs { slack: None, ..inputs };
        let dearer = WaitInputs { penalty: free.penalty + 0.5, ..free };
        assert!(limit(&free) <= limit(&dearer), "{free:?}");
        Ok(())
    });
}

/// Guards against a wait that puts an objective at risk which the far place would meet.
#[test]
fn a_wait_does_not_risk_an_objective_that_the_far_place_meets() {
    let inputs = WaitInputs {
        run: Span::from_ms(1_000),
        penalty: 1.5,
        expected: Some(Span::from_ms(200)),
        error: 0.4,
        success: 0.9,
        load: 0.0,
        slack: None,
        allowance: Span::from_ms(1_000),
        is_waiting: false,
    };
    assert!(limit(&inputs) > Span::ZERO);
    let tight = WaitInputs { slack: Some(Span::from_ms(520)), success: 0.8, ..inputs };
    assert_eq!(limit(&tight), Span::ZERO);
    // The far place misses the objective in any case, and the near one may meet it.
    let missed = WaitInputs { slack: Some(Span::from_ms(350)), success: 0.8, ..inputs };
    assert!(limit(&missed) > Span::ZERO);
}

#[test]
fn a_task_waits_on_its_own_step() {
    let mut sim = full_rack(2, Span::from_ms(800));
    sim.submit(job(2), vec![data_on(0, 1)]);
    sim.advance(Span::from_ms(20));
    let found = waits(&sim);
    assert_eq!(found[0].step, StepId { job: job(2), occurrence: 0, step: 0 });
    assert_eq!((found[0].tasks, found[0].ahead), (1, 0));
    assert_eq!(found[0].rack, sim.executors[&ExecutorId::from("x0")].rack);
}
