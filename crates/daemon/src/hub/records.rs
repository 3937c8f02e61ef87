//! Serialization of the journal records and snapshots of key shards and cells.

use bytes::Bytes;
use sycamorerill_calls::keys::{self, End, Key};
use sycamorerill_control::journal::{Kind, Recovered};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::CallId;
use sycamorerill_schema::record;
use sycamorerill_tasks::journal as cell;

/// Journal kind of records of idempotency keys.
pub(crate) const KEY_KIND: Kind = Kind(1);
/// Journal kind of records of cells.
pub(crate) const CELL_KIND: Kind = Kind(2);

/// Errors of reading and writing stored records.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The record does not follow the Cap'n Proto schema.
    #[error("a record does not follow the schema: {0}")]
    Schema(#[from] capnp::Error),
    /// A name in the record is not UTF-8.
    #[error("a record has a name that is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A name in the record is malformed.
    #[error("a record has a malformed name: {0}")]
    Name(#[from] sycamorerill_core::id::Error),
    /// A record or snapshot of a cell is not valid JSON of its type.
    #[error("a record of a cell is malformed: {0}")]
    Cell(#[from] serde_json::Error),
    /// The record has a kind that does not belong to the shard.
    #[error("a record has kind {found}, expected kind {expected}")]
    Kind {
        /// Kind of the record.
        found: u16,
        /// Kind of the shard's records.
        expected: u16,
    },
}

/// Serializes a record of a cell.
///
/// # Errors
///
/// Returns an error if a value of the record cannot be serialized.
pub(crate) fn write_cell(record: &cell::Record) -> Result<Bytes, Error> {
    Ok(serde_json::to_vec(record)?.into())
}

/// Serializes a snapshot of a cell.
///
/// # Errors
///
/// Returns an error if a value of the snapshot cannot be serialized.
pub(crate) fn write_snapshot(snapshot: &cell::Snapshot) -> Result<Bytes, Error> {
    Ok(serde_json::to_vec(snapshot)?.into())
}

/// Deserializes the snapshot and the records that previous owners of a cell journaled.
///
/// # Errors
///
/// Returns an error at the first record that cannot be read.
pub(crate) fn read_cell(
    recovered: &Recovered,
) -> Result<(cell::Snapshot, Vec<cell::Record>), Error> {
    let snapshot = match &recovered.snapshot {
        Some(bytes) => serde_json::from_slice(bytes)?,
        None => cell::Snapshot::default(),
    };
    let mut records = Vec::with_capacity(recovered.records.len());
    for record in &recovered.records {
        check_kind(record.kind, CELL_KIND)?;
        records.push(serde_json::from_slice(&record.bytes)?);
    }
    Ok((snapshot, records))
}

/// Deserializes the records that previous owners of a key shard journaled, those of the
/// snapshot first.
///
/// # Errors
///
/// Returns an error at the first record that cannot be read.
pub(crate) fn read_keys(recovered: &Recovered) -> Result<Vec<keys::Record>, Error> {
    let mut records = match &recovered.snapshot {
        Some(bytes) => read_key_list(bytes)?,
        None => Vec::new(),
    };
    for record in &recovered.records {
        check_kind(record.kind, KEY_KIND)?;
        records.extend(read_key_list(&record.bytes)?);
    }
    Ok(records)
}

fn check_kind(found: Kind, expected: Kind) -> Result<(), Error> {
    if found == expected {
        return Ok(());
    }
    Err(Error::Kind { found: found.0, expected: expected.0 })
}

/// Serializes one record of an idempotency key.
pub(crate) fn write_key(record: &keys::Record) -> Bytes {
    write_keys(std::slice::from_ref(record))
}

/// Serializes a list of records of idempotency keys.
pub(crate) fn write_keys(records: &[keys::Record]) -> Bytes {
    let mut message = capnp::message::Builder::new_default();
    let length = u32::try_from(records.len()).unwrap_or(u32::MAX);
    let mut list = message.init_root::<record::keys::Builder<'_>>().init_records(length);
    for (index, record) in (0..length).zip(records) {
        write_one(record, list.reborrow().get(index));
    }
    capnp::serialize::write_message_to_words(&message).into()
}

fn write_one(record: &keys::Record, mut to: record::key::Builder<'_>) {
    let (call, service, key) = match record {
        keys::Record::Begun { call, service, key, .. }
        | keys::Record::Ended { call, service, key, .. } => (call, service, key),
    };
    to.set_call(call.0);
    to.set_service(service.as_str());
    to.set_text(&key.text);
    to.set_digest(key.digest);
    match record {
        keys::Record::Begun { retention, .. } => to.set_begun(retention.as_ms()),
        keys::Record::Ended { end: End::Answered, .. } => to.set_answered(()),
        keys::Record::Ended { end: End::NotRun, .. } => to.set_not_run(()),
        keys::Record::Ended { end: End::Unknown, .. } => to.set_unknown(()),
    }
}

fn read_key_list(bytes: &[u8]) -> Result<Vec<keys::Record>, Error> {
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message(bytes, options)?;
    let list = message.get_root::<record::keys::Reader<'_>>()?.get_records()?;
    list.iter().map(read_one).collect()
}

fn read_one(from: record::key::Reader<'_>) -> Result<keys::Record, Error> {
    use record::key::Which;
    let call = CallId(from.get_call());
    let service = from.get_service()?.to_str()?.parse()?;
    let key = Key { text: Bytes::copy_from_slice(from.get_text()?), digest: from.get_digest() };
    let end = match from.which().map_err(capnp::Error::from)? {
        Which::Begun(retention) => {
            let retention = Span::from_ms(retention);
            return Ok(keys::Record::Begun { call, service, key, retention });
        }
        Which::Answered(()) => End::Answered,
        Which::NotRun(()) => End::NotRun,
        Which::Unknown(()) => End::Unknown,
    };
    Ok(keys::Record::Ended { call, service, key, end })
}
