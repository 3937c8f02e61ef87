//! Stored form of a configuration version.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::Version;
use sycamorerill_schema::journal;

use crate::codec::{self, Error};

/// Digests of the values of a configuration, by key.
pub type Digests = BTreeMap<String, u64>;

data! {
    /// Content of a configuration version.
    pub struct Content {
        /// Number of the version.
        pub version: Version,
        /// Operator who submitted the configuration.
        pub author: String,
        /// Digests of the values, to find the keys that differ from another version.
        pub digests: Digests,
        /// Encoded configuration, which is opaque to this crate.
        pub bytes: Bytes,
    }
}

impl Content {
    /// Encodes the content.
    pub fn encode(&self) -> Bytes {
        let mut message = Builder::new_default();
        let mut content = message.init_root::<journal::content::Builder<'_>>();
        content.set_version(self.version.0);
        content.set_author(self.author.as_str());
        content.set_bytes(&self.bytes);
        let mut keys = content.init_keys(self.digests.len() as u32);
        for (at, (key, digest)) in self.digests.iter().enumerate() {
            let mut to = keys.reborrow().get(at as u32);
            to.set_key(key.as_str());
            to.set_digest(*digest);
        }
        codec::encode(&message)
    }

    /// Decodes the content.
    ///
    /// # Errors
    ///
    /// Fails if the value is truncated, corrupt or has an unsupported format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = codec::decode(bytes)?;
        let content = message.get_root::<journal::content::Reader<'_>>()?;
        let mut digests = Digests::new();
        for key in content.get_keys()? {
            digests.insert(key.get_key()?.to_string()?, key.get_digest());
        }
        Ok(Self {
            version: Version(content.get_version()),
            author: content.get_author()?.to_string()?,
            digests,
            bytes: Bytes::copy_from_slice(content.get_bytes()?),
        })
    }
}

/// Returns the keys whose values differ between two configurations.
pub(crate) fn difference(one: &Digests, other: &Digests) -> BTreeSet<String> {
    let changed = one.iter().filter(|(key, digest)| other.get(*key) != Some(digest));
    let added = other.keys().filter(|key| !one.contains_key(*key));
    changed.map(|(key, _)| key).chain(added).cloned().collect()
}
