//! State that the hub shares with the listeners.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use sycamorerill_core::clock::{Clock, Span, Time};
use sycamorerill_core::id::CallId;

use crate::http::{Request, Response};
use crate::metrics::Metrics;

/// Time without a heartbeat of the hub after which the instance reports itself unhealthy.
const HUB_TIMEOUT: Span = Span::from_secs(5);

/// State shared between the hub and the listeners.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    ready: AtomicBool,
    /// Closed when the instance becomes ready for the first time.
    ready_signal: async_channel::Sender<Infallible>,
    /// False once the process must not send anything.
    alive: AtomicBool,
    hub_heartbeat_ms: AtomicU64,
    next_call: AtomicU64,
}

impl Shared {
    /// Returns the state of a process that is not ready, and a channel that is closed
    /// when the process becomes ready.
    pub(crate) fn new() -> (Self, async_channel::Receiver<Infallible>) {
        let clock = Clock::start();
        let (ready_signal, became_ready) = async_channel::bounded(1);
        let shared = Self {
            clock,
            metrics: Metrics::new(),
            ready: AtomicBool::new(false),
            alive: AtomicBool::new(true),
            hub_heartbeat_ms: AtomicU64::new(clock.now().as_ms()),
            next_call: AtomicU64::new(1),
            ready_signal,
        };
        (shared, became_ready)
    }

    /// Returns a call identifier that is unique in this process.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Sets whether the load balancer should route callers to this instance.
    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
        if ready {
            self.ready_signal.close();
        }
    }

    /// Forbids the process to send anything more.
    pub(crate) fn kill(&self) {
        self.alive.store(false, Ordering::SeqCst);
    }

    /// Returns whether the process may still send.
    pub(crate) fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Records that the hub was running at `now`.
    pub(crate) fn record_heartbeat(&self, now: Time) {
        self.hub_heartbeat_ms.store(now.as_ms(), Ordering::Relaxed);
    }

    /// Answers requests that do not need the hub: health, readiness and metrics.
    ///
    /// Returns `None` for any other path.
    pub(crate) fn answer_directly(&self, request: &Request) -> Option<Response> {
        match request.head.path.as_str() {
            "/healthz" => Some(self.health()),
            "/readyz" => Some(probe_response(self.ready.load(Ordering::Acquire), "ready")),
            "/metrics" => Some(Response::text(200, self.metrics.text())),
            _ => None,
        }
    }

    fn health(&self) -> Response {
        let heartbeat = Time::from_ms(self.hub_heartbeat_ms.load(Ordering::Relaxed));
        probe_response(self.clock.now().since(heartbeat) < HUB_TIMEOUT, "healthy")
    }
}

fn probe_response(ok: bool, word: &'static str) -> Response {
    if ok {
        return Response::text(200, format!("{word}\n"));
    }
    Response::text(503, format!("not {word}\n"))
}
