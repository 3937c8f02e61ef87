//! Runs jobs from submission to end through real instances on a platform in memory.
//!
//! All instances of a test share one thread.

mod support;

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use support::MemoryPlatform;
use support::run::{
    JOB_ID, LONG_RUN_MS, job, request, run_test, start_pair, submit_until_accepted, wait_for_state,
    wait_until_ready,
};
use sycamorerill_jobs::ownership::Claim;
use sycamorerill_jobs::progress::State;

use sycamorerill_node::frontend::{Action, Reply, Request};
use sycamorerill_node::platform::Table;

/// Time within which a cancellation must take effect.
///
/// It is well below the 3 s after which no task of the job may start any more.
const CANCEL_DEADLINE: Duration = Duration::from_millis(2_300);
/// Returns the epochs of the claims on all shards.
fn claim_epochs(platform: &MemoryPlatform) -> Vec<u64> {
    let claims = platform.values(Table::Claims, "owner");
    let read = |value: &Bytes| serde_json::from_slice::<Claim>(value).map_or(0, |c| c.epoch);
    claims.iter().map(read).collect()
}

/// A job must be visible at an instance that did not accept it, and each task must start once.
#[test]
fn a_job_submitted_at_one_instance_completes_at_all() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            assert_eq!(b.handle(request(JOB_ID, Action::Query)).await, Reply::NoJob);
            submit_until_accepted(&a, JOB_ID, &job(3)).await;
            wait_for_state(&b, JOB_ID, State::Completed).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            assert_eq!(platform.starts.borrow().len(), 6);
        },
        2,
    );
}

/// An owner whose ticks come late must yield its shard, so that a faster instance claims
/// it. The shard must not be yielded a second time once the ticks come in time again.
#[test]
fn an_owner_that_falls_behind_yields_its_shard_once() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            let last_yield_ms = || -> u64 {
                let claims = platform.values(Table::Claims, "owner");
                let read = |value: &Bytes| serde_json::from_slice::<Claim>(value).unwrap();
                claims.iter().map(read).map(|claim| claim.yielded_ms).max().unwrap_or(0)
            };
            assert_eq!(last_yield_ms(), 0);
            // Blocks the thread of both instances, so that the ticks of the owner come late.
            while last_yield_ms() == 0 {
                std::thread::sleep(Duration::from_millis(110));
                Timer::after(Duration::from_millis(1)).await;
            }
            let first_yield_ms = last_yield_ms();
            submit_until_accepted(&b, "00000000000000a2", &job(2)).await;
            wait_for_state(&b, "00000000000000a2", State::Completed).await;
            assert_eq!(last_yield_ms(), first_yield_ms);
        },
        2,
    );
}

/// An owner that was suspended must not renew leases before its claim is confirmed: a successor may
/// have concluded from its own clock that they have ended.
#[test]
fn leases_are_not_renewed_after_a_suspension_until_the_claim_is_confirmed() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            platform.run_ms.set(LONG_RUN_MS);
            submit_until_accepted(&a, JOB_ID, &job(8)).await;
            while platform.running() < 8 || !platform.probes.borrow().contains(&true) {
                Timer::after(Duration::from_millis(5)).await;
            }
            platform.refusals.set(u32::MAX);
            // Longer than any probe waits, so that all are due when the process goes on.
            std::thread::sleep(Duration::from_millis(2_300));
            platform.probes.borrow_mut().clear();
            while platform.probes.borrow().is_empty() {
                Timer::after(Duration::from_millis(1)).await;
            }
            assert!(!platform.probes.borrow().contains(&true));
            platform.refusals.set(0);
            while !platform.probes.borrow().contains(&true) {
                Timer::after(Duration::from_millis(5)).await;
            }
        },
        2,
    );
}

/// An owner that is suspended between its record and its order must not send the order once another
/// instance may have claimed the shard. The task is placed again when the claim is confirmed.
#[test]
fn a_start_is_not_sent_after_a_suspension_in_which_a_successor_may_have_claimed() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            platform.suspension_ms.set(1_600);
            submit_until_accepted(&a, JOB_ID, &job(1)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            assert_eq!(platform.withheld_starts.get(), 1);
            assert_eq!(platform.starts.borrow().len(), 2);
        },
        2,
    );
}

