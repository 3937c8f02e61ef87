//! Session state machine: opens the session of this incarnation, answers challenges and
//! detects fencing.

use bytes::Bytes;
use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Incarnation;

use super::{Name, Row, key};
use crate::agent::{Decision, Outbox};
use crate::store::{self, Check, Expected, Priority, Request, Response, RowVersion, Transaction};

/// Delay before the next read of a session row that could not be decoded.
const RETRY_AFTER: Span = Span::from_ms(5_000);

/// Purpose of a store request of the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Read,
    Write,
}

/// Effect of a store response on the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    None,
    Opened,
    Fenced,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed,
    Open(RowVersion),
    Fenced,
}

#[derive(Debug)]
pub(crate) struct Machine {
    name: Name,
    nonce: u64,
    state: State,
    in_flight: bool,
    pending_write: Option<Bytes>,
    read_at: Time,
    retry_at: Time,
}

impl Machine {
    pub(crate) fn new(name: Name, rng: &mut Rng) -> Self {
        Self {
            name,
            nonce: rng.u64(..),
            state: State::Closed,
            in_flight: false,
            pending_write: None,
            read_at: Time::ZERO,
            retry_at: Time::ZERO,
        }
    }

    pub(crate) const fn name(&self) -> &Name {
        &self.name
    }

    pub(crate) const fn is_open(&self) -> bool {
        matches!(self.state, State::Open(_))
    }

    pub(crate) const fn is_fenced(&self) -> bool {
        matches!(self.state, State::Fenced)
    }

    /// Returns the check that every transaction of this session includes, or `None`
    /// while the session is not open.
    pub(crate) fn guard(&self) -> Option<Check> {
        match self.state {
            State::Open(version) => {
                Some(Check { key: key(&self.name.instance), expected: Expected::At(version) })
            }
            _ => None,
        }
    }

    /// Reads the session row, unless a request is in flight, the session is fenced or a
    /// retry delay is running.
    pub(crate) fn recheck(&mut self, now: Time, out: &mut Outbox<'_>) {
        if self.in_flight || self.is_fenced() || now < self.retry_at {
            return;
        }
        self.in_flight = true;
        self.read_at = now;
        let request = Request::Row { key: key(&self.name.instance) };
        out.store(Priority::Ownership, Purpose::Read, request);
    }

    /// Returns the time since the last read of the session row was requested.
    pub(crate) fn since_read(&self, now: Time) -> Span {
        now.since(self.read_at)
    }

    pub(crate) fn handle(&mut self, now: Time, response: Response, out: &mut Outbox<'_>) -> Change {
        self.in_flight = false;
        match response {
            Response::Row(row) => self.handle_row(now, row, out),
            Response::Committed(versions) => self.handle_committed(&versions),
            _ => {
                self.recheck(now, out);
                Change::None
            }
        }
    }

    fn handle_committed(&mut self, versions: &[RowVersion]) -> Change {
        self.pending_write = None;
        let opened = !self.is_open();
        self.state = State::Open(versions.first().copied().unwrap_or_default());
        if opened { Change::Opened } else { Change::None }
    }

    fn handle_row(&mut self, now: Time, found: Option<store::Row>, out: &mut Outbox<'_>) -> Change {
        let Some(found) = found else { return self.handle_absent(out) };
        // The response to the write was lost. A row with the written value shows that it
        // took effect.
        if self.pending_write.as_ref() == Some(&found.value) {
            return self.handle_committed(&[found.version]);
        }
        let row = match Row::decode(&found.value) {
            Ok(row) => row,
            Err(error) => {
                self.retry_at = now + RETRY_AFTER;
                out.log(Decision::Corrupt { key: found.key, error });
                return Change::None;
            }
        };
        let expected = Expected::At(found.version);
        let is_own = row.incarnation == self.name.incarnation && row.nonce == self.nonce;
        match (is_own, self.is_open()) {
            (true, _) => self.refresh(&row, found.version, out),
            (false, true) => self.fence(),
            (false, false) => self.open_session(&row, expected, out),
        }
    }

    fn handle_absent(&mut self, out: &mut Outbox<'_>) -> Change {
        if self.is_open() {
            return self.fence();
        }
        self.write(Row::opened(self.name.incarnation, self.nonce), Expected::Absent, out);
        Change::None
    }

    fn open_session(&mut self, before: &Row, expected: Expected, out: &mut Outbox<'_>) -> Change {
        let next = Incarnation(before.incarnation.0.saturating_add(1));
        self.name.incarnation = self.name.incarnation.max(next);
        self.write(Row::opened(self.name.incarnation, self.nonce), expected, out);
        Change::None
    }

    fn refresh(&mut self, row: &Row, version: RowVersion, out: &mut Outbox<'_>) -> Change {
        if row.fenced_by.is_some() {
            return self.fence();
        }
        let opened = !self.is_open();
        self.state = State::Open(version);
        if row.challenge > row.answer {
            let answered = Row { answer: row.challenge, ..row.clone() };
            self.write(answered, Expected::At(version), out);
        }
        if opened { Change::Opened } else { Change::None }
    }

    fn fence(&mut self) -> Change {
        self.state = State::Fenced;
        Change::Fenced
    }

    fn write(&mut self, row: Row, expected: Expected, out: &mut Outbox<'_>) {
        let bytes = row.encode();
        self.pending_write = Some(bytes.clone());
        self.in_flight = true;
        let row_key = key(&self.name.instance);
        let transaction =
            Transaction::default().check(row_key.clone(), expected).put(row_key, bytes);
        out.store(Priority::Ownership, Purpose::Write, Request::Transact(transaction));
    }
}
