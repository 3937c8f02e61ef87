//! Refusals of submitted jobs by the outlook of a shard's owner: what callers are told must be true,
//! and jobs that are stored or come back must run.

mod support;

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use support::run::{
    JOB_ID, job, request, run_test, start_pair, submit_until_accepted, wait_for_state,
    wait_until_ready,
};
use support::{Connection, MemoryPlatform};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::JobId;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::AcceptedJob;
use sycamorerill_node::Instance;
use sycamorerill_node::clock;
use sycamorerill_node::frontend::{Action, Reply};
use sycamorerill_node::platform::{Error, Key, Platform, Table, Transaction, Version};

/// A wait after which no job of the tests is completed in time.
const LONG_WAIT_MS: u64 = 600_000;

/// Writes the outlook of the shard's owner, made `age_ms` ago.
fn put_outlook(platform: &MemoryPlatform, wait_ms: u64, age_ms: u64) {
    let store_ms = clock::now().since(Time::ZERO).as_ms() - age_ms;
    let row = serde_json::json!({"at": 0, "waits": {"q": wait_ms}, "store": store_ms});
    platform.put(Table::States, "s0", "outlook", Bytes::from(row.to_string()));
}

async fn submit(instance: &Instance, name: &str) -> Reply {
    instance.handle(request(name, Action::Submit(Ok(job(1))))).await
}

/// Submits one job after another until one is refused, and returns its name.
async fn refused_job(platform: &MemoryPlatform, instance: &Instance) -> String {
    for number in 1_u64.. {
        put_outlook(platform, LONG_WAIT_MS, 0);
        Timer::after(Duration::from_millis(20)).await;
        let name = JobId(number << 8).to_string();
        match submit(instance, &name).await {
            Reply::Overloaded(after) => {
                assert!(after.as_ms() >= 1_000);
                return name;
            }
            reply => assert_eq!(reply, Reply::Accepted),
        }
    }
    unreachable!("the loop ends with a refused job")
}

/// Returns whether a job is stored under this name.
fn is_stored(platform: &MemoryPlatform, name: &str) -> bool {
    let rows = platform.values(Table::Accepted, name);
    rows.iter().any(|row| serde_json::from_slice::<AcceptedJob>(row).is_ok())
}

/// Carries out the write of an earlier attempt to store a job.
async fn late_write(
    connection: &Connection,
    platform: &MemoryPlatform,
    name: &str,
) -> Result<Version, Error> {
    let part = platform.part_of(Table::Accepted, name);
    let key = Key { table: Table::Accepted, part, name: name.to_owned() };
    let expected = vec![(key.clone(), Version(0))];
    let writes = vec![(key, Bytes::from_static(b"late"))];
    let transaction = Transaction { expected, writes, removes: Vec::new() };
    connection.transact(&transaction, Span::from_ms(600)).await
}

/// A refused job must not exist, not even for an attempt whose write takes effect late; when its
/// caller comes back without an overload, it must run.
#[test]
fn a_refused_job_is_not_stored_and_runs_when_it_comes_back() {
    run_test(
        |spawner, platform| async move {
            let (a, connection) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(1)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            let name = refused_job(&platform, &a).await;
            assert!(!is_stored(&platform, &name));
            let late = late_write(&connection, &platform, &name).await;
            assert!(matches!(late, Err(Error::Conflict(_))), "{late:?}");
            assert_eq!(a.handle(request(&name, Action::Query)).await, Reply::NoJob);
            let metrics = a.metrics();
            assert!(metrics.contains("submissions_total{outcome=\"overloaded\"} 1"), "{metrics}");
            assert!(metrics.contains("expected_wait_ms 600000"), "{metrics}");
            put_outlook(&platform, 0, 0);
            Timer::after(Duration::from_millis(2_300)).await;
            submit_until_accepted(&a, &name, &job(1)).await;
            wait_for_state(&a, &name, State::Completed).await;
        },
        2,
    );
}

/// A repeat of a stored job must be accepted whatever the outlook, also at an instance that doesn't
/// know of the job.
#[test]
fn a_repeat_of_a_stored_job_is_accepted_in_overload() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            let name = refused_job(&platform, &b).await;
            put_outlook(&platform, 0, 0);
            Timer::after(Duration::from_millis(2_300)).await;
            platform.lost_answers.set(1);
            submit_until_accepted(&a, &name, &job(1)).await;
            refused_job(&platform, &b).await;
            put_outlook(&platform, LONG_WAIT_MS, 0);
            assert_eq!(submit(&b, &name).await, Reply::Accepted);
            wait_for_state(&b, &name, State::Completed).await;
        },
        2,
    );
}

/// An outlook that is old, unreadable, or of a clock that does not agree must refuse nothing, and if
/// the refusal can't be stored, the job must be accepted.
#[test]
fn doubtful_outlooks_and_lost_answers_refuse_nothing() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            let name = refused_job(&platform, &a).await;
            let unreadable = [&b"x"[..], b"{}", br#"{"at":0,"waits":{"q":-1},"store":0}"#];
            for (number, value) in (1..).zip(unreadable) {
                platform.put(Table::States, "s0", "outlook", Bytes::from_static(value));
                Timer::after(Duration::from_millis(1_300)).await;
                let other = JobId(number).to_string();
                assert_eq!(submit(&a, &other).await, Reply::Accepted);
            }
            put_outlook(&platform, LONG_WAIT_MS, 4_000);
            Timer::after(Duration::from_millis(1_300)).await;
            assert_eq!(submit(&a, &name).await, Reply::Accepted);
            let name = refused_job(&platform, &a).await;
            let other = format!("{}1", &name[..15]);
            put_outlook(&platform, LONG_WAIT_MS, 0);
            platform.job_refusals.set(1);
            assert_eq!(submit(&a, &other).await, Reply::Accepted);
        },
        2,
    );
}
