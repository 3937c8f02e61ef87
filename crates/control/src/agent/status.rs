//! What an operator sees of the control plane.

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, Version};

use crate::membership::Standing;
use crate::store::{State, Usage};

data! {
    /// One instance as this one sees it.
    pub struct Row {
        /// Name of the instance.
        pub instance: InstanceName,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its standing.
        pub standing: Standing,
        /// Version of the configuration in force there when last heard.
        pub version: Version,
        /// Shards that it owns.
        pub shards: usize,
        /// Time since it was last heard; zero for this instance.
        pub silent: Span,
    }
}

data! {
    /// The control plane as one instance sees it.
    pub struct Status {
        /// Every instance that is known, in the order of their names.
        pub instances: Vec<Row>,
        /// Version of the configuration in force here.
        pub version: Version,
        /// Time that it took from here to be in force everywhere, once it is.
        pub everywhere: Option<Span>,
        /// State of the store.
        pub store: State,
        /// Requests to the store so far.
        pub usage: Usage,
        /// Misses that do not last yet.
        pub pending_penalties: u64,
    }
}
