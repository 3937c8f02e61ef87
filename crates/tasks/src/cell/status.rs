//! What a cell tells other entry instances and operators.

use std::collections::BTreeMap;

use sycamorerill_core::data;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::size::Size;

use super::Cell;
use crate::life::State;

data! {
    /// Numbers of what happened since the cell was taken over, and of what is there.
    #[derive(Default)]
    pub struct Counts {
        /// Tasks that wait, by urgency.
        pub waiting: BTreeMap<Urgency, u64>,
        /// Tasks in each state.
        pub states: BTreeMap<State, u64>,
        /// Jobs that can't run at present.
        pub parked_jobs: u64,
        /// Jobs accepted.
        pub accepted: u64,
        /// Jobs refused.
        pub refused: u64,
        /// Tasks placed.
        pub placed: u64,
        /// Tasks taken off their worker.
        pub evicted: u64,
        /// Steps by which a task was throttled.
        pub throttled: u64,
        /// Attempts that failed.
        pub failed: u64,
        /// Tasks given up on a worker that is gone or silent.
        pub lost: u64,
        /// Times that a worker was quarantined.
        pub quarantined: u64,
        /// Deadlines missed.
        pub missed: u64,
        /// Words of workers under superseded tokens.
        pub stale: u64,
    }
}

data! {
    /// State of a cell, for gossip and metrics.
    pub struct Status {
        /// Size of all workers that may be given tasks, and of those that run some.
        pub capacity: Size,
        /// Size reserved.
        pub reserved: Size,
        /// Workers by their size, with the number of them and what is free there in sum.
        pub free: BTreeMap<Size, (u32, Size)>,
        /// Workers that have not answered under the epoch of the cell.
        pub unfenced: u64,
        /// Workers that may be given tasks now.
        pub available_workers: u64,
        /// Jobs that have not ended.
        pub jobs: u64,
        /// Records that are not durable yet.
        pub unwritten: u64,
        /// Numbers of what happened and of what is there.
        pub counts: Counts,
    }
}

impl Cell {
    /// Returns the state of the cell; the cost grows with the number of workers.
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
