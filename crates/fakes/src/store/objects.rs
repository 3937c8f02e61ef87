//! The object store.

use std::collections::BTreeMap;

use bytes::Bytes;
use sycamorerill_clients::object::Entry;

/// Objects by key.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    bodies: BTreeMap<String, Bytes>,
}

impl Objects {
    /// Stores an object and reports whether it did so; with `if_absent`, an existing object stays.
    pub(crate) fn put(&mut self, key: &str, body: Bytes, if_absent: bool) -> bool {
        if if_absent && self.bodies.contains_key(key) {
            return false;
        }
        self.bodies.insert(key.to_owned(), body);
        true
    }

    /// Returns the body of an object.
    pub(crate) fn get(&self, key: &str) -> Option<Bytes> {
        self.bodies.get(key).cloned()
    }

    /// Deletes an object.
    pub(crate) fn delete(&mut self, key: &str) {
        self.bodies.remove(key);
    }

    /// Lists the objects whose keys begin with `prefix`, in the order of the keys.
    pub(crate) fn list(&self, prefix: &str) -> Vec<Entry> {
        let found = self.bodies.range(prefix.to_owned()..);
        let found = found.take_while(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, body)| Entry {
                key: key.clone(),
                bytes: u64::try_from(body.len()).unwrap_or(u64::MAX),
            })
            .collect()
    }
}
