//! Configuration that operators declare: services, classes of jobs, teams, targets,
//! failure domains and policy.

use std::collections::BTreeMap;

use crate::clock::Span;
use crate::id::{ClassName, DomainName, ServiceName, TargetName, TeamName, Version};
use crate::money::Amount;
use crate::rate::{PerSecond, Share};
use crate::size::Size;
use crate::{data, value};

value! {
    /// Priority of a call or a task; work of a later variant runs first.
    #[derive(Default)]
    pub enum Urgency {
        /// The work runs after all other work.
        Low,
        /// Default for work that states no urgency.
        #[default]
        Normal,
        /// The work runs before work of normal urgency.
        High,
        /// The work runs before all other work, for example while a customer waits for the answer.
        Urgent,
    }
}

impl Urgency {
    /// Every urgency, least urgent first.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Urgent];

    /// Returns the name used in files, logs and metrics.
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

/// Error of parsing an urgency from an unknown name.
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
        /// Team that owns the service; its load counts against this team by default.
        pub team: TeamName,
        /// Urgency of a call whose caller states none.
        pub urgency: Urgency,
        /// Whether a call may run twice without further effect.
        pub idempotent: bool,
        /// Time limit of a call whose caller states no deadline.
        pub deadline: Span,
        /// Maximum time for which one call occupies a slot of an executor.
        pub longest_run: Span,
        /// Number of calls that each executor runs at once.
        pub slots: u32,
        /// Maximum size of the body of a request or an answer, in bytes.
        pub max_body: u64,
        /// Retention time of the idempotency key of a non-idempotent call.
        pub key_retention: Span,
        /// Rate of calls for which capacity is planned.
        pub rate: PerSecond,
    }
}

data! {
    /// A class of jobs that share a size, a run time and a deadline.
    pub struct Class {
        /// Name of the class.
        pub name: ClassName,
        /// Declared size of a task.
        pub size: Size,
        /// Declared run time of a task; zero in a class whose tasks run until cancelled.
        pub run_time: Span,
        /// Time from submission to the deadline of a job of the class.
        pub deadline: Span,
        /// Urgency of a job that states none.
        pub urgency: Urgency,
        /// Whether a task can be checkpointed and resumed from the checkpoint.
        pub checkpoint: bool,
        /// Maximum number of attempts at one task.
        pub attempts: u32,
        /// Whether the tasks serve callers and run until they are cancelled.
        pub service: bool,
    }
}

data! {
    /// A team, to which calls and tasks are charged.
    pub struct Team {
        /// Name of the team.
        pub name: TeamName,
        /// Weight of the team in the fair sharing of calls and of workers.
        pub weight: u32,
        /// Size that the team's tasks may occupy at any time without borrowing.
        pub quota: Size,
        /// Whether the team may use capacity that other teams leave idle.
        pub borrow: bool,
    }
}

data! {
    /// Condition that a target measures.
    pub enum Goal {
        /// A call of the service is answered within the span.
        Answer {
            /// Service that the target is for.
            service: ServiceName,
            /// Maximum time to the complete answer.
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
    /// A service-level target and the penalty for each miss.
    pub struct Target {
        /// Name of the target.
        pub name: TargetName,
        /// Condition that each call or job is measured against.
        pub goal: Goal,
        /// Share of the calls or jobs that must meet the goal.
        pub share: Share,
        /// Penalty for each call or job that misses the goal.
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
        /// Size of each worker in the domain.
        pub worker: Size,
        /// Number of workers in a rack.
        pub rack: u32,
        /// Number of executors.
        pub executors: u32,
    }
}

data! {
    /// Scheduling settings that operators may change.
    pub struct Policy {
        /// Number of retries allowed, as a share of first attempts.
        pub retry_budget: Share,
        /// Number of evictions allowed in a minute, as a share of running tasks.
        pub eviction_budget: Share,
        /// Margin added to sizes estimated from measured usage.
        pub size_margin: Share,
        /// Duration of a task's lease on a worker.
        pub task_lease: Span,
        /// Maximum number of calls that wait in an entry instance.
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
    /// The configuration of one version, merged from all files.
    #[derive(Default)]
    pub struct Config {
        /// Version of the configuration, 0 before the first is accepted.
        pub version: Version,
        /// Services, keyed by name.
        pub services: BTreeMap<ServiceName, Service>,
        /// Classes of jobs, keyed by name.
        pub classes: BTreeMap<ClassName, Class>,
        /// Teams, keyed by name.
        pub teams: BTreeMap<TeamName, Team>,
        /// Targets, keyed by name.
        pub targets: BTreeMap<TargetName, Target>,
        /// Failure domains, keyed by name.
        pub domains: BTreeMap<DomainName, Domain>,
        /// Scheduling settings.
        pub policy: Policy,
    }
}
