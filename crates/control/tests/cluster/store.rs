//! In-memory table and object store.

use std::collections::BTreeMap;

use bytes::Bytes;
use sycamorerill_control::store::{Expected, Key, Request, Response, Row, RowVersion, Transaction};
use sycamorerill_control::{journal, ownership};

/// In-memory table and object store.
#[derive(Default)]
pub struct Store {
    rows: BTreeMap<Key, (RowVersion, Bytes)>,
    objects: BTreeMap<Key, Bytes>,
    version: u64,
    /// Records written by a session that did not own their shard.
    pub violations: Vec<String>,
    pub writes: u64,
    pub reads: u64,
    pub scanned: u64,
}

impl Store {
    /// Applies a request.
    pub fn apply(&mut self, request: Request) -> Response {
        match request.is_write() {
            true => self.writes += 1,
            false => self.reads += 1,
        }
        match request {
            Request::Transact(transaction) => self.transact(transaction),
            Request::Row { key } => Response::Row(self.row(&key)),
            Request::Scan { prefix, after, limit } => self.scan(&prefix, after, limit),
            Request::PutObject { key, bytes } => {
                self.objects.insert(key, bytes);
                Response::Stored
            }
            Request::GetObject { key } => Response::Object(self.objects.get(&key).cloned()),
            Request::DeleteObject { key } => {
                self.objects.remove(&key);
                Response::Stored
            }
        }
    }

    /// Returns a row.
    pub fn row(&self, key: &Key) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row { key: key.clone(), version: *version, value: value.clone() })
    }

    /// Returns the keys of rows and objects that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let all = self.rows.keys().chain(self.objects.keys());
        all.map(ToString::to_string).filter(|key| key.starts_with(prefix)).collect()
    }

    /// Damages or removes a row or object directly, without a request.
    pub fn damage(&mut self, key: &str, how: &str) {
        let key = Key::new(key);
        let object = self.objects.contains_key(&key);
        let found = match object {
            true => self.objects.remove(&key),
            false => self.rows.remove(&key).map(|(_, value)| value),
        };
        let mut value = found.expect("a piece to damage").to_vec();
        match how {
            "missing" => return,
            "truncated" => value.truncate(3),
            "corrupt" => *value.last_mut().expect("a byte") ^= 1,
            _ => panic!("unknown damage {how}"),
        }
        match object {
            true => _ = self.objects.insert(key, value.into()),
            false => _ = self.rows.insert(key, (RowVersion(self.version), value.into())),
        }
    }

    fn scan(&mut self, prefix: &Key, after: Option<Key>, limit: u32) -> Response {
        let start = after.clone().unwrap_or_else(|| prefix.clone());
        let mut rows = self.rows.range(start..).filter(|(key, _)| {
            key.as_str().starts_with(prefix.as_str()) && after.as_ref() != Some(*key)
        });
        let found: Vec<Row> = rows
            .by_ref()
            .take(limit as usize)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        let more = rows.next().is_some();
        self.scanned += found.len() as u64;
        Response::Rows { rows: found, more }
    }

    fn transact(&mut self, transaction: Transaction) -> Response {
        let holds = transaction.checks.iter().all(|check| {
            let found = self.rows.get(&check.key).map(|(version, _)| *version);
            match check.expected {
                Expected::Absent => found.is_none(),
                Expected::At(version) => found == Some(version),
            }
        });
        if !holds {
            return Response::Conflict;
        }
        self.version += 1;
        let mut versions = Vec::new();
        for write in transaction.writes {
            match write.value {
                Some(value) => {
                    self.check_batch(&write.key, &value);
                    self.rows.insert(write.key, (RowVersion(self.version), value));
                    versions.push(RowVersion(self.version));
                }
                None => {
                    self.rows.remove(&write.key);
                    versions.push(RowVersion(0));
                }
            }
        }
        Response::Committed(versions)
    }

    /// Checks that the owner of each record's shard wrote it in the current epoch.
    fn check_batch(&mut self, key: &Key, value: &Bytes) {
        if !key.as_str().starts_with("journal/") {
            return;
        }
        let batch = journal::Batch::decode(value).expect("a batch");
        for record in batch.records {
            let row = self.row(&ownership::key(record.shard));
            let row = row.map(|row| ownership::Row::decode(&row.value).expect("a shard"));
            let owned =
                |row: &ownership::Row| row.owner == batch.session && row.epoch == record.epoch;
            if !row.as_ref().is_some_and(owned) {
                let text = format!(
                    "{} wrote a record of {} in {} without owning it",
                    batch.session, record.shard, record.epoch
                );
                self.violations.push(text);
            }
        }
    }
}
