//! Settings of a ledger of keys.

/// Settings of a ledger of keys.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of shards that keys are split into; must be the same in every entry instance.
    pub shards: u16,
    /// Largest number of keys that are stored; further new keys are refused.
    pub max_keys: usize,
    /// Largest number of answers that are stored for repeats; the oldest are evicted.
    pub max_answers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { shards: 64, max_keys: 100_000, max_answers: 5_000 }
    }
}
