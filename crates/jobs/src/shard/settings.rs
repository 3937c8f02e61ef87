//! Intervals and thresholds of a shard.

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

use crate::record::{DEFAULT_ROW_BYTES, tasks_per_record};

data! {
    /// Intervals and thresholds of a shard.
    #[derive(Copy)]
    pub struct Settings {
        /// Time between two checks of timers.
        pub tick: Span,
        /// Time between two passes over all open runs.
        pub sweep: Span,
        /// Duration of the lease that each probe and each start grants.
        pub lease: Span,
        /// Longest lease that an executor grants, whatever deadline an order or a probe gives.
        pub max_lease: Span,
        /// Longest time after which an order or a probe without an answer may still be carried out.
        pub max_order_delay: Span,
        /// Time before the end of a lease from which on it is renewed even if run ends of the
        /// executor wait to be recorded.
        pub renewal_lead: Span,
        /// How long a probe may wait for a run to end.
        pub probe_wait: Span,
        /// How long a probe may wait where best-effort and latency-critical tasks share the
        /// executor.
        pub probe_wait_mixed: Span,
        /// How long a probe may wait where, besides, a latency-critical task is over its
        /// objective.
        pub probe_wait_over: Span,
        /// Backoff before an executor that did not answer is probed again.
        pub probe_retry: Span,
        /// Time after which an order without an answer is repeated.
        pub order_retry: Span,
        /// How long after its last confirmed write an owner sends starts and renews leases without
        /// other evidence that it has no successor. A successor assumes that its predecessor has
        /// extended leases for so long after the takeover.
        pub predecessor_grace: Span,
        /// Maximum number of bytes in a row of the store.
        pub max_row_bytes: usize,
        /// Maximum number of tasks in one record of a job.
        pub tasks_per_record: u32,
        /// Factor on the run time of a task that runs away from its data or from other tasks of
        /// its step.
        pub remote_penalty: f64,
        /// Whether it is decided for each task how long it waits for a place near its data or near
        /// other tasks of its step; if not, a near place is only preferred.
        pub decides_locality: bool,
        /// Longest time for which a task waits for a near place.
        pub max_locality_wait: Span,
        /// The same for long-running tasks, which are to be placed again within 3 s of their last
        /// run.
        pub max_locality_wait_long_running: Span,
        /// Longest time for which best-effort tasks may keep a task over its objective.
        pub max_over_objective: Span,
        /// Time for which a long-running task that has run before waits behind new work of its
        /// priority; from then on it is placed first.
        pub restart_promotion: Span,
        /// Time for which an executor is reserved for a task that waits for room.
        pub reservation: Span,
        /// Number of executors for each that may be reserved at the same time.
        pub executors_per_reservation: usize,
        /// Multiple of an equal share beyond which a queue waits behind others that lack room; with
        /// infinity, none does.
        pub over_share_factor: f64,
        /// Maximum number of runs placed in one turn.
        pub max_placed_per_turn: usize,
        /// Time between two outlooks on the waits of new jobs.
        pub outlook_interval: Span,
        /// Fraction of the requested processor time that a latency-critical task is expected to
        /// use.
        pub latency_critical_use: f64,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick: Span::from_ms(50),
            // A third of `order_retry`.
            sweep: Span::from_ms(100),
            // More than twice the duration of a takeover of the shard, which is about 2 s.
            lease: Span::from_ms(5_000),
            max_lease: Span::from_ms(10_000),
            max_order_delay: Span::from_ms(12_000),
            // Leaves two attempts at a probe before the lease ends.
            renewal_lead: Span::from_ms(3_000),
            // The longest wait that executors offer, since each probe has a cost.
            probe_wait: Span::from_ms(2_000),
            // A fifth of `max_over_objective`.
            probe_wait_mixed: Span::from_ms(800),
            probe_wait_over: Span::from_ms(400),
            probe_retry: Span::from_ms(250),
            order_retry: Span::from_ms(300),
            // The time without a renewal after which a shard is claimed.
            predecessor_grace: Span::from_ms(1_500),
            max_row_bytes: DEFAULT_ROW_BYTES,
            tasks_per_record: tasks_per_record(DEFAULT_ROW_BYTES),
            remote_penalty: 1.5,
            decides_locality: true,
            // A third of the time within which jobs must not stand still while there is room.
            max_locality_wait: Span::from_ms(1_000),
            max_locality_wait_long_running: Span::from_ms(500),
            max_over_objective: Span::from_ms(4_000),
            // Leaves most of the 3 s that a restart may take to the search for an executor.
            restart_promotion: Span::from_ms(500),
            // Most runs end within that time.
            reservation: Span::from_ms(3_000),
            // Bounds the room that may lie idle to a small part of the executors.
            executors_per_reservation: 8,
            // Queues with alike use don't change places all the time.
            over_share_factor: 1.25,
            max_placed_per_turn: 128,
            outlook_interval: Span::from_ms(1_000),
            latency_critical_use: 0.5,
        }
    }
}
