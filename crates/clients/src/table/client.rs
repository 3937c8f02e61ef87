//! Client of the transactional table and its requests.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ureq::http::StatusCode;

use super::row::{Key, Row};
use super::transaction::{Committed, Conflict, Transaction};
use crate::error::Error;
use crate::http::Channel;
use crate::settings::Settings;

/// Client of the transactional table.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
}

/// Request to read one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowRequest {
    /// Key of the requested row.
    pub key: Key,
}

/// Request to read rows, sorted by key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix that the keys of the rows must have.
    pub prefix: Key,
    /// Key after which the rows start, exclusive; absent to start with the first.
    #[serde(default)]
    pub after: Option<Key>,
    /// Maximum number of rows to return.
    pub limit: usize,
}

/// Rows that a scan returned, sorted by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanPage {
    /// Rows, at most [`ScanRequest::limit`].
    pub rows: Vec<Row>,
    /// Whether more rows follow the last one returned.
    pub more: bool,
}

impl Client {
    /// Creates a client of the table at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings) }
    }

    /// Commits a transaction if all of its conditions hold.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if a condition does not hold, and otherwise an error as
    /// described in the [crate] documentation. After [`Error::Unknown`], the identity stored
    /// in the written rows shows whether the transaction took effect.
    pub fn transact(&self, transaction: &Transaction) -> Result<Committed, Error> {
        let response = self.channel.post_json("/table/transact", transaction)?;
        if response.status == StatusCode::CONFLICT {
            let conflict: Conflict = self.channel.parse_json(&response.body, "a conflict")?;
            return Err(Error::Conflict(Box::new(conflict)));
        }
        let response = self.channel.require_success(response)?;
        self.channel.parse_json(&response.body, "a committed transaction")
    }

    /// Returns the row with the key `key`, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation.
    pub fn row(&self, key: &Key) -> Result<Option<Row>, Error> {
        let response = self.channel.post_json("/table/row", &RowRequest { key: key.clone() })?;
        let response = self.channel.require_success(response)?;
        self.channel.parse_json(&response.body, "a row")
    }

    /// Returns up to `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation.
    pub fn scan(&self, prefix: &Key, after: Option<&Key>, limit: usize) -> Result<ScanPage, Error> {
        let request = ScanRequest { prefix: prefix.clone(), after: after.cloned(), limit };
        let response = self.channel.post_json("/table/scan", &request)?;
        let response = self.channel.require_success(response)?;
        self.channel.parse_json(&response.body, "rows")
    }
}
