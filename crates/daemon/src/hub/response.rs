//! Helpers for requests and responses of operators and submitters.

use crossbeam_channel::Sender;
use serde::de::DeserializeOwned;
use sycamorerill_core::api::Kind;

use crate::http::{Request, Response};

/// Sends a response. Does nothing if the receiver has disconnected.
pub(super) fn send_response(respond: &Sender<Response>, response: Response) {
    let _ = respond.try_send(response);
}

/// Parses the JSON body of a request.
///
/// # Errors
///
/// Returns the failure response if the body is not valid JSON or has the wrong fields.
pub(super) fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    serde_json::from_slice(&request.body).map_err(|error| {
        let hint = "see docs/CLI.md for the form of the body";
        Response::failure(Kind::Malformed, format!("the body cannot be read: {error}"), hint)
    })
}
