//! The row that names the newest version.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::Version;
use sycamorerill_schema::journal;

use super::ApplyId;
use crate::codec::{self, Error};
use crate::store::Key;

/// Accepted versions that the row remembers.
const MAX_RECENT: usize = 32;

data! {
    /// One version that was accepted.
    pub struct Accepted {
        /// The version.
        pub version: Version,
        /// Identity of its acceptance.
        pub id: ApplyId,
        /// Object that holds it.
        pub object: Key,
    }
}

data! {
    /// Value of the row `config/current`.
    #[derive(Default)]
    pub struct Row {
        /// Checksum of the object of the newest version.
        pub checksum: u32,
        /// Versions accepted last, newest first.
        pub recent: Vec<Accepted>,
    }
}

impl Row {
    /// Returns the newest version, zero before the first.
    pub fn version(&self) -> Version {
        self.recent.first().map(|accepted| accepted.version).unwrap_or_default()
    }

    /// Returns this row after another acceptance, and the version that it forgets.
    pub(crate) fn accept(&self, accepted: Accepted, checksum: u32) -> (Self, Option<Accepted>) {
        let mut recent = self.recent.clone();
        recent.insert(0, accepted);
        let dropped = if recent.len() > MAX_RECENT { recent.pop() } else { None };
        (Self { checksum, recent }, dropped)
    }

    /// Returns the version that was accepted under an identity.
    pub(crate) fn accepted(&self, id: ApplyId) -> Option<Version> {
        self.recent.iter().find(|accepted| accepted.id == id).map(|accepted| accepted.version)
    }

    /// Returns the object of a version that is still remembered.
    pub(crate) fn object(&self, version: Version) -> Option<&Key> {
        let found = self.recent.iter().find(|accepted| accepted.version == version);
        found.map(|accepted| &accepted.object)
    }

    /// Returns the stored form.
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

    /// Reads the stored form.
    ///
    /// # Errors
    ///
    /// Fails where the value is torn, corrupt or of another format.
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
