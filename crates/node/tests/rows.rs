//! Rows that the store rejects, and rows of other writers, through real instances.

mod support;

use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use support::run::{
    JOB_ID, LONG_RUN_MS, job, request, run_test, start_pair, submit_until_accepted, wait_for_state,
    wait_until_ready,
};
use sycamorerill_jobs::id::Label;
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::{Job, Resources, Step};
use sycamorerill_node::frontend::{Action, Reply};
use sycamorerill_node::platform::Table;

/// Returns a job of `count` tasks that are so small that hundreds run on one executor.
fn job_of_small_tasks(count: u32) -> Job {
    let resources = Resources { cpu: 10, memory: 1, accelerators: 0 };
    let step = Step { count, resources, estimate_ms: 60, ..Step::default() };
    Job { text: "text".to_owned(), steps: vec![step], schedule: None }
}

/// A job whose progress is larger than a row of the store stopped its shard: the owner repeated the
/// rejected transaction for ever, and so did its successors.
#[test]
fn a_large_job_does_not_hold_up_its_shard() {
    run_test(
        |spawner, platform| async move {
            let (a, b) = start_pair(&spawner, &platform).await;
            platform.run_ms.set(LONG_RUN_MS);
            submit_until_accepted(&a, JOB_ID, &job_of_small_tasks(1_400)).await;
            while platform.running() < 1_400 {
                Timer::after(Duration::from_millis(20)).await;
            }
            platform.run_ms.set(60);
            submit_until_accepted(&a, "00000000000000a2", &job(2)).await;
            wait_for_state(&b, "00000000000000a2", State::Completed).await;
            a.drain();
            submit_until_accepted(&b, "00000000000000a3", &job(2)).await;
            wait_for_state(&b, "00000000000000a3", State::Completed).await;
            assert_eq!(platform.running(), 1_400);
            assert_eq!(platform.starts.borrow().len(), 1_400 + 8);
        },
        4,
    );
}

/// Jobs that waited when their queue was renamed were counted under its former name only.
#[test]
fn jobs_that_wait_in_a_renamed_queue_are_counted_at_its_path() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            platform.store_refuses_records.set(true);
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            platform.put(Table::Operator, "", "config", Bytes::from_static(b"2 renamed"));
            while a.handle(request("00000000000000a2", Action::Submit(Ok(job(2))))).await
                != Reply::Accepted
            {
                Timer::after(Duration::from_millis(20)).await;
            }
            // Instances that start after the change know the former name from rows only.
            let (b, _) = platform.start_instance(&spawner, "b");
            for instance in [&a, &b] {
                while instance.handle(request("", Action::Query)).await != Reply::Waiting(2) {
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
            platform.store_refuses_records.set(false);
            wait_for_state(&b, JOB_ID, State::Completed).await;
        },
        4,
    );
}

/// A row that the store rejects for any other reason must not hold up the rest of its batch.
#[test]
fn a_rejected_row_does_not_hold_up_other_jobs() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            let names = (0xa2..0xaa).map(|id| format!("{id:016x}"));
            let names: Vec<String> = std::iter::once(JOB_ID.to_owned()).chain(names).collect();
            let row = |name: &String| a.handle(request(name, Action::Submit(Ok(job(2)))));
            platform.store_refuses_records.set(true);
            for reply in futures::future::join_all(names.iter().map(row)).await {
                assert_eq!(reply, Reply::Accepted);
            }
            // The row of the accepted job has the same name, and was written before.
            *platform.rejected_row.borrow_mut() = Some(JOB_ID.to_owned());
            platform.store_refuses_records.set(false);
            for name in &names[1..] {
                wait_for_state(&a, name, State::Completed).await;
            }
            assert_ne!(
                a.handle(request(JOB_ID, Action::Query)).await,
                Reply::State(State::Completed)
            );
        },
        4,
    );
}

/// A job that no row can hold is rejected at once, and not as one that may be tried again.
#[test]
fn a_job_that_no_row_can_hold_is_rejected() {
    run_test(
        |spawner, platform| async move {
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            let label = Some(Label::from("x".repeat(70_000).as_str()));
            let step = Step { label, ..job(1).steps[0].clone() };
            let large = Job { steps: vec![step], ..job(1) };
            let reply = a.handle(request(JOB_ID, Action::Submit(Ok(large)))).await;
            assert_eq!(reply, Reply::TooLarge);
            let reply = a.handle(request(JOB_ID, Action::Query)).await;
            assert_eq!(reply, Reply::NoJob);
        },
        1,
    );
}

/// Rows of another writer among those of the system: a layout that would divide by zero, and a claim
/// whose epoch cannot rise. Instances wait for the former to be corrected and replace the latter.
#[test]
fn odd_rows_of_another_writer_end_no_instance() {
    run_test(
        |spawner, platform| async move {
            let odd = Bytes::from_static(br#"{"shards":0,"tasks":0}"#);
            platform.put(Table::Claims, "", "layout", odd);
            let claim = Bytes::from_static(br#"{"e":18446744073709551615,"h":"z"}"#);
            platform.put(Table::Claims, "s0", "owner", claim);
            let (a, _) = platform.start_instance(&spawner, "a");
            wait_until_ready(&a).await;
            submit_until_accepted(&a, JOB_ID, &job(2)).await;
            Timer::after(Duration::from_millis(300)).await;
            let reply = a.handle(request(JOB_ID, Action::Query)).await;
            assert_eq!(reply, Reply::State(State::Queued));
            let sound = Bytes::from_static(br#"{"shards":1,"each":2}"#);
            platform.put(Table::Claims, "", "layout", sound);
            wait_for_state(&a, JOB_ID, State::Completed).await;
        },
        2,
    );
}
