//! One executor and the slots of it that are occupied.

use sycamorerill_core::id::{DomainName, Epoch, ExecutorName, ServiceName};

use super::health::Health;

/// Place of an executor in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Index(pub(crate) u32);

/// What the platform's list says of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// Never seen in the list.
    Unseen,
    /// In the list.
    Live,
    /// In the list as leaving, or no longer in the list.
    Leaving,
}

/// Whether the slots are owned here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holding {
    /// Owned by another entry instance or by none.
    None,
    /// Owned here.
    Owned(Epoch),
    /// Owned here and to be handed over when its calls have ended.
    Releasing,
}

/// Order in which executors are chosen: the smallest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Expected latency with the way there, in steps of a constant ratio.
    pub(crate) cost: u32,
    /// Occupied part of the slots in thousandths.
    pub(crate) load: u32,
    /// Breaks ties in a way that spreads calls.
    pub(crate) salt: u32,
    /// The executor.
    pub(crate) index: Index,
}

/// What an executor adds to the load of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Part {
    pub(crate) owned: u32,
    pub(crate) free: u32,
    pub(crate) usable: u32,
    pub(crate) in_flight: u32,
    pub(crate) ejected: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Executor {
    pub(crate) name: ExecutorName,
    pub(crate) service: Option<ServiceName>,
    pub(crate) domain: Option<DomainName>,
    pub(crate) slots: u32,
    pub(crate) listing: Listing,
    pub(crate) holding: Holding,
    /// Requests sent from here that may occupy a slot.
    pub(crate) in_flight: u32,
    /// Slots that calls of a former owner, or unanswered ones, may occupy.
    pub(crate) held: u32,
    pub(crate) health: Health,
    pub(crate) rank: Option<Rank>,
    pub(crate) part: Part,
}

impl Executor {
    pub(crate) fn is_owned(&self) -> bool {
        matches!(self.holding, Holding::Owned(_))
    }

    /// Returns the occupied slots, also those that may only be occupied.
    pub(crate) fn occupied(&self) -> u32 {
        self.in_flight.saturating_add(self.held)
    }

    /// Returns the number of calls that may be sent now.
    pub(crate) fn free(&self) -> u32 {
        let limit = self.limit();
        let free = self.slots.saturating_sub(self.occupied());
        free.min(limit.saturating_sub(self.in_flight))
    }

    /// Returns the number of calls that the executor may have at a time.
    pub(crate) fn limit(&self) -> u32 {
        if !self.is_owned() || self.listing == Listing::Leaving {
            return 0;
        }
        self.health.limit(self.slots)
    }

    /// Returns what the executor adds to the load of its service.
    pub(crate) fn current_part(&self) -> Part {
        let owned = u32::from(self.is_owned());
        Part {
            owned,
            free: self.free(),
            usable: self.limit().min(self.slots.saturating_sub(self.held)),
            in_flight: self.in_flight,
            ejected: if self.health.is_ejected() { owned } else { 0 },
        }
    }
}
