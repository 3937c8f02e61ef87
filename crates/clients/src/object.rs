//! The object store.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use ureq::http::{Method, StatusCode};

use crate::error::Error;
use crate::http::{Channel, Request};
use crate::settings::Settings;

/// Path of the object store.
const BASE: &str = "/objects";
/// Header of a put that must not replace an object.
const IF_NONE_MATCH: &str = "if-none-match";

/// An entry of a list of objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the object.
    pub key: String,
    /// Length of the object in bytes.
    pub bytes: u64,
}

/// What a put does when the object exists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Put {
    /// Replaces the object.
    #[default]
    Replace,
    /// Fails with [`Error::Exists`].
    IfAbsent,
}

/// Client of the object store.
///
/// Keys are made of `a-z`, `A-Z`, `0-9`, `-`, `_`, `.` and `/`.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
}

impl Client {
    /// Returns a client of the object store at `address`.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self { channel: Channel::new(address, settings) }
    }

    /// Puts an object.
    ///
    /// # Errors
    ///
    /// [`Error::Exists`] when it was to be absent, otherwise as the
    /// [crate] states.
    pub fn put(&self, key: &str, body: Bytes, put: Put) -> Result<(), Error> {
        let path = self.path(key)?;
        let headers = match put {
            Put::Replace => Vec::new(),
            Put::IfAbsent => vec![(IF_NONE_MATCH, "*")],
        };
        let request = Request { method: Method::PUT, path: &path, headers, body, timeout: None };
        let reply = self.channel.any(request)?;
        if reply.status == StatusCode::PRECONDITION_FAILED {
            return Err(Error::Exists { key: key.to_owned() });
        }
        self.channel.success(reply).map(|_| ())
    }

    /// Returns an object, or none if it does not exist.
    ///
    /// # Errors
    ///
    /// As the [crate] states.
    pub fn get(&self, key: &str) -> Result<Option<Bytes>, Error> {
        let path = self.path(key)?;
        let reply = self.channel.any(Request { path: &path, ..Request::default() })?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.channel.success(reply).map(|reply| Some(reply.body))
    }

    /// Deletes an object, whether it exists or not.
    ///
    /// # Errors
    ///
    /// As the [crate] states.
    pub fn delete(&self, key: &str) -> Result<(), Error> {
        let path = self.path(key)?;
        let request = Request { method: Method::DELETE, path: &path, ..Request::default() };
        self.channel.checked(request).map(|_| ())
    }

    /// Lists the objects whose keys start with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// As the [crate] states.
    pub fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        self.check(prefix)?;
        let path = format!("{BASE}?prefix={prefix}");
        self.channel.json(Request { path: &path, ..Request::default() }, "a list of objects")
    }

    fn path(&self, key: &str) -> Result<String, Error> {
        self.check(key)?;
        Ok(format!("{BASE}/{key}"))
    }

    fn check(&self, key: &str) -> Result<(), Error> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
        if key.chars().all(allowed) {
            return Ok(());
        }
        let reason = format!("`{key}` is not an object key, expected a-z, A-Z, 0-9, `-_./`");
        Err(Error::NotSent { address: self.channel.address(), reason })
    }
}