/// The load of an owner must not stay in the metrics of an instance that has released its shard.
#[test]
fn metrics_of_a_former_owner_show_no_late_ticks() {
    const TIMELY: &str = "sycamorerill_owner_ticks_percent 100";
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            assert!(a.metrics().contains(TIMELY));
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            // Blocks the thread of the instance, so that its ticks come late.
            while a.metrics().contains(TIMELY) {
                std::thread::sleep(Duration::from_millis(110));
                Timer::after(Duration::from_millis(1)).await;
            }
            a.drain();
            while !a.metrics().contains(TIMELY) {
                Timer::after(Duration::from_millis(20)).await;
            }
        },
        2,
    );
}

#[test]
fn metrics_count_a_job_from_submission_to_end() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(3)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
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

/// A caller that repeats a submission at another instance must not create a second job. A
/// different job under the same identifier is refused.
#[test]
fn a_repeated_submission_at_another_instance_is_idempotent() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            submit_until_accepted(&b, JOB_ID, &job(2)).await;
            let other = b.handle(request(JOB_ID, Action::Submit(Ok(job(5))))).await;
            assert_eq!(other, Reply::Taken);
            wait_for_state(&a, JOB_ID, State::Completed).await;
            assert_eq!(platform.starts.borrow().len(), 4);
        },
        2,
    );
}

/// The store may commit a submission and lose the answer. The retry then meets a conflict,
/// which must count as success and not as a refusal.
#[test]
fn a_submission_is_accepted_although_the_answer_of_the_store_is_lost() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            platform.lost_answers.set(1);
            let reply = a.handle(request(JOB_ID, Action::Submit(Ok(job(2))))).await;
            assert_eq!(reply, Reply::Accepted);
            wait_for_state(&a, JOB_ID, State::Completed).await;
        },
        2,
    );
}

/// A store that is slow may perform a claim after its writer has given up on the answer. The writer is
/// then the owner, whom nobody replaces as long as the others trust its claim, so it must act.
#[test]
fn a_claim_that_takes_effect_after_its_last_attempt_begins_an_ownership() {
    run_test(
        |spawner, platform| async move {
            platform.claim_delay_ms.set(4_000);
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            while platform.values(Table::Claims, "owner").is_empty() {
                Timer::after(Duration::from_millis(20)).await;
            }
            // The attempts at a second claim, which began before the first one was seen, end in vain.
            Timer::after(Duration::from_secs(3)).await;
            platform.claim_delay_ms.set(0);
            wait_for_state(&a, JOB_ID, State::Completed).await;
        },
        2,
    );
}

/// An owner whose transaction has no answer must learn from the stored sequence row whether
/// it took effect, and must not start a task again.
#[test]
fn an_owner_recovers_from_lost_answers_without_starting_runs_twice() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            for number in 0..8_u32 {
                let name = format!("00000000000000b{number}");
                submit_until_accepted(&a, &name, &job(2)).await;
                platform.lost_answers.set(2);
                wait_for_state(&a, &name, State::Completed).await;
            }
            assert_eq!(platform.starts.borrow().len(), 8 * 4);
        },
        2,
    );
}

/// Lost answers delay renewals of a claim. Several in a row must not cost the owner its
/// shard while another instance stands by.
#[test]
fn an_owner_keeps_its_shard_while_answers_are_lost() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            let (b, _) = platform.start_instance(&spawner, "b");
            wait_until_ready(&b).await;
            let epochs_before = claim_epochs(&platform);
            for _ in 0..3 {
                platform.lost_answers.set(4);
                Timer::after(Duration::from_millis(2_500)).await;
            }
            assert_eq!(claim_epochs(&platform), epochs_before);
        },
        2,
    );
}

