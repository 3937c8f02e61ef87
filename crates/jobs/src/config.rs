//! Configuration that operators write: queues, services and limits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

use crate::id::{QueueName, ServiceName};
use crate::record::json_bytes;

data! {
    /// Duration of queries to the advice service and validity of its advice.
    ///
    /// The service decides which executors may run a step.
    #[derive(Copy)]
    pub struct AdviceSettings {
        /// Time that the service takes for each query.
        pub query_time: Span,
        /// Additional time that the service takes for each executor named in a query.
        pub per_executor: Span,
        /// Time for which the advice is valid.
        pub valid: Span,
    }
}

data! {
    /// A queue to which callers submit jobs.
    pub struct Queue {
        /// Name that is unique among the queues.
        pub name: QueueName,
        /// Host of the requests that submit to the queue.
        pub host: String,
        /// Path prefix of the requests that submit to the queue.
        pub prefix: String,
        /// Service whose executors run the tasks of the queue.
        pub service: ServiceName,
        /// Priority; 0 is the highest.
        pub priority: u32,
        /// Number of failed runs of a task after which its job fails.
        pub max_attempts: u32,
        /// Factor on the job's critical path. The latency objective is `stretch` times the
        /// critical path plus `objective`.
        pub stretch: f64,
        /// Time that the latency objective allows in addition to the stretched critical path.
        pub objective: Span,
        /// Settings of the advice service, for a queue whose policy restricts the executors of
        /// its steps; `None` if the queue has no policy.
        pub advice: Option<AdviceSettings>,
    }
}

data! {
    /// Settings of a queue that decide how its jobs run, as stored with each job.
    #[derive(Serialize, Deserialize)]
    pub struct Terms {
        #[serde(default, skip_serializing_if = "String::is_empty")]
        host: String,
        #[serde(default, skip_serializing_if = "String::is_empty")]
        prefix: String,
        service: ServiceName,
        priority: u32,
        #[serde(rename = "attempts")]
        max_attempts: u32,
        stretch: f64,
        objective_ms: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        advice: Option<AdviceTerms>,
    }
}

data! {
    /// Settings of the advice service, as stored with each job of a queue with a policy.
    #[derive(Copy, Serialize, Deserialize)]
    struct AdviceTerms {
        query_ms: u64,
        per_executor_ms: u64,
        valid_ms: u64,
    }
}

data! {
    /// A service, whose executors run tasks.
    #[derive(Copy)]
    pub struct Service {
        /// Whether the executors refuse tasks that exceed their capacity.
        pub enforces_capacity: bool,
        /// Whether the machines of the service are switched off.
        pub standby: bool,
    }
}

data! {
    /// Limits on the requests and connections of callers.
    #[derive(Copy)]
    pub struct Limits {
        /// Maximum size of a request's head, in bytes.
        pub max_head_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub max_body_bytes: usize,
        /// Maximum time to receive a request's head, from its first byte.
        pub head_timeout: Span,
        /// Maximum time that a connection may be idle.
        pub idle_timeout: Span,
    }
}

data! {
    /// A version of the configuration.
    pub struct Config {
        /// Version number; each new configuration has a higher one.
        pub version: u64,
        /// All queues, by name.
        pub queues: BTreeMap<QueueName, Queue>,
        /// All services, by name.
        pub services: BTreeMap<ServiceName, Service>,
        /// Limits that apply to all callers.
        pub limits: Limits,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            head_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

impl Terms {
    /// Returns the settings of a queue.
    pub fn of(queue: &Queue) -> Self {
        let advice = queue.advice.map(|advice| AdviceTerms {
            query_ms: advice.query_time.as_ms(),
            per_executor_ms: advice.per_executor.as_ms(),
            valid_ms: advice.valid.as_ms(),
        });
        Self {
            host: queue.host.clone(),
            prefix: queue.prefix.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            stretch: queue.stretch,
            objective_ms: queue.objective.as_ms(),
            advice,
        }
    }

    /// Returns the length of the texts in these settings, in bytes of their JSON form.
    pub(crate) fn text_bytes(&self) -> usize {
        json_bytes(self.service.as_str()) + json_bytes(&self.host) + json_bytes(&self.prefix)
    }

    /// Returns a queue with these settings. Rows of earlier versions tell no path, which is empty then.
    pub(crate) fn into_queue(self, name: &QueueName) -> Queue {
        let advice = self.advice.map(|advice| AdviceSettings {
            query_time: Span::from_ms(advice.query_ms),
            per_executor: Span::from_ms(advice.per_executor_ms),
            valid: Span::from_ms(advice.valid_ms),
        });
        Queue {
            name: name.clone(),
            host: self.host,
            prefix: self.prefix,
            service: self.service,
            priority: self.priority,
            max_attempts: self.max_attempts,
            stretch: self.stretch,
            objective: Span::from_ms(self.objective_ms),
            advice,
        }
    }
}

impl Queue {
    /// Returns whether `other`, which has the name of this queue in another configuration, is a
    /// queue of its own: other requests submit to it, and their jobs run on another service.
    pub(crate) fn is_replaced_by(&self, other: &Self) -> bool {
        let has_path = !self.host.is_empty() || !self.prefix.is_empty();
        let is_at_path = self.host == other.host && self.prefix == other.prefix;
        has_path && !is_at_path && self.service != other.service
    }
}

impl Config {
    /// Returns the queue for a request to `host` and `path`, if there is one.
    ///
    /// If the prefixes of several queues match the path, the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
