//! Carries records to the journal and the journal's word back.

use std::collections::BTreeMap;

use bytes::Bytes;
use stakker::{CX, call};
use sycamorerill_calls::keys::{self, Key};
use sycamorerill_calls::router::Refusal;
use sycamorerill_control::agent::Event;
use sycamorerill_control::journal::{Need, Refused, Sequence};
use sycamorerill_core::id::{CallId, DomainName, Epoch, InstanceName};
use sycamorerill_tasks::journal as cell;

use super::Control;
use crate::event;
use crate::events::Code;
use crate::hub::records;
use crate::hub::shards::Shards;

/// Who waits for a record to last.
#[derive(Clone, Debug)]
enum Origin {
    /// The first call with a key.
    Key { call: CallId, shard: keys::Shard },
    /// A cell, for one of its records.
    Cell { domain: DomainName, epoch: Epoch, sequence: u64 },
}

/// Records that do not last yet.
#[derive(Debug, Default)]
pub(super) struct Waiting(BTreeMap<Sequence, Origin>);

impl Waiting {
    /// Reports whether the first record of a key of the shard is on its way.
    fn holds(&self, shard: keys::Shard) -> bool {
        let of_shard = |origin: &Origin| match origin {
            Origin::Key { shard: of, .. } => *of == shard,
            Origin::Cell { .. } => false,
        };
        self.0.values().any(of_shard)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Control {
    /// Appends a record of the ledger of keys.
    pub(crate) fn journal_key(&mut self, cx: CX![], call: CallId, record: keys::Record) {
        let begins = matches!(record, keys::Record::Begun { .. });
        let keys = key_of(&record).shard(self.parts.shards.keys);
        if begins && self.releasing.contains_key(&keys) {
            return self.tell_key(call, Err(Refusal::Fenced));
        }
        let shard = Shards::of_keys(keys);
        let need = if begins { Need::Now } else { Need::Later };
        let bytes = records::write_key(&record);
        let now = self.parts.shared.clock.now();
        let appended = self.parts.agent.append(now, shard, records::KEY, bytes, need);
        match appended {
            Ok(sequence) if begins => {
                self.waiting.0.insert(sequence, Origin::Key { call, shard: keys });
            }
            Ok(_) => {}
            Err(refused) => {
                event!(Code::ControlDecision, decision = refused);
                if begins {
                    self.tell_key(call, Err(refusal(refused)));
                }
            }
        }
        self.drive(cx, Event::Tick);
    }

    /// Appends a record of a cell.
    pub(crate) fn journal_cell(
        &mut self,
        cx: CX![],
        domain: DomainName,
        epoch: Epoch,
        record: cell::Record,
    ) {
        let sequence = record.sequence;
        let origin = Origin::Cell { domain: domain.clone(), epoch, sequence };
        let appended = self.append_cell(&domain, &record);
        match appended {
            Some(appended) => {
                self.waiting.0.insert(appended, origin);
            }
            None => self.tell(origin, false),
        }
        self.drive(cx, Event::Tick);
    }

    fn append_cell(&mut self, domain: &DomainName, record: &cell::Record) -> Option<Sequence> {
        let shard = self.parts.shards.of_cell(domain)?;
        let bytes = match records::write_cell(record) {
            Ok(bytes) => bytes,
            Err(error) => {
                event!(Code::ControlDecision, decision = error);
                return None;
            }
        };
        let need = need_of(&record.entry);
        let now = self.parts.shared.clock.now();
        let appended = self.parts.agent.append(now, shard, records::CELL, bytes, need);
        if let Err(refused) = &appended {
            event!(Code::ControlDecision, decision = refused);
        }
        appended.ok()
    }

    pub(super) fn durable(&mut self, up_to: Sequence) {
        let rest = self.waiting.0.split_off(&Sequence(up_to.0.saturating_add(1)));
        let lasting = std::mem::replace(&mut self.waiting.0, rest);
        for origin in lasting.into_values() {
            self.tell(origin, true);
        }
    }

    pub(super) fn withdrawn(&mut self, sequences: &[Sequence]) {
        for sequence in sequences {
            if let Some(origin) = self.waiting.0.remove(sequence) {
                self.tell(origin, false);
            }
        }
    }

    fn tell_key(&self, call: CallId, written: Result<(), Refusal>) {
        if let Some(calls) = &self.calls {
            call!([calls], key_written(call, written));
        }
    }

    /// Gives up the shards of keys that no record is on its way for any more.
    pub(super) fn release_keys(&mut self, cx: CX![]) {
        let settled = |(shard, _): &(&keys::Shard, &InstanceName)| !self.waiting.holds(**shard);
        let settled: Vec<_> = self.releasing.iter().filter(settled).collect();
        let settled: Vec<_> = settled.into_iter().map(|(shard, to)| (*shard, to.clone())).collect();
        for (shard, to) in settled {
            self.releasing.remove(&shard);
            if let Some(calls) = &self.calls {
                call!([calls], keys_moved(shard, Some(to)));
            }
            call!([cx], released(Shards::of_keys(shard), Bytes::new()));
        }
    }

    fn tell(&self, origin: Origin, lasts: bool) {
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match origin {
            Origin::Key { call, .. } => {
                let written = if lasts { Ok(()) } else { Err(Refusal::Down) };
                call!([calls], key_written(call, written));
            }
            Origin::Cell { domain, epoch, sequence } => {
                call!([cells], written(domain, epoch, sequence, lasts));
            }
        }
    }
}

/// What a refused record means to the first call with a key.
const fn refusal(refused: Refused) -> Refusal {
    match refused {
        Refused::NotOwner(_) => Refusal::Fenced,
        Refused::StoreDown
        | Refused::NoSession
        | Refused::Full { .. }
        | Refused::TooLarge { .. } => Refusal::Down,
    }
}

fn key_of(record: &keys::Record) -> &Key {
    match record {
        keys::Record::Begun { key, .. } | keys::Record::Ended { key, .. } => key,
    }
}

/// Somebody waits for these records; the others may wait for the store.
fn need_of(entry: &cell::Entry) -> Need {
    match entry {
        cell::Entry::Accepted { .. }
        | cell::Entry::Cancelled(_)
        | cell::Entry::Moving { .. }
        | cell::Entry::Received(_) => Need::Now,
        cell::Entry::Admitted(_)
        | cell::Entry::Retired(_)
        | cell::Entry::Finished { .. }
        | cell::Entry::Attempts { .. }
        | cell::Entry::Checkpointed { .. }
        | cell::Entry::Missed(_)
        | cell::Entry::Ended { .. } => Need::Later,
    }
}
