//! Budget of attempts beyond the first, as a share of first attempts.

use sycamorerill_core::rate::Share;

/// Attempts that may be saved up, so that a short fault is ridden out.
const MAX_SAVED: f64 = 20.0;

/// Budget that first attempts fill and further attempts use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MAX_SAVED / 2.0 }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub(crate) fn earn(&mut self, share: Share) {
        self.saved = (self.saved + share.part()).min(MAX_SAVED);
    }

    /// Takes one further attempt out of the budget; false when it is used up.
    pub(crate) fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
