//! Status of the control plane for operators.

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, Version};

use crate::membership::MemberState;
use crate::store::{State, Usage};

data! {
    /// Status of one instance as known to this one.
    pub struct Row {
        /// Name of the instance.
        pub instance: InstanceName,
        /// Latest known incarnation.
        pub incarnation: Incarnation,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// State of the instance.
        pub state: MemberState,
        /// Version of the configuration in force on the instance, as last reported.
        pub version: Version,
        /// Number of shards that the instance owns.
        pub shards: usize,
        /// Time since the last heartbeat of the instance; zero for this instance.
        pub silence: Span,
    }
}

data! {
    /// Status of the control plane as known to one instance.
    pub struct Status {
        /// All known instances, ordered by name.
        pub instances: Vec<Row>,
        /// Version of the configuration in force on this instance.
        pub version: Version,
        /// Time from putting the version in force on this instance until it was in force
        /// on all running instances.
        ///
        /// `None` until then.
        pub spread_time: Option<Span>,
        /// State of the store.
        pub store: State,
        /// Number of requests sent to the store.
        pub usage: Usage,
        /// Number of misses added on this instance that are not durable yet.
        pub pending_misses: u64,
    }
}
