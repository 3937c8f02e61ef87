//! Client of the platform's object store.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use ureq::http::{Method, StatusCode};

use crate::error::Error;
use crate::http::{Channel, Request};
use crate::settings::Settings;

/// Path of the object store.
const BASE: &str = "/objects";
/// Header of a put request that must not replace an object.
const IF_NONE_MATCH: &str = "if-none-match";

/// Key and length of a stored object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the object.
    pub key: String,
    /// Length of the object in bytes.
    pub bytes: u64,
}

/// Behavior of a put when the object exists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Put {
    /// The put replaces the object.
    #[default]
    Replace,
    /// The put fails with [`Error::Exists`].
    IfAbsent,
}

/// Client of the object store.
///
/// Keys consist of `a-z`, `A-Z`, `0-9`, `-`, `_`, `.` and `/`.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
}

impl Client {
    /// Creates a client of the object store at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings) }
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Exists`] if `put` is [`Put::IfAbsent`] and the object exists, and
    /// otherwise an error as described in the [crate] documentation.
    pub fn put(&self, key: &str, body: Bytes, put: Put) -> Result<(), Error> {
        let path = self.path(key)?;
        let headers = match put {
            Put::Replace => Vec::new(),
            Put::IfAbsent => vec![(IF_NONE_MATCH, "*")],
        };
        let request = Request { method: Method::PUT, path: &path, headers, body, timeout: None };
        let response = self.channel.request(request)?;
        if response.status == StatusCode::PRECONDITION_FAILED {
            return Err(Error::Exists { key: key.to_owned() });
        }
        self.channel.require_success(response).map(|_| ())
    }

    /// Returns the body of an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation.
    pub fn get(&self, key: &str) -> Result<Option<Bytes>, Error> {
        let path = self.path(key)?;
        let response = self.channel.request(Request { path: &path, ..Request::default() })?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.channel.require_success(response).map(|response| Some(response.body))
    }

    /// Deletes an object; an object that does not exist is no error.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation.
    pub fn delete(&self, key: &str) -> Result<(), Error> {
        let path = self.path(key)?;
        let request = Request { method: Method::DELETE, path: &path, ..Request::default() };
        self.channel.request_success(request).map(|_| ())
    }

    /// Returns the objects whose keys start with `prefix`, sorted by key.
    ///
    /// # Errors
    ///
    /// Returns an error as described in the [crate] documentation.
    pub fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        self.check_key(prefix)?;
        let path = format!("{BASE}?prefix={prefix}");
        self.channel
            .request_json(Request { path: &path, ..Request::default() }, "a list of objects")
    }

    fn path(&self, key: &str) -> Result<String, Error> {
        self.check_key(key)?;
        Ok(format!("{BASE}/{key}"))
    }

    fn check_key(&self, key: &str) -> Result<(), Error> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
        if key.chars().all(is_allowed) {
            return Ok(());
        }
        let reason = format!("`{key}` is not an object key, expected a-z, A-Z, 0-9, `-_./`");
        Err(Error::NotSent { address: self.channel.address(), reason })
    }
}
