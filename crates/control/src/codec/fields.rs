//! Conversion of names, sessions and shards to and from Cap'n Proto fields.

use std::str::FromStr;

use sycamorerill_core::id::Incarnation;
use sycamorerill_schema::journal;

use super::Error;
use crate::ownership::{Kind, Shard};
use crate::session;

/// Parses a name from a text field.
pub(crate) fn parse_name<T>(text: capnp::text::Reader<'_>) -> Result<T, Error>
where
    T: FromStr<Err = sycamorerill_core::id::Error>,
{
    Ok(text.to_str()?.parse()?)
}

/// Reads a session name.
pub(crate) fn read_session(
    from: journal::session_name::Reader<'_>,
) -> Result<session::Name, Error> {
    Ok(session::Name {
        instance: parse_name(from.get_instance()?)?,
        incarnation: Incarnation(from.get_incarnation()),
    })
}

/// Writes a session name.
pub(crate) fn write_session(mut to: journal::session_name::Builder<'_>, name: &session::Name) {
    to.set_instance(name.instance.as_str());
    to.set_incarnation(name.incarnation.0);
}

/// Returns the shard with the given kind code and number.
pub(crate) fn read_shard(kind: u8, number: u32) -> Result<Shard, Error> {
    let kind = Kind::from_code(kind);
    let kind = kind.ok_or_else(|| Error::Malformed { reason: "unknown kind of shard".into() })?;
    Ok(Shard { kind, number })
}
