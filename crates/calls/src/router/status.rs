//! What peers and metrics are told of a router.

use std::collections::BTreeMap;

use sycamorerill_core::data;
use sycamorerill_core::id::ServiceName;

data! {
    /// Load of one service at one entry instance.
    #[derive(Copy, Default, Eq)]
    pub struct Load {
        /// Owned slots that a call may be sent to at once.
        pub free: u32,
        /// Owned slots on executors that take calls, free or not.
        pub usable: u32,
        /// Calls in the queue.
        pub waiting: u32,
        /// Requests that occupy an owned slot.
        pub in_flight: u32,
        /// Owned executors that get probes and no calls.
        pub ejected: u32,
    }
}

data! {
    /// Load of one entry instance, for heartbeats and metrics.
    #[derive(Default, Eq)]
    pub struct Status {
        /// Whether the entry instance is about to leave.
        pub draining: bool,
        /// Load by service.
        pub services: BTreeMap<ServiceName, Load>,
    }
}
