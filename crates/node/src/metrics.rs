//! Counters, gauges and latency histograms of one instance, in the OpenMetrics format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::Outcome;
use sycamorerill_jobs::shard::{Closing, Decision};

use crate::frontend::Reply;

/// Upper bound of the first bucket, in seconds: the store answers in about 4 ms.
const FIRST_BUCKET: f64 = 0.004;
/// Number of buckets; each bound is twice the previous one, and the last is 16 s.
const BUCKET_COUNT: u16 = 13;

/// Labels of the counters by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Labels of the counter of orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    outcome: &'static str,
}

/// Labels of the counter of refusals by a listener.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabels {
    listener: &'static str,
    reason: &'static str,
}

/// Labels of the histogram of hop durations.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HopLabels {
    hop: &'static str,
}

/// A timed stage between the submission of a job and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// From a complete submission to the reply to its caller.
    Accepted,
    /// From the time at which a task could start to its placement.
    Placed,
    /// From the first attempt at an owner's transaction to its confirmation.
    Recorded,
    /// From sending an order to start a run to its answer.
    Started,
    /// From the acceptance of a job to its end.
    Finished,
}

/// All metrics of one instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    submissions: Family<OutcomeLabels, Counter>,
    hops: Family<HopLabels, Histogram, fn() -> Histogram>,
    orders: Family<OrderLabels, Counter>,
    closed: Family<OutcomeLabels, Counter>,
    finished: Family<OutcomeLabels, Counter>,
    tails: Family<OutcomeLabels, Counter>,
    locality: Family<OutcomeLabels, Counter>,
    reservations: Counter,
    held_back: Counter,
    unschedulable: Gauge,
    refusals: Family<ListenerLabels, Counter>,
    shards: Gauge,
    ticks_percent: Gauge,
    inbox: Gauge,
    evacuated_domains: Gauge,
    evacuated_runs: Gauge,
    expected_wait_ms: Gauge,
    version: Gauge,
    store_up: Gauge,
    dropped_lines: Gauge,
}

