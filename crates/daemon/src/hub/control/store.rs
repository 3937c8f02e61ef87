//! Sending of the agent's requests to the platform's store.

use sycamorerill_control::store::{Request, RequestId};

use super::Control;
use crate::hub::message::Message;

impl Control {
    /// Sends a request to the store on a pool thread.
    pub(super) fn send_store_request(&mut self, id: RequestId, request: Request) {
        let inbox = self.deps.inbox.clone();
        let store = self.deps.store.clone();
        let shared = std::sync::Arc::clone(&self.deps.shared);
        shared.metrics.message_sent(if request.is_write() { "store-write" } else { "store-read" });
        self.store_pool.run(move || {
            if shared.is_alive() {
                let response = store.run(id, request);
                inbox.send(Message::StoreAnswered { id, response });
            }
        });
    }
}
