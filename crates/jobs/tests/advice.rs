//! Queues whose policy says where steps may run.

mod support;

use support::{World, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::StepId;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::Step;

/// Returns a world of ten executors of which the policy allows two.
fn world() -> World {
    let mut world = World::new(10);
    world.allow(&["x3", "x7"]);
    world
}

fn first_step(id: u64) -> StepId {
    StepId { job: job(id), occurrence: 0, step: 0 }
}

#[test]
fn tasks_run_only_where_the_policy_allows_it() {
    let mut world = world();
    world.submit(job(1), vec![step(6)]);
    world.pass(Span::from_ms(300));
    for index in 0..6 {
        let places = world.places(&first_step(1).task(index));
        assert!(places == ["x3"] || places == ["x7"], "task {index} runs at {places:?}");
    }
    assert_eq!(world.refused_tickets, 0);
    world.pass(Span::from_secs(2));
    assert_eq!(world.state(1), Some(State::Completed));
}

#[test]
fn one_question_serves_all_tasks_of_a_step() {
    let mut world = world();
    world.submit(job(1), vec![step(16)]);
    world.pass(Span::from_ms(500));
    assert_eq!((world.running(), world.advised), (16, 1));
}

#[test]
fn a_question_that_was_refused_is_asked_again() {
    let mut world = world();
    world.refused_advice = 3;
    world.submit(job(1), vec![step(2)]);
    world.pass(Span::from_secs(3));
    assert_eq!(world.state(1), Some(State::Completed));
}

#[test]
fn tasks_that_start_after_their_tickets_are_over_get_new_ones() {
    let mut world = world();
    world.submit(job(1), vec![Step { lasting: true, ..step(2) }]);
    world.pass(Span::from_secs(5));
    let task = first_step(1).task(0);
    let there = world.places(&task)[0].clone();
    world.machine(&there).end(&task, sycamorerill_jobs::executor::How::Failed);
    world.pass(Span::from_secs(1));
    assert_eq!(world.places(&task).len(), 1);
    assert_eq!(world.refused_tickets, 0);
}

#[test]
fn a_successor_asks_for_itself() {
    let mut world = world();
    world.submit(job(1), vec![step(2), Step { after: vec![0], ..step(2) }]);
    world.pass(Span::from_ms(300));
    world.take_over();
    world.pass(Span::from_secs(4));
    assert_eq!(world.state(1), Some(State::Completed));
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}
