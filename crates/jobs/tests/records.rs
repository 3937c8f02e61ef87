//! Records of jobs: their size, their division and what a successor restores from them.

mod support;

use std::collections::BTreeSet;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use support::{Simulation, job, step};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::config::{AdviceSettings, Queue, Terms};
use sycamorerill_jobs::id::{ExecutorId, QueueName, ServiceName, StepId, TaskId};
use sycamorerill_jobs::progress::{DoneRecord, OpenRun, Progress, State, TaskRecord};
use sycamorerill_jobs::record::{
    DEFAULT_ROW_BYTES, MAX_CHECKPOINT_BYTES, MAX_OPEN_OCCURRENCES, MAX_TERMS_BYTES, RecordId,
    json_bytes, tasks_per_record,
};
use sycamorerill_jobs::spec::{Job, Schedule, Step};

/// Longest name of a row in the store, and so of an executor.
const MAX_NAME_BYTES: usize = 200;

fn task(step: u32, index: u32) -> TaskId {
    StepId { job: job(1), occurrence: 0, step }.task(index)
}

fn bytes(progress: &Progress) -> usize {
    serde_json::to_vec(progress).map_or(usize::MAX, |json| json.len())
}

/// Returns a queue with the longest values that are recorded.
fn longest_queue() -> Queue {
    let name = "n".repeat(MAX_TERMS_BYTES);
    let span = Span::from_ms(u64::MAX);
    let advice = AdviceSettings { query_time: span, per_executor: span, valid: span };
    Queue {
        name: QueueName::from(name.as_str()),
        host: String::new(),
        prefix: String::new(),
        service: ServiceName::from(name.as_str()),
        priority: u32::MAX,
        max_attempts: u32::MAX,
        stretch: f64::MIN_POSITIVE,
        objective: span,
        advice: Some(advice),
    }
}

fn assert_no_violations(sim: &Simulation) {
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
}

/// The longest values that a record can hold.
#[test]
fn the_largest_record_fits_into_a_row() {
    for max_row_bytes in [DEFAULT_ROW_BYTES, 32 * 1_024, 256 * 1_024] {
        let tasks = tasks_per_record(max_row_bytes);
        let open = OpenRun {
            run: u32::MAX,
            executor: ExecutorId::from("x".repeat(MAX_NAME_BYTES).as_str()),
            incarnation: u64::MAX,
            address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().ok(),
        };
        let record = TaskRecord {
            occurrence: u32::MAX,
            step: 255,
            index: 9_999,
            run: u32::MAX,
            failed: u32::MAX,
            crashes: u32::MAX,
            confirmed_crashes: u32::MAX,
            checkpoint: "c".repeat(MAX_CHECKPOINT_BYTES),
            open: vec![open],
        };
        let done = DoneRecord { occurrence: u32::MAX, step: 255, indices: vec![9_999] };
        let progress = Progress {
            state: Some(State::Completed),
            terms: Some(Terms::of(&longest_queue())),
            finished: vec![(u32::MAX, u32::MAX); MAX_OPEN_OCCURRENCES + 1],
            done: vec![done; tasks as usize],
            tasks: vec![record; tasks as usize],
        };
        assert!(bytes(&progress) <= max_row_bytes, "{} of {max_row_bytes}", bytes(&progress));
    }
}

fn arbitrary_job(u: &mut Unstructured<'_>) -> Result<Job> {
    let steps = u.int_in_range(1..=6)?;
    let mut job = Job { text: String::new(), steps: Vec::new(), schedule: None };
    for _ in 0..steps {
        job.steps.push(step(u.int_in_range(1..=40)?));
    }
    Ok(job)
}

