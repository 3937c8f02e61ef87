//! A simulation whose list of executors follows which of them reach the store, and in which owners
//! fail and are replaced as their claims allow.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::ExecutorId;
use sycamorerill_jobs::shard::Event;

use super::owners::RENEWAL_TIMEOUT;
use super::{FakeExecutor, Simulation};

/// Time after which a store removes the entry of an executor that does not reach it.
const ENTRY_LIFETIME: Span = Span::from_ms(3_300);
/// Less than the longest delay of an order.
const MAX_DELAY: Span = Span::from_ms(11_900);
const TICK: Span = Span::from_ms(10);

/// What a former owner does after a claim on its shard.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Former {
    /// It does nothing any more.
    Dead,
    /// It goes on after a suspension, and may then learn of its successor from the store.
    Resumes { after: Span, learns_after: Option<Span> },
    /// It goes on, and learns of its successor from the store.
    GoesOn { learns_after: Span },
}

/// A claim on the shard.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    /// Whether the owner is alive, so that the claim does not wait for it to fail.
    pub(crate) on_live: bool,
    pub(crate) former: Former,
    /// Executors that the successor does not reach.
    pub(crate) unreached: Vec<usize>,
}

/// An event at a given time.
#[derive(Clone, Debug)]
pub(crate) enum Due {
    Claim(Claim),
    ResumeFormer(Option<Span>),
    ReconnectFormer,
    HealOwner,
    EndOutage(Vec<Span>),
}

/// A simulation with its list of executors.
pub(crate) struct World {
    pub(crate) sim: Simulation,
    /// Whether former owners without the store may reach executors that the owner does not.
    pub(crate) allows_wider_reach: bool,
    /// Whether an order may outlive a restart of its executor, or come from a former owner that does
    /// not know of the restart.
    pub(crate) allows_late_orders: bool,
    ids: Vec<ExecutorId>,
    /// Since when each executor does not reach the store.
    cut_since: Vec<Option<Time>>,
    /// When each executor that has restarted or reaches the store again is listed.
    listed_at: Vec<Option<Time>>,
    /// Executors whose entries have changed while the owner did not hear of it.
    unheard: BTreeSet<usize>,
    due: Vec<(Time, Due)>,
    /// When the last outage of the store ended.
    outage_end: Option<Time>,
    /// Since when an order has been delayed.
    delayed_since: Option<Time>,
}

impl World {
    pub(crate) fn new(sim: Simulation) -> Self {
        let ids: Vec<ExecutorId> = sim.executors.keys().cloned().collect();
        let never = vec![None; ids.len()];
        Self {
            sim,
            allows_wider_reach: false,
            allows_late_orders: false,
            ids,
            cut_since: never.clone(),
            listed_at: never,
            unheard: BTreeSet::new(),
            due: Vec::new(),
            outage_end: None,
            delayed_since: None,
        }
    }

    pub(crate) fn executor(&mut self, number: usize) -> &mut FakeExecutor {
        let id = self.ids[number].clone();
        self.sim.executors.get_mut(&id).expect("an executor of the world")
    }

    /// Adds a line to the log.
    pub(crate) fn note(&mut self, text: std::fmt::Arguments<'_>) {
        self.sim.log.push(format!("{} world: {text}", self.sim.now.as_ms()));
    }

    /// Returns whether the owner reads the store.
    pub(crate) fn owner_reads_store(&self) -> bool {
        self.sim.store_available
            && !self.sim.link.suspends_at_record
            && self.sim.link.last_confirmed.is_none()
    }

    pub(crate) fn schedule(&mut self, after: Span, due: Due) {
        self.due.push((self.sim.now + after, due));
    }

