//! Faults by what they befall.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sycamorerill_clients::wire;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{InstanceName, JobName};

use super::select::Select;

/// Answers lost after the request took effect; their connections are closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Loss {
    /// Number of the next answers that are lost.
    pub next: u64,
    /// Share of all answers that are lost, from 0 to 1.
    pub share: f64,
}

/// Faults of the table, the object store or the instance list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Answers 503 and does nothing.
    pub down: bool,
    /// Does nothing and gives no answer while this is set.
    pub hang: bool,
    /// Time added to each request, before it takes effect.
    #[serde(rename = "slow_ms", with = "wire::span")]
    pub slow: Span,
    /// Answers lost after the request took effect.
    pub lose: Loss,
    /// Clients whose requests do nothing and get no answer.
    pub cut_off: BTreeSet<InstanceName>,
}

/// Faults of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Work {
    /// Each task that it starts fails.
    pub fails_everything: bool,
    /// Gives no answer and carries out nothing while its tasks go on.
    pub unreachable: bool,
    /// Stands still for this time from now, tasks and answers alike.
    #[serde(rename = "pause_ms", with = "wire::span")]
    pub pause: Span,
    /// Lost with all its tasks, and refuses connections.
    pub gone: bool,
    /// Number of the next answers that are lost after the commands took effect.
    pub lose_next: u64,
    /// Entry instances for which the worker is unreachable.
    pub cut_off: BTreeSet<InstanceName>,
}

/// Faults of an executor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Execute {
    /// Factor on the run times.
    pub slow: f64,
    /// Share of the calls that run and answer 500, from 0 to 1.
    pub failing: f64,
    /// Refuses each call before running it.
    pub refusing: bool,
    /// Share of the calls that run and whose answers are cut short, from 0 to 1.
    pub cut: f64,
    /// Share of the calls that run and answer with another identity, from 0 to 1.
    pub misdirect: f64,
    /// Answers only this long after the deadline of the call, if longer than zero.
    #[serde(rename = "late_ms", with = "wire::span")]
    pub late: Span,
    /// Closes each connection without running anything.
    pub gone: bool,
    /// Takes no new calls: refuses them before running.
    pub leaving: bool,
    /// Entry instances whose calls do not run and get no answer.
    pub cut_off: BTreeSet<InstanceName>,
}

impl Default for Execute {
    fn default() -> Self {
        Self {
            slow: 1.0,
            failing: 0.0,
            refusing: false,
            cut: 0.0,
            misdirect: 0.0,
            late: Span::ZERO,
            gone: false,
            leaving: false,
            cut_off: BTreeSet::new(),
        }
    }
}

/// A switch of faults: what it names has the given faults and no others from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "of", rename_all = "snake_case")]
pub enum Fault {
    /// Faults of the table.
    Table(Service),
    /// Faults of the object store.
    Objects(Service),
    /// Faults of the instance list.
    Instances(Service),
    /// Faults of workers.
    Workers {
        /// Workers that the faults are for.
        select: Select,
        /// Their faults.
        #[serde(flatten)]
        faults: Work,
    },
    /// Faults of executors.
    Executors {
        /// Executors that the faults are for.
        select: Select,
        /// Their faults.
        #[serde(flatten)]
        faults: Execute,
    },
    /// Whether every task of a job fails on every worker.
    Job {
        /// Job.
        name: JobName,
        /// Whether its tasks fail.
        fails: bool,
    },
    /// Ends every fault.
    None,
}

/// Every fault that is switched on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Faults of the table.
    pub table: Service,
    /// Faults of the object store.
    pub objects: Service,
    /// Faults of the instance list.
    pub instances: Service,
    /// Faults of workers, by name.
    pub workers: BTreeMap<String, Work>,
    /// Faults of executors, by name.
    pub executors: BTreeMap<String, Execute>,
    /// Jobs whose tasks fail on every worker.
    pub jobs: BTreeSet<JobName>,
}
