//! The whole path of a job through real instances, on a platform in memory.

mod support;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Timer, block_on};
use bytes::Bytes;
use support::World;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::{Job, Room, Step};
use sycamorerill_jobs::tenure::Claim;
use sycamorerill_node::front::{Ask, Reply, Request};
use sycamorerill_node::port::Table;
use sycamorerill_node::{Instance, Spawner};

/// Longest time that a test waits for what it expects.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time within which a cancelling must have been heard, well below the 3 s in which
/// nothing of the job may start any more.
const CANCEL: Duration = Duration::from_millis(2_300);
/// Run time of tasks that outlast a test, in milliseconds.
const LONG_MS: u64 = 60_000;
const ID: &str = "00000000000000a1";

fn job(count: u32) -> Job {
    let room = Room { cpu: 1_000, memory: 100, accelerators: 0 };
    let step = Step { count, room, estimate_ms: 60, ..Step::default() };
    let second = Step { after: vec![0], ..step.clone() };
    Job { text: "text".to_owned(), steps: vec![step, second], schedule: None }
}

fn request(name: &str, ask: Ask) -> Request {
    Request {
        host: "h".to_owned(),
        path: format!("/q/{name}"),
        ask,
        patience: Some(Span::from_secs(5)),
    }
}

/// Runs a test on one thread, and fails it when it takes too long.
fn play<F: Future<Output = ()>>(test: impl FnOnce(Spawner, Rc<World>) -> F, executors: u32) {
    let spawner = Spawner::default();
    let world = World::new(executors);
    let tested = test(spawner.clone(), world);
    block_on(spawner.run(async move {
        let over = Timer::after(PATIENCE);
        futures::pin_mut!(tested);
        let first = futures::future::select(tested, over).await;
        assert!(matches!(first, futures::future::Either::Left(_)), "the test took too long");
    }));
}

/// Returns the epochs of all claims.
fn epochs(world: &World) -> Vec<u64> {
    let claims = world.values(Table::Claims, "owner");
    let read = |value: &Bytes| serde_json::from_slice::<Claim>(value).map_or(0, |c| c.epoch);
    claims.iter().map(read).collect()
}

async fn ready(instance: &Instance) {
    while !instance.is_ready() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Submits until it is accepted, as a caller does after a 503 or a 504.
async fn submit(instance: &Instance, name: &str, job: &Job) {
    loop {
        let reply = instance.ask(request(name, Ask::Submit(Ok(job.clone())))).await;
        match reply {
            Reply::Accepted => return,
            other => assert!(matches!(other, Reply::NotDone(_) | Reply::Unknown), "{other:?}"),
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Starts two instances, `a` and `b`, that are ready.
async fn pair(spawner: &Spawner, world: &Rc<World>) -> (Instance, Instance) {
    let (a, _) = world.join(spawner, "a");
    let (b, _) = world.join(spawner, "b");
    ready(&a).await;
    ready(&b).await;
    (a, b)
}

async fn reaches(instance: &Instance, name: &str, state: State) {
    loop {
        let reply = instance.ask(request(name, Ask::State)).await;
        if reply == Reply::State(state) {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_job_goes_through_any_instance() {
    play(
        |spawner, world| async move {
            let (a, b) = pair(&spawner, &world).await;
            assert_eq!(b.ask(request(ID, Ask::State)).await, Reply::NoJob);
            submit(&a, ID, &job(3)).await;
            reaches(&b, ID, State::Completed).await;
            reaches(&a, ID, State::Completed).await;
            assert_eq!(world.starts.borrow().len(), 6);
        },
        2,
    );
}

#[test]
fn an_owner_that_falls_behind_gives_its_shard_up_once() {
    play(
        |spawner, world| async move {
            let (a, b) = pair(&spawner, &world).await;
            submit(&a, ID, &job(2)).await;
            reaches(&a, ID, State::Completed).await;
            let yielded = || -> u64 {
                let claims = world.values(Table::Claims, "owner");
                let read = |value: &Bytes| serde_json::from_slice::<Claim>(value).unwrap();
                claims.iter().map(read).map(|claim| claim.yielded_ms).max().unwrap_or(0)
            };
            assert_eq!(yielded(), 0);
            // Both share the thread, which is held up from now on.
            while yielded() == 0 {
                std::thread::sleep(Duration::from_millis(110));
                Timer::after(Duration::from_millis(1)).await;
            }
            let first = yielded();
            submit(&b, "00000000000000a2", &job(2)).await;
            reaches(&b, "00000000000000a2", State::Completed).await;
            assert_eq!(yielded(), first);
        },
        2,
    );
}

#[test]
fn metrics_follow_a_job() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            submit(&a, ID, &job(3)).await;
            reaches(&a, ID, State::Completed).await;
            let text = a.metrics();
            for line in [
                "sycamorerill_submissions_total{outcome=\"accepted\"} 1",
                "sycamorerill_orders_total{order=\"start\",outcome=\"done\"} 6",
                "sycamorerill_runs_closed_total{outcome=\"done\"} 6",
                "sycamorerill_jobs_finished_total{outcome=\"completed\"} 1",
                "sycamorerill_hop_seconds_count{hop=\"accepted\"} 1",
                "sycamorerill_hop_seconds_count{hop=\"started\"} 6",
                "sycamorerill_shards_owned 1",
                "sycamorerill_store_up 1",
            ] {
                assert!(text.lines().any(|found| found == line), "no `{line}` in\n{text}");
            }
        },
        2,
    );
}

#[test]
fn a_repeat_at_another_instance_is_the_same_job() {
    play(
        |spawner, world| async move {
            let (a, b) = pair(&spawner, &world).await;
            submit(&a, ID, &job(2)).await;
            submit(&b, ID, &job(2)).await;
            let other = b.ask(request(ID, Ask::Submit(Ok(job(5))))).await;
            assert_eq!(other, Reply::Taken);
            reaches(&a, ID, State::Completed).await;
            assert_eq!(world.starts.borrow().len(), 4);
        },
        2,
    );
}

#[test]
fn a_lost_answer_of_the_store_is_not_a_refusal() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            world.lose_answers.set(1);
            let reply = a.ask(request(ID, Ask::Submit(Ok(job(2))))).await;
            assert_eq!(reply, Reply::Accepted);
            reaches(&a, ID, State::Completed).await;
        },
        2,
    );
}

#[test]
fn an_owner_reads_back_what_it_has_no_answer_for() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            for number in 0..8_u32 {
                let name = format!("00000000000000b{number}");
                submit(&a, &name, &job(2)).await;
                world.lose_answers.set(2);
                reaches(&a, &name, State::Completed).await;
            }
            assert_eq!(world.starts.borrow().len(), 8 * 4);
        },
        2,
    );
}

