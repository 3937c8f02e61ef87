//! Faults that befall a request to a service on its way in and out.

use std::sync::{Arc, Mutex, PoisonError};

use async_io::Timer;
use hyper::StatusCode;
use sycamorerill_core::clock::{Span, Time};

use super::pace::Pace;
use crate::faults::Service;
use crate::server::{Incoming, Reply};

/// How often a request that hangs looks whether the fault has ended.
const HANG_POLL: Span = Span::from_ms(20);

/// Lets requests through to a service, as its faults allow.
#[derive(Debug)]
pub(crate) struct Gate {
    faults: Mutex<Service>,
    latency: Span,
    pace: Arc<Pace>,
    rng: Mutex<fastrand::Rng>,
}

/// Proof that a request may take effect.
#[derive(Debug)]
pub(crate) struct Passed(());

impl Gate {
    pub(crate) fn new(latency: Span, seed: u64, pace: Arc<Pace>) -> Self {
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        Self { faults: Mutex::default(), latency, pace, rng }
    }

    /// Sets the faults.
    pub(crate) fn set(&self, faults: Service) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the faults.
    pub(crate) fn faults(&self) -> Service {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Holds a request up as the faults demand, and lets it through or answers it.
    pub(crate) async fn enter(
        &self,
        request: &Incoming,
        now: Time,
        writes: bool,
    ) -> Result<Passed, Reply> {
        let faults = self.faults();
        if faults.down {
            return Err(Reply::status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.hangs(request) {
            self.wait_out(request).await;
            return Err(Reply::Close);
        }
        let wait = self.pace.wait(now, writes) + self.latency + faults.slow;
        if wait > Span::ZERO {
            Timer::after(wait.into()).await;
        }
        Ok(Passed(()))
    }

    /// Lets an answer through, or loses it.
    pub(crate) fn leave(&self, _passed: Passed, reply: Reply) -> Reply {
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

    async fn wait_out(&self, request: &Incoming) {
        while self.hangs(request) {
            Timer::after(HANG_POLL.into()).await;
        }
    }
}
