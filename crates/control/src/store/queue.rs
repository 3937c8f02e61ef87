//! Request queue between the state machines and the store, with priorities, a rate
//! limit, backoff and a circuit breaker.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::{data, value};

use super::{Budget, Request, RequestId, Response, TokenBucket};

/// Consecutive failures that open the circuit breaker.
const BREAKER_THRESHOLD: u32 = 2;
/// Age of an unanswered request from which the store counts as down.
const RESPONSE_TIMEOUT: Span = Span::from_ms(2_000);
/// Initial time for which the circuit breaker stays open.
const MIN_BACKOFF: Span = Span::from_ms(250);
/// Maximum time for which the circuit breaker stays open.
const MAX_BACKOFF: Span = Span::from_ms(4_000);
/// Maximum number of unanswered requests while the circuit breaker is closed.
const MAX_IN_FLIGHT: usize = 16;

value! {
    /// Request priority, highest first.
    ///
    /// Requests of a higher priority are the first to use the available budget.
    pub enum Priority {
        /// Sessions and shard ownership.
        Ownership,
        /// Journal commits and recoveries.
        Journal,
        /// Configuration versions.
        Config,
        /// Missed targets and their settlement.
        Penalties,
        /// Snapshots and the deletion of data that they replace.
        Snapshots,
    }
}

value! {
    /// State of the store as observed by this instance.
    pub enum State {
        /// The store answers requests.
        Up,
        /// Requests fail or exceed the response timeout.
        Down,
    }
}

impl State {
    /// Returns the name used in logs and in the status.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Down => "down",
        }
    }
}

data! {
    /// Number of requests sent to the store.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Transactions, object writes and object deletions.
        pub writes: u64,
        /// Row reads, scans and object reads.
        pub reads: u64,
        /// Responses that were `Unknown` or `Unavailable`.
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

/// Priority queue of store requests, each with the purpose `P` of its response.
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

    /// Sets the rate limits to this instance's share of `budget`.
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

    /// Removes the matching requests that have not been sent.
    pub(crate) fn cancel(&mut self, matches: impl Fn(&P) -> bool) {
        for queue in self.queue.values_mut() {
            queue.retain(|(purpose, _)| !matches(purpose));
        }
    }

    /// Completes a request and returns its purpose, or `None` if the request is unknown
    /// or was queued again.
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
                // Reads and object writes are safe to repeat. The state machine that
                // issued a transaction first reads the row to find out whether the
                // transaction took effect.
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

    /// Sends the requests that the rate limits and the circuit breaker allow.
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

    /// Returns the earliest instant at which a queued request can be sent, if any.
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

    /// Removes and returns the request of the highest priority whose token bucket has a
    /// token.
    ///
    /// Reads and writes have separate buckets, so neither kind blocks the other within a
    /// priority.
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
        self.backoff = self.backoff.saturating_mul(2).min(MAX_BACKOFF);
    }
}

/// Returns for each kind of request in the queue whether it is a write, the kind of the
/// first request first.
fn first_of_each_kind<P>(queue: &VecDeque<(P, Request)>) -> impl Iterator<Item = bool> + use<P> {
    let first = queue.front().map(|(_, request)| request.is_write());
    let other = first.map(|first| !first);
    let other = other.filter(|other| queue.iter().any(|(_, one)| one.is_write() == *other));
    first.into_iter().chain(other)
}
