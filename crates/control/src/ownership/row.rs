//! Stored form of a shard row.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::Epoch;
use sycamorerill_schema::journal;

use crate::codec::{self, Error};
use crate::journal::{Record, Sequence};
use crate::session;
use crate::store::Key;

data! {
    /// Reference to the latest snapshot of a shard.
    pub struct Snapshot {
        /// Key of the object that holds the snapshot.
        pub object: Key,
        /// Epoch in which the snapshot was taken.
        pub epoch: Epoch,
        /// Last record of that epoch's owner that the snapshot contains.
        pub up_to: Sequence,
        /// Checksum of the object.
        pub checksum: u32,
    }
}

data! {
    /// Value of a shard row.
    pub struct Row {
        /// Session that owns the shard.
        pub owner: session::Name,
        /// Epoch of the ownership, incremented by each change of the owner.
        pub epoch: Epoch,
        /// Latest snapshot, or `None` before the first.
        pub snapshot: Option<Snapshot>,
        /// Sessions whose journals may hold records that the snapshot lacks, oldest
        /// first.
        pub journals: Vec<session::Name>,
    }
}

impl Row {
    /// Returns this row with the next epoch and a new owner.
    ///
    /// The new owner's journal is added if `journaled` is set.
    pub(crate) fn with_owner(&self, owner: session::Name, journaled: bool) -> Self {
        let mut next = Self { owner, epoch: Epoch(self.epoch.0 + 1), ..self.clone() };
        if journaled && !next.journals.contains(&next.owner) {
            next.journals.push(next.owner.clone());
        }
        next
    }

    /// Returns whether the snapshot contains a record.
    pub(crate) fn covers(&self, record: &Record) -> bool {
        let place = (record.epoch, record.sequence);
        self.snapshot.as_ref().is_some_and(|last| place <= (last.epoch, last.up_to))
    }

    /// Encodes the row.
    pub fn encode(&self) -> Bytes {
        let mut message = Builder::new_default();
        let mut row = message.init_root::<journal::shard::Builder<'_>>();
        row.set_owner(self.owner.instance.as_str());
        row.set_incarnation(self.owner.incarnation.0);
        row.set_epoch(self.epoch.0);
        let mut journals = row.reborrow().init_journals(self.journals.len() as u32);
        for (at, session) in self.journals.iter().enumerate() {
            codec::write_session(journals.reborrow().get(at as u32), session);
        }
        if let Some(snapshot) = &self.snapshot {
            let mut to = row.init_snapshot();
            to.set_object(snapshot.object.as_str());
            to.set_up_to(snapshot.up_to.0);
            to.set_checksum(snapshot.checksum);
            to.set_epoch(snapshot.epoch.0);
        }
        codec::encode(&message)
    }

    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// Fails if the value is truncated, corrupt or has an unsupported format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = codec::decode(bytes)?;
        let row = message.get_root::<journal::shard::Reader<'_>>()?;
        let snapshot = match row.has_snapshot() {
            true => Some(read_snapshot(row.get_snapshot()?)?),
            false => None,
        };
        Ok(Self {
            owner: session::Name {
                instance: codec::parse_name(row.get_owner()?)?,
                incarnation: sycamorerill_core::id::Incarnation(row.get_incarnation()),
            },
            epoch: Epoch(row.get_epoch()),
            snapshot,
            journals: row
                .get_journals()?
                .iter()
                .map(codec::read_session)
                .collect::<Result<_, _>>()?,
        })
    }
}

fn read_snapshot(from: journal::snapshot::Reader<'_>) -> Result<Snapshot, Error> {
    Ok(Snapshot {
        object: Key::new(from.get_object()?.to_str()?),
        epoch: Epoch(from.get_epoch()),
        up_to: Sequence(from.get_up_to()),
        checksum: from.get_checksum(),
    })
}
