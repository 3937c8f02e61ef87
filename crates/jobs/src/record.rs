//! Division of a job's progress into records, each of which fits into a row of the store.
//!
//! The tasks of each occurrence are numbered through its steps, and each record covers a fixed
//! range of these numbers. So the bytes of a record are bounded whatever the size of the job, and a
//! change rewrites only the records of the tasks that have changed.

use std::fmt;
use std::ops::Range;
use std::str::FromStr;

use sycamorerill_core::value;

use crate::id::{Error, JobId, TaskId};
use crate::spec::Job;

/// Maximum length of a checkpoint that is recorded, in bytes of its JSON form.
pub const MAX_CHECKPOINT_BYTES: usize = 256;
/// Maximum length of the texts in the settings of a queue that are recorded, in bytes of their JSON
/// form.
pub const MAX_TERMS_BYTES: usize = 600;
/// Maximum number of occurrences of a job that are in progress at the same time.
pub const MAX_OPEN_OCCURRENCES: usize = 256;

/// Maximum number of bytes in a row of the store, unless the deployment states another.
pub const DEFAULT_ROW_BYTES: usize = 64 * 1_024;

/// Maximum length of the record of one task with one open run, in bytes of its JSON form.
const MAX_TASK_BYTES: usize = 710;
/// Maximum number of bytes of a number in JSON, with the punctuation around it and its name.
const MAX_NUMBER_BYTES: usize = 48;
/// Bytes of a row for what a record holds besides tasks: the state, numbers of done tasks and
/// ranges of finished occurrences.
const RESERVED_BYTES: usize = 7 * 1_024;

value! {
    /// Identifier of a record, printed as `JOB` for the first one and as `JOB.OCCURRENCE.PART` for
    /// the others.
    ///
    /// The first record of a job also holds its state and its finished occurrences.
    pub struct RecordId {
        /// Job whose progress is recorded.
        pub job: JobId,
        /// Number of the occurrence; 0 for a job without a schedule.
        pub occurrence: u32,
        /// Number of the record within the occurrence, starting at 0.
        pub part: u32,
    }
}

impl RecordId {
    /// Returns the identifier of the first record of a job.
    pub const fn first(job: JobId) -> Self {
        Self { job, occurrence: 0, part: 0 }
    }

    /// Returns whether this is the first record of its job.
    pub const fn is_first(self) -> bool {
        self.occurrence == 0 && self.part == 0
    }

    /// Returns the identifier of the record that covers a task of `job`.
    pub fn of_task(job: &Job, task: &TaskId, tasks_per_record: u32) -> Self {
        let before =
            job.steps.iter().take(task.step.step as usize).map(|step| u64::from(step.count));
        let position = before.sum::<u64>() + u64::from(task.index);
        let part = position / u64::from(tasks_per_record.max(1));
        Self { job: task.step.job, occurrence: task.step.occurrence, part: part as u32 }
    }

    /// Returns the identifiers of all records of one occurrence of `job`.
    pub fn of_occurrence(
        id: JobId,
        job: &Job,
        occurrence: u32,
        tasks_per_record: u32,
    ) -> impl Iterator<Item = Self> + use<> {
        let parts = job.task_count().div_ceil(u64::from(tasks_per_record.max(1))).max(1);
        (0..parts as u32).map(move |part| Self { job: id, occurrence, part })
    }

    /// Returns the indices of the tasks of each step that the record covers.
    pub fn tasks(self, job: &Job, tasks_per_record: u32) -> Vec<Range<u32>> {
        let begin = u64::from(self.part) * u64::from(tasks_per_record.max(1));
        let end = begin + u64::from(tasks_per_record.max(1));
        let mut position = 0;
        let mut ranges = Vec::with_capacity(job.steps.len());
        for step in &job.steps {
            let count = u64::from(step.count);
            let within = |at: u64| at.saturating_sub(position).min(count) as u32;
            ranges.push(within(begin)..within(end));
            position += count;
        }
        ranges
    }
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.is_first() {
            true => self.job.fmt(f),
            false => write!(f, "{}.{}.{}", self.job, self.occurrence, self.part),
        }
    }
}

impl FromStr for RecordId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || Error { kind: "record", text: text.to_owned() };
        let parts: Vec<&str> = text.split('.').collect();
        let number = |text: &str| text.parse::<u32>().map_err(|_| malformed());
        match parts.as_slice() {
            [job] => Ok(Self::first(job.parse()?)),
            [job, occurrence, part] => {
                Ok(Self { job: job.parse()?, occurrence: number(occurrence)?, part: number(part)? })
            }
            _ => Err(malformed()),
        }
    }
}

/// Returns the number of tasks in a record so that it fits into a row of `max_row_bytes`.
pub fn tasks_per_record(max_row_bytes: usize) -> u32 {
    let tasks = max_row_bytes.saturating_sub(RESERVED_BYTES) / MAX_TASK_BYTES;
    u32::try_from(tasks).unwrap_or(u32::MAX).max(1)
}

/// Returns an upper bound on the bytes of an object's field in JSON that holds a number.
pub fn json_field_bytes(name: &str) -> usize {
    json_bytes(name) + MAX_NUMBER_BYTES
}

/// Returns the number of bytes of a text in JSON, without its quotes.
pub fn json_bytes(text: &str) -> usize {
    let bytes = |c: char| match c {
        '"' | '\\' | '\n' | '\r' | '\t' => 2,
        c if c.is_control() => 6,
        c => c.len_utf8(),
    };
    text.chars().map(bytes).sum()
}
