//! Executors as they describe themselves, and what they answer.

use sycamorerill_core::clock::Span;
use sycamorerill_core::{data, value};

pub use crate::id::Ticket;
use crate::id::{DomainName, ExecutorId, Label, Run, ServiceName, TaskId};
use crate::spec::Room;

value! {
    /// Instant of an executor's own steady clock, in milliseconds.
    pub struct Steady(pub u64);
}

value! {
    /// Start of an executor's present life, in milliseconds since 1970.
    pub struct Born(pub u64);
}

value! {
    /// Whether an executor takes work.
    pub enum Standing {
        /// It does.
        Ready,
        /// It finishes what it has and leaves.
        Draining,
    }
}

data! {
    /// An executor as listed in the platform's store.
    pub struct Listed {
        /// Its name.
        pub id: ExecutorId,
        /// Start of its present life.
        pub born: Born,
        /// Address for orders.
        pub address: std::net::SocketAddr,
        /// Its service.
        pub service: ServiceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Whether it takes work.
        pub standing: Standing,
        /// How much longer it remains slow after its start.
        pub cold: Span,
        /// Least time until it leaves, where it drains.
        pub remaining: Option<Span>,
        /// What it holds.
        pub capacity: Room,
        /// Its kind and its rack.
        pub labels: Vec<Label>,
        /// Its clock when it wrote the entry.
        pub clock: Steady,
    }
}

data! {
    /// A task that an executor runs.
    pub struct Running {
        /// The task.
        pub task: TaskId,
        /// Its run.
        pub run: Run,
        /// Latest checkpoint, empty where there is none.
        pub saved: String,
        /// Progress, or share at work, in percent.
        pub percent: u32,
        /// Tail of response times in milliseconds for a task that serves, thousandths
        /// of a core in use for any other, over the last half second.
        pub load: Option<u64>,
    }
}

value! {
    /// How a run ended.
    pub enum How {
        /// Finished.
        Done,
        /// Failed, through its own fault or the executor's.
        Failed,
        /// Stopped by order.
        Stopped,
        /// Killed because the lease had expired.
        Lapsed,
        /// Ended because another member of its gang ended.
        Broken,
        /// Waited too long for the other members of its gang.
        Alone,
    }
}

data! {
    /// The end of a run.
    pub struct Ended {
        /// Number of the end in this life of the executor, from 1.
        pub number: u64,
        /// The task.
        pub task: TaskId,
        /// Its run.
        pub run: Run,
        /// How it ended.
        pub how: How,
        /// Latest checkpoint, empty where there is none.
        pub saved: String,
    }
}

data! {
    /// What an executor holds.
    pub struct Report {
        /// Start of its present life, where it says so.
        pub born: Option<Born>,
        /// Its clock.
        pub clock: Steady,
        /// Tasks that run.
        pub running: Vec<Running>,
        /// Ends that were not yet forgotten.
        pub ended: Vec<Ended>,
    }
}

data! {
    /// What the advice service says of some executors.
    pub struct Permits {
        /// Executors that may run the step, each with its ticket.
        pub good: Vec<(ExecutorId, Ticket)>,
        /// How long the tickets are valid.
        pub valid: Span,
    }
}

value! {
    /// Why an executor refused an order.
    pub enum Refusal {
        /// A higher fencing token was seen there.
        Fence,
        /// The run is not higher than one that was stopped or ended there.
        Old,
        /// The deadline of the order has passed.
        Late,
        /// The task does not fit.
        Room,
        /// The ticket is missing or no longer valid.
        Ticket,
        /// The executor is another life than the one addressed.
        Incarnation,
        /// The executor is unhealthy and has done nothing.
        Unhealthy,
        /// The order can't be read.
        Malformed,
    }
}

data! {
    /// The outcome of an order.
    #[derive(Copy)]
    pub enum Answer {
        /// Carried out; the executor's clock is given.
        Done(Steady),
        /// Refused; nothing was done.
        Refused(Refusal, Option<Steady>),
        /// The connection could not be opened: nothing was sent.
        NotSent,
        /// No answer: it may have been carried out, or be so later.
        Unknown,
    }
}

impl Listed {
    /// Returns the rack, the label that follows the kind.
    pub fn rack(&self) -> Option<&Label> {
        self.labels.get(1)
    }
}
