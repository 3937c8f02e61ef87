//! Faults of the services, of workers and of executors.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sycamorerill_clients::wire;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{InstanceName, JobName};

use super::select::Selector;

/// Selection of answers that are lost after the request took effect; their connections are closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Loss {
    /// Number of answers that are lost from now on.
    pub next: u64,
    /// Probability that any other answer is lost, from 0 to 1.
    pub share: f64,
}

/// Faults of the table, the object store or the instance list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Requests are answered with 503 and have no effect.
    pub down: bool,
    /// Requests have no effect and get no answer; their connections close when the fault ends.
    pub hang: bool,
    /// Delay added to each request before it takes effect.
    #[serde(rename = "slow_ms", with = "wire::span")]
    pub slow: Span,
    /// Answers that are lost after the request took effect.
    pub lose: Loss,
    /// Clients whose requests have no effect and get no answer.
    pub cut_off: BTreeSet<InstanceName>,
}

/// Faults of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerFaults {
    /// Every task that the worker starts from now on fails.
    pub fails_everything: bool,
    /// Exchanges have no effect and get no answer, while running tasks continue.
    pub unreachable: bool,
    /// Time from now for which tasks make no progress and exchanges wait; leases still lapse.
    #[serde(rename = "pause_ms", with = "wire::span")]
    pub pause: Span,
    /// The worker is lost with all its tasks, and connections are closed without an answer.
    pub gone: bool,
    /// Number of answers that are lost from now on, after the commands took effect.
    pub lose_next: u64,
    /// Entry instances for which the worker is unreachable.
    pub cut_off: BTreeSet<InstanceName>,
}

/// Faults of an executor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExecutorFaults {
    /// Factor by which run times are multiplied.
    pub slow: f64,
    /// Probability that a call runs and is answered with 500, from 0 to 1.
    pub failing: f64,
    /// Calls are refused before they run.
    pub refusing: bool,
    /// Probability that a call runs and its answer is truncated, from 0 to 1.
    pub cut: f64,
    /// Probability that a call runs and its answer carries another identity, from 0 to 1.
    pub misdirect: f64,
    /// Delay of an answer after the deadline of the call; zero answers without delay.
    #[serde(rename = "late_ms", with = "wire::span")]
    pub late: Span,
    /// Connections are closed without running the call.
    pub gone: bool,
    /// The executor is leaving and refuses calls before they run.
    pub leaving: bool,
    /// Entry instances whose calls do not run and get no answer.
    pub cut_off: BTreeSet<InstanceName>,
}

impl Default for ExecutorFaults {
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

/// Replaces the faults of the named part of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "of", rename_all = "snake_case")]
pub enum Fault {
    /// Faults of the table.
    Table(ServiceFaults),
    /// Faults of the object store.
    Objects(ServiceFaults),
    /// Faults of the instance list.
    Instances(ServiceFaults),
    /// Faults of workers.
    Workers {
        /// Workers that are affected.
        select: Selector,
        /// New faults of each of these workers.
        #[serde(flatten)]
        faults: WorkerFaults,
    },
    /// Faults of executors.
    Executors {
        /// Executors that are affected.
        select: Selector,
        /// New faults of each of these executors.
        #[serde(flatten)]
        faults: ExecutorFaults,
    },
    /// Whether every task of a job fails on every worker.
    Job {
        /// Name of the job.
        name: JobName,
        /// Whether tasks of the job that start from now on fail.
        fails: bool,
    },
    /// Ends every fault.
    None,
}

/// All faults that are set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Faults of the table.
    pub table: ServiceFaults,
    /// Faults of the object store.
    pub objects: ServiceFaults,
    /// Faults of the instance list.
    pub instances: ServiceFaults,
    /// Faults of workers, by name; workers without faults are left out.
    pub workers: BTreeMap<String, WorkerFaults>,
    /// Faults of executors, by name; executors without faults are left out.
    pub executors: BTreeMap<String, ExecutorFaults>,
    /// Jobs whose tasks fail on every worker.
    pub jobs: BTreeSet<JobName>,
}
