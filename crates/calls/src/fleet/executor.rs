//! State of one executor: listing, ownership and occupied slots.

use sycamorerill_core::id::{DomainName, Epoch, ExecutorName, ServiceName};

use super::health::Health;

/// Index of an executor in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Index(pub(crate) u32);

/// State of an executor in the list of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listing {
    /// The executor has never been in the list.
    Unseen,
    /// The executor is in the list and not leaving.
    Live,
    /// The executor is in the list as leaving, or is no longer in the list.
    Leaving,
}

/// Ownership of the slots of an executor by this entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// The slots are owned by another entry instance or by none.
    None,
    /// The slots are owned by this entry instance.
    Owned(Epoch),
    /// The slots are owned by this entry instance and are handed over when its calls end.
    Releasing,
}

/// Sort key for the choice of an executor; the smallest is chosen first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Expected latency including the network round trip, on a logarithmic scale.
    pub(crate) cost: u32,
    /// Share of occupied slots in thousandths.
    pub(crate) load: u32,
    /// Orders equal executors by their last change, oldest first, which spreads calls.
    pub(crate) tie_breaker: u32,
    /// Executor that is ranked.
    pub(crate) index: Index,
}

/// Slot and executor counts, of one executor or summed over a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
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
    pub(crate) ownership: Ownership,
    /// Requests sent from this entry instance that may occupy a slot.
    pub(crate) in_flight: u32,
    /// Slots that calls of a former owner or calls with a lost answer may still occupy.
    pub(crate) held: u32,
    pub(crate) health: Health,
    /// Rank in the order of choice; `None` while no slot is free.
    pub(crate) rank: Option<Rank>,
    /// Counts that are currently included in the total of the service.
    pub(crate) counts: Counts,
}

impl Executor {
    pub(crate) fn is_owned(&self) -> bool {
        matches!(self.ownership, Ownership::Owned(_))
    }

    /// Returns the number of slots that are or may be occupied.
    pub(crate) fn occupied(&self) -> u32 {
        self.in_flight.saturating_add(self.held)
    }

    /// Returns the number of further calls that may be sent now.
    pub(crate) fn free(&self) -> u32 {
        let limit = self.limit();
        let free = self.slots.saturating_sub(self.occupied());
        free.min(limit.saturating_sub(self.in_flight))
    }

    /// Returns the limit of concurrent calls on the executor.
    pub(crate) fn limit(&self) -> u32 {
        if !self.is_owned() || self.listing == Listing::Leaving {
            return 0;
        }
        self.health.limit(self.slots)
    }

    /// Returns the counts that the executor adds to the total of its service.
    pub(crate) fn current_counts(&self) -> Counts {
        let owned = u32::from(self.is_owned());
        Counts {
            owned,
            free: self.free(),
            usable: self.limit().min(self.slots.saturating_sub(self.held)),
            in_flight: self.in_flight,
            ejected: if self.health.is_ejected() { owned } else { 0 },
        }
    }
}
