//! Scripts that attack each promise about calls with the faults that could break it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod world;

use std::sync::Arc;

use datadriven::{TestCase, walk};
use sycamorerill_calls::router::Event;
use sycamorerill_core::clock::Span;
use world::World;

fn number<T>(case: &mut TestCase, arg: &str) -> T
where
    T: Default + std::str::FromStr<Err = std::num::ParseIntError>,
{
    case.try_take_arg(arg).unwrap().unwrap_or_default()
}

fn issue(world: &mut World, case: &mut TestCase) {
    let node = number(case, "node");
    let count: u32 = case.try_take_arg("count").unwrap().unwrap_or(1);
    let key = case.try_take_arg("key").unwrap();
    let idempotent = case.take_flag("idempotent").unwrap();
    for _ in 0..count {
        world.issue(node, idempotent, key);
    }
}

fn set_faults(world: &mut World, case: &mut TestCase) {
    let on = !case.take_flag("off").unwrap();
    let faults = &mut world.faults;
    let all = [
        ("lose-answers", &mut faults.lose_answers),
        ("silent", &mut faults.silent),
        ("refuse", &mut faults.refuse),
        ("store-down", &mut faults.store_down),
        ("store-answers-lost", &mut faults.store_answers_lost),
        ("duplicate-answers", &mut faults.duplicate_answers),
        ("slow", &mut faults.slow),
    ];
    for (name, fault) in all {
        if case.take_flag(name).unwrap() {
            *fault = on;
        }
    }
}

fn list(world: &mut World, case: &mut TestCase) {
    let node = number(case, "node");
    let leaving = case.try_take_arg("leaving").unwrap();
    let missing: Option<usize> = case.try_take_arg("missing").unwrap();
    let mut list = world.list(leaving);
    if let Some(missing) = missing {
        list.remove(missing);
    }
    world.event(node, Event::Listed(list));
}

fn run(world: &mut World, case: &mut TestCase) -> String {
    match case.directive.as_str() {
        "world" => {
            let (nodes, executors) = (number(case, "nodes"), number(case, "executors"));
            *world = World::new(nodes, executors, number(case, "slots"), 1);
            world.scripted = true;
        }
        "issue" => issue(world, case),
        "abandon" => world.abandon(number(case, "call")),
        "pass" => world.pass(Span::from_ms(number(case, "ms"))),
        "faults" => set_faults(world, case),
        "list" => list(world, case),
        "heartbeats" => world.heartbeats(),
        "pause" => world.pause(number(case, "node")),
        "resume" => world.resume(number(case, "node")),
        "crash" => world.crash(number(case, "node")),
        "restart" => world.restart(number(case, "node")),
        "cut" => world.cut(number(case, "node")),
        "release" => world.release(number(case, "executor")),
        "drain" => world.drain(number(case, "node")),
        "move-keys" => world.move_keys(number(case, "shard"), number(case, "node")),
        "lose-key-owner" => world.lose_key_owner(number(case, "node")),
        "forget-services" => {
            world.event(number(case, "node"), Event::Configured(Arc::default()));
        }
        "settle" => world.settle(),
        other => panic!("no directive {other}"),
    }
    case.expect_empty().unwrap();
    let lines = std::mem::take(&mut world.log);
    lines.into_iter().map(|line| line + "\n").collect()
}

#[test]
fn scripts() {
    walk("tests/scenarios", |file| {
        let mut world = World::new(1, 1, 1, 1);
        file.run(|case| run(&mut world, &mut case.clone()));
    });
}
