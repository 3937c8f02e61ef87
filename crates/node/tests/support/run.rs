//! Runs tests on a platform in memory, and requests of callers in them.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Timer, block_on};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::{Job, Resources, Step};
use sycamorerill_node::frontend::{Action, Reply, Request};
use sycamorerill_node::{Instance, Spawner};

use super::MemoryPlatform;

/// Time after which a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Run time of tasks that run longer than a test, in milliseconds.
pub(crate) const LONG_RUN_MS: u64 = 60_000;
pub(crate) const JOB_ID: &str = "00000000000000a1";

/// Returns a job of two steps of `count` tasks.
pub(crate) fn job(count: u32) -> Job {
    let resources = Resources { cpu: 1_000, memory: 100, accelerators: 0 };
    let step = Step { count, resources, estimate_ms: 60, ..Step::default() };
    let second = Step { depends_on: vec![0], ..step.clone() };
    Job { text: "text".to_owned(), steps: vec![step, second], schedule: None }
}

pub(crate) fn request(name: &str, action: Action) -> Request {
    Request {
        host: "h".to_owned(),
        path: format!("/q/{name}"),
        action,
        timeout: Some(Span::from_secs(5)),
    }
}

/// Runs a test on a platform with the given number of executors, and fails it after
/// [`TEST_TIMEOUT`].
pub(crate) fn run_test<F: Future<Output = ()>>(
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

pub(crate) async fn wait_until_ready(instance: &Instance) {
    while !instance.is_ready() {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Submits a job until it is accepted, as a caller does after a response of 503 or 504.
pub(crate) async fn submit_until_accepted(instance: &Instance, name: &str, job: &Job) {
    loop {
        let reply = instance.handle(request(name, Action::Submit(Ok(job.clone())))).await;
        match reply {
            Reply::Accepted => return,
            other => assert!(matches!(other, Reply::NotDone(_) | Reply::Unknown), "{other:?}"),
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Starts the instances `a` and `b` and waits until both are ready.
pub(crate) async fn start_pair(
    spawner: &Spawner,
    platform: &Rc<MemoryPlatform>,
) -> (Instance, Instance) {
    let (a, _) = platform.start_instance(spawner, "a");
    let (b, _) = platform.start_instance(spawner, "b");
    wait_until_ready(&a).await;
    wait_until_ready(&b).await;
    (a, b)
}

pub(crate) async fn wait_for_state(instance: &Instance, name: &str, state: State) {
    loop {
        let reply = instance.handle(request(name, Action::Query)).await;
        if reply == Reply::State(state) {
            return;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}
