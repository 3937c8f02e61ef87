//! Stored form of a session row.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::id::{Incarnation, InstanceName};
use sycamorerill_schema::journal;

use crate::codec::{self, Error};

data! {
    /// Value of a session row.
    pub struct Row {
        /// Incarnation that opened the session.
        pub incarnation: Incarnation,
        /// Random number that identifies the process that opened the session.
        pub nonce: u64,
        /// Instance that fenced the session, or `None` while the session can write.
        pub fenced_by: Option<InstanceName>,
        /// Number of challenges that other instances have written.
        pub challenge: u64,
        /// Number of the last challenge that the session answered.
        pub answer: u64,
    }
}

impl Row {
    /// Returns the row of a newly opened session.
    pub const fn opened(incarnation: Incarnation, nonce: u64) -> Self {
        Self { incarnation, nonce, fenced_by: None, challenge: 0, answer: 0 }
    }

    /// Encodes the row.
    pub fn encode(&self) -> Bytes {
        let mut message = Builder::new_default();
        let mut row = message.init_root::<journal::session::Builder<'_>>();
        row.set_incarnation(self.incarnation.0);
        row.set_nonce(self.nonce);
        row.set_challenge(self.challenge);
        row.set_answer(self.answer);
        if let Some(by) = &self.fenced_by {
            row.set_fenced_by(by.as_str());
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
        let row = message.get_root::<journal::session::Reader<'_>>()?;
        let by = row.get_fenced_by()?;
        Ok(Self {
            incarnation: Incarnation(row.get_incarnation()),
            nonce: row.get_nonce(),
            fenced_by: if by.is_empty() { None } else { Some(codec::parse_name(by)?) },
            challenge: row.get_challenge(),
            answer: row.get_answer(),
        })
    }
}
