//! Counts reads and writes, in all and in the busiest second.

use std::sync::{Mutex, PoisonError};

use sycamorerill_core::clock::Time;

use crate::counts;
use crate::server::Reply;

/// Milliseconds in one second.
const MS_PER_SECOND: u64 = 1_000;

/// Counts reads and writes.
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
    /// Notes a read or a write.
    pub(crate) fn note(&self, now: Time, writes: bool) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let second = now.as_ms() / MS_PER_SECOND;
        if inner.second != second {
            inner.second = second;
            inner.reads = 0;
            inner.writes = 0;
        }
        if writes {
            inner.writes += 1;
            inner.counts.writes += 1;
            inner.counts.peak_writes = inner.counts.peak_writes.max(inner.writes);
        } else {
            inner.reads += 1;
            inner.counts.reads += 1;
            inner.counts.peak_reads = inner.counts.peak_reads.max(inner.reads);
        }
    }

    /// Notes a request that did nothing, and returns its answer.
    pub(crate) fn failed(&self, reply: Reply) -> Reply {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).counts.failed += 1;
        reply
    }

    /// Returns what was counted.
    pub(crate) fn counts(&self) -> counts::Store {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).counts.clone()
    }
}
