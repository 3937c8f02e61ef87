//! Shards of idempotency keys.

use stakker::{CX, call};
use sycamorerill_calls::keys::{Record, Shard};
use sycamorerill_calls::router::{Event, Refusal};
use sycamorerill_control::ownership;
use sycamorerill_core::id::{CallId, InstanceName};

use super::Calls;
use crate::hub::records;
use crate::hub::shards::Shards;

impl Calls {
    /// Takes an owned shard of keys with what its former owners journaled.
    pub(crate) fn keys_gained(&mut self, cx: CX![], shard: Shard, records: Vec<Record>) {
        self.drive(cx, Event::KeysOwned { shard, records });
    }

    /// Notes that a shard of keys is owned elsewhere, or by nobody.
    pub(crate) fn keys_moved(&mut self, cx: CX![], shard: Shard, owner: Option<InstanceName>) {
        self.drive(cx, Event::KeysMoved { shard, owner });
    }

    /// Takes the journal's word on the first record of a key.
    pub(crate) fn key_written(&mut self, cx: CX![], call: CallId, written: Result<(), Refusal>) {
        let event = match written {
            Ok(()) => Event::KeyDurable { call },
            Err(refusal) => Event::KeyRefused { call, refusal },
        };
        self.drive(cx, event);
    }

    /// Gives the content of a shard of keys for a snapshot.
    pub(crate) fn keys_snapshot(&mut self, _: CX![], shard: ownership::Shard) {
        let now = self.parts.shared.clock.now();
        let content = self.parts.router.key_records(now, Shards::keys(shard));
        let bytes = records::write_keys(&content);
        call!([self.parts.control], snapshot(shard, bytes));
    }
}
