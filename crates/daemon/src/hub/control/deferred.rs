//! Responses that are deferred until their missed targets have been counted.

use futures::channel::oneshot;

use crate::http::Response;

/// A response to a caller that is sent after its missed targets have been counted.
pub(crate) struct DeferredResponse {
    respond: oneshot::Sender<Response>,
    response: Response,
}

impl DeferredResponse {
    /// Returns a deferred response.
    pub(crate) fn new(respond: oneshot::Sender<Response>, response: Response) -> Self {
        Self { respond, response }
    }

    /// Sends the response.
    pub(crate) fn send(self) {
        // The send fails if the caller has closed its connection.
        let _ = self.respond.send(self.response);
    }
}
