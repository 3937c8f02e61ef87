//! What operators declare for jobs: queues, services and limits.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

use crate::id::{QueueName, ServiceName};

data! {
    /// How the executors that may run a step are learned from the advice service.
    #[derive(Copy)]
    pub struct Advice {
        /// Time that each question takes.
        pub decide: Span,
        /// Time that each executor named in a question takes besides.
        pub per_executor: Span,
        /// How long an answer is valid.
        pub valid: Span,
    }
}

data! {
    /// A queue to which callers submit jobs.
    pub struct Queue {
        /// Its name.
        pub name: QueueName,
        /// Host that callers name.
        pub host: String,
        /// Start of the path that callers name.
        pub prefix: String,
        /// Service whose executors run the tasks.
        pub service: ServiceName,
        /// Urgency; 0 comes first.
        pub priority: u32,
        /// Most times that a task may fail.
        pub attempts: u32,
        /// Factor on the longest chain of work that the objective allows.
        pub stretch: f64,
        /// Time that the objective allows besides.
        pub objective: Span,
        /// How executors are found that may run its steps.
        pub advice: Option<Advice>,
    }
}

data! {
    /// A service with executors.
    #[derive(Copy)]
    pub struct Service {
        /// Whether its executors refuse what does not fit.
        pub guards: bool,
        /// Whether its machines are off.
        pub standby: bool,
    }
}

data! {
    /// Limits on requests of callers.
    #[derive(Copy)]
    pub struct Limits {
        /// Most bytes of a request's head.
        pub head_bytes: usize,
        /// Most bytes of a request's body.
        pub body_bytes: usize,
        /// Longest time for a request's head.
        pub head_timeout: Span,
        /// Longest time that a connection may be idle.
        pub idle_timeout: Span,
    }
}

data! {
    /// A version of the configuration.
    pub struct Config {
        /// Its version; versions only grow.
        pub version: u64,
        /// Queues by name.
        pub queues: BTreeMap<QueueName, Queue>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, Service>,
        /// Limits on requests.
        pub limits: Limits,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

impl Config {
    /// Returns the queue that a request to `host` and `path` names: that with the
    /// longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
