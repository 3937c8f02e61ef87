//! Budget that limits retries to a share of the first attempts.

use sycamorerill_core::rate::Share;

/// Largest balance in attempts, which lets retries continue through a short fault.
const MAX_BALANCE: f64 = 20.0;

/// Token bucket that first attempts fill and further attempts drain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE / 2.0 }
    }
}

impl Budget {
    /// Adds `share` of an attempt to the balance, for one first attempt.
    pub(crate) fn deposit(&mut self, share: Share) {
        self.balance = (self.balance + share.as_f64()).min(MAX_BALANCE);
    }

    /// Withdraws one further attempt; returns `false` if the balance is below one.
    pub(crate) fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
