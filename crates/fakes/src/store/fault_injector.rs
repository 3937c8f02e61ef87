//! Injects faults, latency and rate limits into requests to a service.

use std::sync::{Arc, Mutex, PoisonError};

use async_io::Timer;
use hyper::StatusCode;
use sycamorerill_core::clock::{Span, Time};

use super::rate_limiter::RateLimiter;
use crate::faults::ServiceFaults;
use crate::server::{Incoming, Reply};

/// Interval at which a hanging request checks whether the fault has ended.
const HANG_POLL_INTERVAL: Span = Span::from_ms(20);

/// Delays, fails or admits the requests to one service.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    faults: Mutex<ServiceFaults>,
    latency: Span,
    rate_limiter: Arc<RateLimiter>,
    rng: Mutex<fastrand::Rng>,
}

/// Proof that a request was admitted and may take effect.
#[derive(Debug)]
pub(crate) struct Admitted(());

impl FaultInjector {
    pub(crate) fn new(latency: Span, seed: u64, rate_limiter: Arc<RateLimiter>) -> Self {
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        Self { faults: Mutex::default(), latency, rate_limiter, rng }
    }

    /// Replaces the faults.
    pub(crate) fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns a copy of the faults.
    pub(crate) fn faults(&self) -> ServiceFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Admits a request after the latency, the rate limit and the faults allow it.
    ///
    /// # Errors
    ///
    /// Returns the reply to a request that the faults keep from taking effect.
    pub(crate) async fn admit(
        &self,
        request: &Incoming,
        now: Time,
        is_write: bool,
    ) -> Result<Admitted, Reply> {
        let faults = self.faults();
        if faults.down {
            return Err(Reply::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.hangs(request) {
            self.wait_while_hanging(request).await;
            return Err(Reply::Close);
        }
        let wait = self.rate_limiter.reserve(now, is_write) + self.latency + faults.slow;
        if wait > Span::ZERO {
            Timer::after(wait.into()).await;
        }
        Ok(Admitted(()))
    }

    /// Returns the reply of an admitted request, or [`Reply::Close`] if the faults lose it.
    pub(crate) fn deliver(&self, _admitted: Admitted, reply: Reply) -> Reply {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.lose.next > 0 {
            faults.lose.next -= 1;
            return Reply::Close;
        }
        let share = faults.lose.share;
        drop(faults);
        if share > 0.0 && self.rng.lock().unwrap_or_else(PoisonError::into_inner).f64() < share {
            return Reply::Close;
        }
        reply
    }

    fn hangs(&self, request: &Incoming) -> bool {
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.hang || request.is_from(&faults.cut_off)
    }

    async fn wait_while_hanging(&self, request: &Incoming) {
        while self.hangs(request) {
            Timer::after(HANG_POLL_INTERVAL.into()).await;
        }
    }
}
