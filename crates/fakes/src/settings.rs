//! Settings of the stand-ins.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::ServiceName;
use sycamorerill_core::rate::PerSecond;

use crate::deployment::Deployment;

/// Default number of threads that serve requests.
const DEFAULT_THREADS: usize = 4;

/// Distribution of the run time of calls on an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Median run time.
    pub median: Span,
    /// Ratio of the 99th percentile to the median, at least 1.
    pub p99_ratio: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { median: Span::from_ms(8), p99_ratio: 4.0 }
    }
}

/// Settings of the stand-ins.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Workers, executors and their failure domains.
    pub deployment: Deployment,
    /// Factor by which tasks run faster than their declared run times.
    pub speedup: f64,
    /// Delay after which the instance list shows a change.
    pub list_lag: Span,
    /// Time for which new work for a leaving instance is not counted as a fault.
    pub leave_grace: Span,
    /// Minimum age of the resource usage in a worker's report.
    pub report_lag: Span,
    /// Latency of each request to the table or the object store.
    pub store_latency: Span,
    /// Limit of reads of the table and the object store together, zero for no limit.
    pub store_reads: PerSecond,
    /// Limit of writes of the table and the object store together, zero for no limit.
    pub store_writes: PerSecond,
    /// Time from the command to the end of a checkpoint.
    pub checkpoint_time: Span,
    /// Spread of actual over declared task sizes per class, as the ratio of p99 to median; 1 or
    /// less makes them equal.
    pub size_error: f64,
    /// Spread of actual over declared run times per class, as the ratio of p99 to median; 1 or
    /// less makes them equal.
    pub time_error: f64,
    /// Factor by which the interference between classes is multiplied, zero for none.
    pub interference: f64,
    /// Run times by service; other services have [`ServiceTime::default`].
    pub service_times: BTreeMap<ServiceName, ServiceTime>,
    /// Number of threads that serve requests, at least 1.
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
