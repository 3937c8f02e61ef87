//! Snapshot of a shard of keys as records.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::CallId;

use super::ledger::{Ledger, State};
use super::{End, Key, Record, Shard};

impl Ledger {
    /// Returns records from which the shard can be restored instead of from its journal.
    ///
    /// The retention in a record is the time that remains at `now`.
    pub fn records(&self, now: Time, shard: Shard) -> Vec<Record> {
        let mut records = Vec::new();
        for ((service, text), entry) in &self.entries {
            let key = Key { text: text.clone(), digest: entry.digest };
            if key.shard(self.settings.shards) != shard {
                continue;
            }
            let (service, retention) = (service.clone(), entry.expires.since(now));
            let call = match entry.state {
                State::Running(call) | State::Answered(call) => call,
                State::EndUnknown => CallId::default(),
            };
            records.push(Record::Begun {
                call,
                service: service.clone(),
                key: key.clone(),
                retention,
            });
            if let State::Answered(call) = entry.state {
                records.push(Record::Ended { call, service, key, end: End::Answered });
            }
        }
        records
    }
}
