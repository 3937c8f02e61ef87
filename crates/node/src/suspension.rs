//! Detects that the process was suspended.

use std::cell::Cell;

use sycamorerill_core::clock::{Span, Time};

/// Time between two observations from which on the process counts as suspended in between. An
/// instance that owns shards observes its clock at least every 50 ms.
const MIN_GAP: Span = Span::from_ms(1_000);

/// Knows since when the process has run without a suspension.
#[derive(Debug, Default)]
pub(crate) struct Detector {
    last: Cell<Time>,
    awake_since: Cell<Time>,
}

impl Detector {
    /// Records that the process runs at `now`.
    pub(crate) fn observe(&self, now: Time) {
        if now.since(self.last.replace(now)) >= MIN_GAP {
            self.awake_since.set(now);
        }
    }

    /// Returns since when the process has run without a suspension, as far as observed.
    pub(crate) const fn awake_since(&self) -> Time {
        self.awake_since.get()
    }
}
