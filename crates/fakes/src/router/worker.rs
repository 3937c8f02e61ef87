//! Exchanges with workers.

use async_io::Timer;
use hyper::StatusCode;
use sycamorerill_clients::worker::Exchange;
use sycamorerill_core::clock::Span;

use super::{Router, lock, not_found, read};
use crate::server::{Incoming, Reply};

/// How often an exchange that hangs looks whether the fault has ended.
const HANG_POLL: Span = Span::from_ms(20);

impl Router {
    /// Answers an exchange with a worker.
    pub(super) async fn worker(&self, name: &str, request: &Incoming) -> Reply {
        let exchange: Exchange = match read(request) {
            Ok(exchange) => exchange,
            Err(reply) => return reply,
        };
        while let Some(wait) = self.worker_wait(name, request) {
            match wait {
                Wait::Gone => return Reply::Close,
                Wait::Unreachable => Timer::after(HANG_POLL.into()).await,
                Wait::Paused(left) => Timer::after(left.into()).await,
            };
            if matches!(wait, Wait::Unreachable) && self.worker_wait(name, request).is_none() {
                return Reply::Close;
            }
        }
        let mut fleet = lock(&self.fleet);
        let Some(answer) = fleet.exchange(self.clock.now(), name, &exchange) else {
            return not_found();
        };
        if fleet.loses_answer(name) {
            return Reply::Close;
        }
        drop(fleet);
        Reply::json(StatusCode::OK, &answer)
    }

    fn worker_wait(&self, name: &str, request: &Incoming) -> Option<Wait> {
        let fleet = lock(&self.fleet);
        let faults = fleet.faults(name)?;
        if faults.gone {
            return Some(Wait::Gone);
        }
        if faults.unreachable || request.is_from(&faults.cut_off) {
            return Some(Wait::Unreachable);
        }
        let left = fleet.pause_left(self.clock.now(), name);
        (left > Span::ZERO).then_some(Wait::Paused(left))
    }
}

/// Why a worker does not answer just now.
#[derive(Clone, Copy, Debug)]
enum Wait {
    Gone,
    Unreachable,
    Paused(Span),
}
