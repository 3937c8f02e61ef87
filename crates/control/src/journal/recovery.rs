//! Recovers shards from their snapshots and the batches that the snapshots do not cover.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use sycamorerill_core::data;

use super::{Batch, Record, prefix};
use crate::codec::{self, Error};
use crate::ownership::{self, Shard};
use crate::session;
use crate::store::{Key, Request, Response, Row};

/// Maximum number of rows per scan.
const SCAN_LIMIT: u32 = 256;

data! {
    /// State of a shard recovered from its earlier owners.
    #[derive(Default)]
    pub struct Recovered {
        /// Content of the latest snapshot, or `None` if there is none.
        pub snapshot: Option<Bytes>,
        /// Records that the snapshot does not contain, oldest first.
        pub records: Vec<Record>,
    }
}

/// A shard's row, batch or snapshot object is truncated, corrupt or missing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("shard {shard} cannot be recovered, `{key}` is damaged: {error}")]
pub struct Failure {
    /// Shard that cannot be served.
    pub shard: Shard,
    /// Key of the damaged row or object.
    pub key: Key,
    /// Kind of the damage.
    #[source]
    pub error: Error,
}

/// Returns the records in the batches of a session.
///
/// The batches must be complete from the highest floor that one of them states.
///
/// # Errors
///
/// Fails at the first row that is truncated, corrupt or of another session, or if a
/// batch is missing.
pub fn recover(session: &session::Name, rows: &[Row]) -> Result<Vec<Record>, (Key, Error)> {
    let mut records = Vec::new();
    let mut numbers = BTreeSet::new();
    let mut floor = 0;
    for row in rows {
        let batch = Batch::decode(&row.value).map_err(|error| (row.key.clone(), error))?;
        if super::key(session, batch.number) != row.key || batch.session != *session {
            let reason = format!("the batch says that it is {} of {}", batch.number, batch.session);
            return Err((row.key.clone(), Error::Malformed { reason }));
        }
        floor = floor.max(batch.floor);
        numbers.insert(batch.number);
        records.extend(batch.records);
    }
    let end = numbers.last().copied().unwrap_or_default();
    for number in floor..=end {
        if number > 0 && !numbers.contains(&number) {
            let key = super::key(session, number);
            let error = Error::Missing { key: key.to_string() };
            return Err((key, error));
        }
    }
    Ok(records)
}

/// Next step of a recovery.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    Read(Request),
    Done(BTreeMap<Shard, Result<Recovered, Failure>>),
}

/// Recovery of several shards that share journals.
#[derive(Debug)]
pub(crate) struct Recovery {
    rows: BTreeMap<Shard, ownership::Row>,
    journals_to_scan: Vec<session::Name>,
    rows_by_session: BTreeMap<session::Name, Vec<Row>>,
    scanning: Option<session::Name>,
    snapshots_to_read: Vec<Shard>,
    fetching: Option<Shard>,
    snapshots: BTreeMap<Shard, Result<Bytes, Failure>>,
}

impl Recovery {
    /// Creates the recovery of shards from their rows.
    pub(crate) fn new(rows: BTreeMap<Shard, ownership::Row>) -> Self {
        let journals_to_scan: BTreeSet<session::Name> =
            rows.values().flat_map(|row| row.journals.iter().cloned()).collect();
        let with_snapshot = |(_, row): &(&Shard, &ownership::Row)| row.snapshot.is_some();
        let snapshots_to_read =
            rows.iter().filter(with_snapshot).map(|(shard, _)| *shard).collect();
        Self {
            rows,
            journals_to_scan: journals_to_scan.into_iter().collect(),
            rows_by_session: BTreeMap::new(),
            scanning: None,
            snapshots_to_read,
            fetching: None,
            snapshots: BTreeMap::new(),
        }
    }

    /// Returns the next request, or the results.
    pub(crate) fn next(&mut self) -> Step {
        if let Some(session) = self.scanning.clone().or_else(|| self.journals_to_scan.pop()) {
            let rows_by_session = self.rows_by_session.entry(session.clone()).or_default();
            let after = rows_by_session.last().map(|row| row.key.clone());
            let prefix = prefix(&session);
            self.scanning = Some(session);
            return Step::Read(Request::Scan { prefix, after, limit: SCAN_LIMIT });
        }
        while let Some(shard) = self.snapshots_to_read.pop() {
            let row = self.rows.get(&shard).and_then(|row| row.snapshot.as_ref());
            if let Some(snapshot) = row {
                self.fetching = Some(shard);
                return Step::Read(Request::GetObject { key: snapshot.object.clone() });
            }
        }
        Step::Done(self.finish())
    }

    pub(crate) fn handle(&mut self, response: Response) {
        match response {
            Response::Rows { rows, more } => {
                let Some(session) = self.scanning.take() else { return };
                self.rows_by_session.entry(session.clone()).or_default().extend(rows);
                self.scanning = more.then_some(session);
            }
            Response::Object(object) => {
                let Some(shard) = self.fetching.take() else { return };
                if let Some(snapshot) = self.check(shard, object) {
                    self.snapshots.insert(shard, snapshot);
                }
            }
            _ => {}
        }
    }

    fn check(&self, shard: Shard, object: Option<Bytes>) -> Option<Result<Bytes, Failure>> {
        let snapshot = self.rows.get(&shard)?.snapshot.as_ref()?;
        let key = snapshot.object.clone();
        let error = match object {
            None => Error::Missing { key: key.to_string() },
            Some(bytes) => match codec::checksum(&bytes) {
                found if found == snapshot.checksum => return Some(Ok(bytes)),
                found => Error::Checksum { found, expected: snapshot.checksum },
            },
        };
        Some(Err(Failure { shard, key, error }))
    }

    fn finish(&mut self) -> BTreeMap<Shard, Result<Recovered, Failure>> {
        let rows_by_session = std::mem::take(&mut self.rows_by_session);
        let journals: BTreeMap<session::Name, Result<Vec<Record>, (Key, Error)>> = rows_by_session
            .into_iter()
            .map(|(session, rows)| (session.clone(), recover(&session, &rows)))
            .collect();
        let shards: Vec<Shard> = self.rows.keys().copied().collect();
        shards.into_iter().map(|shard| (shard, self.shard(shard, &journals))).collect()
    }

    fn shard(
        &mut self,
        shard: Shard,
        journals: &BTreeMap<session::Name, Result<Vec<Record>, (Key, Error)>>,
    ) -> Result<Recovered, Failure> {
        let snapshot = self.snapshots.remove(&shard).transpose()?;
        let Some(row) = self.rows.get(&shard) else { return Ok(Recovered::default()) };
        let mut records = Vec::new();
        for session in &row.journals {
            let Some(journal) = journals.get(session) else { continue };
            let journal = journal.as_ref().map_err(|(key, error)| Failure {
                shard,
                key: key.clone(),
                error: error.clone(),
            })?;
            let wanted = |record: &&Record| record.shard == shard && !row.covers(record);
            records.extend(journal.iter().filter(wanted).cloned());
        }
        records.sort_by_key(|record| (record.epoch, record.sequence));
        Ok(Recovered { snapshot, records })
    }
}
