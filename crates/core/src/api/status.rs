//! The state of the entry instances.

use serde::{Deserialize, Serialize};

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Entry instances in the order of their names.
    pub instances: Vec<Instance>,
    /// Newest accepted version of the configuration that the answering instance knows.
    pub version: u64,
    /// Newest change, missing before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_change: Option<Change>,
    /// State of the platform's store.
    pub store: Store,
}

/// One entry instance as the answering one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the entry instance.
    pub name: String,
    /// Failure domain of the entry instance.
    pub domain: String,
    /// State of the entry instance.
    pub state: InstanceState,
    /// Incarnation, larger after each start.
    pub incarnation: u64,
    /// Version of the configuration in force there.
    pub version: u64,
    /// Free slots of the executors that it owns.
    pub free_slots: u32,
    /// Tasks that run on the workers that it owns.
    pub running_tasks: u64,
}

/// State of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats have been missing for a short time.
    Suspect,
    /// Takes no new work and finishes what is in progress.
    Draining,
    /// Thought to be gone.
    Dead,
}

impl InstanceState {
    /// Returns the word used in tables and JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Draining => "draining",
            Self::Dead => "dead",
        }
    }
}

impl std::fmt::Display for InstanceState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

/// A change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the change.
    pub version: u64,
    /// Time from acceptance until all instances ran it, in milliseconds; missing until then.
    pub in_force_ms: Option<u64>,
}

/// The platform's store as the answering instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// State of the store.
    pub state: StoreState,
}

/// State of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// Answers in time.
    Up,
    /// Answers late.
    Slow,
    /// Does not answer.
    Down,
}

impl StoreState {
    /// Returns the word used in tables and JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Slow => "slow",
            Self::Down => "down",
        }
    }
}

impl std::fmt::Display for StoreState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

/// Body of `POST /v1/drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Name of the entry instance that is to leave.
    pub instance: String,
}
