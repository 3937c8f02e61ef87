//! Callers that send a steady load and, for a part of the run, a flood.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::Settings;
use super::outcome::{CompletedCall, Outcome, Response, SendResult};
use super::tally::{Calls, Tally};

/// Timeout of one attempt to send a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which an idle connection is kept.
const MAX_IDLE_AGE: Duration = Duration::from_secs(2);
/// Time after which a call without an outcome is no longer retried.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after an attempt to reach an instance that refused the connection.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Delay of a caller in the flood after each call.
const FLOOD_DELAY: Duration = Duration::from_millis(60);
/// Stack size of a caller's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Handles of the callers' threads.
pub(crate) struct Callers {
    threads: Vec<JoinHandle<Tally>>,
}

/// A caller with its counters.
struct Caller {
    settings: Arc<Settings>,
    agent: ureq::Agent,
    rng: Rng,
    next: Arc<AtomicU64>,
    tally: Tally,
}

/// A call, which may be sent more than once.
struct Call {
    id: String,
    /// Whether the call only reads and therefore may run twice.
    is_read: bool,
    urgency: &'static str,
}

impl Callers {
    /// Starts all callers.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub(crate) fn start(settings: Settings, started_at: Instant) -> std::io::Result<Self> {
        let settings = Arc::new(settings);
        let next = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::new();
        for index in 0..settings.steady_callers + settings.flood_callers {
            let is_flood = index >= settings.steady_callers;
            let caller = Caller::new(&settings, u64::from(index), &next);
            let builder = thread::Builder::new().name("caller".to_owned()).stack_size(STACK_BYTES);
            let thread = builder.spawn(move || {
                if is_flood { caller.flood(started_at) } else { caller.steady(started_at) }
            })?;
            threads.push(thread);
        }
        Ok(Self { threads })
    }

    /// Waits until all callers have finished and returns the sum of their counters.
    pub(crate) fn finish(self) -> Calls {
        let mut all = Tally::default();
        for thread in self.threads {
            match thread.join() {
                Ok(tally) => all.add(tally),
                Err(_) => all.failed_callers += 1,
            }
        }
        all.into()
    }
}

impl Caller {
    fn new(settings: &Arc<Settings>, index: u64, next: &Arc<AtomicU64>) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .max_idle_age(MAX_IDLE_AGE)
            .max_idle_connections_per_host(1)
            .build();
        Self {
            settings: Arc::clone(settings),
            agent: config.into(),
            rng: Rng::with_seed(settings.seed.wrapping_mul(1_000_003).wrapping_add(index)),
            next: Arc::clone(next),
            tally: Tally::default(),
        }
    }

    /// Sends calls of the steady load, each at its scheduled time.
    fn steady(mut self, started_at: Instant) -> Tally {
        let interval = Duration::from_secs(1) / self.settings.rate;
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            let at = interval.saturating_mul(number);
            if at >= self.settings.length {
                return self.tally;
            }
            thread::sleep((started_at + at).saturating_duration_since(Instant::now()));
            let is_read = self.rng.u32(..100) < self.settings.read_percent;
            let id = format!("s{}-{number}", self.settings.seed);
            self.complete(Call { id, is_read, urgency: "high" });
        }
    }

    /// Sends calls of low urgency, one after the other, while the flood lasts.
    fn flood(mut self, started_at: Instant) -> Tally {
        let begins = started_at + self.settings.flood_begins;
        let ends = started_at + self.settings.flood_ends;
        thread::sleep(begins.saturating_duration_since(Instant::now()));
        let caller_id = self.rng.u64(..);
        let mut number = 0_u64;
        while Instant::now() < ends {
            let id = format!("f{}-{caller_id:x}-{number}", self.settings.seed);
            number += 1;
            self.complete(Call { id, is_read: true, urgency: "low" });
            thread::sleep(FLOOD_DELAY);
        }
        self.tally
    }

    /// Sends a call, each time through a random instance, until it gets an outcome or times out.
    fn complete(&mut self, call: Call) {
        let first_sent = Instant::now();
        let mut response = None;
        while first_sent.elapsed() < CALL_TIMEOUT {
            match self.send(&call, first_sent) {
                SendResult::Response(received) => {
                    response = Some(received);
                    break;
                }
                SendResult::NotSent => thread::sleep(RETRY_DELAY),
                SendResult::Broken => self.tally.broken += 1,
            }
        }
        let completed = CompletedCall { response, elapsed: first_sent.elapsed() };
        let is_flood = call.urgency == "low";
        self.tally.record(self.settings.within, &call.id, is_flood, completed);
    }

    fn send(&mut self, call: &Call, first_sent: Instant) -> SendResult {
        let instances = &self.settings.instances;
        let instance = instances[self.rng.usize(..instances.len())];
        let elapsed = first_sent.elapsed().as_secs_f64() * 1_000.0;
        let service = &self.settings.service;
        let url = format!("http://{instance}/call/{service}/{}", call.id);
        let result = if call.is_read {
            let request = self.agent.get(&url);
            headers(request, call, elapsed).call()
        } else {
            let request = self.agent.post(&url);
            headers(request, call, elapsed).header("idempotency-key", &call.id).send(&call.id)
        };
        match result {
            Ok(response) => read(response),
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                SendResult::NotSent
            }
            Err(ureq::Error::ConnectionFailed) => SendResult::NotSent,
            Err(_) => SendResult::Broken,
        }
    }
}

fn headers<B>(
    request: ureq::RequestBuilder<B>,
    call: &Call,
    elapsed: f64,
) -> ureq::RequestBuilder<B> {
    request
        .header("x-request-id", &call.id)
        .header("x-elapsed-ms", format!("{elapsed:.3}"))
        .header("x-urgency", call.urgency)
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> SendResult {
    let field = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome = match field("x-outcome").as_deref() {
        Some("answered" | "repeat") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => return SendResult::Broken,
    };
    let stated_ms = field("x-elapsed-ms").and_then(|ms| ms.parse().ok());
    match response.body_mut().read_to_string() {
        Ok(body) => SendResult::Response(Response { outcome, body, stated_ms }),
        Err(_) => SendResult::Broken,
    }
}