    pub(crate) fn advance(&mut self, span: Span) {
        let until = self.sim.now + span;
        while self.sim.now < until {
            self.sim.advance(TICK);
            self.limit_delays();
            for number in 0..self.ids.len() {
                self.update_entry(number);
            }
            self.report_changed_entries();
            let now = self.sim.now;
            for (_, due) in self.due.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                self.note(format_args!("{due:?}"));
                self.carry_out(due);
            }
        }
    }

    fn carry_out(&mut self, due: Due) {
        match due {
            Due::Claim(claim) => self.claim(claim),
            Due::ResumeFormer(learns_after) => {
                let learns_after = match learns_after {
                    None if !self.reaches_all() => Some(Span::ZERO),
                    other => other,
                };
                self.sim.resume_former_owners(learns_after);
            }
            Due::ReconnectFormer => self.sim.reconnect_former_owners(Span::ZERO),
            Due::HealOwner => self.sim.heal_owner(),
            Due::EndOutage(report_in) => self.end_outage(&report_in),
        }
    }

    /// Returns whether former owners without the store reach no more executors than the owner, or
    /// may reach more.
    fn reaches_all(&self) -> bool {
        let epoch = self.sim.epoch;
        self.allows_wider_reach
            || !self.sim.executors.values().any(|found| found.unreached_by.contains(&epoch))
    }

    /// Claims the shard as soon as that is possible.
    fn claim(&mut self, claim: Claim) {
        if let Some(at) = self.earliest_claim(claim.on_live) {
            self.due.push((at, Due::Claim(claim)));
            return;
        }
        let stays_without_store = matches!(claim.former, Former::GoesOn { .. });
        let lacks_store = stays_without_store && !claim.on_live;
        if self.allows_wider_reach || !(lacks_store || self.sim.has_former_without_store()) {
            let next = self.sim.epoch + 1;
            for number in claim.unreached {
                self.executor(number).unreached_by.insert(next);
            }
        }
        self.replace_owner(claim.on_live, claim.former);
        self.unheard.clear();
    }

    /// Returns when the shard can be claimed, unless it can be now.
    fn earliest_claim(&mut self, on_live: bool) -> Option<Time> {
        let now = self.sim.now;
        if !self.sim.store_available {
            return Some(now + RENEWAL_TIMEOUT);
        }
        if on_live {
            return None;
        }
        if self.sim.earliest_claim().is_none() {
            self.sim.suspend_owner();
        }
        let after_outage = self.outage_end.map(|end| end + RENEWAL_TIMEOUT);
        self.sim.earliest_claim().max(after_outage).filter(|at| *at > now)
    }

    fn replace_owner(&mut self, on_live: bool, former: Former) {
        match (on_live, former) {
            (true, Former::Dead) => self.sim.take_over(),
            (true, _) => self.sim.take_over_from_unaware(),
            (false, former) => self.sim.take_over_from_failed(matches!(former, Former::Dead)),
        }
        match former {
            Former::Dead => {}
            Former::Resumes { after, learns_after } => {
                self.schedule(after, Due::ResumeFormer(learns_after));
                self.schedule(after + Span::from_secs(8), Due::ReconnectFormer);
            }
            Former::GoesOn { learns_after } if on_live => {
                self.sim.reconnect_former_owners(learns_after);
            }
            Former::GoesOn { learns_after } => self.schedule(learns_after, Due::ReconnectFormer),
        }
    }

    /// Lets the owner not reach an executor, if the former owners allow that.
    pub(crate) fn cut_from_owner(&mut self, number: usize) {
        let epoch = self.sim.epoch;
        if self.allows_wider_reach || !self.sim.has_former_without_store() {
            self.executor(number).unreached_by.insert(epoch);
        }
    }

    pub(crate) fn heal_owner_path(&mut self, number: usize) {
        let epoch = self.sim.epoch;
        self.executor(number).unreached_by.remove(&epoch);
    }

    /// Begins an outage of the store for all.
    pub(crate) fn begin_outage(&mut self, length: Span, report_in: Vec<Span>) {
        if !self.sim.store_available {
            return;
        }
        self.sim.store_available = false;
        for number in 0..self.ids.len() {
            self.cut_from_store(number);
        }
        self.schedule(length, Due::EndOutage(report_in));
    }

    fn end_outage(&mut self, report_in: &[Span]) {
        self.sim.store_available = true;
        self.outage_end = Some(self.sim.now);
        for (number, report_in) in report_in.iter().enumerate() {
            self.heal_store_path(number, *report_in);
        }
    }

    pub(crate) fn cut_from_store(&mut self, number: usize) {
        self.cut_since[number].get_or_insert(self.sim.now);
    }

    pub(crate) fn heal_store_path(&mut self, number: usize, report_in: Span) {
        if self.sim.store_available && self.cut_since[number].take().is_some() {
            self.listed_at[number].get_or_insert(self.sim.now + report_in);
        }
    }

    /// Returns whether no owner acts that does not know of a restart, if the executor reports at once.
    pub(crate) fn lists_at_once(&self, number: usize) -> bool {
        self.cut_since[number].is_none() && self.owner_reads_store() && self.sim.former.is_empty()
    }

    /// Restarts an executor under its name, with any clock.
    pub(crate) fn restart(&mut self, number: usize, clock: u64, report_in: Span) {
        let (now, incarnation) = (self.sim.now, self.sim.wall_ms());
        let id = self.ids[number].clone();
        let entry = self.sim.registration_of(id.as_str());
        self.sim.stale_entries.entry(id.clone()).or_insert(entry);
        self.executor(number).restart(now, incarnation);
        self.executor(number).clock_at_start = clock;
        if !self.allows_late_orders {
            self.lose_late_orders(&id);
        }
        self.listed_at[number] = Some(now + report_in);
        self.update_entry(number);
        self.report_changed_entries();
    }

    /// Drops the orders that were sent to an executor before its restart, and all that former owners
    /// send, which may not know of the restart.
    fn lose_late_orders(&mut self, id: &ExecutorId) {
        self.sim.drop_delayed_orders(id);
        let former: Vec<u64> = self.sim.former.iter().map(|former| former.epoch).collect();
        let executor = self.sim.executors.get_mut(id).expect("an executor of the world");
        executor.unreached_by.extend(former);
    }

    fn update_entry(&mut self, number: usize) {
        let now = self.sim.now;
        if let Some(since) = self.cut_since[number] {
            if now.since(since) >= ENTRY_LIFETIME && !self.executor(number).unlisted {
                self.executor(number).unlisted = true;
                self.unheard.insert(number);
            }
        } else if self.listed_at[number].is_some_and(|at| at <= now) {
            self.listed_at[number] = None;
            let id = self.ids[number].clone();
            self.sim.stale_entries.remove(&id);
            self.executor(number).unlisted = false;
            self.unheard.insert(number);
        }
    }

    fn report_changed_entries(&mut self) {
        if !self.owner_reads_store() {
            return;
        }
        for number in std::mem::take(&mut self.unheard) {
            let id = self.ids[number].clone();
            if self.executor(number).unlisted {
                self.sim.handle(Event::Unlisted(id));
            } else {
                self.sim.list_executor(&id);
            }
        }
    }

    /// Delivers the orders that have been delayed for as long as orders can be.
    fn limit_delays(&mut self) {
        let now = self.sim.now;
        if self.sim.delayed_orders.is_empty() {
            self.delayed_since = None;
        } else if now.since(*self.delayed_since.get_or_insert(now)) >= MAX_DELAY {
            self.sim.deliver_delayed_orders();
        }
    }

    /// Ends all disruptions.
    pub(crate) fn end_disruptions(&mut self) {
        self.due.clear();
        if !self.sim.store_available {
            self.end_outage(&[]);
        }
        if !self.owner_reads_store() {
            self.sim.heal_owner();
        }
        self.sim.resume_former_owners(Some(Span::ZERO));
        self.sim.reconnect_former_owners(Span::ZERO);
        for number in 0..self.ids.len() {
            self.heal_store_path(number, Span::ZERO);
            self.heal_owner_path(number);
            let executor = self.executor(number);
            executor.reachable = true;
            executor.loses_answers = false;
            executor.delays_orders = false;
        }
        self.sim.deliver_delayed_orders();
    }
}
