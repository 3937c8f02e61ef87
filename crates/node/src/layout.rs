//! Where rows lie: parts of tables for jobs and shards.

use serde::{Deserialize, Serialize};
use sycamorerill_core::data;
use sycamorerill_jobs::id::{JobId, Label, ShardId};
use xxhash_rust::xxh3::xxh3_64;

use crate::platform::{Key, Table};

/// Parts over which accepted jobs are spread: each takes 200 transactions a second.
pub(crate) const JOB_PARTS: u64 = 4;
/// Executors that an instance can steer for each of its processors: on the bench an owner
/// of 350 executors and 670 starts a second used 0.21 processors in the mean.
const EXECUTORS_PER_CORE: f64 = 1_000.0;
/// Executors that an instance can steer for each Mbit/s of its link: the same owner moved
/// about 4 Mbit/s, and bursts are 2.6 times as much.
const EXECUTORS_PER_MBIT: f64 = 40.0;
/// Fewest executors that an instance is thought to steer.
const MIN_EXECUTORS: f64 = 20.0;
/// Name of the row with the claim on a shard.
pub(crate) const CLAIM: &str = "owner";
/// Name of the row that each transaction of an owner rewrites.
pub(crate) const SEQUENCE: &str = "sequence";
/// Name of the row with what an owner learned.
pub(crate) const LEARNED: &str = "learned";
/// Name of the row with the layout.
const LAYOUT: &str = "layout";
/// What follows a job's identifier in the name of the row that cancels it.
const CANCEL_SUFFIX: &str = "!";

data! {
    /// Number of shards, agreed once for a deployment.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct Layout {
        /// Number of shards, at least 1.
        pub(crate) shards: u32,
        /// Executors of one shard when it was agreed.
        #[serde(default, rename = "each")]
        pub(crate) executors_per_shard: u32,
    }
}

data! {
    /// The machine of an instance.
    #[derive(Copy)]
    pub struct Machine {
        /// Processors, or the share of one.
        pub cores: f64,
        /// Rate of its link in Mbit/s.
        pub link_mbps: f64,
    }
}

impl Machine {
    /// Returns the number of executors that an instance on the machine can steer.
    pub fn max_executors(self) -> u32 {
        let by_cores = self.cores * EXECUTORS_PER_CORE;
        let by_link = self.link_mbps * EXECUTORS_PER_MBIT;
        by_cores.min(by_link).max(MIN_EXECUTORS) as u32
    }
}

impl Layout {
    /// Returns the layout for a number of executors, of which an instance can steer
    /// `reach`.
    pub(crate) fn for_executors(executors: u32, max_executors: u32) -> Self {
        let shards = executors.div_ceil(max_executors.max(1)).max(1);
        Self { shards, executors_per_shard: executors.div_ceil(shards) }
    }

    /// Returns all shards.
    pub(crate) fn shards(self) -> impl Iterator<Item = ShardId> {
        (0..self.shards).map(ShardId)
    }

    /// Returns the shard of executors in a rack.
    pub(crate) fn shard_of_rack(self, rack: Option<&Label>) -> ShardId {
        let hash = rack.map_or(0, |rack| xxh3_64(rack.as_str().as_bytes()));
        ShardId((hash % u64::from(self.shards)) as u32)
    }

    /// Returns the shard of a job.
    pub(crate) fn shard_of_job(self, id: JobId) -> ShardId {
        ShardId((id.0 % u64::from(self.shards)) as u32)
    }

    /// Returns the parts of a table.
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

/// Returns the place of the layout.
pub(crate) fn layout_key() -> Key {
    Key { table: Table::Claims, part: String::new(), name: LAYOUT.to_owned() }
}

/// Returns the part of a shard.
pub(crate) fn shard_part(shard: ShardId) -> String {
    shard.to_string()
}

/// Returns the part of an accepted job.
pub(crate) fn job_part(id: JobId) -> String {
    // The low bits choose the shard.
    job_part_name((id.0 >> 32) % JOB_PARTS)
}

fn job_part_name(number: u64) -> String {
    format!("j{number}")
}

/// Returns the place of an accepted job.
pub(crate) fn accepted_key(id: JobId) -> Key {
    Key { table: Table::Accepted, part: job_part(id), name: id.to_string() }
}

/// Returns the place of the row that cancels a job.
pub(crate) fn cancelled_key(id: JobId) -> Key {
    Key { table: Table::Accepted, part: job_part(id), name: format!("{id}{CANCEL_SUFFIX}") }
}

/// Returns the place of the row that says that a job was accepted.
pub(crate) fn queued_key(id: JobId) -> Key {
    Key { table: Table::States, part: job_part(id), name: id.to_string() }
}

/// Returns the place of a row of a shard.
pub(crate) fn shard_key(table: Table, shard: ShardId, name: &str) -> Key {
    Key { table, part: shard_part(shard), name: name.to_owned() }
}

/// A row of the table of accepted jobs, by its name.
pub(crate) enum AcceptedRow {
    /// The job itself.
    Job(JobId),
    /// Its cancelling.
    Cancel(JobId),
}

impl AcceptedRow {
    /// Reads the name of a row; none where it is another's.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        match name.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => id.parse().ok().map(Self::Cancel),
            None => name.parse().ok().map(Self::Job),
        }
    }
}
