//! Names of instances, sessions and shards inside messages.

use std::str::FromStr;

use sycamorerill_core::id::Incarnation;
use sycamorerill_schema::journal;

use super::Error;
use crate::ownership::{Kind, Shard};
use crate::session;

/// Reads a name.
pub(crate) fn parse_name<T>(text: capnp::text::Reader<'_>) -> Result<T, Error>
where
    T: FromStr<Err = sycamorerill_core::id::Error>,
{
    Ok(text.to_str()?.parse()?)
}

/// Reads the name of a session.
pub(crate) fn read_session(
    from: journal::session_name::Reader<'_>,
) -> Result<session::Name, Error> {
    Ok(session::Name {
        instance: parse_name(from.get_instance()?)?,
        incarnation: Incarnation(from.get_incarnation()),
    })
}

/// Writes the name of a session.
pub(crate) fn write_session(mut to: journal::session_name::Builder<'_>, name: &session::Name) {
    to.set_instance(name.instance.as_str());
    to.set_incarnation(name.incarnation.0);
}

/// Reads the name of a shard.
pub(crate) fn read_shard(kind: u8, number: u32) -> Result<Shard, Error> {
    let kind = Kind::from_code(kind);
    let kind = kind.ok_or_else(|| Error::Malformed { reason: "unknown kind of shard".into() })?;
    Ok(Shard { kind, number })
}
