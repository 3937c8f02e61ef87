//! Carries the agent's requests to the platform's store.

use sycamorerill_control::store::{Request, RequestId};

use super::Control;
use crate::hub::message::Message;

impl Control {
    /// Sends a request to the store on a thread of its own.
    pub(super) fn ask_store(&mut self, id: RequestId, request: Request) {
        let inbox = self.parts.inbox.clone();
        let store = self.parts.store.clone();
        let shared = std::sync::Arc::clone(&self.parts.shared);
        shared.metrics.sent(if request.is_write() { "store-write" } else { "store-read" });
        self.stores.run(move || {
            if shared.is_alive() {
                let response = store.run(id, request);
                inbox.send(Message::Stored { id, response });
            }
        });
    }
}
