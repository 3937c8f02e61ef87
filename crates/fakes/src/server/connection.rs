//! Connections and their requests.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use sycamorerill_core::id::InstanceName;

/// Request header with the name of the client.
const CLIENT_HEADER: &str = "x-client";

/// Connection of a client, with the executor to which its requests go.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    executor: Mutex<Option<String>>,
}

impl Connection {
    /// Sets the executor of the connection and returns the previous one.
    pub(crate) fn assign(&self, executor: Option<&str>) -> Option<String> {
        let mut held = self.executor.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *held, executor.map(str::to_owned))
    }

    /// Returns whether the connection is assigned to `executor`.
    pub(crate) fn serves(&self, executor: &str) -> bool {
        let held = self.executor.lock().unwrap_or_else(PoisonError::into_inner);
        held.as_deref() == Some(executor)
    }
}

/// A request whose body has been received completely.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) connection: Arc<Connection>,
}

impl Incoming {
    /// Returns the value of a header, or none if it is absent or not text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns whether the request comes from one of `clients`.
    pub(crate) fn is_from(&self, clients: &BTreeSet<InstanceName>) -> bool {
        let client = self.header(CLIENT_HEADER);
        client.is_some_and(|client| clients.iter().any(|name| name.as_str() == client))
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|p| p.1)
    }
}
