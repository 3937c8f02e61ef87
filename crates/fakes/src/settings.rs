//! Settings of the stand-ins.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::ServiceName;
use sycamorerill_core::rate::PerSecond;

use crate::deployment::Deployment;

/// Threads that serve requests by default.
const DEFAULT_THREADS: usize = 4;

/// How long an executor runs a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Median run time.
    pub median: Span,
    /// Ratio of the 99th percentile to the median, at least 1.
    pub tail: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { median: Span::from_ms(8), tail: 4.0 }
    }
}

/// Settings of the stand-ins.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Seed of everything that is drawn at random.
    pub seed: u64,
    /// Workers, executors and their failure domains.
    pub deployment: Deployment,
    /// How many times faster than declared tasks run.
    pub speedup: f64,
    /// How old the instance list is.
    pub list_lag: Span,
    /// How long a leaving instance may get new work before it is counted.
    pub leave_grace: Span,
    /// How old the usage in a worker's report is.
    pub report_lag: Span,
    /// Time that each request to the table or the object store takes.
    pub store_latency: Span,
    /// Reads that the table and the object store carry out together, zero for no limit.
    pub store_reads: PerSecond,
    /// Writes that the table and the object store carry out together, zero for no limit.
    pub store_writes: PerSecond,
    /// Time that a checkpoint takes.
    pub checkpoint_time: Span,
    /// Ratio of p99 to median of how far the true sizes of classes are from the declared ones.
    pub size_error: f64,
    /// Ratio of p99 to median of how far the true run times of classes are from the declared ones.
    pub time_error: f64,
    /// Factor on how much classes slow each other down, zero for not at all.
    pub interference: f64,
    /// Run times of services that differ from [`ServiceTime::default`].
    pub service_times: BTreeMap<ServiceName, ServiceTime>,
    /// Threads that serve requests.
    pub threads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            deployment: Deployment::default(),
            speedup: 1.0,
            list_lag: Span::from_secs(3),
            leave_grace: Span::from_secs(5),
            report_lag: Span::from_secs(2),
            store_latency: Span::from_ms(2),
            store_reads: PerSecond(2_000.0),
            store_writes: PerSecond(400.0),
            checkpoint_time: Span::from_ms(200),
            size_error: 3.0,
            time_error: 3.0,
            interference: 1.0,
            service_times: BTreeMap::new(),
            threads: DEFAULT_THREADS,
        }
    }
}
