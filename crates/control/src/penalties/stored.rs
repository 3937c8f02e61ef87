//! Stored forms of sets of misses and of compacted hours.

use bytes::Bytes;
use capnp::message::Builder;
use sycamorerill_core::data;
use sycamorerill_core::money::Amount;
use sycamorerill_schema::journal;

use super::miss::CountKey;
use super::{Counts, Minute, Miss, MissId, Misses};
use crate::codec::{self, Error};
use crate::store::Key;

data! {
    /// Value of the row of a compacted hour.
    pub(crate) struct CompactedHour {
        /// Key of the object that holds the set of misses.
        pub(crate) object: Key,
        /// Checksum of the object.
        pub(crate) checksum: u32,
        /// Counts of the misses in the object.
        pub(crate) counts: Counts,
    }
}

/// Encodes a set of misses.
pub fn encode(misses: &Misses) -> Bytes {
    let mut message = Builder::new_default();
    let root = message.init_root::<journal::penalties::Builder<'_>>();
    write_misses(root, misses.values());
    codec::encode(&message)
}

/// Decodes a set of misses.
///
/// # Errors
///
/// Fails if the value is truncated, corrupt or has an unsupported format version.
pub fn decode(bytes: &[u8]) -> Result<Misses, Error> {
    let message = codec::decode(bytes)?;
    read_misses(message.get_root::<journal::penalties::Reader<'_>>()?)
}

/// Writes a set of misses into a Cap'n Proto message.
pub(crate) fn write_misses<'a>(
    to: journal::penalties::Builder<'_>,
    misses: impl ExactSizeIterator<Item = &'a Miss>,
) {
    let mut list = to.init_entries(misses.len() as u32);
    for (at, miss) in misses.enumerate() {
        let mut to = list.reborrow().get(at as u32);
        to.set_target(miss.id.target.as_str());
        to.set_subject(miss.id.subject);
        to.set_minute(miss.id.minute.0);
        to.set_team(miss.team.as_str());
        to.set_service(miss.service.as_ref().map_or("", |service| service.as_str()));
        to.set_amount(miss.amount.0);
    }
}

/// Reads a set of misses from a Cap'n Proto message.
pub(crate) fn read_misses(from: journal::penalties::Reader<'_>) -> Result<Misses, Error> {
    let mut misses = Misses::new();
    for entry in from.get_entries()? {
        let id = MissId {
            minute: Minute(entry.get_minute()),
            target: codec::parse_name(entry.get_target()?)?,
            subject: entry.get_subject(),
        };
        let service = entry.get_service()?;
        let miss = Miss {
            id: id.clone(),
            team: codec::parse_name(entry.get_team()?)?,
            service: if service.is_empty() { None } else { Some(codec::parse_name(service)?) },
            amount: Amount(entry.get_amount()),
        };
        misses.insert(id, miss);
    }
    Ok(misses)
}

impl CompactedHour {
    pub(crate) fn encode(&self) -> Bytes {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<journal::counts::Builder<'_>>();
        root.set_object(self.object.as_str());
        root.set_checksum(self.checksum);
        let mut list = root.init_counts(self.counts.by_key.len() as u32);
        for (at, ((minute, target, team, service), (misses, amount))) in
            self.counts.by_key.iter().enumerate()
        {
            let mut to = list.reborrow().get(at as u32);
            to.set_minute(minute.0);
            to.set_target(target.as_str());
            to.set_team(team.as_str());
            to.set_service(service.as_ref().map_or("", |service| service.as_str()));
            to.set_misses(*misses);
            to.set_amount(amount.0);
        }
        codec::encode(&message)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let message = codec::decode(bytes)?;
        let root = message.get_root::<journal::counts::Reader<'_>>()?;
        let mut counts = Counts::default();
        for count in root.get_counts()? {
            let service = count.get_service()?;
            let key: CountKey = (
                Minute(count.get_minute()),
                codec::parse_name(count.get_target()?)?,
                codec::parse_name(count.get_team()?)?,
                if service.is_empty() { None } else { Some(codec::parse_name(service)?) },
            );
            counts.by_key.insert(key, (count.get_misses(), Amount(count.get_amount())));
        }
        Ok(Self {
            object: Key::new(root.get_object()?.to_str()?),
            checksum: root.get_checksum(),
            counts,
        })
    }
}
