//! Times and thresholds of a shard.

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

data! {
    /// Times and thresholds of a shard.
    #[derive(Copy)]
    pub struct Settings {
        /// Time between looks at timers.
        pub tick: Span,
        /// Time between two passes over all open runs.
        pub sweep: Span,
        /// Lease that each look and order gives.
        pub lease: Span,
        /// Longest wait of a look for an end.
        pub probe_wait: Span,
        /// Longest wait of a look where tasks that fill run beside tasks that serve.
        pub probe_wait_mixed: Span,
        /// Longest wait of a look where, besides, a task is over its objective.
        pub probe_wait_over: Span,
        /// Pause before an executor that did not answer is looked at again.
        pub probe_retry: Span,
        /// Pause before an order without an answer is repeated.
        pub order_retry: Span,
        /// How long a predecessor may go on extending leases unseen.
        pub predecessor_grace: Span,
        /// Factor on run time away from the data or from other tasks of the step.
        pub remote_penalty: f64,
        /// Longest time over its objective that a task may be held by others.
        pub harm: Span,
        /// Most runs placed in one turn.
        pub max_placed_per_turn: usize,
        /// Share of a serving task's processor time that it is thought to use.
        pub latency_critical_use: f64,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick: Span::from_ms(50),
            // A third of the pause before an order is repeated.
            sweep: Span::from_ms(100),
            // Outlives a takeover of the shard, about 2 s, twice.
            lease: Span::from_ms(5_000),
            // The longest that executors offer: each look is paid for.
            probe_wait: Span::from_ms(2_000),
            // A fifth of the time that serving tasks may be held over their objective.
            probe_wait_mixed: Span::from_ms(800),
            probe_wait_over: Span::from_ms(400),
            probe_retry: Span::from_ms(250),
            order_retry: Span::from_ms(300),
            predecessor_grace: Span::from_ms(8_000),
            remote_penalty: 1.5,
            harm: Span::from_ms(4_000),
            max_placed_per_turn: 128,
            latency_critical_use: 0.5,
        }
    }
}
