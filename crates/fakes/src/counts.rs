//! Counters of the stand-ins.

use serde::{Deserialize, Serialize};

/// Counters of requests to the table or to the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// Reads since the start.
    pub reads: u64,
    /// Writes since the start.
    pub writes: u64,
    /// Largest number of reads in one second.
    pub peak_reads: u64,
    /// Largest number of writes in one second.
    pub peak_writes: u64,
    /// Requests without effect: answered 503, or left without an answer by a hang or a cut-off.
    pub failed: u64,
}

/// Counters of commands to workers and of the tasks that the workers ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workers {
    /// Starts that did not fit into the unallocated part of a worker's size.
    pub overcommitted: u64,
    /// Starts of a task that was running on another worker at that moment.
    pub doubled: u64,
    /// Finishes of a task that had finished before.
    pub finished_twice: u64,
    /// Resumes from a checkpoint that another placement had already resumed from.
    pub resumed_twice: u64,
    /// Tasks started.
    pub started: u64,
    /// Tasks resumed from a checkpoint.
    pub resumed: u64,
    /// Tasks finished.
    pub finished: u64,
    /// Tasks failed.
    pub failed: u64,
    /// Tasks checkpointed.
    pub checkpointed: u64,
    /// Tasks stopped by a command without a checkpoint.
    pub stopped: u64,
    /// Tasks that the workers stopped because their leases lapsed.
    pub lease_lapsed: u64,
    /// Running tasks that were lost when their worker was lost.
    pub lost: u64,
    /// Tasks that the memory guards of the workers ended.
    pub guarded: u64,
    /// Tasks started on a worker that had been leaving for longer than `Settings::leave_grace`.
    pub after_leaving: u64,
    /// Exchanges refused because their epoch was lower than the highest that the worker received.
    pub fenced: u64,
    /// Exchanges whose commands were executed.
    pub exchanges: u64,
    /// Tasks running at the time of the snapshot.
    pub running: u64,
}

/// Counters of calls and connections of executors.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executors {
    /// Calls that ran although all slots of the executor were in use.
    pub overcommitted: u64,
    /// Connections opened above the connection limit of the executor.
    pub overconnected: u64,
    /// Calls that ran.
    pub ran: u64,
    /// Calls to an executor that had been leaving for longer than `Settings::leave_grace`.
    pub after_leaving: u64,
    /// Calls refused before running.
    pub refused: u64,
    /// Repeated runs of a request identity: every run after the first counts.
    pub ran_twice: u64,
    /// Repeated runs of an idempotency key: every run after the first counts.
    pub keys_ran_twice: u64,
    /// Calls running at the time of the snapshot.
    pub running: u64,
    /// Connections open at the time of the snapshot.
    pub connected: u64,
    /// Largest number of calls that ran at once on one executor.
    pub peak_running: u64,
    /// Largest number of connections of one executor at once.
    pub peak_connections: u64,
}

/// Snapshot of all counters since the stand-ins started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests to the table.
    pub table: Store,
    /// Requests to the object store.
    pub objects: Store,
    /// Counters summed over all workers.
    pub workers: Workers,
    /// Counters over all executors: sums, except for the peaks, which are maxima.
    pub executors: Executors,
}
