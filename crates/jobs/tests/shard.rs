//! A shard under failures: executors that go silent, are replaced or reborn, orders
//! that are carried out late, owners that are replaced.

mod support;

use support::{World, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{ExecutorId, StepId, TaskId};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::Step;

fn task(id: u64, step: u32, index: u32) -> TaskId {
    StepId { job: job(id), occurrence: 0, step }.task(index)
}

fn lasting(count: u32) -> Step {
    Step { lasting: true, ..step(count) }
}

fn whole(world: &World) {
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_job_runs_step_after_step() {
    let mut world = World::new(4);
    world.submit(job(1), vec![step(6), Step { after: vec![0], ..step(3) }]);
    world.pass(Span::from_ms(500));
    assert_eq!(world.running(), 6);
    world.pass(Span::from_ms(900));
    assert_eq!(world.running(), 3);
    assert_eq!(world.states.get(&job(1)), Some(&State::Running));
    world.pass(Span::from_ms(1_500));
    assert_eq!(world.states.get(&job(1)), Some(&State::Completed));
    whole(&world);
}

#[test]
fn ends_are_told_as_recorded_within_100_ms() {
    let mut world = World::new(1);
    world.submit(job(1), vec![step(2)]);
    world.pass(Span::from_ms(1_200));
    assert!(world.machine("x0").ended.is_empty());
    assert_eq!(world.machine("x0").counted, 2);
}

#[test]
fn a_successor_goes_on_with_what_runs() {
    let mut world = World::new(3);
    world.submit(job(1), vec![lasting(5)]);
    world.pass(Span::from_ms(3_000));
    // The list in the store is as old as an outage of it.
    world.take_over();
    world.pass(Span::from_ms(2_000));
    for index in 0..5 {
        assert_eq!(world.places(&task(1, 0, index)).len(), 1);
    }
    assert_eq!(world.machines.values().map(|m| m.counted).sum::<u64>(), 0);
    whole(&world);
}

#[test]
fn a_successor_with_an_old_list_does_not_take_a_lease_for_lapsed() {
    for latency in 0..6 {
        let mut world = World::new(2);
        world.submit(job(1), vec![lasting(4)]);
        world.pass(Span::from_ms(8_000));
        world.latency = Span::from_ms(10 * latency);
        world.take_over_with_clocks_as_of(Span::from_ms(6_000));
        world.pass(Span::from_ms(1_000));
        assert_eq!(world.running(), 4);
        whole(&world);
    }
}

#[test]
fn the_lease_of_an_executor_that_went_silent_lapses() {
    let mut world = World::new(2);
    world.submit(job(1), vec![lasting(2)]);
    world.pass(Span::from_ms(500));
    let at = world.places(&task(1, 0, 0))[0].clone();
    world.machine(&at).reachable = false;
    world.pass(Span::from_ms(9_000));
    assert_eq!(world.places(&task(1, 0, 0)).len(), 1, "{:#?}", world.notes);
    assert_ne!(world.places(&task(1, 0, 0))[0], at);
    whole(&world);
}

#[test]
fn runs_of_an_executor_whose_address_is_anothers_are_over() {
    let mut world = World::new(2);
    world.submit(job(1), vec![lasting(2)]);
    world.pass(Span::from_ms(500));
    let at = world.places(&task(1, 0, 0))[0].clone();
    let now = world.now;
    world.machine(&at).reborn(now, 0);
    world.machine(&at).replaced = true;
    world.tell(sycamorerill_jobs::shard::Event::Unlisted(ExecutorId::from(at.as_str())));
    world.pass(Span::from_ms(3_000));
    assert_eq!(world.running(), 2);
    whole(&world);
}

#[test]
fn an_order_without_an_answer_does_not_run_twice() {
    let mut world = World::new(2);
    world.machine("x0").late = true;
    world.machine("x1").late = true;
    world.submit(job(1), vec![step(3)]);
    world.pass(Span::from_ms(100));
    world.machine("x0").late = false;
    world.machine("x1").late = false;
    world.pass(Span::from_ms(600));
    world.carry_out_late();
    world.pass(Span::from_ms(2_500));
    world.carry_out_late();
    assert_eq!(world.states.get(&job(1)), Some(&State::Completed));
    whole(&world);
}

#[test]
fn an_order_of_a_replaced_owner_is_not_carried_out() {
    let mut world = World::new(2);
    world.machine("x0").late = true;
    world.machine("x1").late = true;
    world.submit(job(1), vec![step(3)]);
    world.pass(Span::from_ms(50));
    world.machine("x0").late = false;
    world.machine("x1").late = false;
    world.take_over();
    world.pass(Span::from_ms(500));
    world.carry_out_late();
    world.pass(Span::from_ms(2_000));
    assert_eq!(world.states.get(&job(1)), Some(&State::Completed));
    whole(&world);
}

#[test]
fn a_reborn_executor_gets_its_lasting_tasks_again() {
    let mut world = World::new(1);
    world.submit(job(1), vec![lasting(2)]);
    world.pass(Span::from_ms(500));
    let (now, born) = (world.now, world.machine("x0").born + 5_000);
    world.machine("x0").reborn(now, born);
    world.list(&ExecutorId::from("x0"));
    world.pass(Span::from_ms(1_500));
    assert_eq!(world.running(), 2);
    whole(&world);
}

#[test]
fn an_order_that_reaches_a_reborn_executor_late_does_not_run_twice() {
    let mut world = World::new(2);
    world.machine("x0").late = true;
    world.machine("x1").late = true;
    world.submit(job(1), vec![lasting(1)]);
    world.pass(Span::from_ms(100));
    let (now, born) = (world.now, world.machine("x0").born + 5_000);
    for id in ["x0", "x1"] {
        world.machine(id).reborn(now, born);
        world.machine(id).late = false;
        world.list(&ExecutorId::from(id));
    }
    world.pass(Span::from_ms(1_000));
    world.carry_out_late();
    world.pass(Span::from_ms(1_000));
    assert_eq!(world.places(&task(1, 0, 0)).len(), 1, "{:#?}", world.notes);
    whole(&world);
}

#[test]
fn nothing_starts_while_the_store_is_away_and_all_does_after() {
    let mut world = World::new(2);
    world.store = false;
    world.submit(job(1), vec![step(2)]);
    world.pass(Span::from_ms(1_000));
    assert_eq!(world.running(), 0);
    world.store = true;
    world.pass(Span::from_ms(300));
    assert_eq!(world.running(), 2);
}

#[test]
fn a_cancelled_job_stops_and_stays_so_for_a_successor() {
    let mut world = World::new(2);
    world.submit(job(1), vec![lasting(4)]);
    world.pass(Span::from_ms(500));
    world.cancel(job(1));
    world.pass(Span::from_ms(300));
    assert_eq!(world.running(), 0);
    assert_eq!(world.states.get(&job(1)), Some(&State::Cancelled));
    world.take_over();
    world.pass(Span::from_ms(1_000));
    assert_eq!(world.running(), 0);
    whole(&world);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut world = World::new(2);
    world.submit(job(1), vec![step(2)]);
    for _ in 0..2 {
        world.pass(Span::from_ms(300));
        let at = world.places(&task(1, 0, 0));
        let Some(at) = at.first() else { continue };
        let at = at.clone();
        world.machine(&at).end(&task(1, 0, 0), sycamorerill_jobs::executor::How::Failed);
    }
    world.pass(Span::from_ms(300));
    assert_eq!(world.states.get(&job(1)), Some(&State::Failed));
    assert_eq!(world.running(), 0);
}

#[test]
fn a_step_that_ends_after_the_cancelling_begins_no_other() {
    let mut world = World::new(2);
    world.submit(job(1), vec![step(2), Step { after: vec![0], ..step(2) }]);
    world.pass(Span::from_ms(500));
    world.machine("x0").late = true;
    world.machine("x1").late = true;
    world.cancel(job(1));
    world.pass(Span::from_ms(700));
    world.machine("x0").late = false;
    world.machine("x1").late = false;
    world.pass(Span::from_ms(1_500));
    assert_eq!(world.running(), 0);
    assert_eq!(world.states.get(&job(1)), Some(&State::Cancelled));
    whole(&world);
}

#[test]
fn an_owner_whose_epoch_was_exceeded_decides_nothing_more() {
    let mut world = World::new(1);
    world.submit(job(1), vec![lasting(1)]);
    world.pass(Span::from_ms(500));
    world.machine("x0").fence = 9;
    world.pass(Span::from_ms(3_000));
    assert!(world.shard.is_superseded());
    world.submit(job(2), vec![step(1)]);
    world.pass(Span::from_ms(500));
    assert!(!world.progress.contains_key(&job(2)));
}

#[test]
fn short_work_goes_before_work_that_lasts_where_room_is_short() {
    let mut world = World::new(1);
    world.submit(job(1), vec![step(8)]);
    world.pass(Span::from_ms(200));
    world.submit(job(2), vec![lasting(8)]);
    world.submit(job(3), vec![step(8)]);
    world.pass(Span::from_ms(1_200));
    assert_eq!(world.places(&task(3, 0, 0)).len(), 1);
    world.pass(Span::from_ms(2_000));
    assert_eq!(world.places(&task(2, 0, 0)).len(), 1);
}

#[test]
fn a_job_whose_cancelling_came_first_never_starts() {
    let mut world = World::new(1);
    world.cancel(job(1));
    world.submit(job(1), vec![step(2)]);
    world.pass(Span::from_ms(500));
    assert_eq!(world.running(), 0);
    assert_eq!(world.states.get(&job(1)), Some(&State::Cancelled));
    world.cancel(job(2));
    world.take_over();
    world.submit(job(2), vec![step(2)]);
    world.pass(Span::from_ms(500));
    assert_eq!(world.running(), 0);
    whole(&world);
}

#[test]
fn a_successor_takes_an_executor_that_stays_unlisted_for_gone() {
    let mut world = World::new(2);
    world.submit(job(1), vec![lasting(2)]);
    world.pass(Span::from_ms(500));
    let at = world.places(&task(1, 0, 0))[0].clone();
    let now = world.now;
    world.machine(&at).reborn(now, 0);
    world.machine(&at).reachable = false;
    world.machine(&at).gone = true;
    world.take_over();
    world.pass(Span::from_ms(5_500));
    assert_eq!(world.running(), 2);
    whole(&world);
}

#[test]
fn an_end_is_recorded_while_more_jobs_change_than_batches_hold() {
    let mut world = World::new(1);
    world.slow_store = true;
    world.submit(job(u64::MAX), vec![step(1)]);
    world.pass(Span::from_ms(900));
    // From shortly before the run ends, jobs come and are cancelled faster than they can
    // be recorded: 45 in 10 ms.
    let mut ended = None;
    let mut noted = None;
    for turn in 0..150 {
        for number in 0..60 {
            let id = job(1 + turn * 60 + number);
            world.submit(id, vec![step(9)]);
            world.cancel(id);
        }
        world.pass(Span::from_ms(10));
        let machine = world.machine("x0");
        let (counted, kept) = (machine.counted, machine.ended.len());
        if counted > 0 {
            ended.get_or_insert(world.now);
        }
        if counted > 0 && kept == 0 {
            noted.get_or_insert(world.now);
        }
    }
    let took = noted.expect("noted").since(ended.expect("ended"));
    assert!(took < Span::from_ms(400), "the end was not taken note of for {took}");
}

#[test]
fn an_executor_whose_leases_lapsed_while_it_was_out_of_reach_is_used_again() {
    let mut world = World::new(1);
    world.submit(job(1), vec![lasting(2)]);
    world.pass(Span::from_secs(1));
    assert_eq!(world.running(), 2);
    world.machine("x0").reachable = false;
    world.pass(Span::from_secs(12));
    assert_eq!(world.running(), 0);
    world.machine("x0").reachable = true;
    world.pass(Span::from_secs(1));
    assert_eq!(world.running(), 2);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
