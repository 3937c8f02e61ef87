//! What the stand-ins counted.

use serde::{Deserialize, Serialize};

/// Requests to the table or the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// Reads since the start.
    pub reads: u64,
    /// Writes since the start.
    pub writes: u64,
    /// Most reads in one second.
    pub peak_reads: u64,
    /// Most writes in one second.
    pub peak_writes: u64,
    /// Requests answered 503, hung up on or cut off.
    pub failed: u64,
}

/// What workers were given and did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workers {
    /// Starts that would have given a worker more than its size.
    pub overcommitted: u64,
    /// Starts of a task that ran in another place at that moment.
    pub doubled: u64,
    /// Tasks that finished again after they had finished.
    pub finished_twice: u64,
    /// Resumes from a checkpoint that had been resumed from before.
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
    /// Tasks stopped on command.
    pub stopped: u64,
    /// Tasks that the workers stopped since their leases lapsed.
    pub lease_lapsed: u64,
    /// Tasks lost with their worker.
    pub lost: u64,
    /// Tasks that the guards ended.
    pub guarded: u64,
    /// Tasks started on a worker that had been leaving for longer than the grace.
    pub after_leaving: u64,
    /// Exchanges refused for their epoch.
    pub fenced: u64,
    /// Exchanges carried out.
    pub exchanges: u64,
    /// Tasks running now.
    pub running: u64,
}

/// What executors were given and did.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executors {
    /// Calls that found all slots of the executor in use.
    pub overcommitted: u64,
    /// Connections above those that the executor accepts.
    pub overconnected: u64,
    /// Calls run.
    pub ran: u64,
    /// Calls that reached an executor that had been leaving for longer than the grace.
    pub after_leaving: u64,
    /// Calls refused before running.
    pub refused: u64,
    /// Request identities that ran more than once.
    pub ran_twice: u64,
    /// Idempotency keys that ran more than once.
    pub keys_ran_twice: u64,
    /// Calls running now.
    pub running: u64,
    /// Connections open now.
    pub connected: u64,
    /// Most calls that ran at once on one executor.
    pub peak_running: u64,
    /// Most connections of one executor at once.
    pub peak_connections: u64,
}

/// What the stand-ins counted since they started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests to the table.
    pub table: Store,
    /// Requests to the object store.
    pub objects: Store,
    /// What workers were given and did.
    pub workers: Workers,
    /// What executors were given and did.
    pub executors: Executors,
}
