//! Gate between the machines and the store: order, budget, back-off and breaker.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::{data, value};

use super::{Budget, Request, RequestId, Response, TokenBucket};

/// Failures in a row that open the breaker.
const BREAKER_THRESHOLD: u32 = 2;
/// Age of an unanswered request that counts the store as down.
const RESPONSE_TIMEOUT: Span = Span::from_ms(2_000);
/// First pause of the breaker.
const MIN_BACKOFF: Span = Span::from_ms(250);
/// Longest pause of the breaker.
const MAX_BACKOFF: Span = Span::from_ms(4_000);
/// Requests that may be unanswered at once.
const MAX_IN_FLIGHT: usize = 16;

value! {
    /// Order in which a short budget is spent; the first goes first.
    pub enum Priority {
        /// Sessions and ownership.
        Ownership,
        /// Commits of the journal and recoveries.
        Journal,
        /// Versions of the configuration.
        Config,
        /// Penalties.
        Penalties,
        /// Snapshots and the deletion of what they cover.
        Snapshots,
    }
}

value! {
    /// State of the store as this instance sees it.
    pub enum State {
        /// Requests are answered.
        Up,
        /// Requests fail or are not answered in time.
        Down,
    }
}

impl State {
    /// Returns the word used in logs and in the status.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Down => "down",
        }
    }
}

data! {
    /// Requests sent so far.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Transactions and writes of objects.
        pub writes: u64,
        /// Reads of rows, scans and objects.
        pub reads: u64,
        /// Requests answered by `Unknown` or `Unavailable`.
        pub failures: u64,
    }
}

#[derive(Debug)]
struct InFlight<P> {
    purpose: P,
    priority: Priority,
    request: Request,
    sent_at: Time,
}

/// Queue of requests in the order of their priority.
#[derive(Debug)]
pub(crate) struct RequestQueue<P> {
    next_id: u64,
    queue: BTreeMap<Priority, VecDeque<(P, Request)>>,
    in_flight: BTreeMap<RequestId, InFlight<P>>,
    writes: TokenBucket,
    reads: TokenBucket,
    consecutive_failures: u32,
    breaker_open_until: Time,
    backoff: Span,
    usage: Usage,
}

impl<P> RequestQueue<P> {
    pub(crate) fn new(budget: &Budget) -> Self {
        Self {
            next_id: 1,
            queue: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            writes: TokenBucket::new(budget.writes, budget.burst),
            reads: TokenBucket::new(budget.reads, budget.burst * 2.0),
            consecutive_failures: 0,
            breaker_open_until: Time::ZERO,
            backoff: MIN_BACKOFF,
            usage: Usage::default(),
        }
    }

    /// Sets the share of the budget for the present number of instances.
    pub(crate) fn set_budget(
        &mut self,
        now: Time,
        budget: &Budget,
        writers: usize,
        readers: usize,
    ) {
        let (writes, reads) = budget.share(writers, readers);
        self.writes.set_rate(now, writes);
        self.reads.set_rate(now, reads);
    }

    pub(crate) const fn usage(&self) -> Usage {
        self.usage
    }

    pub(crate) fn state(&self, now: Time) -> State {
        let slow =
            self.in_flight.values().any(|request| now.since(request.sent_at) > RESPONSE_TIMEOUT);
        if slow || self.consecutive_failures >= BREAKER_THRESHOLD { State::Down } else { State::Up }
    }

    pub(crate) fn push(&mut self, priority: Priority, purpose: P, request: Request) {
        self.queue.entry(priority).or_default().push_back((purpose, request));
    }

    /// Removes the waiting requests that match; those already sent stay.
    pub(crate) fn cancel(&mut self, matches: impl Fn(&P) -> bool) {
        for queue in self.queue.values_mut() {
            queue.retain(|(purpose, _)| !matches(purpose));
        }
    }

