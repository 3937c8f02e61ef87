//! Executors: their entries in the store, their reports and the outcomes of orders.

use sycamorerill_core::clock::Span;
use sycamorerill_core::{data, value};

pub use crate::id::Ticket;
use crate::id::{DomainName, ExecutorId, Label, Run, ServiceName, TaskId};
use crate::spec::Resources;

value! {
    /// Instant of an executor's own monotonic clock, in milliseconds.
    pub struct Steady(pub u64);
}

value! {
    /// Incarnation of an executor, identified by its start in milliseconds since 1970.
    pub struct Incarnation(pub u64);
}

value! {
    /// Whether an executor accepts new tasks.
    pub enum Availability {
        /// The executor accepts new tasks.
        Ready,
        /// The executor finishes its tasks, accepts no new ones and leaves.
        Draining,
    }
}

data! {
    /// Entry of an executor in the platform's store.
    pub struct Registration {
        /// Name of the executor, which a later incarnation may reuse.
        pub id: ExecutorId,
        /// Current incarnation.
        pub incarnation: Incarnation,
        /// Address to which orders are sent.
        pub address: std::net::SocketAddr,
        /// Service to which the executor belongs.
        pub service: ServiceName,
        /// Failure domain in which the executor runs.
        pub domain: DomainName,
        /// Whether the executor accepts new tasks.
        pub availability: Availability,
        /// Remaining time in which the executor is slow after its start.
        pub warm_up: Span,
        /// Minimum time until the executor leaves, if it is draining.
        pub remaining: Option<Span>,
        /// Resources of the executor in total.
        pub capacity: Resources,
        /// Kind of the executor, followed by its rack.
        pub labels: Vec<Label>,
        /// Executor's clock when it wrote the entry.
        pub clock: Steady,
    }
}

data! {
    /// Report of a task that an executor is running.
    pub struct RunReport {
        /// Identifier of the task.
        pub task: TaskId,
        /// Number of the task's run.
        pub run: Run,
        /// Latest checkpoint, empty if there is none.
        pub checkpoint: String,
        /// Progress of the task, or the share of time in which it works, in percent.
        pub percent: u32,
        /// Load over the last half second: the tail of the response times in milliseconds
        /// for a latency-critical task, the processor time in use in thousandths of a
        /// core for any other task.
        pub load: Option<u64>,
    }
}

value! {
    /// Reason for the end of a run.
    pub enum EndReason {
        /// The task finished its work.
        Done,
        /// The run failed, through a fault of the task or of the executor.
        Failed,
        /// The run was stopped by an order.
        Stopped,
        /// The run was killed because its lease had expired.
        Lapsed,
        /// The run ended because another member of its gang ended.
        Broken,
        /// The run ended because it waited too long for the other members of its gang.
        Alone,
    }
}

data! {
    /// Report of the end of a run.
    pub struct RunEnd {
        /// Sequence number of the end in the executor's incarnation, starting at 1.
        pub number: u64,
        /// Identifier of the task.
        pub task: TaskId,
        /// Number of the task's run.
        pub run: Run,
        /// Reason for the end.
        pub reason: EndReason,
        /// Latest checkpoint, empty if there is none.
        pub checkpoint: String,
    }
}

data! {
    /// Runs of an executor, as it reports them.
    pub struct Report {
        /// Current incarnation, if the executor reports it.
        pub incarnation: Option<Incarnation>,
        /// Executor's clock when it sent the report.
        pub clock: Steady,
        /// Tasks that the executor is running.
        pub running: Vec<RunReport>,
        /// Ends of runs that the executor keeps until it is told that they are recorded.
        pub ended: Vec<RunEnd>,
        /// Highest number of an end that the executor keeps, also of runs that are no task's; 0 if
        /// it keeps none.
        pub latest_end: u64,
    }
}

data! {
    /// Advice of the advice service on some executors.
    pub struct Advice {
        /// Executors that may run the step, each with the ticket that permits it.
        pub permitted: Vec<(ExecutorId, Ticket)>,
        /// Time for which the tickets are valid.
        pub valid: Span,
    }
}

value! {
    /// Reason why an executor refused an order.
    pub enum Refusal {
        /// The executor has seen a higher fencing token.
        Fence,
        /// The number of the run is not higher than that of a run that was stopped or ended on
        /// the executor.
        Old,
        /// The deadline of the order has passed.
        Late,
        /// The executor lacks the resources for the task.
        Room,
        /// The ticket is missing or no longer valid.
        Ticket,
        /// Another executor has taken over the address that the order was sent to.
        Incarnation,
        /// The executor is unhealthy and did nothing.
        Unhealthy,
        /// The executor could not parse the order.
        Malformed,
    }
}

data! {
    /// Outcome of an order, as far as it is known.
    #[derive(Copy)]
    pub enum Outcome {
        /// The executor carried out the order; the value is its clock.
        Done(Steady),
        /// The executor refused the order and did nothing; the second value is its clock, if the
        /// answer gave it.
        Refused(Refusal, Option<Steady>),
        /// The order was not sent, as the connection could not be opened.
        NotSent,
        /// No answer came: the order may have been carried out, or may still be later.
        Unknown,
    }
}

impl Registration {
    /// Returns the rack, which is the label after the kind.
    pub fn rack(&self) -> Option<&Label> {
        self.labels.get(1)
    }
}
