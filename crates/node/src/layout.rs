//! Assigns jobs and executors to shards, and rows to the parts of tables.

use serde::{Deserialize, Serialize};
use sycamorerill_core::data;
use sycamorerill_jobs::id::{JobId, Label, ShardId};
use sycamorerill_jobs::record::{DEFAULT_ROW_BYTES, tasks_per_record};
use xxhash_rust::xxh3::xxh3_64;

use crate::platform::{Key, Table};

/// Number of parts over which accepted jobs are distributed.
///
/// A part performs its transactions one after another. While the store is 50 times slower than
/// usual, that is 4 a second, so that some 100 jobs a second need this many parts. A multiple of
/// the number in earlier versions, whose parts are read as well.
pub(crate) const JOB_PARTS: u64 = 32;
/// Number of executors that an instance can manage per processor; docs/CAPACITY.md has the
/// measurements.
const EXECUTORS_PER_CORE: f64 = 1_000.0;
/// Number of executors that an instance can manage per Mbit/s of its link, bursts included.
const EXECUTORS_PER_MBIT: f64 = 40.0;
/// Lower bound on the number of executors that an instance is assumed to manage.
const MIN_EXECUTORS: f64 = 20.0;
/// Maximum number of shards.
const MAX_SHARDS: u32 = 10_000;
/// Name of the row with the claim on a shard.
pub(crate) const CLAIM: &str = "owner";
/// Name of the row that each transaction of an owner rewrites.
pub(crate) const SEQUENCE: &str = "sequence";
/// Name of the row with the interference model of a shard's owner.
pub(crate) const MODEL: &str = "learned";
/// Name of the row with the lease ends of executors that do not answer.
pub(crate) const LEASES: &str = "leases";
/// Name of the row with the expected waits of new jobs.
pub(crate) const OUTLOOK: &str = "outlook";
/// Name of the row with the layout.
const LAYOUT: &str = "layout";
/// Suffix of a job's identifier in the name of the row that cancels the job.
const CANCEL_SUFFIX: &str = "!";

data! {
    /// The division of a deployment into shards; it is agreed once.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct Layout {
        /// Number of shards, at least 1.
        pub(crate) shards: u32,
        /// Number of executors per shard when the layout was agreed.
        #[serde(default, rename = "each")]
        pub(crate) executors_per_shard: u32,
        /// Maximum number of tasks in one record of a job's progress.
        #[serde(default = "default_tasks_per_record", rename = "tasks")]
        pub(crate) tasks_per_record: u32,
    }
}

data! {
    /// The capacity of the machine that an instance runs on.
    #[derive(Copy)]
    pub struct Machine {
        /// Number of processors; a fraction is a share of one.
        pub cores: f64,
        /// Rate of the network link in Mbit/s.
        pub link_mbps: f64,
    }
}

impl Machine {
    /// Returns the number of executors that an instance on the machine can manage.
    pub fn max_executors(self) -> u32 {
        let by_cores = self.cores * EXECUTORS_PER_CORE;
        let by_link = self.link_mbps * EXECUTORS_PER_MBIT;
        by_cores.min(by_link).max(MIN_EXECUTORS) as u32
    }
}

impl Layout {
    /// Returns the layout for a number of executors, of which one instance can manage
    /// `max_executors`, and for rows of `max_row_bytes`.
    pub(crate) fn for_executors(executors: u32, max_executors: u32, max_row_bytes: usize) -> Self {
        let shards = executors.div_ceil(max_executors.max(1)).max(1);
        let tasks_per_record = tasks_per_record(max_row_bytes);
        Self { shards, executors_per_shard: executors.div_ceil(shards), tasks_per_record }
    }

    /// Returns whether the layout can be used. Its row may be one of another writer.
    pub(crate) fn is_valid(&self) -> bool {
        (1..=MAX_SHARDS).contains(&self.shards) && self.tasks_per_record > 0
    }

    /// Returns the identifiers of all shards.
    pub(crate) fn shards(self) -> impl Iterator<Item = ShardId> {
        (0..self.shards).map(ShardId)
    }

    /// Returns the shard of the executors in a rack; those without a rack share one.
    pub(crate) fn shard_of_rack(self, rack: Option<&Label>) -> ShardId {
        let hash = rack.map_or(0, |rack| xxh3_64(rack.as_str().as_bytes()));
        ShardId((hash % u64::from(self.shards)) as u32)
    }

    /// Returns the shard of a job.
    pub(crate) fn shard_of_job(self, id: JobId) -> ShardId {
        ShardId((id.0 % u64::from(self.shards)) as u32)
    }

    /// Returns the names of all parts of a table.
    pub(crate) fn parts(self, table: Table) -> Vec<String> {
        let jobs = (0..JOB_PARTS).map(job_part_name);
        let shards = self.shards().map(shard_part);
        match table {
            Table::Accepted => jobs.collect(),
            Table::States => jobs.chain(shards).collect(),
            Table::Progress | Table::Claims => shards.collect(),
            Table::Operator | Table::Executors => vec![String::new()],
        }
    }
}

fn default_tasks_per_record() -> u32 {
    tasks_per_record(DEFAULT_ROW_BYTES)
}

/// Returns the key of the row with the layout.
pub(crate) fn layout_key() -> Key {
    Key { table: Table::Claims, part: String::new(), name: LAYOUT.to_owned() }
}

/// Returns the name of the part with the rows of a shard.
pub(crate) fn shard_part(shard: ShardId) -> String {
    shard.to_string()
}

/// Returns the name of the part with the rows of an accepted job.
pub(crate) fn job_part(id: JobId) -> String {
    // The low bits select the shard, so the high bits select the part.
    job_part_name((id.0 >> 32) % JOB_PARTS)
}

fn job_part_name(number: u64) -> String {
    format!("j{number}")
}

/// Returns the key of the row with an accepted job.
pub(crate) fn accepted_key(id: JobId) -> Key {
    Key { table: Table::Accepted, part: job_part(id), name: id.to_string() }
}

/// Returns the key of the row that cancels a job.
pub(crate) fn cancelled_key(id: JobId) -> Key {
    Key { table: Table::Accepted, part: job_part(id), name: format!("{id}{CANCEL_SUFFIX}") }
}

/// Returns the key of the row that marks a job as accepted.
pub(crate) fn queued_key(id: JobId) -> Key {
    Key { table: Table::States, part: job_part(id), name: id.to_string() }
}

/// Returns the key of a row that belongs to a shard.
pub(crate) fn shard_key(table: Table, shard: ShardId, name: &str) -> Key {
    Key { table, part: shard_part(shard), name: name.to_owned() }
}

/// The kind of a row in [`Table::Accepted`], as parsed from its name.
pub(crate) enum AcceptedRow {
    /// The row holds the job.
    Job(JobId),
    /// The row cancels the job.
    Cancel(JobId),
}

impl AcceptedRow {
    /// Parses the name of a row; returns none if it has another form.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        match name.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => id.parse().ok().map(Self::Cancel),
            None => name.parse().ok().map(Self::Job),
        }
    }
}
