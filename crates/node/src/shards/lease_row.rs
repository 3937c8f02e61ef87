//! The row with the lease ends of executors that do not answer.
//!
//! The row holds times of the store's clock, since an owner and its successor share no other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_jobs::id::ExecutorId;
use sycamorerill_jobs::shard::LeaseEnd;

use crate::platform::StoreClock;

data! {
    /// Value of the row.
    #[derive(Default, Serialize, Deserialize)]
    pub(super) struct LeaseRow {
        /// Time at which all leases of an executor have ended, in milliseconds of the store's clock.
        #[serde(rename = "ends")]
        pub(super) ends_ms: BTreeMap<ExecutorId, u64>,
    }
}

impl LeaseRow {
    /// Converts lease ends as of `now`; the row is empty if the store's clock is not known.
    pub(super) fn new(ends: &[LeaseEnd], clock: Option<StoreClock>, now: Time) -> Self {
        let Some(clock) = clock else {
            return Self::default();
        };
        let latest = clock.latest(now);
        let end_ms = |end: &LeaseEnd| (end.executor.clone(), (latest + end.left).as_ms() + 1);
        Self { ends_ms: ends.iter().map(end_ms).collect() }
    }

    /// Returns the lease ends as of `now`; without the store's clock, the time left is unlimited.
    pub(super) fn lease_ends(&self, clock: Option<StoreClock>, now: Time) -> Vec<LeaseEnd> {
        let left = |end_ms: u64| {
            let earliest = clock.map(|clock| clock.earliest(now));
            earliest.map_or(Span::MAX, |earliest| Span::from_ms(end_ms).saturating_sub(earliest))
        };
        let ends = self.ends_ms.iter();
        ends.map(|(id, end_ms)| LeaseEnd { executor: id.clone(), left: left(*end_ms) }).collect()
    }
}
