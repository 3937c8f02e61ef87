//! Answers exchanges with workers.

use async_io::Timer;
use hyper::StatusCode;
use sycamorerill_clients::worker::Exchange;
use sycamorerill_core::clock::Span;

use super::{Router, lock, not_found, parse_body};
use crate::server::{Incoming, Reply};

/// Interval at which an exchange with an unreachable worker checks whether the fault has ended.
const HANG_POLL_INTERVAL: Span = Span::from_ms(20);

impl Router {
    /// Answers an exchange with a worker.
    pub(super) async fn worker(&self, name: &str, request: &Incoming) -> Reply {
        let exchange: Exchange = match parse_body(request) {
            Ok(exchange) => exchange,
            Err(reply) => return reply,
        };
        while let Some(reason) = self.worker_unavailable(name, request) {
            match reason {
                Unavailable::Gone => return Reply::Close,
                Unavailable::Unreachable => Timer::after(HANG_POLL_INTERVAL.into()).await,
                Unavailable::Paused(remaining) => Timer::after(remaining.into()).await,
            };
            if matches!(reason, Unavailable::Unreachable)
                && self.worker_unavailable(name, request).is_none()
            {
                return Reply::Close;
            }
        }
        let mut pool = lock(&self.workers);
        let Some(answer) = pool.exchange(self.clock.now(), name, &exchange) else {
            return not_found();
        };
        if pool.take_lost_answer(name) {
            return Reply::Close;
        }
        drop(pool);
        Reply::json(StatusCode::OK, &answer)
    }

    /// Returns why the worker does not answer this request now, or none if it does.
    fn worker_unavailable(&self, name: &str, request: &Incoming) -> Option<Unavailable> {
        let pool = lock(&self.workers);
        let faults = pool.faults(name)?;
        if faults.gone {
            return Some(Unavailable::Gone);
        }
        if faults.unreachable || request.is_from(&faults.cut_off) {
            return Some(Unavailable::Unreachable);
        }
        let remaining = pool.remaining_pause(self.clock.now(), name);
        (remaining > Span::ZERO).then_some(Unavailable::Paused(remaining))
    }
}

/// Reason why a worker does not answer a request now.
#[derive(Clone, Copy, Debug)]
enum Unavailable {
    Gone,
    Unreachable,
    Paused(Span),
}
