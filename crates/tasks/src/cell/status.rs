//! The status of a cell, for other entry instances and operators.

use std::collections::BTreeMap;

use sycamorerill_core::data;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::size::Size;

use super::Cell;
use crate::life::State;

data! {
    /// Counters of events since the takeover, and gauges of tasks and jobs.
    #[derive(Default)]
    pub struct Counts {
        /// Waiting tasks, by urgency.
        pub waiting: BTreeMap<Urgency, u64>,
        /// Tasks in each state.
        pub states: BTreeMap<State, u64>,
        /// Jobs that are parked.
        pub parked_jobs: u64,
        /// Jobs accepted.
        pub accepted: u64,
        /// Jobs refused.
        pub refused: u64,
        /// Tasks placed.
        pub placed: u64,
        /// Evictions decided.
        pub evicted: u64,
        /// Changes of the share of a task.
        pub throttled: u64,
        /// Failed attempts.
        pub failed: u64,
        /// Tasks lost with a worker that is gone or whose leases lapsed.
        pub lost: u64,
        /// Quarantines of workers.
        pub quarantined: u64,
        /// Deadlines missed.
        pub missed: u64,
        /// Reports of tasks under superseded tokens.
        pub stale: u64,
    }
}

data! {
    /// State of a cell, for gossip and metrics.
    pub struct Status {
        /// Total size of the listed workers.
        pub capacity: Size,
        /// Size reserved by tasks.
        pub reserved: Size,
        /// Number and total free size of the listed workers, by worker size.
        pub free: BTreeMap<Size, (u32, Size)>,
        /// Workers that may hold tasks and have not reported under the epoch of the cell.
        pub unfenced: u64,
        /// Workers that accept tasks now.
        pub available_workers: u64,
        /// Jobs that have not ended.
        pub jobs: u64,
        /// Records in flight.
        pub unwritten: u64,
        /// Counters and gauges.
        pub counts: Counts,
    }
}

impl Cell {
    /// Returns the status of the cell, in time linear in the number of workers.
    pub fn status(&self) -> Status {
        let mut free: BTreeMap<Size, (u32, Size)> = BTreeMap::new();
        for (_, entry) in self.workers.iter().filter(|(_, entry)| entry.listed) {
            let (count, room) = free.entry(entry.size).or_default();
            *count += 1;
            *room += entry.free();
        }
        Status {
            capacity: self.capacity,
            reserved: self.reserved,
            free,
            unfenced: self.unfenced.len() as u64,
            available_workers: self.workers.index.len() as u64,
            jobs: self.jobs.len() as u64,
            unwritten: self.writer.sequence - self.writer.durable,
            counts: self.counts.clone(),
        }
    }
}