    /// Takes the answer to a request; nothing comes back when the gate sends it again.
    pub(crate) fn handle_response(
        &mut self,
        now: Time,
        id: RequestId,
        response: &Response,
        rng: &mut Rng,
    ) -> Option<P> {
        let completed = self.in_flight.remove(&id)?;
        let transaction = matches!(completed.request, Request::Transact(_));
        match response {
            Response::Unavailable | Response::Unknown => {
                self.record_failure(now, rng);
                // Reads and writes of objects can be sent again as they are. A transaction
                // goes back to its machine, which reads the row before it acts.
                if transaction {
                    return Some(completed.purpose);
                }
                let queue = self.queue.entry(completed.priority).or_default();
                queue.push_front((completed.purpose, completed.request));
                None
            }
            _ => {
                self.consecutive_failures = 0;
                self.backoff = MIN_BACKOFF;
                self.breaker_open_until = Time::ZERO;
                Some(completed.purpose)
            }
        }
    }

    /// Emits the requests that the budget and the breaker allow.
    pub(crate) fn send_ready(&mut self, now: Time, mut send: impl FnMut(RequestId, Request)) {
        while self.can_send(now) {
            let Some((priority, purpose, request)) = self.pop_ready(now) else { return };
            let id = RequestId(self.next_id);
            self.next_id += 1;
            match request.is_write() {
                true => self.usage.writes += 1,
                false => self.usage.reads += 1,
            }
            send(id, request.clone());
            self.in_flight.insert(id, InFlight { purpose, priority, request, sent_at: now });
        }
    }

    /// Returns the instant at which the gate may have something to send.
    pub(crate) fn next_wake(&self, now: Time) -> Option<Time> {
        if self.in_flight.len() >= self.max_in_flight() {
            return None;
        }
        let kinds = self.queue.values().flat_map(first_of_each_kind);
        let ready = kinds.map(|is_write| match is_write {
            true => self.writes.ready_at(now),
            false => self.reads.ready_at(now),
        });
        ready.min().map(|ready| ready.max(self.breaker_open_until))
    }

    fn max_in_flight(&self) -> usize {
        if self.consecutive_failures >= BREAKER_THRESHOLD { 1 } else { MAX_IN_FLIGHT }
    }

    fn can_send(&self, now: Time) -> bool {
        now >= self.breaker_open_until && self.in_flight.len() < self.max_in_flight()
    }

    /// Takes the first request, by priority, whose bucket has a token.
    ///
    /// A read does not wait for a write before it that has no token, nor a write for a
    /// read.
    fn pop_ready(&mut self, now: Time) -> Option<(Priority, P, Request)> {
        for (priority, queue) in &mut self.queue {
            for is_write in first_of_each_kind(queue) {
                let bucket = if is_write { &mut self.writes } else { &mut self.reads };
                if bucket.try_take(now) {
                    let at = queue.iter().position(|(_, one)| one.is_write() == is_write)?;
                    let (purpose, request) = queue.remove(at)?;
                    return Some((*priority, purpose, request));
                }
            }
        }
        None
    }

    fn record_failure(&mut self, now: Time, rng: &mut Rng) {
        self.consecutive_failures += 1;
        self.usage.failures += 1;
        if self.consecutive_failures < BREAKER_THRESHOLD {
            return;
        }
        self.breaker_open_until = now + self.backoff.scale(0.5 + 0.5 * rng.f64());
        self.backoff = self.backoff.times(2).min(MAX_BACKOFF);
    }
}

/// Returns whether the first request of a queue is a write, and then the other kind if
/// the queue holds it too.
fn first_of_each_kind<P>(queue: &VecDeque<(P, Request)>) -> impl Iterator<Item = bool> + use<P> {
    let first = queue.front().map(|(_, request)| request.is_write());
    let other = first.map(|first| !first);
    let other = other.filter(|other| queue.iter().any(|(_, one)| one.is_write() == *other));
    first.into_iter().chain(other)
}
