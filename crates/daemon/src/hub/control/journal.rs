//! Appending of records to the journal, and reporting of the results.

use std::collections::BTreeMap;

use bytes::Bytes;
use stakker::{CX, call};
use sycamorerill_calls::keys::{self, Key};
use sycamorerill_calls::router::KeyRecordError;
use sycamorerill_control::agent::Event;
use sycamorerill_control::journal::{AppendError, Durability, Sequence};
use sycamorerill_core::id::{CallId, DomainName, Epoch, InstanceName};
use sycamorerill_tasks::journal as cell;

use super::Control;
use crate::event;
use crate::events::Code;
use crate::hub::records;
use crate::hub::shards::ShardLayout;

/// The origin of a record, to which its result is reported.
#[derive(Clone, Debug)]
enum RecordOrigin {
    /// The first call with an idempotency key.
    Key { call: CallId, shard: keys::Shard },
    /// A cell; `sequence` is the number that the cell gave the record.
    Cell { domain: DomainName, epoch: Epoch, sequence: u64 },
}

/// Appended records that are not yet durable and whose results must be reported, by
/// journal sequence number.
#[derive(Debug, Default)]
pub(super) struct PendingRecords(BTreeMap<Sequence, RecordOrigin>);

impl PendingRecords {
    /// Returns whether the first record of a key in `shard` is pending.
    fn contains_key_shard(&self, shard: keys::Shard) -> bool {
        let of_shard = |origin: &RecordOrigin| match origin {
            RecordOrigin::Key { shard: of, .. } => *of == shard,
            RecordOrigin::Cell { .. } => false,
        };
        self.0.values().any(of_shard)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Control {
    /// Appends a record of an idempotency key.
    ///
    /// Reports the result to the call actor if the record is the first one of its key.
    pub(crate) fn journal_key(&mut self, cx: CX![], call: CallId, record: keys::Record) {
        let begins = matches!(record, keys::Record::Begun { .. });
        let keys = key_of(&record).shard(self.deps.shards.key_shards);
        if begins && self.releasing.contains_key(&keys) {
            return self.report_key_result(call, Err(KeyRecordError::Fenced));
        }
        let shard = ShardLayout::of_keys(keys);
        let durability = if begins { Durability::Immediate } else { Durability::Deferred };
        let bytes = records::write_key(&record);
        let now = self.deps.shared.clock.now();
        let appended = self.deps.agent.append(now, shard, records::KEY_KIND, bytes, durability);
        match appended {
            Ok(sequence) if begins => {
                self.pending_records.0.insert(sequence, RecordOrigin::Key { call, shard: keys });
            }
            Ok(_) => {}
            Err(error) => {
                event!(Code::ControlDecision, decision = error);
                if begins {
                    self.report_key_result(call, Err(key_record_error(error)));
                }
            }
        }
        self.handle_event(cx, Event::Tick);
    }

    /// Appends a record of a cell and reports the result to the cell.
    pub(crate) fn journal_cell(
        &mut self,
        cx: CX![],
        domain: DomainName,
        epoch: Epoch,
        record: cell::Record,
    ) {
        let sequence = record.sequence;
        let origin = RecordOrigin::Cell { domain: domain.clone(), epoch, sequence };
        let appended = self.append_cell(&domain, &record);
        match appended {
            Some(appended) => {
                self.pending_records.0.insert(appended, origin);
            }
            None => self.report_result(origin, false),
        }
        self.handle_event(cx, Event::Tick);
    }

    fn append_cell(&mut self, domain: &DomainName, record: &cell::Record) -> Option<Sequence> {
        let shard = self.deps.shards.of_cell(domain)?;
        let bytes = match records::write_cell(record) {
            Ok(bytes) => bytes,
            Err(error) => {
                event!(Code::ControlDecision, decision = error);
                return None;
            }
        };
        let durability = durability_of(&record.entry);
        let now = self.deps.shared.clock.now();
        let appended = self.deps.agent.append(now, shard, records::CELL_KIND, bytes, durability);
        if let Err(error) = &appended {
            event!(Code::ControlDecision, decision = error);
        }
        appended.ok()
    }

    pub(super) fn records_durable(&mut self, up_to: Sequence) {
        let rest = self.pending_records.0.split_off(&Sequence(up_to.0.saturating_add(1)));
        let written = std::mem::replace(&mut self.pending_records.0, rest);
        for origin in written.into_values() {
            self.report_result(origin, true);
        }
    }

    pub(super) fn records_withdrawn(&mut self, sequences: &[Sequence]) {
        for sequence in sequences {
            if let Some(origin) = self.pending_records.0.remove(sequence) {
                self.report_result(origin, false);
            }
        }
    }

    fn report_key_result(&self, call: CallId, written: Result<(), KeyRecordError>) {
        if let Some(calls) = &self.calls {
            call!([calls], key_record_written(call, written));
        }
    }

    /// Releases the key shards whose first records are no longer pending.
    pub(super) fn release_key_shards(&mut self, cx: CX![]) {
        let flushed = |(shard, _): &(&keys::Shard, &InstanceName)| {
            !self.pending_records.contains_key_shard(**shard)
        };
        let flushed: Vec<_> = self.releasing.iter().filter(flushed).collect();
        let flushed: Vec<_> = flushed.into_iter().map(|(shard, to)| (*shard, to.clone())).collect();
        for (shard, to) in flushed {
            self.releasing.remove(&shard);
            if let Some(calls) = &self.calls {
                call!([calls], key_owner_changed(shard, Some(to)));
            }
            call!([cx], released(ShardLayout::of_keys(shard), Bytes::new()));
        }
    }

    fn report_result(&self, origin: RecordOrigin, durable: bool) {
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match origin {
            RecordOrigin::Key { call, .. } => {
                let written = if durable { Ok(()) } else { Err(KeyRecordError::Unavailable) };
                call!([calls], key_record_written(call, written));
            }
            RecordOrigin::Cell { domain, epoch, sequence } => {
                call!([cells], record_written(domain, epoch, sequence, durable));
            }
        }
    }
}

/// Converts a journal error to the error that the first call with a key receives.
const fn key_record_error(error: AppendError) -> KeyRecordError {
    match error {
        AppendError::NotOwner(_) => KeyRecordError::Fenced,
        AppendError::StoreDown
        | AppendError::NoSession
        | AppendError::Full { .. }
        | AppendError::TooLarge { .. } => KeyRecordError::Unavailable,
    }
}

fn key_of(record: &keys::Record) -> &Key {
    match record {
        keys::Record::Begun { key, .. } | keys::Record::Ended { key, .. } => key,
    }
}

/// Returns when a record must be durable.
///
/// `Now` is for records that a requester waits for; the others may be written later.
fn durability_of(entry: &cell::Entry) -> Durability {
    match entry {
        cell::Entry::Accepted { .. }
        | cell::Entry::Cancelled(_)
        | cell::Entry::Moving { .. }
        | cell::Entry::Received(_) => Durability::Immediate,
        cell::Entry::Admitted(_)
        | cell::Entry::Retired(_)
        | cell::Entry::Finished { .. }
        | cell::Entry::Attempts { .. }
        | cell::Entry::Checkpointed { .. }
        | cell::Entry::Missed(_)
        | cell::Entry::Ended { .. } => Durability::Deferred,
    }
}
