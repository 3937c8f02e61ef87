//! Decodes responses of entry instances.

use serde::de::DeserializeOwned;
use sycamorerill_core::api::{Conflict, Failure, Kind};

use super::error::{Attempt, Cause, Error};
use super::settings::Address;

/// A complete response whose body is not decoded yet.
pub(super) struct RawResponse {
    pub(super) instance: Address,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

/// Decodes the body as a result or as an error, depending on the status.
pub(super) fn decode<T: DeserializeOwned>(response: RawResponse) -> Result<T, Error> {
    let unexpected =
        Error::UnexpectedResponse { instance: response.instance, status: response.status };
    match response.status {
        200..=299 => serde_json::from_slice(body_or_null(&response)).map_err(|_| unexpected),
        400..=599 => Err(failure(&response).unwrap_or(unexpected)),
        _ => Err(unexpected),
    }
}

/// Returns the body, or JSON `null` for an empty one.
fn body_or_null(response: &RawResponse) -> &[u8] {
    if response.body.is_empty() { b"null" } else { &response.body }
}

/// Decodes the error that the body describes, or returns none if it describes none.
fn failure(response: &RawResponse) -> Option<Error> {
    if let Ok(conflict) = serde_json::from_slice::<Conflict>(&response.body) {
        return Some(Error::Conflict(conflict));
    }
    let detail = serde_json::from_slice::<Failure>(&response.body).ok()?.error;
    let error = match detail.kind {
        Kind::Unavailable | Kind::NotRun | Kind::Busy => Error::NotRun(detail),
        Kind::Exists => Error::Exists(detail),
        Kind::Unknown => {
            let attempt =
                Attempt { instance: response.instance, cause: Cause::OutcomeUnknown(detail) };
            Error::Unknown { attempt }
        }
        Kind::Internal => {
            Error::UnexpectedResponse { instance: response.instance, status: response.status }
        }
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
