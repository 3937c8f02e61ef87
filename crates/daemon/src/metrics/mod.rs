//! Metrics of the entry instance in the Prometheus text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sycamorerill_core::id::ServiceName;

/// Upper bound of the first latency bucket in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of latency buckets; each bound is twice the previous one.
const BUCKET_COUNT: u16 = 14;

/// The outcome of a call, as the value of the label `outcome`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Outcome {
    Answered,
    Repeat,
    NotRun,
    Unknown,
}

impl Outcome {
    /// Returns the label value of the outcome.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Repeat => "repeat",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl EncodeLabelValue for Outcome {
    fn encode(&self, to: &mut LabelValueEncoder<'_>) -> std::fmt::Result {
        std::fmt::Write::write_str(to, self.as_str())
    }
}

/// Labels of metrics by service and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    service: String,
    outcome: Outcome,
}

/// Labels of metrics by service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Labels of metrics by target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TargetLabels {
    target: String,
}

/// Labels of metrics by kind or state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// All metrics of one entry instance.
pub(crate) struct Metrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    latency: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    missed: Family<TargetLabels, Counter>,
    sent: Family<KindLabels, Counter>,
    owned: Family<KindLabels, Gauge>,
    tasks: Family<KindLabels, Gauge>,
    version: Gauge,
    queue: Gauge,
    connections: Gauge,
    store_up: Gauge,
    evictions: Counter,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

impl Metrics {
    /// Returns metrics with all values at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("sycamorerill"),
            calls: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            missed: Family::default(),
            sent: Family::default(),
            owned: Family::default(),
            tasks: Family::default(),
            version: Gauge::default(),
            queue: Gauge::default(),
            connections: Gauge::default(),
            store_up: Gauge::default(),
            evictions: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Calls by service and outcome", self.calls.clone());
        let help = "Time from the whole request to the outcome, in seconds";
        registry.register("call_seconds", help, self.latency.clone());
        registry.register("targets_missed", "Missed targets", self.missed.clone());
        registry.register("sent", "Messages sent, by kind", self.sent.clone());
        registry.register("shards_owned", "Shards owned, by kind", self.owned.clone());
        registry.register("tasks", "Tasks of the owned cells, by state", self.tasks.clone());
        registry.register("config_version", "Configuration in force", self.version.clone());
        registry.register("hub_queue", "Messages that wait for the hub", self.queue.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, self.connections.clone());
        let help = "Whether the platform's store answers";
        registry.register("store_up", help, self.store_up.clone());
        registry.register("evictions", "Tasks evicted", self.evictions.clone());
    }

    /// Counts a finished call and records its duration in seconds.
    pub(crate) fn call_ended(&self, service: &ServiceName, outcome: Outcome, seconds: f64) {
        let service = service.to_string();
        let labels = ServiceLabels { service: service.clone() };
        self.latency.get_or_create(&labels).observe(seconds);
        self.calls.get_or_create(&CallLabels { service, outcome }).inc();
    }

    /// Counts a missed target.
    pub(crate) fn target_missed(&self, target: &str) {
        self.missed.get_or_create(&TargetLabels { target: target.to_owned() }).inc();
    }

    /// Counts a sent message of one kind.
    pub(crate) fn message_sent(&self, kind: &'static str) {
        self.sent.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts an evicted task.
    pub(crate) fn task_evicted(&self) {
        self.evictions.inc();
    }

    /// Sets the number of owned shards of one kind.
    pub(crate) fn set_owned_shards(&self, kind: &'static str, number: usize) {
        self.owned.get_or_create(&KindLabels { kind }).set(to_gauge(number));
    }

    /// Sets the number of tasks in one state.
    pub(crate) fn set_tasks(&self, kind: &'static str, number: usize) {
        self.tasks.get_or_create(&KindLabels { kind }).set(to_gauge(number));
    }

    /// Sets the version of the configuration in force.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the length of the hub's queue and the number of callers' connections.
    pub(crate) fn set_load(&self, queue: usize, connections: usize) {
        self.queue.set(to_gauge(queue));
        self.connections.set(to_gauge(connections));
    }

    /// Sets whether the store answers.
    pub(crate) fn set_store_up(&self, up: bool) {
        self.store_up.set(i64::from(up));
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail, and no encoder of a metric here returns an error.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn to_gauge(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
