//! Load that a router reports to peers and metrics.

use std::collections::BTreeMap;

use sycamorerill_core::data;
use sycamorerill_core::id::ServiceName;

data! {
    /// Load of one service at one entry instance.
    #[derive(Copy, Default, Eq)]
    pub struct Load {
        /// Number of owned slots that can take a call now.
        pub free: u32,
        /// Number of owned slots on executors that accept calls, free or occupied.
        pub usable: u32,
        /// Number of calls in the queue.
        pub waiting: u32,
        /// Number of requests that occupy a slot.
        pub in_flight: u32,
        /// Number of owned executors that are ejected: they receive probes and no calls.
        pub ejected_executors: u32,
    }
}

data! {
    /// Load of one entry instance, for heartbeats and metrics.
    #[derive(Default, Eq)]
    pub struct Status {
        /// Whether the entry instance is draining and accepts no forwarded calls.
        pub draining: bool,
        /// Load by service.
        pub services: BTreeMap<ServiceName, Load>,
    }
}