/// If the store refuses all attempts, the caller must be told that nothing was done, and
/// the job must not exist.
#[test]
fn a_refused_submission_is_not_stored() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            Timer::after(Duration::from_millis(300)).await;
            platform.refusals.set(1_000);
            let reply = a.handle(request(JOB_ID, Action::Submit(Ok(job(2))))).await;
            assert!(matches!(reply, Reply::NotDone(_)), "{reply:?}");
            platform.refusals.set(0);
            assert_eq!(a.handle(request(JOB_ID, Action::Query)).await, Reply::NoJob);
        },
        2,
    );
}

/// An owner that reaches neither the store nor the executors stops renewing its claim.
/// Another instance must take the shard over and run new jobs, without starting a task twice.
#[test]
fn another_instance_takes_over_when_the_owner_is_disconnected() {
    run_test(
        |spawner, platform| async move {
            let (a, connection_of_a) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            wait_for_state(&a, JOB_ID, State::Completed).await;
            let (b, _) = platform.start_instance(&spawner, "b");
            wait_until_ready(&b).await;
            connection_of_a.connected.set(false);
            submit_until_accepted(&b, "00000000000000c1", &job(3)).await;
            wait_for_state(&b, "00000000000000c1", State::Completed).await;
            assert_eq!(platform.starts.borrow().len(), 4 + 6);
        },
        2,
    );
}

/// An instance that shuts down must release its shard, so that another instance completes
/// the jobs in progress and no task starts twice.
#[test]
fn a_graceful_shutdown_hands_the_shard_over() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            let (b, _) = platform.start_instance(&spawner, "b");
            wait_until_ready(&b).await;
            a.drain();
            assert!(!a.is_ready());
            wait_for_state(&b, JOB_ID, State::Completed).await;
            assert!(a.owns_no_shard());
            assert_eq!(platform.starts.borrow().len(), 4);
        },
        2,
    );
}

/// A cancellation at any instance must reach the owner of the shard and end the job at all
/// instances, and no further task of the job may start.
#[test]
fn a_job_cancelled_at_one_instance_is_cancelled_at_all() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            platform.run_ms.set(LONG_RUN_MS);
            let mut long = job(2);
            long.steps[0].long_running = true;
            submit_until_accepted(&a, JOB_ID, &long).await;
            wait_for_state(&b, JOB_ID, State::Running).await;
            assert_eq!(b.handle(request(JOB_ID, Action::Cancel)).await, Reply::Cancelled);
            wait_for_state(&a, JOB_ID, State::Cancelled).await;
            assert_eq!(platform.starts_of(0), 1);
        },
        2,
    );
}

/// A watch may hang on a silent connection and never report a change. The owner must notice
/// it and still handle a cancellation in time.
#[test]
fn a_cancellation_takes_effect_soon_after_watches_hang() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            platform.run_ms.set(LONG_RUN_MS);
            let mut long = job(2);
            long.steps[0].long_running = true;
            submit_until_accepted(&a, JOB_ID, &long).await;
            wait_for_state(&a, JOB_ID, State::Running).await;
            platform.hang_watches.set(true);
            // The change ends the watches that are open; those that follow hang.
            submit_until_accepted(&a, "00000000000000d1", &job(1)).await;
            Timer::after(Duration::from_millis(100)).await;
            platform.hang_watches.set(false);
            assert_eq!(a.handle(request(JOB_ID, Action::Cancel)).await, Reply::Cancelled);
            Timer::after(CANCEL_DEADLINE).await;
            assert_eq!(
                a.handle(request(JOB_ID, Action::Query)).await,
                Reply::State(State::Cancelled)
            );
        },
        2,
    );
}

#[test]
fn a_request_is_routed_by_host_and_path_prefix() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            let other_host = Request { host: "other".to_owned(), ..request(JOB_ID, Action::Query) };
            assert_eq!(a.handle(other_host).await, Reply::NoQueue);
            assert_eq!(a.handle(request("nonsense", Action::Query)).await, Reply::NotAJob);
            assert_eq!(a.handle(request("", Action::Query)).await, Reply::Waiting(0));
            let broken = Action::Submit(Err("no body".to_owned()));
            assert_eq!(a.handle(request(JOB_ID, broken)).await, Reply::Malformed);
        },
        2,
    );
}
