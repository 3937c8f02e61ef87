//! Stored form of the row that names the latest version.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::Version;
use sycamorerill_schema::journal;

use super::ApplyId;
use crate::codec::{self, Error};
use crate::store::Key;

/// Maximum number of accepted versions in the row.
const MAX_RECENT: usize = 32;

data! {
    /// Accepted version.
    pub struct Accepted {
        /// Number of the version.
        pub version: Version,
        /// Identifier of the request that was accepted.
        pub id: ApplyId,
        /// Key of the object that holds the version.
        pub object: Key,
    }
}

data! {
    /// Value of the row `config/current`.
    #[derive(Default)]
    pub struct Row {
        /// Checksum of the object of the latest version.
        pub checksum: u32,
        /// Recently accepted versions, latest first.
        pub recent: Vec<Accepted>,
    }
}

impl Row {
    /// Returns the latest version, or zero if there is none.
    pub fn version(&self) -> Version {
        self.recent.first().map(|accepted| accepted.version).unwrap_or_default()
    }

    /// Returns this row with another accepted version, and the version that it drops, if
    /// any.
    pub(crate) fn accept(&self, accepted: Accepted, checksum: u32) -> (Self, Option<Accepted>) {
        let mut recent = self.recent.clone();
        recent.insert(0, accepted);
        let dropped = if recent.len() > MAX_RECENT { recent.pop() } else { None };
        (Self { checksum, recent }, dropped)
    }

    /// Returns the version that was accepted for a request.
    pub(crate) fn accepted(&self, id: ApplyId) -> Option<Version> {
        self.recent.iter().find(|accepted| accepted.id == id).map(|accepted| accepted.version)
    }

    /// Returns the key of the object of a version that is still in the row.
    pub(crate) fn object(&self, version: Version) -> Option<&Key> {
        let found = self.recent.iter().find(|accepted| accepted.version == version);
        found.map(|accepted| &accepted.object)
    }

    /// Encodes the row.
    pub fn encode(&self) -> Bytes {
        let mut message = Builder::new_default();
        let mut row = message.init_root::<journal::config_row::Builder<'_>>();
        row.set_version(self.version().0);
        row.set_checksum(self.checksum);
        let mut recent = row.init_recent(self.recent.len() as u32);
        for (at, accepted) in self.recent.iter().enumerate() {
            let mut to = recent.reborrow().get(at as u32);
            to.set_version(accepted.version.0);
            to.set_identity(accepted.id.0);
            to.set_object(accepted.object.as_str());
        }
        codec::encode(&message)
    }

    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// Fails if the value is truncated, corrupt or has an unsupported format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = codec::decode(bytes)?;
        let row = message.get_root::<journal::config_row::Reader<'_>>()?;
        let recent = row.get_recent()?.iter().map(read_accepted).collect::<Result<_, _>>()?;
        Ok(Self { checksum: row.get_checksum(), recent })
    }
}

fn read_accepted(from: journal::accepted::Reader<'_>) -> Result<Accepted, Error> {
    Ok(Accepted {
        version: Version(from.get_version()),
        id: ApplyId(from.get_identity()),
        object: Key::new(from.get_object()?.to_str()?),
    })
}