#[test]
fn each_task_is_in_exactly_one_record() {
    arbtest(|u| {
        let spec = arbitrary_job(u)?;
        let tasks_per_record = u.int_in_range(1..=50)?;
        let mut found = BTreeSet::new();
        for record in RecordId::of_occurrence(job(1), &spec, 0, tasks_per_record) {
            assert_eq!(record.to_string().parse(), Ok(record));
            for (step, range) in (0..).zip(record.tasks(&spec, tasks_per_record)) {
                for index in range {
                    let task = task(step, index);
                    assert_eq!(RecordId::of_task(&spec, &task, tasks_per_record), record);
                    assert!(found.insert(task));
                }
            }
        }
        let tasks: u32 = spec.steps.iter().map(|step| step.count).sum();
        assert_eq!(found.len(), tasks as usize);
        Ok(())
    });
}

#[test]
fn the_length_of_a_text_in_json_is_known() {
    arbtest(|u| {
        let text: String = u.arbitrary()?;
        let quoted = serde_json::to_vec(&text).map_or(0, |json| json.len());
        assert!(json_bytes(&text) + 2 >= quoted, "{text:?}");
        Ok(())
    });
}

/// A job of many records, with takeovers at any time, also between the batches of one round.
#[test]
fn a_job_of_many_records_survives_takeovers() {
    for takeover_ms in (200..2_600).step_by(170) {
        let mut sim = Simulation::new(6);
        sim.settings.tasks_per_record = 3;
        sim.restart_shard();
        sim.slow_store = true;
        let second = Step { depends_on: vec![0], ..step(40) };
        sim.submit(job(1), vec![step(150), second]);
        for _ in 0..3 {
            sim.advance(Span::from_ms(takeover_ms));
            sim.take_over();
        }
        sim.advance(Span::from_secs(20));
        assert_eq!(sim.state(1), Some(State::Completed), "takeover after {takeover_ms} ms");
        let largest = sim.largest_record;
        assert!(largest <= 3, "{largest} tasks in a record");
        assert!(sim.progress.keys().all(|record| record.is_first()), "{:?}", sim.progress.keys());
        assert_no_violations(&sim);
    }
}

/// The finished occurrences of a scheduled job take no more room the more there are.
#[test]
fn records_of_a_scheduled_job_do_not_grow() {
    let mut sim = Simulation::new(4);
    let schedule = Schedule { start_ms: sim.wall_ms(), period_ms: 300, times: 100_000 };
    sim.submit_scheduled(job(1), vec![step(3)], Some(schedule));
    sim.advance(Span::from_secs(15));
    sim.take_over();
    sim.advance(Span::from_secs(45));
    let first = &sim.progress[&RecordId::first(job(1))];
    assert!(first.finished.iter().map(|(begin, end)| end - begin + 1).sum::<u32>() > 180);
    assert!(first.finished.len() <= 2, "{:?}", first.finished);
    assert!(sim.progress.len() < 12, "{:?}", sim.progress.keys());
    assert!(sim.progress.values().all(|progress| bytes(progress) < 1_000));
    assert_no_violations(&sim);
}

/// A checkpoint that no record can hold is left out.
#[test]
fn long_checkpoints_are_not_recorded() {
    let mut sim = Simulation::new(1);
    sim.submit(job(1), vec![Step { checkpointing: true, ..step(2) }]);
    sim.advance(Span::from_ms(200));
    let long = "c".repeat(MAX_CHECKPOINT_BYTES + 1);
    sim.executor("x0").checkpoint = long;
    sim.executor("x0").end_run(&task(0, 0), sycamorerill_jobs::executor::EndReason::Stopped);
    sim.advance(Span::from_ms(200));
    let first = &sim.progress[&RecordId::first(job(1))];
    assert!(first.tasks.iter().all(|task| task.checkpoint.is_empty()));
    assert_eq!(first.tasks.len(), 2);
}

