//! Keys and the records of the journal of keys.

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{CallId, ServiceName};
use sycamorerill_core::{data, value};
use xxhash_rust::xxh3::xxh3_64;

value! {
    /// Number of a shard of keys, which one entry instance owns at a time.
    pub struct Shard(pub u16);
}

impl std::fmt::Display for Shard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "k{}", self.0)
    }
}

data! {
    /// Idempotency key that a caller sent, scoped to one service.
    #[derive(Eq)]
    pub struct Key {
        /// Bytes of the key as received.
        pub text: Bytes,
        /// Digest of the request, which distinguishes a repeat from a different request with
        /// the same key.
        pub digest: u64,
    }
}

impl Key {
    /// Returns the shard of the key, out of `shards` shards.
    pub fn shard(&self, shards: u16) -> Shard {
        let shards = u64::from(shards.max(1));
        Shard((xxh3_64(&self.text) % shards) as u16)
    }
}

value! {
    /// End of the first call with a key.
    pub enum End {
        /// The call was answered.
        Answered,
        /// The call did not run, so the key may be used again.
        NotRun,
        /// The call may have run.
        Unknown,
    }
}

data! {
    /// Record of the journal of keys.
    pub enum Record {
        /// A call with the key may be sent from now on; later calls are repeats.
        Begun {
            /// Call that begins.
            call: CallId,
            /// Service that is called.
            service: ServiceName,
            /// Key of the call.
            key: Key,
            /// Time for which the key is stored.
            retention: Span,
        },
        /// The call with the key ended.
        Ended {
            /// Call that ended.
            call: CallId,
            /// Service that was called.
            service: ServiceName,
            /// Key of the call.
            key: Key,
            /// How the call ended.
            end: End,
        },
    }
}
