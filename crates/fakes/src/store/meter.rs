//! Counts reads and writes in total, and their peaks per second.

use std::sync::{Mutex, PoisonError};

use sycamorerill_core::clock::Time;

use crate::counts;
use crate::server::Reply;

const MS_PER_SECOND: u64 = 1_000;

/// Counters of the requests to one service.
#[derive(Debug, Default)]
pub(crate) struct Meter(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    counts: counts::Store,
    second: u64,
    reads: u64,
    writes: u64,
}

impl Meter {
    /// Counts a read or a write.
    pub(crate) fn record(&self, now: Time, is_write: bool) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let second = now.as_ms() / MS_PER_SECOND;
        if inner.second != second {
            inner.second = second;
            inner.reads = 0;
            inner.writes = 0;
        }
        if is_write {
            inner.writes += 1;
            inner.counts.writes += 1;
            inner.counts.peak_writes = inner.counts.peak_writes.max(inner.writes);
        } else {
            inner.reads += 1;
            inner.counts.reads += 1;
            inner.counts.peak_reads = inner.counts.peak_reads.max(inner.reads);
        }
    }

    /// Counts a request that had no effect, and returns its reply unchanged.
    pub(crate) fn record_failure(&self, reply: Reply) -> Reply {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).counts.failed += 1;
        reply
    }

    /// Returns a copy of the counters.
    pub(crate) fn counts(&self) -> counts::Store {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).counts.clone()
    }
}
