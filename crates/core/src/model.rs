//! What operators declare: services, classes of jobs, targets, teams and policy.

use std::collections::BTreeMap;

use crate::clock::Span;
use crate::id::{ClassName, DomainName, ServiceName, TargetName, TeamName, Version};
use crate::money::Amount;
use crate::rate::{PerSecond, Share};
use crate::size::Size;
use crate::{data, value};

value! {
    /// How urgent a call or a task is; a later variant goes first.
    #[derive(Default)]
    pub enum Urgency {
        /// May wait for everything else.
        Low,
        /// Ordinary work.
        #[default]
        Normal,
        /// Goes before ordinary work.
        High,
        /// Somebody waits at the counter.
        Urgent,
    }
}

impl Urgency {
    /// Every urgency, least urgent first.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Urgent];

    /// Returns the word used in files, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Urgent => "urgent",
        }
    }
}

impl std::fmt::Display for Urgency {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

/// Error for a word that names no urgency.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not an urgency, expected low, normal, high or urgent")]
pub struct UrgencyError(pub String);

impl std::str::FromStr for Urgency {
    type Err = UrgencyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|urgency| urgency.as_str() == text);
        found.ok_or_else(|| UrgencyError(text.to_owned()))
    }
}

data! {
    /// A service that answers calls on executors.
    pub struct Service {
        /// Name of the service.
        pub name: ServiceName,
        /// Team that owns the service and is charged with its load by default.
        pub team: TeamName,
        /// Urgency of a call that states none.
        pub urgency: Urgency,
        /// Whether running a call twice is harmless.
        pub idempotent: bool,
        /// Time a call may take when its caller states none.
        pub deadline: Span,
        /// Longest time one call occupies a slot of an executor.
        pub longest_run: Span,
        /// Slots of each executor.
        pub slots: u32,
        /// Largest body of a request or an answer, in bytes.
        pub max_body: u64,
        /// How long the key of a non-idempotent call is kept.
        pub key_retention: Span,
        /// Rate of calls for which the service is sized.
        pub rate: PerSecond,
    }
}

data! {
    /// A class of jobs.
    pub struct Class {
        /// Name of the class.
        pub name: ClassName,
        /// Size of a task as declared.
        pub size: Size,
        /// Run time of a task as declared.
        pub run_time: Span,
        /// Time from submission by which a job of the class must have finished.
        pub deadline: Span,
        /// Urgency of a job that states none.
        pub urgency: Urgency,
        /// Whether a task can be checkpointed and resumed.
        pub checkpoint: bool,
        /// Largest number of attempts at one task.
        pub attempts: u32,
        /// Whether the tasks run until they are cancelled and serve callers.
        pub service: bool,
    }
}

data! {
    /// A team with its share of calls and its quota of workers.
    pub struct Team {
        /// Name of the team.
        pub name: TeamName,
        /// Weight in the fair sharing of calls and of workers.
        pub weight: u32,
        /// Size that the team may hold at any time without borrowing.
        pub quota: Size,
        /// Whether the team may borrow what others leave idle.
        pub borrow: bool,
    }
}

data! {
    /// What a target measures.
    pub enum Goal {
        /// A call of the service is answered within the span.
        Answer {
            /// Service that the target is for.
            service: ServiceName,
            /// Longest time to the whole answer.
            within: Span,
        },
        /// A job of the class finishes by its deadline.
        Deadline {
            /// Class that the target is for.
            class: ClassName,
        },
    }
}

data! {
    /// A target with the penalty for each miss.
    pub struct Target {
        /// Name of the target.
        pub name: TargetName,
        /// What is measured.
        pub goal: Goal,
        /// Share of the measured things that must meet the goal.
        pub share: Share,
        /// Penalty for each miss.
        pub penalty: Amount,
    }
}

data! {
    /// Declared capacity of one failure domain.
    pub struct Domain {
        /// Name of the failure domain.
        pub name: DomainName,
        /// Number of workers.
        pub workers: u32,
        /// Size of each worker.
        pub worker: Size,
        /// Number of workers in a rack.
        pub rack: u32,
        /// Number of executors.
        pub executors: u32,
    }
}

data! {
    /// Settings of the decisions that operators may change.
    pub struct Policy {
        /// Retries allowed as a share of first attempts.
        pub retry_budget: Share,
        /// Evictions allowed in a minute as a share of running tasks.
        pub eviction_budget: Share,
        /// Margin added to learned sizes.
        pub size_margin: Share,
        /// Term of a task's lease on a worker.
        pub task_lease: Span,
        /// Longest queue of waiting calls in an entry instance.
        pub max_queue: u32,
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            retry_budget: Share::new(0.1),
            eviction_budget: Share::new(0.02),
            size_margin: Share::new(0.15),
            task_lease: Span::from_secs(10),
            max_queue: 2_000,
        }
    }
}

data! {
    /// The merged configuration of one version.
    #[derive(Default)]
    pub struct Config {
        /// Version, zero before the first one is accepted.
        pub version: Version,
        /// Services by name.
        pub services: BTreeMap<ServiceName, Service>,
        /// Classes of jobs by name.
        pub classes: BTreeMap<ClassName, Class>,
        /// Teams by name.
        pub teams: BTreeMap<TeamName, Team>,
        /// Targets by name.
        pub targets: BTreeMap<TargetName, Target>,
        /// Failure domains by name.
        pub domains: BTreeMap<DomainName, Domain>,
        /// Settings of the decisions.
        pub policy: Policy,
    }
}
