//! The whole path of a job through real instances, on a platform in memory.

mod support;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Timer, block_on};
use bytes::Bytes;
use support::MemoryPlatform;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::{Job, Room, Step};
use sycamorerill_jobs::tenure::Claim;
use sycamorerill_node::frontend::{Action, Reply, Request};
use sycamorerill_node::platform::Table;
use sycamorerill_node::{Instance, Spawner};

/// Longest time that a test waits for what it expects.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a cancelling must have been heard, well below the 3 s in which
/// nothing of the job may start any more.
const CANCEL_DEADLINE: Duration = Duration::from_millis(2_300);
/// Run time of tasks that outlast a test, in milliseconds.
const LONG_MS: u64 = 60_000;
const ID: &str = "00000000000000a1";

fn job(count: u32) -> Job {
    let room = Room { cpu: 1_000, memory: 100, accelerators: 0 };
    let step = Step { count, room, estimate_ms: 60, ..Step::default() };
    let second = Step { after: vec![0], ..step.clone() };
    Job { text: "text".to_owned(), steps: vec![step, second], schedule: None }
}

fn request(name: &str, action: Action) -> Request {
    Request {
        host: "h".to_owned(),
        path: format!("/q/{name}"),
        action,
        timeout: Some(Span::from_secs(5)),
    }
}

/// Runs a test on one thread, and fails it when it takes too long.
fn run_test<F: Future<Output = ()>>(
    test: impl FnOnce(Spawner, Rc<MemoryPlatform>) -> F,
    executors: u32,
) {
    let spawner = Spawner::default();
    let platform = MemoryPlatform::new(executors);
    let test_future = test(spawner.clone(), platform);
    block_on(spawner.run(async move {
        let timeout = Timer::after(TEST_TIMEOUT);
        futures::pin_mut!(test_future);
        let first = futures::future::select(test_future, timeout).await;
        assert!(matches!(first, futures::future::Either::Left(_)), "the test took too long");
    }));
}

/// Returns the epochs of all claims.
fn epochs(platform: &MemoryPlatform) -> Vec<u64> {
    let claims = platform.values(Table::Claims, "owner");
    let read = |value: &Bytes| serde_json::from_slice::<Claim>(value).map_or(0, |c| c.epoch);
    claims.iter().map(read).collect()
}

async fn wait_until_ready(instance: &Instance) {
    while !instance.is_ready() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Submits until it is accepted, as a caller does after a 503 or a 504.
async fn submit(instance: &Instance, name: &str, job: &Job) {
    loop {
        let reply = instance.handle(request(name, Action::Submit(Ok(job.clone())))).await;
        match reply {
            Reply::Accepted => return,
            other => assert!(matches!(other, Reply::NotDone(_) | Reply::Unknown), "{other:?}"),
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Starts two instances, `a` and `b`, that are ready.
async fn start_pair(spawner: &Spawner, platform: &Rc<MemoryPlatform>) -> (Instance, Instance) {
    let (a, _) = platform.start_instance(spawner, "a");
    let (b, _) = platform.start_instance(spawner, "b");
    wait_until_ready(&a).await;
    wait_until_ready(&b).await;
    (a, b)
}

async fn wait_for_state(instance: &Instance, name: &str, state: State) {
    loop {
        let reply = instance.handle(request(name, Action::Query)).await;
        if reply == Reply::State(state) {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_job_goes_through_any_instance() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            assert_eq!(b.handle(request(ID, Action::Query)).await, Reply::NoJob);
            submit(&a, ID, &job(3)).await;
            wait_for_state(&b, ID, State::Completed).await;
            wait_for_state(&a, ID, State::Completed).await;
            assert_eq!(platform.starts.borrow().len(), 6);
        },
        2,
    );
}

#[test]
fn an_owner_that_falls_behind_gives_its_shard_up_once() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            submit(&a, ID, &job(2)).await;
            wait_for_state(&a, ID, State::Completed).await;
            let yielded = || -> u64 {
                let claims = platform.values(Table::Claims, "owner");
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
            wait_for_state(&b, "00000000000000a2", State::Completed).await;
            assert_eq!(yielded(), first);
        },
        2,
    );
}

#[test]
fn metrics_follow_a_job() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit(&a, ID, &job(3)).await;
            wait_for_state(&a, ID, State::Completed).await;
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
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            submit(&a, ID, &job(2)).await;
            submit(&b, ID, &job(2)).await;
            let other = b.handle(request(ID, Action::Submit(Ok(job(5))))).await;
            assert_eq!(other, Reply::Taken);
            wait_for_state(&a, ID, State::Completed).await;
            assert_eq!(platform.starts.borrow().len(), 4);
        },
        2,
    );
}

