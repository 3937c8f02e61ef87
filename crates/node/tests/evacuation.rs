//! Evacuations reach each owner before its first placement. All executors of the platform in memory
//! are in the domain `d`.

mod support;

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use support::run::{
    JOB_ID, job, request, run_test, submit_until_accepted, wait_for_state, wait_until_ready,
};
use support::{EVACUATION, MemoryPlatform};
use sycamorerill_jobs::progress::State;
use sycamorerill_node::Instance;
use sycamorerill_node::frontend::{Action, Reply};
use sycamorerill_node::platform::Table;

const OTHER_JOB: &str = "00000000000000a2";
/// Time in which an owner would start a task that it may start.
const LONG_ENOUGH: Duration = Duration::from_millis(600);

fn evacuate(platform: &MemoryPlatform) {
    // A value that cannot be read names the domain by its key all the same.
    let value = Bytes::from_static(b"\xff{");
    platform.put(Table::Operator, "", &format!("{EVACUATION}d"), value);
}

fn take_back(platform: &MemoryPlatform, history_lost: bool) {
    platform.remove(Table::Operator, &format!("{EVACUATION}d"), history_lost);
}

/// Waits until the metrics of an instance show the number of evacuated domains.
async fn wait_for_domains(instance: &Instance, number: u32) {
    let line = format!("sycamorerill_evacuated_domains {number}\n");
    while !instance.metrics().contains(&line) {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// An instance that starts reads the configuration and the evacuations together.
#[test]
fn an_instance_that_starts_places_nothing_in_an_evacuated_domain() {
    run_test(
        |spawner, platform| async move {
            evacuate(&platform);
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            Timer::after(LONG_ENOUGH).await;
            assert_eq!(platform.starts.borrow().len(), 0);
            take_back(&platform, false);
            wait_for_state(&a, JOB_ID, State::Completed).await;
        },
        2,
    );
}

/// A removal that the store has discarded from its history is seen only in the next snapshot.
#[test]
fn a_snapshot_without_the_row_takes_the_domain_back() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            evacuate(&platform);
            wait_for_domains(&a, 1).await;
            submit_until_accepted(&a, OTHER_JOB, &job(2)).await;
            Timer::after(LONG_ENOUGH).await;
            assert_eq!(platform.starts.borrow().len(), 4);
            take_back(&platform, true);
            wait_for_state(&a, OTHER_JOB, State::Completed).await;
            wait_for_domains(&a, 0).await;
        },
        2,
    );
}

/// The last set stays in force while the store is away, for an owner that starts on its return too.
#[test]
fn the_set_stays_in_force_through_an_outage_of_the_store() {
    run_test(
        |spawner, platform| async move {
            let (a, connection) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            evacuate(&platform);
            wait_for_domains(&a, 1).await;
            connection.connected.set(false);
            while a.is_ready() {
                Timer::after(Duration::from_millis(20)).await;
            }
            Timer::after(Duration::from_millis(2_500)).await;
            assert!(a.metrics().contains("sycamorerill_evacuated_domains 1\n"));
            connection.connected.set(true);
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            Timer::after(LONG_ENOUGH).await;
            assert_eq!(platform.starts.borrow().len(), 0);
            take_back(&platform, false);
            wait_for_state(&a, JOB_ID, State::Completed).await;
        },
        2,
    );
}

/// The watch of a successor may be behind, as after a silent connection. Its owner reads the set.
#[test]
fn a_successor_knows_of_an_evacuation_that_its_watch_has_not_seen() {
    run_test(
        |spawner, platform| async move {
            let (a, connection) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            let (b, _) = platform.start_instance(&spawner, "b");
            wait_until_ready(&b).await;
            platform.hang_operator_watches.set(true);
            // The watches that are open end within 1 s.
            Timer::after(Duration::from_millis(1_100)).await;
            evacuate(&platform);
            connection.connected.set(false);
            submit_until_accepted(&b, OTHER_JOB, &job(2)).await;
            while !b.metrics().contains("sycamorerill_shards_owned 1\n") {
                Timer::after(Duration::from_millis(20)).await;
            }
            Timer::after(LONG_ENOUGH).await;
            assert_eq!(platform.starts.borrow().len(), 4);
            let state = b.handle(request(OTHER_JOB, Action::Query)).await;
            assert_eq!(state, Reply::State(State::Queued));
            take_back(&platform, false);
            platform.hang_operator_watches.set(false);
            wait_for_state(&b, OTHER_JOB, State::Completed).await;
        },
        2,
    );
}
