//! Responses that are held back until a count is safe.

use futures::channel::oneshot;

use crate::http::Response;

/// A response to a caller that is given once a missed target has been noted.
pub(crate) struct Release {
    respond: oneshot::Sender<Response>,
    response: Response,
}

impl Release {
    /// Returns a response that is held back.
    pub(crate) fn new(respond: oneshot::Sender<Response>, response: Response) -> Self {
        Self { respond, response }
    }

    /// Gives the response.
    pub(crate) fn now(self) {
        // The receiver is gone when the caller has closed its connection.
        let _ = self.respond.send(self.response);
    }
}