#[test]
fn an_owner_keeps_its_shard_while_answers_are_lost() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            submit(&a, ID, &job(2)).await;
            reaches(&a, ID, State::Completed).await;
            let (b, _) = world.join(&spawner, "b");
            ready(&b).await;
            let before = epochs(&world);
            for _ in 0..3 {
                world.lose_answers.set(4);
                Timer::after(Duration::from_millis(2_500)).await;
            }
            assert_eq!(epochs(&world), before);
        },
        2,
    );
}

#[test]
fn a_refusal_is_told_only_where_nothing_was_done() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            Timer::after(Duration::from_millis(300)).await;
            world.refuse.set(1_000);
            let reply = a.ask(request(ID, Ask::Submit(Ok(job(2))))).await;
            assert!(matches!(reply, Reply::NotDone(_)), "{reply:?}");
            world.refuse.set(0);
            assert_eq!(a.ask(request(ID, Ask::State)).await, Reply::NoJob);
        },
        2,
    );
}

#[test]
fn a_successor_goes_on_when_the_owner_is_cut_off() {
    play(
        |spawner, world| async move {
            let (a, of_a) = world.join(&spawner, "a");
            ready(&a).await;
            submit(&a, ID, &job(2)).await;
            reaches(&a, ID, State::Completed).await;
            let (b, _) = world.join(&spawner, "b");
            ready(&b).await;
            of_a.connected.set(false);
            submit(&b, "00000000000000c1", &job(3)).await;
            reaches(&b, "00000000000000c1", State::Completed).await;
            assert_eq!(world.starts.borrow().len(), 4 + 6);
        },
        2,
    );
}

#[test]
fn a_graceful_shutdown_hands_over_at_once() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            submit(&a, ID, &job(2)).await;
            let (b, _) = world.join(&spawner, "b");
            ready(&b).await;
            a.drain();
            assert!(!a.is_ready());
            reaches(&b, ID, State::Completed).await;
            assert!(a.has_handed_over());
            assert_eq!(world.starts.borrow().len(), 4);
        },
        2,
    );
}

#[test]
fn a_cancelled_job_is_cancelled_at_every_instance() {
    play(
        |spawner, world| async move {
            let (a, b) = pair(&spawner, &world).await;
            world.run_ms.set(LONG_MS);
            let mut long = job(2);
            long.steps[0].lasting = true;
            submit(&a, ID, &long).await;
            reaches(&b, ID, State::Running).await;
            assert_eq!(b.ask(request(ID, Ask::Cancel)).await, Reply::Cancelled);
            reaches(&a, ID, State::Cancelled).await;
            assert_eq!(world.starts_of(0), 1);
        },
        2,
    );
}

#[test]
fn a_cancelling_is_heard_soon_after_waits_went_silent() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            world.run_ms.set(LONG_MS);
            let mut long = job(2);
            long.steps[0].lasting = true;
            submit(&a, ID, &long).await;
            reaches(&a, ID, State::Running).await;
            world.silent.set(true);
            // Any change ends the waits that are open, and those that follow hang.
            submit(&a, "00000000000000d1", &job(1)).await;
            Timer::after(Duration::from_millis(100)).await;
            world.silent.set(false);
            assert_eq!(a.ask(request(ID, Ask::Cancel)).await, Reply::Cancelled);
            Timer::after(CANCEL).await;
            assert_eq!(a.ask(request(ID, Ask::State)).await, Reply::State(State::Cancelled));
        },
        2,
    );
}

#[test]
fn a_request_is_routed_by_host_and_prefix() {
    play(
        |spawner, world| async move {
            let (a, _) = world.join(&spawner, "a");
            ready(&a).await;
            let elsewhere = Request { host: "other".to_owned(), ..request(ID, Ask::State) };
            assert_eq!(a.ask(elsewhere).await, Reply::NoQueue);
            assert_eq!(a.ask(request("nonsense", Ask::State)).await, Reply::NotAJob);
            assert_eq!(a.ask(request("", Ask::State)).await, Reply::Waiting(0));
            let broken = Ask::Submit(Err("no body".to_owned()));
            assert_eq!(a.ask(request(ID, broken)).await, Reply::Malformed);
        },
        2,
    );
}
