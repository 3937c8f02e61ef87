//! State that the listeners read without asking the hub.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use sycamorerill_core::clock::{Clock, Span, Time};
use sycamorerill_core::id::CallId;

use crate::http::{Request, Response};
use crate::metrics::Metrics;

/// Time without a sign of the hub after which the instance is unhealthy.
const HUB_SILENCE: Span = Span::from_secs(5);

/// State shared between the hub and the listeners.
pub(crate) struct Shared {
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    ready: AtomicBool,
    /// Closed when callers are welcome for the first time.
    gate: async_channel::Sender<Infallible>,
    /// Cleared when the process must not send anything any more.
    alive: AtomicBool,
    beat_ms: AtomicU64,
    next_call: AtomicU64,
}

impl Shared {
    /// Returns the state of a process that is not ready yet, and the gate that is closed
    /// when it is.
    pub(crate) fn new() -> (Self, async_channel::Receiver<Infallible>) {
        let clock = Clock::start();
        let (gate, closed) = async_channel::bounded(1);
        let shared = Self {
            clock,
            metrics: Metrics::new(),
            ready: AtomicBool::new(false),
            alive: AtomicBool::new(true),
            beat_ms: AtomicU64::new(clock.now().as_ms()),
            next_call: AtomicU64::new(1),
            gate,
        };
        (shared, closed)
    }

    /// Returns an identifier that no other call of this process has.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Sets whether the balancer should send callers here.
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
        if ready {
            self.gate.close();
        }
    }

    /// Forbids all further sending.
    pub(crate) fn kill(&self) {
        self.alive.store(false, Ordering::SeqCst);
    }

    /// Reports whether the process may send.
    pub(crate) fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Notes that the hub is running.
    pub(crate) fn beat(&self, now: Time) {
        self.beat_ms.store(now.as_ms(), Ordering::Relaxed);
    }

    /// Answers the paths that need no decision: health, readiness and metrics.
    pub(crate) fn answer(&self, request: &Request) -> Option<Response> {
        match request.head.path.as_str() {
            "/healthz" => Some(self.health()),
            "/readyz" => Some(status(self.ready.load(Ordering::Acquire), "ready")),
            "/metrics" => Some(Response::text(200, self.metrics.text())),
            _ => None,
        }
    }

    fn health(&self) -> Response {
        let beat = Time::from_ms(self.beat_ms.load(Ordering::Relaxed));
        status(self.clock.now().since(beat) < HUB_SILENCE, "healthy")
    }
}

fn status(good: bool, word: &'static str) -> Response {
    if good {
        return Response::text(200, format!("{word}\n"));
    }
    Response::text(503, format!("not {word}\n"))
}
