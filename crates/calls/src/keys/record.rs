//! Keys and the records that must last.

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{CallId, ServiceName};
use sycamorerill_core::{data, value};
use xxhash_rust::xxh3::xxh3_64;

value! {
    /// Shard of the keys, which one entry instance owns at a time.
    pub struct Shard(pub u16);
}

impl std::fmt::Display for Shard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "k{}", self.0)
    }
}

data! {
    /// Idempotency key that a caller gave, within one service.
    #[derive(Eq)]
    pub struct Key {
        /// Text of the key as received.
        pub text: Bytes,
        /// Digest of the request, which tells a repeat from another request.
        pub digest: u64,
    }
}

impl Key {
    /// Returns the shard of the key among `shards`.
    pub fn shard(&self, shards: u16) -> Shard {
        let shards = u64::from(shards.max(1));
        Shard((xxh3_64(&self.text) % shards) as u16)
    }
}

value! {
    /// How the first call with a key ended.
    pub enum End {
        /// It was answered.
        Answered,
        /// It did not run, so the key is free again.
        NotRun,
        /// It may have run.
        Unknown,
    }
}

data! {
    /// One record of the journal of keys.
    pub enum Record {
        /// A call with the key may be sent from now on.
        Begun {
            /// Call that is begun.
            call: CallId,
            /// Service that is called.
            service: ServiceName,
            /// Key of the call.
            key: Key,
            /// Time that the key is kept.
            retention: Span,
        },
        /// The call with the key came to an end.
        Ended {
            /// Call that ended.
            call: CallId,
            /// Service that was called.
            service: ServiceName,
            /// Key of the call.
            key: Key,
            /// How it ended.
            end: End,
        },
    }
}
