//! Owners that are suspended or cut off from the store, and former owners that go on beside their
//! successors.

use std::mem;
use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::Outcome;
use sycamorerill_jobs::shard::{Batch, Command, Event, Probe, Shard};

use super::Simulation;

/// Time after its last confirmed write from which on an owner sends no start, and renews leases only
/// where it has other evidence.
pub(crate) const MAX_UNCONFIRMED: Span = Span::from_ms(1_500);
/// Least time from the last confirmed write of an owner that has failed to a successor's claim.
pub(crate) const RENEWAL_TIMEOUT: Span = Span::from_ms(1_500);
/// Longest time from the decision to renew leases until the deadline is sent.
const MAX_RENEWAL_DELAY: Span = Span::from_ms(250);

/// How an owner's process and its path to the store are.
#[derive(Default)]
pub(crate) struct Link {
    /// When the last confirmed write was sent; `None` while writes are confirmed.
    pub(crate) last_confirmed: Option<Time>,
    /// When a write was last confirmed while writes were.
    pub(super) confirmed_at: Time,
    /// Whether the process is suspended.
    pub(crate) is_suspended: bool,
    /// Whether the process is suspended as soon as its next batch is in the store.
    pub(crate) suspends_at_record: bool,
    /// When the process was suspended.
    suspended_at: Time,
    /// Whether the confirmation of a batch waits for the process to go on.
    confirmation_waits: bool,
    /// Commands that the process carries out when it goes on.
    held: Vec<Command>,
    /// Whether the process carries out the commands of before its suspension.
    releases_held: bool,
    /// Batch that has not reached the store.
    unsent: Option<Batch>,
    /// When the process learns from the store that it has lost its claim.
    learns_at: Option<Time>,
}

/// An owner that a successor has replaced.
pub(crate) struct FormerOwner {
    pub(crate) epoch: u64,
    shard: Shard,
    pending_probes: Vec<(Probe, u64, Time)>,
    batch_pending: bool,
    link: Link,
}

impl FormerOwner {
    const fn lacks_store(&self) -> bool {
        !self.link.is_suspended && self.link.learns_at.is_none()
    }
}

impl Simulation {
    /// Suspends the owner's process.
    pub(crate) fn suspend_owner(&mut self) {
        self.link.suspends_at_record = false;
        self.link.is_suspended = true;
        self.link.suspended_at = self.now;
        self.link.last_confirmed.get_or_insert(self.now);
    }

    /// Cuts the owner off from the store; it goes on otherwise.
    pub(crate) fn cut_owner_from_store(&mut self) {
        self.link.last_confirmed.get_or_insert(self.now);
    }

    /// Lets the owner go on and reach the store. It has not been replaced.
    pub(crate) fn heal_owner(&mut self) {
        self.wake();
        self.link.last_confirmed = None;
        if let Some(batch) = self.link.unsent.take() {
            self.execute_command(Command::Record(batch));
        }
        // What has arrived meanwhile is handled before anything that arrives from now on.
        self.run_turns();
    }

    /// Replaces the owner, which does not know of it and goes on as it was.
    pub(crate) fn take_over_from_unaware(&mut self) {
        self.link.last_confirmed.get_or_insert(self.now);
        let former = FormerOwner {
            epoch: self.epoch,
            shard: mem::replace(
                &mut self.shard,
                Shard::new(self.settings, Arc::clone(&self.config)),
            ),
            pending_probes: mem::take(&mut self.pending_probes),
            batch_pending: mem::take(&mut self.batch_pending),
            link: mem::take(&mut self.link),
        };
        self.former.push(former);
        self.take_over();
    }

    /// Returns the earliest time at which others may presume that the owner has failed; `None` while
    /// its writes are confirmed.
    pub(crate) fn earliest_claim(&self) -> Option<Time> {
        self.link.last_confirmed.map(|confirmed| confirmed + RENEWAL_TIMEOUT)
    }

    /// Replaces an owner that is presumed to have failed. It is dead, or does not know of it.
    pub(crate) fn take_over_from_failed(&mut self, is_dead: bool) {
        let earliest = self.earliest_claim();
        assert!(earliest.is_some_and(|at| at <= self.now), "a claim before {earliest:?}");
        if is_dead { self.take_over() } else { self.take_over_from_unaware() }
    }

    /// Returns whether a former owner that is awake does not learn of its successor from the store.
    pub(crate) fn has_former_without_store(&self) -> bool {
        self.former.iter().any(|former| former.lacks_store())
    }

