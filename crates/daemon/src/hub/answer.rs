//! What operators and submitters ask and are given.

use crossbeam_channel::Sender;
use serde::de::DeserializeOwned;
use sycamorerill_core::api::Kind;

use crate::http::{Request, Response};

/// Gives an answer to whoever asked, who may have gone meanwhile.
pub(super) fn give(respond: &Sender<Response>, response: Response) {
    let _ = respond.try_send(response);
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails with the response that says what is wrong with the body.
pub(super) fn body<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    serde_json::from_slice(&request.body).map_err(|error| {
        let hint = "see docs/CLI.md for the form of the body";
        Response::failure(Kind::Malformed, format!("the body cannot be read: {error}"), hint)
    })
}
