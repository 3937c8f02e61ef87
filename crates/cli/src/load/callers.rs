//! Callers: a steady load, and a flood for a part of the run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::Settings;
use super::outcome::{Ended, Outcome, Sending, Told};
use super::tally::{Calls, Tally};

/// Longest wait for the answer to one sending.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Longest that an idle connection is kept.
const IDLE_AGE: Duration = Duration::from_secs(2);
/// Time after which a caller gives up hope of being told an outcome.
const TELLING_TIME: Duration = Duration::from_secs(10);
/// Pause after an instance could not be reached.
const PAUSE: Duration = Duration::from_millis(25);
/// Pause of a caller of the flood after each call.
const FLOOD_PAUSE: Duration = Duration::from_millis(60);
/// Stack of a caller's thread in bytes.
const STACK: usize = 256 * 1024;

/// All callers.
pub(crate) struct Callers {
    threads: Vec<JoinHandle<Tally>>,
}

/// One caller.
struct Caller {
    settings: Arc<Settings>,
    agent: ureq::Agent,
    rng: Rng,
    next: Arc<AtomicU64>,
    tally: Tally,
}

/// One call.
struct Call {
    id: String,
    /// Whether the call only reads, so that it may run twice.
    reads: bool,
    urgency: &'static str,
}

impl Callers {
    /// Starts all callers.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub(crate) fn start(settings: Settings, begun: Instant) -> std::io::Result<Self> {
        let settings = Arc::new(settings);
        let next = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::new();
        for index in 0..settings.steady + settings.flood {
            let is_flood = index >= settings.steady;
            let caller = Caller::new(&settings, u64::from(index), &next);
            let builder = thread::Builder::new().name("caller".to_owned()).stack_size(STACK);
            let thread = builder
                .spawn(move || if is_flood { caller.flood(begun) } else { caller.steady(begun) })?;
            threads.push(thread);
        }
        Ok(Self { threads })
    }

    /// Waits for the callers' last calls and returns what they counted.
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
            .timeout_global(Some(ANSWER_TIME))
            .max_idle_age(IDLE_AGE)
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

    /// Sends the calls of the steady load, each at its instant.
    fn steady(mut self, begun: Instant) -> Tally {
        let interval = Duration::from_secs(1) / self.settings.rate;
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            let at = interval.saturating_mul(number);
            if at >= self.settings.length {
                return self.tally;
            }
            thread::sleep((begun + at).saturating_duration_since(Instant::now()));
            let reads = self.rng.u32(..100) < self.settings.reads;
            let id = format!("s{}-{number}", self.settings.seed);
            self.make(Call { id, reads, urgency: "high" });
        }
    }

    /// Sends calls of low urgency one after the other while the flood lasts.
    fn flood(mut self, begun: Instant) -> Tally {
        let begins = begun + self.settings.flood_begins;
        let ends = begun + self.settings.flood_ends;
        thread::sleep(begins.saturating_duration_since(Instant::now()));
        let caller = self.rng.u64(..);
        let mut number = 0_u64;
        while Instant::now() < ends {
            let id = format!("f{}-{caller:x}-{number}", self.settings.seed);
            number += 1;
            self.make(Call { id, reads: true, urgency: "low" });
            thread::sleep(FLOOD_PAUSE);
        }
        self.tally
    }

    /// Sends a call until an outcome is told, through another instance each time.
    fn make(&mut self, call: Call) {
        let first = Instant::now();
        let mut told = None;
        while first.elapsed() < TELLING_TIME {
            match self.send(&call, first) {
                Sending::Told(outcome) => {
                    told = Some(outcome);
                    break;
                }
                Sending::NotSent => thread::sleep(PAUSE),
                Sending::Broken => self.tally.broken += 1,
            }
        }
        let ended = Ended { told, took: first.elapsed() };
        let flood = call.urgency == "low";
        self.tally.note(self.settings.within, &call.id, flood, ended);
    }

    fn send(&mut self, call: &Call, first: Instant) -> Sending {
        let instances = &self.settings.instances;
        let instance = instances[self.rng.usize(..instances.len())];
        let elapsed = first.elapsed().as_secs_f64() * 1_000.0;
        let service = &self.settings.service;
        let url = format!("http://{instance}/call/{service}/{}", call.id);
        let sent = if call.reads {
            let request = self.agent.get(&url);
            headers(request, call, elapsed).call()
        } else {
            let request = self.agent.post(&url);
            headers(request, call, elapsed).header("idempotency-key", &call.id).send(&call.id)
        };
        match sent {
            Ok(reply) => read(reply),
            Err(ureq::Error::Io(error))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                Sending::NotSent
            }
            Err(ureq::Error::ConnectionFailed) => Sending::NotSent,
            Err(_) => Sending::Broken,
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

fn read(mut reply: ureq::http::Response<ureq::Body>) -> Sending {
    let field = |name: &str| {
        let value = reply.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let outcome = match field("x-outcome").as_deref() {
        Some("answered" | "repeat") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => return Sending::Broken,
    };
    let stated_ms = field("x-elapsed-ms").and_then(|ms| ms.parse().ok());
    match reply.body_mut().read_to_string() {
        Ok(body) => Sending::Told(Told { outcome, body, stated_ms }),
        Err(_) => Sending::Broken,
    }
}