/// A shard goes on from rows that an earlier version has written: all tasks of a job in one row,
/// without addresses.
#[test]
fn rows_of_earlier_versions_are_read() {
    let mut sim = Simulation::new(2);
    sim.submit(job(1), vec![step(2), Step { depends_on: vec![0], long_running: true, ..step(3) }]);
    sim.advance(Span::from_ms(1_500));
    assert_eq!(sim.run_count(), 3);
    let mut open = Vec::new();
    for index in 0..3 {
        let at = sim.executors_running(&task(1, index))[0].clone();
        let born = sim.executor(&at).incarnation;
        open.push(format!(r#"{{"s":1,"i":{index},"n":1,"o":[{{"r":1,"x":"{at}","b":{born}}}]}}"#));
    }
    let row = format!(r#"{{"s":"Running","d":[{{}}],"t":[{}]}}"#, open.join(","));
    let progress: Progress = serde_json::from_str(&row).expect("a record of an earlier version");
    sim.progress.clear();
    sim.progress.insert(RecordId::first(job(1)), progress);
    sim.take_over();
    sim.advance(Span::from_secs(3));
    assert_eq!(sim.run_count(), 3);
    assert_eq!(sim.executors.values().map(|executor| executor.end_count).sum::<u64>(), 2);
    assert_no_violations(&sim);
}

/// Runs in a row of an earlier version that takes several records now were lost with the first
/// record that was written anew.
#[test]
fn a_large_row_of_an_earlier_version_is_split_before_it_is_replaced() {
    let mut sim = Simulation::new(4);
    let lasting = Step { long_running: true, ..step(9) };
    let after = Step { depends_on: vec![0], ..lasting.clone() };
    sim.submit(job(1), vec![step(8), after]);
    sim.advance(Span::from_ms(2_500));
    assert_eq!(sim.run_count(), 9);
    let whole = sim.progress[&RecordId::first(job(1))].clone();
    assert_eq!(whole.tasks.len(), 9);
    sim.settings.tasks_per_record = 3;
    sim.slow_store = true;
    for takeover_ms in (10..200).step_by(10) {
        sim.progress.clear();
        sim.progress.insert(RecordId::first(job(1)), whole.clone());
        // Many other jobs change, so that the records come in several batches.
        for number in 0..60 {
            sim.submit(job(1_000 * takeover_ms + number), vec![step(1)]);
        }
        sim.take_over();
        sim.cancel(job(1_000 * takeover_ms));
        sim.advance(Span::from_ms(takeover_ms));
        sim.take_over();
        sim.advance(Span::from_secs(1));
        assert_eq!(
            (0..9).filter(|index| { sim.executors_running(&task(1, *index)).len() == 1 }).count(),
            9,
            "takeover after {takeover_ms} ms"
        );
        assert_no_violations(&sim);
    }
}

/// Earlier versions recorded the steps of each finished occurrence; none of them runs again.
#[test]
fn finished_occurrences_in_a_row_of_an_earlier_version_do_not_run_again() {
    const FINISHED: u32 = 400;
    let mut sim = Simulation::new(2);
    let start_ms = sim.wall_ms() - u64::from(FINISHED) * 1_000;
    let schedule = Schedule { start_ms, period_ms: 1_000, times: FINISHED + 3 };
    let steps = vec![step(1), Step { depends_on: vec![0], ..step(1) }];
    sim.submit_scheduled(job(1), steps, Some(schedule));
    let done: Vec<String> =
        (0..FINISHED).map(|k| format!(r#"{{"k":{k}}},{{"k":{k},"s":1}}"#)).collect();
    let row = format!(r#"{{"s":"Running","d":[{}]}}"#, done.join(","));
    let progress: Progress = serde_json::from_str(&row).expect("a record of an earlier version");
    sim.progress.insert(RecordId::first(job(1)), progress);
    sim.take_over();
    sim.advance(Span::from_secs(8));
    assert_eq!(sim.state(1), Some(State::Completed));
    assert_eq!(sim.executors.values().map(|executor| executor.end_count).sum::<u64>(), 6);
    assert_no_violations(&sim);
}
