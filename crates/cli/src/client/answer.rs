//! Reading answers of entry instances.

use serde::de::DeserializeOwned;
use sycamorerill_core::api::{Conflict, Failure, Kind};

use super::error::{Attempt, Cause, Error};
use super::settings::Address;

/// A whole answer.
pub(super) struct Reply {
    pub(super) instance: Address,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

/// Reads the body that the status promises.
pub(super) fn read<T: DeserializeOwned>(reply: Reply) -> Result<T, Error> {
    let strange = Error::Answer { instance: reply.instance, status: reply.status };
    match reply.status {
        200..=299 => serde_json::from_slice(body_or_null(&reply)).map_err(|_| strange),
        400..=599 => Err(failure(&reply).unwrap_or(strange)),
        _ => Err(strange),
    }
}

fn body_or_null(reply: &Reply) -> &[u8] {
    if reply.body.is_empty() { b"null" } else { &reply.body }
}

fn failure(reply: &Reply) -> Option<Error> {
    if let Ok(conflict) = serde_json::from_slice::<Conflict>(&reply.body) {
        return Some(Error::Conflict(conflict));
    }
    let detail = serde_json::from_slice::<Failure>(&reply.body).ok()?.error;
    let error = match detail.kind {
        Kind::Unavailable | Kind::NotRun | Kind::Busy => Error::NotRun(detail),
        Kind::Exists => Error::Exists(detail),
        Kind::Unknown => {
            let attempt = Attempt { instance: reply.instance, cause: Cause::Unsure(detail) };
            Error::Unknown { attempt }
        }
        Kind::Internal => Error::Answer { instance: reply.instance, status: reply.status },
        Kind::Malformed
        | Kind::NotFound
        | Kind::Method
        | Kind::Timeout
        | Kind::Conflict
        | Kind::TooLarge
        | Kind::Refused => Error::Refused(detail),
    };
    Some(error)
}