impl Hop {
    const fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Placed => "placed",
            Self::Recorded => "recorded",
            Self::Started => "started",
            Self::Finished => "finished",
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix("sycamorerill"),
            submissions: Family::default(),
            hops: Family::new_with_constructor(buckets),
            orders: Family::default(),
            closed: Family::default(),
            finished: Family::default(),
            tails: Family::default(),
            locality: Family::default(),
            reservations: Counter::default(),
            held_back: Counter::default(),
            unschedulable: Gauge::default(),
            refusals: Family::default(),
            shards: Gauge::default(),
            ticks_percent: Gauge::default(),
            inbox: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuated_runs: Gauge::default(),
            expected_wait_ms: Gauge::default(),
            version: Gauge::default(),
            store_up: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        metrics.clear_load();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let help = "Submitted jobs, by what their callers were told";
        registry.register("submissions", help, self.submissions.clone());
        registry.register("hop_seconds", "Time of a hop on a task's way", self.hops.clone());
        registry.register("orders", "Orders to executors, by outcome", self.orders.clone());
        registry.register("runs_closed", "Runs that are over, by evidence", self.closed.clone());
        registry.register("jobs_finished", "Jobs that ended, by state", self.finished.clone());
        let help = "Reports on latency-critical jobs, by whether their tails tell the utilization";
        registry.register("tail_reports", help, self.tails.clone());
        let help = "Waits for a place near the data or the group of tasks, begun and by their end";
        registry.register("locality_waits", help, self.locality.clone());
        let help = "Steps for which an executor was reserved";
        registry.register("reservations", help, self.reservations.clone());
        let help = "Steps placed after those of queues that use less";
        registry.register("steps_held_back", help, self.held_back.clone());
        let help = "Waiting steps of owned shards that no listed executor could run";
        registry.register("steps_unschedulable", help, self.unschedulable.clone());
        let help = "Requests refused and connections closed by a listener, by reason";
        registry.register("listener_refusals", help, self.refusals.clone());
        registry.register("shards_owned", "Shards owned", self.shards.clone());
        let help = "Percentage of the expected ticks that an owner of shards received";
        registry.register("owner_ticks_percent", help, self.ticks_percent.clone());
        let help = "Messages that wait for the actors of an owner of shards";
        registry.register("owner_inbox", help, self.inbox.clone());
        let help = "Failure domains that are evacuated";
        registry.register("evacuated_domains", help, self.evacuated_domains.clone());
        let help = "Runs of owned shards on executors in evacuated failure domains";
        registry.register("evacuated_runs", help, self.evacuated_runs.clone());
        let help = "Longest wait in milliseconds that the owner of a shard expects for new jobs";
        registry.register("expected_wait_ms", help, self.expected_wait_ms.clone());
        registry.register("config_version", "Configuration in force", self.version.clone());
        registry.register("store_up", "Whether the store answers", self.store_up.clone());
        let help = "Lines that the log had no room for";
        registry.register("log_lines_left_out", help, self.dropped_lines.clone());
    }

    /// Records the duration of a hop.
    pub(crate) fn observe_hop(&self, hop: Hop, span: Span) {
        let labels = HopLabels { hop: hop.name() };
        self.hops.get_or_create(&labels).observe(span.as_ms_f64() / 1_000.0);
    }

    /// Counts a submission by its reply.
    pub(crate) fn count_submission(&self, reply: Reply) {
        let outcome = match reply {
            Reply::Accepted => "accepted",
            Reply::NotDone(_) => "refused",
            Reply::Overloaded(_) => "overloaded",
            Reply::Unknown => "unknown",
            _ => "invalid",
        };
        self.submissions.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a request that a listener refused, or a connection that it closed.
    pub(crate) fn count_listener(&self, listener: &'static str, reason: &'static str) {
        self.refusals.get_or_create(&ListenerLabels { listener, reason }).inc();
    }

    /// Counts an order to an executor by its outcome.
    pub(crate) fn count_order(&self, order: &'static str, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Done(_) => "done",
            Outcome::Refused(..) => "refused",
            Outcome::NotSent => "not_sent",
            Outcome::Unknown => "unknown",
        };
        self.orders.get_or_create(&OrderLabels { order, outcome }).inc();
    }

    /// Records a decision of a shard in the counters and histograms.
    pub(crate) fn record_decision(&self, decision: &Decision) {
        match decision {
            Decision::Placed { waited_ms, .. } => {
                self.observe_hop(Hop::Placed, Span::from_ms(*waited_ms))
            }
            Decision::Closed { by, .. } => {
                let outcome = evidence(*by);
                self.closed.get_or_create(&OutcomeLabels { outcome }).inc();
            }
            Decision::Finished { state, took, .. } => {
                self.observe_hop(Hop::Finished, *took);
                self.finished.get_or_create(&OutcomeLabels { outcome: state.name() }).inc();
            }
            Decision::HeldBack { .. } => {
                self.held_back.inc();
            }
            Decision::Reserved { .. } => {
                self.reservations.inc();
            }
            Decision::ModelRecorded(report) => {
                let count = |outcome, number: u32| {
                    self.tails.get_or_create(&OutcomeLabels { outcome }).inc_by(number.into());
                };
                count("informative", report.reports.saturating_sub(report.saturated));
                count("saturated", report.saturated);
            }
            Decision::Locality(wait) => {
                let outcome = wait.state.name();
                self.locality.get_or_create(&OutcomeLabels { outcome }).inc();
            }
            _ => {}
        }
    }

    /// Sets the number of owned shards.
    pub(crate) fn set_owned_shards(&self, number: usize) {
        self.shards.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Sets the percentage of its expected ticks that this instance received as an owner, and the
    /// number of messages that wait for its actors.
    pub(crate) fn set_load(&self, ticks_percent: u64, inbox: usize) {
        self.ticks_percent.set(i64::try_from(ticks_percent).unwrap_or(i64::MAX));
        self.inbox.set(i64::try_from(inbox).unwrap_or(i64::MAX));
    }

    /// Sets the values that are those of owned shards to those of an instance that owns none.
    pub(crate) fn clear_load(&self) {
        self.set_load(100, 0);
        self.set_evacuated_runs(0);
        self.set_unschedulable_steps(0);
    }

    /// Sets the number of evacuated failure domains.
    pub(crate) fn set_evacuated_domains(&self, number: usize) {
        self.evacuated_domains.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Sets the number of runs of owned shards in evacuated failure domains.
    pub(crate) fn set_evacuated_runs(&self, number: u64) {
        self.evacuated_runs.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Sets the number of waiting steps of owned shards that no listed executor could run.
    pub(crate) fn set_unschedulable_steps(&self, number: u64) {
        self.unschedulable.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Sets the longest wait that the owner of a shard expects for new jobs.
    pub(crate) fn set_expected_wait(&self, wait: Span) {
        self.expected_wait_ms.set(i64::try_from(wait.as_ms()).unwrap_or(i64::MAX));
    }

    /// Sets the version of the configuration in force.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets whether the store is available.
    pub(crate) fn set_store_up(&self, up: bool) {
        self.store_up.set(i64::from(up));
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub(crate) fn text(&self) -> String {
        let dropped = i64::try_from(crate::log::dropped_lines()).unwrap_or(i64::MAX);
        self.dropped_lines.set(dropped);
        let mut text = String::new();
        // Encoding into a string fails only if a metric's own encoder fails.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

const fn evidence(by: Closing) -> &'static str {
    use sycamorerill_jobs::executor::EndReason;
    match by {
        Closing::Ended(EndReason::Done) => "done",
        Closing::Ended(EndReason::Failed) => "failed",
        Closing::Ended(EndReason::Stopped) => "stopped",
        Closing::Ended(EndReason::Lapsed)
        | Closing::Lapsed { .. }
        | Closing::LapsedInherited { .. } => "lapsed",
        Closing::Ended(EndReason::Broken) => "broken",
        Closing::Ended(EndReason::Alone) => "alone",
        Closing::Refused(_) => "refused",
        Closing::NotSent | Closing::NotRecorded | Closing::NoCapacity | Closing::Evacuated => {
            "not_ordered"
        }
        Closing::NotListed => "not_listed",
        Closing::Gone | Closing::Replaced => "executor_gone",
        Closing::GangDone => "gang_done",
    }
}