    /// Lets all former owners that are awake learn of their successors after the given time, if they
    /// do not learn of them earlier.
    pub(crate) fn reconnect_former_owners(&mut self, learn_after: Span) {
        let at = self.now + learn_after;
        for former in self.former.iter_mut().filter(|former| former.lacks_store()) {
            former.link.learns_at = Some(at);
        }
    }

    /// Lets all suspended former owners go on. Those that reach the store learn of their
    /// successors after the given time.
    pub(crate) fn resume_former_owners(&mut self, learn_after: Option<Span>) {
        let learns_at = learn_after.map(|after| self.now + after);
        self.with_former_owners(|sim| {
            if sim.link.is_suspended {
                sim.link.learns_at = learns_at;
                sim.wake();
            }
        });
    }

    /// Advances the former owners, and forgets those that know of their successors.
    pub(super) fn turn_former_owners(&mut self) {
        self.with_former_owners(|sim| {
            sim.answer_probes();
            sim.run_turns();
        });
        let now = self.now;
        self.former.retain(|former| {
            !former.shard.is_superseded() && former.link.learns_at.is_none_or(|at| at > now)
        });
    }

    /// Calls `act` with each former owner in place of the present one.
    fn with_former_owners(&mut self, act: impl Fn(&mut Self)) {
        let mut former = mem::take(&mut self.former);
        for owner in &mut former {
            self.swap_owner(owner);
            self.acts_as_former = true;
            act(self);
            self.acts_as_former = false;
            self.swap_owner(owner);
        }
        self.former = former;
    }

    fn swap_owner(&mut self, other: &mut FormerOwner) {
        mem::swap(&mut self.epoch, &mut other.epoch);
        mem::swap(&mut self.shard, &mut other.shard);
        mem::swap(&mut self.pending_probes, &mut other.pending_probes);
        mem::swap(&mut self.batch_pending, &mut other.batch_pending);
        mem::swap(&mut self.link, &mut other.link);
    }

    /// Lets the process go on after a suspension.
    fn wake(&mut self) {
        self.link.suspends_at_record = false;
        if !mem::take(&mut self.link.is_suspended) {
            return;
        }
        self.link.releases_held = true;
        for command in mem::take(&mut self.link.held) {
            self.execute_command(command);
        }
        self.link.releases_held = false;
        if mem::take(&mut self.link.confirmation_waits) {
            self.batch_pending = false;
            self.handle(Event::Recorded(Vec::new()));
        }
    }

    /// Returns the command as the owner's process carries it out now, if it does.
    pub(super) fn admit(&mut self, command: Command) -> Option<Command> {
        if self.link.is_suspended {
            self.link.held.push(command);
            return None;
        }
        let last_confirmed = self.last_confirmed();
        // An executor's refusal ends an ownership; no further command is sent.
        if self.shard.is_superseded() {
            return None;
        }
        match command {
            Command::Record(batch) if self.link.last_confirmed.is_some() => {
                self.batch_pending = true;
                self.link.unsent = Some(batch);
                None
            }
            Command::Start { order, .. } if self.now.since(last_confirmed) > MAX_UNCONFIRMED => {
                self.handle(Event::Started(order, Outcome::NotSent));
                None
            }
            Command::Probe { probe, address, incarnation, acknowledged, deadline, wait } => {
                let is_confirmed = self.now.since(last_confirmed) <= MAX_UNCONFIRMED;
                let delay = if self.link.releases_held {
                    self.now.since(self.link.suspended_at)
                } else {
                    Span::ZERO
                };
                let deadline = deadline.filter(|_| is_confirmed || delay <= MAX_RENEWAL_DELAY);
                Some(Command::Probe { probe, address, incarnation, acknowledged, deadline, wait })
            }
            _ => Some(command),
        }
    }

    /// Returns when the owner's last confirmed write was sent. Claims are renewed all the time.
    pub(super) fn last_confirmed(&mut self) -> Time {
        if self.store_available && self.link.last_confirmed.is_none() {
            self.link.confirmed_at = self.now;
        }
        self.link.last_confirmed.unwrap_or(self.link.confirmed_at)
    }

    /// Notes that a batch is in the store.
    pub(super) fn note_record(&mut self) {
        if mem::take(&mut self.link.suspends_at_record) {
            self.suspend_owner();
            self.link.confirmation_waits = true;
        }
    }
}
