//! The memory of all bodies in progress, and which body makes room for another one.

use std::collections::BTreeMap;

use sycamorerill_core::data;

/// Identifies a body; a body that began later has a larger one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

data! {
    /// The decision on more bytes of a body.
    pub enum Reservation {
        /// The bytes may be kept once the bodies named here, which are no longer in the budget,
        /// are given up.
        Granted(Vec<BodyId>),
        /// The body must be given up.
        Refused,
    }
}

#[derive(Debug)]
struct Body {
    bytes: usize,
    /// Whether the body is still being received, so that it may be given up.
    receiving: bool,
}

/// The memory that bodies hold, over all connections.
///
/// Bytes are reserved as they arrive, so a stated length that never comes reserves nothing. If the
/// budget is used up, the bodies that have been received longest are given up: an ordinary body
/// arrives within a few round trips and is rarely among them, however fast others keep sending.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: usize,
    next: u64,
    bodies: BTreeMap<BodyId, Body>,
}

impl Budget {
    /// Returns a budget of `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self { limit, used: 0, next: 0, bodies: BTreeMap::new() }
    }

    /// Adds a body without bytes that is being received.
    pub fn begin(&mut self) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        self.bodies.insert(id, Body { bytes: 0, receiving: true });
        id
    }

    /// Reserves more bytes for a body. Refused if it was given up, or if the bodies that are being
    /// received and began before it hold too little.
    pub fn reserve(&mut self, id: BodyId, bytes: usize) -> Reservation {
        if !self.bodies.contains_key(&id) {
            return Reservation::Refused;
        }
        let available = self.limit.saturating_sub(self.used);
        let Some(given_up) = self.find_room(id, bytes, available) else {
            return Reservation::Refused;
        };
        given_up.iter().for_each(|other| self.end(*other));
        if let Some(body) = self.bodies.get_mut(&id) {
            body.bytes += bytes;
            self.used += bytes;
        }
        Reservation::Granted(given_up)
    }

    /// Returns the oldest bodies whose bytes are enough for the request together with what is
    /// available.
    fn find_room(&self, id: BodyId, bytes: usize, mut available: usize) -> Option<Vec<BodyId>> {
        let mut given_up = Vec::new();
        let mut older = self.bodies.range(..id).filter(|(_, body)| body.receiving);
        while available < bytes {
            let (other, body) = older.next()?;
            // A body without bytes makes no room.
            if body.bytes > 0 {
                given_up.push(*other);
                available += body.bytes;
            }
        }
        Some(given_up)
    }

    /// Notes that a body is complete: it is no longer given up for others.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.receiving = false;
        }
    }

    /// Releases the bytes of a body, if it still has any.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.bytes;
        }
    }

    /// Returns the number of reserved bytes.
    pub const fn used(&self) -> usize {
        self.used
    }
}
