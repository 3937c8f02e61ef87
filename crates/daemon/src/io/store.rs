//! Executes requests of the control plane on the platform's table and object store.

use sycamorerill_clients::object::Put;
use sycamorerill_clients::table::{self, Expect, Key, TransactionId};
use sycamorerill_clients::{Error, object};
use sycamorerill_control::store::{
    Expected, Request, RequestId, Response, Row, RowVersion, Transaction,
};

/// Clients of the platform's table and object store.
#[derive(Clone)]
pub(crate) struct Store {
    table: table::Client,
    objects: object::Client,
    /// Prefix of transaction identities, unique to this process.
    prefix: String,
}

impl Store {
    /// Returns a store that uses the given clients.
    pub(crate) fn new(table: table::Client, objects: object::Client, prefix: String) -> Self {
        Self { table, objects, prefix }
    }

    /// Executes a request and blocks until its response arrives.
    ///
    /// The response is [`Response::Unknown`] if a write failed but may have taken effect.
    pub(crate) fn run(&self, id: RequestId, request: Request) -> Response {
        let is_write = request.is_write();
        match self.send(id, request) {
            Ok(response) => response,
            Err(Error::Conflict(_)) => Response::Conflict,
            Err(error) if is_write && !error.had_no_effect() => Response::Unknown,
            Err(_) => Response::Unavailable,
        }
    }

    fn send(&self, id: RequestId, request: Request) -> Result<Response, Error> {
        match request {
            Request::Transact(transaction) => self.transact(id, transaction),
            Request::Row { key } => {
                let row = self.table.row(&Key::new(key.as_str()))?;
                Ok(Response::Row(row.map(to_row)))
            }
            Request::Scan { prefix, after, limit } => {
                let prefix = Key::new(prefix.as_str());
                let after = after.map(|after| Key::new(after.as_str()));
                let page = self.table.scan(&prefix, after.as_ref(), limit as usize)?;
                let rows = page.rows.into_iter().map(to_row).collect();
                Ok(Response::Rows { rows, more: page.more })
            }
            Request::PutObject { key, bytes } => {
                self.objects.put(key.as_str(), bytes, Put::Replace)?;
                Ok(Response::Stored)
            }
            Request::GetObject { key } => Ok(Response::Object(self.objects.get(key.as_str())?)),
            Request::DeleteObject { key } => {
                self.objects.delete(key.as_str())?;
                Ok(Response::Stored)
            }
        }
    }

    fn transact(&self, id: RequestId, transaction: Transaction) -> Result<Response, Error> {
        let identity = TransactionId::new(format!("{}-{}", self.prefix, id.0));
        let mut request = table::Transaction::new(identity);
        for check in &transaction.checks {
            let expect = match check.expected {
                Expected::Absent => Expect::Absent,
                Expected::At(version) => Expect::Version(table::RowVersion(version.0)),
            };
            request = request.when(check.key.as_str(), expect);
        }
        for write in &transaction.writes {
            request = match &write.value {
                Some(value) => request.put(write.key.as_str(), value.clone()),
                None => request.delete(write.key.as_str()),
            };
        }
        let committed = self.table.transact(&request)?;
        let version = |write: &sycamorerill_control::store::Write| {
            let version = committed.versions.get(&Key::new(write.key.as_str()));
            RowVersion(version.map_or(0, |version| version.0))
        };
        Ok(Response::Committed(transaction.writes.iter().map(version).collect()))
    }
}

fn to_row(row: table::Row) -> Row {
    Row {
        key: sycamorerill_control::store::Key::new(row.key.as_str()),
        version: RowVersion(row.version.0),
        value: row.value,
    }
}
