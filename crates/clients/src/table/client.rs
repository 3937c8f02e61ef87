//! Client of the table service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use ureq::http::StatusCode;

use super::row::{Key, Row};
use super::transaction::{Committed, Conflict, Transaction};
use crate::error::Error;
use crate::http::Channel;
use crate::settings::Settings;

/// Client of the table service.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
}

/// A request for one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowRequest {
    /// Key of the row.
    pub key: Key,
}

/// A request for rows in the order of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Start of the keys.
    pub prefix: Key,
    /// Key after which the rows start.
    #[serde(default)]
    pub after: Option<Key>,
    /// Largest number of rows.
    pub limit: usize,
}

/// Rows in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanPage {
    /// Rows found, at most as many as asked for.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

impl Client {
    /// Returns a client of the table service at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings) }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when a condition does not hold, otherwise as the
    /// [crate] states. After [`Error::Unknown`] the identity kept in the
    /// written rows tells whether the transaction took effect.
    pub fn transact(&self, transaction: &Transaction) -> Result<Committed, Error> {
        let reply = self.channel.post("/table/transact", transaction)?;
        if reply.status == StatusCode::CONFLICT {
            let conflict: Conflict = self.channel.parse(&reply.body, "a conflict")?;
            return Err(Error::Conflict(Box::new(conflict)));
        }
        let reply = self.channel.success(reply)?;
        self.channel.parse(&reply.body, "a committed transaction")
    }

    /// Returns the row of `key`, or none if it does not exist.
    ///
    /// # Errors
    ///
    /// As the [crate] states.
    pub fn row(&self, key: &Key) -> Result<Option<Row>, Error> {
        let reply = self.channel.post("/table/row", &RowRequest { key: key.clone() })?;
        let reply = self.channel.success(reply)?;
        self.channel.parse(&reply.body, "a row")
    }

    /// Returns at most `limit` rows whose keys start with `prefix`, after `after`.
    ///
    /// # Errors
    ///
    /// As the [crate] states.
    pub fn scan(&self, prefix: &Key, after: Option<&Key>, limit: usize) -> Result<ScanPage, Error> {
        let request = ScanRequest { prefix: prefix.clone(), after: after.cloned(), limit };
        let reply = self.channel.post("/table/scan", &request)?;
        let reply = self.channel.success(reply)?;
        self.channel.parse(&reply.body, "rows")
    }
}
