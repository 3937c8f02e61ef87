//! Stored form of a journal batch.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::Epoch;
use sycamorerill_schema::journal;

use super::{Kind, Record, Sequence};
use crate::codec::{self, Error};
use crate::session;

data! {
    /// Records that are committed together.
    pub struct Batch {
        /// Session that wrote the batch.
        pub session: session::Name,
        /// Number of the batch within its session, from 1.
        pub number: u64,
        /// Number of the oldest batch of the session that a recovery still needs.
        pub floor: u64,
        /// Records in sequence order.
        pub records: Vec<Record>,
    }
}

impl Batch {
    /// Encodes the batch.
    pub fn encode(&self) -> Bytes {
        let mut message = Builder::new_default();
        let mut batch = message.init_root::<journal::batch::Builder<'_>>();
        codec::write_session(batch.reborrow().init_by(), &self.session);
        batch.set_number(self.number);
        batch.set_floor(self.floor);
        let mut records = batch.init_records(self.records.len() as u32);
        for (at, record) in self.records.iter().enumerate() {
            let mut to = records.reborrow().get(at as u32);
            to.set_sequence(record.sequence.0);
            to.set_shard_kind(record.shard.kind.code());
            to.set_shard_number(record.shard.number);
            to.set_kind(record.kind.0);
            to.set_epoch(record.epoch.0);
            to.set_bytes(&record.bytes);
        }
        codec::encode(&message)
    }

    /// Decodes a batch.
    ///
    /// # Errors
    ///
    /// Fails if the value is truncated, corrupt or has an unsupported format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = codec::decode(bytes)?;
        let batch = message.get_root::<journal::batch::Reader<'_>>()?;
        let records = batch.get_records()?;
        Ok(Self {
            session: codec::read_session(batch.get_by()?)?,
            number: batch.get_number(),
            floor: batch.get_floor(),
            records: records.iter().map(read_record).collect::<Result<_, _>>()?,
        })
    }
}

fn read_record(from: journal::record::Reader<'_>) -> Result<Record, Error> {
    Ok(Record {
        sequence: Sequence(from.get_sequence()),
        shard: codec::read_shard(from.get_shard_kind(), from.get_shard_number())?,
        epoch: Epoch(from.get_epoch()),
        kind: Kind(from.get_kind()),
        bytes: Bytes::copy_from_slice(from.get_bytes()?),
    })
}
