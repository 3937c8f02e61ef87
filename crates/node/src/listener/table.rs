//! The open connections of a listener, and which of them makes room for a new one.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;
use sycamorerill_core::data;

/// Identifies a connection of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

data! {
    /// The decision on a new connection.
    #[derive(Copy)]
    pub enum Admission {
        /// It is served.
        Admitted(ConnectionId),
        /// It is served after another one was closed.
        Replaces {
            /// The new connection.
            admitted: ConnectionId,
            /// The connection to close, which is no longer in the table.
            closed: ConnectionId,
        },
        /// It is closed: a request is handled on each of the others.
        Refused,
    }
}

/// The open connections of a listener.
///
/// A connection waits for its client, or a request of its client is handled. Only one that waits
/// is replaced, the one that has waited longest first.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    next: u64,
    /// Since when each connection waits for its client; none while a request is handled.
    open: BTreeMap<ConnectionId, Option<Time>>,
    waiting: BTreeSet<(Time, ConnectionId)>,
}

impl Table {
    /// Returns an empty table with room for `limit` connections.
    pub const fn new(limit: usize) -> Self {
        Self { limit, next: 0, open: BTreeMap::new(), waiting: BTreeSet::new() }
    }

    /// Decides on a new connection; an admitted one waits for its client.
    pub fn admit(&mut self, now: Time) -> Admission {
        let closed = if self.open.len() < self.limit {
            None
        } else {
            let Some((_, oldest)) = self.waiting.pop_first() else { return Admission::Refused };
            self.open.remove(&oldest);
            Some(oldest)
        };
        let admitted = ConnectionId(self.next);
        self.next += 1;
        self.open.insert(admitted, Some(now));
        self.waiting.insert((now, admitted));
        closed.map_or(Admission::Admitted(admitted), |closed| Admission::Replaces {
            admitted,
            closed,
        })
    }

    /// Notes that a request of the connection is handled from now on.
    pub fn set_handling(&mut self, id: ConnectionId) {
        self.set(id, None);
    }

    /// Notes that the connection waits for its client from now on.
    pub fn set_waiting(&mut self, id: ConnectionId, now: Time) {
        self.set(id, Some(now));
    }

    fn set(&mut self, id: ConnectionId, waiting: Option<Time>) {
        let Some(entry) = self.open.get_mut(&id) else { return };
        if let Some(since) = std::mem::replace(entry, waiting) {
            self.waiting.remove(&(since, id));
        }
        if let Some(since) = waiting {
            self.waiting.insert((since, id));
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(Some(since)) = self.open.remove(&id) {
            self.waiting.remove(&(since, id));
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
