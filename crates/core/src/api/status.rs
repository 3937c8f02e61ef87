//! Bodies for the state of the entry instances and for draining one.

use serde::{Deserialize, Serialize};

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Entry instances, sorted by name.
    pub instances: Vec<Instance>,
    /// Newest accepted configuration version that the responding instance has received.
    pub version: u64,
    /// Newest change of the configuration, absent before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_change: Option<Change>,
    /// State of the platform's store.
    pub store: Store,
}

/// State of one entry instance as last received by the responding instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the entry instance.
    pub name: String,
    /// Failure domain of the entry instance.
    pub domain: String,
    /// Liveness of the entry instance.
    pub state: InstanceState,
    /// Incarnation number, larger after each start.
    pub incarnation: u64,
    /// Version of the configuration that the instance applies.
    pub version: u64,
    /// Number of free slots of the executors that the instance owns.
    pub free_slots: u32,
    /// Number of tasks running on the workers that the instance owns.
    pub running_tasks: u64,
}

/// State of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Heartbeats arrive in time.
    Alive,
    /// Heartbeats have been missing for a short time.
    Suspect,
    /// The instance finishes its work in progress and takes no new work.
    Draining,
    /// Heartbeats have been missing for so long that the instance counts as failed.
    Dead,
}

impl InstanceState {
    /// Returns the name used in tables and JSON.
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
    /// Version that the change created.
    pub version: u64,
    /// Time from acceptance until all instances applied the version, in milliseconds; absent
    /// until then.
    pub in_force_ms: Option<u64>,
}

/// The platform's store as observed by the responding instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Store {
    /// Availability of the store.
    pub state: StoreState,
}

/// State of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// The store responds in time.
    Up,
    /// The store responds late.
    Slow,
    /// The store does not respond.
    Down,
}

impl StoreState {
    /// Returns the name used in tables and JSON.
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
    /// Name of the entry instance to drain.
    pub instance: String,
}