#[test]
fn a_lost_answer_of_the_store_is_not_a_refusal() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            platform.lost_answers.set(1);
            let reply = a.handle(request(ID, Action::Submit(Ok(job(2))))).await;
            assert_eq!(reply, Reply::Accepted);
            wait_for_state(&a, ID, State::Completed).await;
        },
        2,
    );
}

#[test]
fn an_owner_reads_back_what_it_has_no_answer_for() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            for number in 0..8_u32 {
                let name = format!("00000000000000b{number}");
                submit(&a, &name, &job(2)).await;
                platform.lost_answers.set(2);
                wait_for_state(&a, &name, State::Completed).await;
            }
            assert_eq!(platform.starts.borrow().len(), 8 * 4);
        },
        2,
    );
}

#[test]
fn an_owner_keeps_its_shard_while_answers_are_lost() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit(&a, ID, &job(2)).await;
            wait_for_state(&a, ID, State::Completed).await;
            let (b, _) = platform.start_instance(&spawner, "b");
            wait_until_ready(&b).await;
            let before = epochs(&platform);
            for _ in 0..3 {
                platform.lost_answers.set(4);
                Timer::after(Duration::from_millis(2_500)).await;
            }
            assert_eq!(epochs(&platform), before);
        },
        2,
    );
}

#[test]
fn a_refusal_is_told_only_where_nothing_was_done() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            Timer::after(Duration::from_millis(300)).await;
            platform.refusals.set(1_000);
            let reply = a.handle(request(ID, Action::Submit(Ok(job(2))))).await;
            assert!(matches!(reply, Reply::NotDone(_)), "{reply:?}");
            platform.refusals.set(0);
            assert_eq!(a.handle(request(ID, Action::Query)).await, Reply::NoJob);
        },
        2,
    );
}

#[test]
fn a_successor_goes_on_when_the_owner_is_cut_off() {
    run_test(
        |spawner, platform| async move {
            let (a, connection_of_a) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit(&a, ID, &job(2)).await;
            wait_for_state(&a, ID, State::Completed).await;
            let (b, _) = platform.start_instance(&spawner, "b");
            wait_until_ready(&b).await;
            connection_of_a.connected.set(false);
            submit(&b, "00000000000000c1", &job(3)).await;
            wait_for_state(&b, "00000000000000c1", State::Completed).await;
            assert_eq!(platform.starts.borrow().len(), 4 + 6);
        },
        2,
    );
}

#[test]
fn a_graceful_shutdown_hands_over_at_once() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit(&a, ID, &job(2)).await;
            let (b, _) = platform.start_instance(&spawner, "b");
            wait_until_ready(&b).await;
            a.drain();
            assert!(!a.is_ready());
            wait_for_state(&b, ID, State::Completed).await;
            assert!(a.owns_no_shard());
            assert_eq!(platform.starts.borrow().len(), 4);
        },
        2,
    );
}

#[test]
fn a_cancelled_job_is_cancelled_at_every_instance() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            platform.run_ms.set(LONG_MS);
            let mut long = job(2);
            long.steps[0].lasting = true;
            submit(&a, ID, &long).await;
            wait_for_state(&b, ID, State::Running).await;
            assert_eq!(b.handle(request(ID, Action::Cancel)).await, Reply::Cancelled);
            wait_for_state(&a, ID, State::Cancelled).await;
            assert_eq!(platform.starts_of(0), 1);
        },
        2,
    );
}

#[test]
fn a_cancelling_is_heard_soon_after_waits_went_silent() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            platform.run_ms.set(LONG_MS);
            let mut long = job(2);
            long.steps[0].lasting = true;
            submit(&a, ID, &long).await;
            wait_for_state(&a, ID, State::Running).await;
            platform.hang_watches.set(true);
            // Any change ends the waits that are open, and those that follow hang.
            submit(&a, "00000000000000d1", &job(1)).await;
            Timer::after(Duration::from_millis(100)).await;
            platform.hang_watches.set(false);
            assert_eq!(a.handle(request(ID, Action::Cancel)).await, Reply::Cancelled);
            Timer::after(CANCEL_DEADLINE).await;
            assert_eq!(a.handle(request(ID, Action::Query)).await, Reply::State(State::Cancelled));
        },
        2,
    );
}

#[test]
fn a_request_is_routed_by_host_and_prefix() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            let elsewhere = Request { host: "other".to_owned(), ..request(ID, Action::Query) };
            assert_eq!(a.handle(elsewhere).await, Reply::NoQueue);
            assert_eq!(a.handle(request("nonsense", Action::Query)).await, Reply::NotAJob);
            assert_eq!(a.handle(request("", Action::Query)).await, Reply::Waiting(0));
            let broken = Action::Submit(Err("no body".to_owned()));
            assert_eq!(a.handle(request(ID, broken)).await, Reply::Malformed);
        },
        2,
    );
}
