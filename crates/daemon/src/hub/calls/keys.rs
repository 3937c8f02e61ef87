//! Events of the shards of idempotency keys.

use stakker::{CX, call};
use sycamorerill_calls::keys::{Record, Shard};
use sycamorerill_calls::router::{Event, KeyRecordError};
use sycamorerill_control::ownership;
use sycamorerill_core::id::{CallId, InstanceName};

use super::Calls;
use crate::hub::records;
use crate::hub::shards::ShardLayout;

impl Calls {
    /// Takes ownership of a key shard with the records that its previous owners journaled.
    pub(crate) fn key_shard_gained(&mut self, cx: CX![], shard: Shard, records: Vec<Record>) {
        self.handle_event(cx, Event::KeyShardOwned { shard, records });
    }

    /// Records that a key shard is owned by another instance, or by none.
    pub(crate) fn key_owner_changed(
        &mut self,
        cx: CX![],
        shard: Shard,
        owner: Option<InstanceName>,
    ) {
        self.handle_event(cx, Event::KeyOwnerChanged { shard, owner });
    }

    /// Handles the journal's result for the first record of a key.
    pub(crate) fn key_record_written(
        &mut self,
        cx: CX![],
        call: CallId,
        written: Result<(), KeyRecordError>,
    ) {
        let event = match written {
            Ok(()) => Event::KeyDurable { call },
            Err(error) => Event::KeyNotDurable { call, error },
        };
        self.handle_event(cx, event);
    }

    /// Sends the content of a key shard to the control actor for a snapshot.
    pub(crate) fn snapshot_keys(&mut self, _: CX![], shard: ownership::Shard) {
        let now = self.deps.shared.clock.now();
        let content = self.deps.router.key_records(now, ShardLayout::key_shard(shard));
        let bytes = records::write_keys(&content);
        call!([self.deps.control], snapshot(shard, bytes));
    }
}
