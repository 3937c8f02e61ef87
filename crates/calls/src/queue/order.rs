//! Order of the waiting calls of one service.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, TeamName};
use sycamorerill_core::model::Urgency;

use super::Settings;
use super::flow::{Flow, FlowId, Place, Profile};

/// Calls of a flow that may always wait.
const MIN_DEPTH: f64 = 4.0;
/// Memory of the rate at which a flow is served, in milliseconds.
const SERVED_MEMORY_MS: f64 = 500.0;

/// What a call would find in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    /// Longest time that the call could wait.
    pub(crate) max_wait: Span,
    /// Rate at which slots come free, in calls per millisecond.
    pub(crate) rate: f64,
    /// Largest number of waiting calls.
    pub(crate) max_queue: u32,
}

/// The queue is too long for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal;

#[derive(Debug)]
pub(crate) struct Queue {
    settings: Settings,
    names: BTreeMap<TeamName, [Option<FlowId>; Urgency::ALL.len()]>,
    flows: Vec<Flow>,
    in_profile: BTreeSet<(Reverse<Urgency>, Time, FlowId)>,
    beyond: BTreeSet<(u64, FlowId)>,
    ripening: BTreeSet<(Time, FlowId)>,
    len: u32,
    next_seq: u64,
    taken: u64,
    reached: u64,
    saturated_until: Time,
    calm_ms: f64,
    calm_seen: Time,
    started: Time,
}

impl Queue {
    pub(crate) fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            names: BTreeMap::new(),
            flows: Vec::new(),
            in_profile: BTreeSet::new(),
            beyond: BTreeSet::new(),
            ripening: BTreeSet::new(),
            len: 0,
            next_seq: 0,
            taken: 0,
            reached: 0,
            saturated_until: Time::ZERO,
            calm_ms: 0.0,
            calm_seen: now,
            started: now,
        }
    }

    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    /// Returns the flow of a team and an urgency, if there is one.
    pub(crate) fn flow(&self, team: &TeamName, urgency: Urgency) -> Option<FlowId> {
        self.names.get(team)?.get(urgency as usize).copied().flatten()
    }

    /// Adds the flow of a team and an urgency.
    pub(crate) fn add_flow(
        &mut self,
        team: &TeamName,
        urgency: Urgency,
        profile: Profile,
    ) -> FlowId {
        let id = FlowId(self.flows.len() as u32);
        self.flows.push(Flow::new(urgency, profile));
        let flows = self.names.entry(team.clone()).or_default();
        if let Some(place) = flows.get_mut(urgency as usize) {
            *place = Some(id);
        }
        id
    }

    /// Takes new declarations in.
    pub(crate) fn declare(&mut self, profile: impl Fn(&TeamName) -> Profile) {
        for (team, flows) in &self.names {
            for id in flows.iter().flatten() {
                if let Some(flow) = self.flows.get_mut(id.0 as usize) {
                    flow.profile = profile(team);
                }
            }
        }
    }

    /// Reports whether the service was saturated a short time ago.
    pub(crate) fn is_saturated(&self, now: Time) -> bool {
        now < self.saturated_until
    }

    /// Notes that more is offered than can be served.
    pub(crate) fn saturate(&mut self, now: Time) {
        self.calm_ms = self.calm(now);
        self.calm_seen = now + self.settings.saturation;
        self.saturated_until = self.calm_seen;
    }

    /// Returns the time without saturation since the start, in milliseconds.
    fn calm(&self, now: Time) -> f64 {
        self.calm_ms + now.since(self.calm_seen).as_ms_f64()
    }

    fn memory_ms(&self) -> f64 {
        self.settings.history.as_ms_f64()
    }

    /// Counts a call of the flow that is sent without having waited.
    pub(crate) fn charge(&mut self, now: Time, id: FlowId) {
        self.unplace(id);
        self.account(now, id);
        self.place(now, id);
    }

    fn account(&mut self, now: Time, id: FlowId) {
        let calm = self.calm(now);
        let memory = self.memory_ms();
        let age_ms = now.since(self.started).as_ms_f64();
        let saturated = self.is_saturated(now);
        let headroom = self.settings.headroom;
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        if !saturated {
            flow.usual.add(calm, memory);
        }
        flow.served.add(age_ms, SERVED_MEMORY_MS);
        let rate = flow.rate(calm, memory, headroom);
        flow.advance(now, rate);
    }

    /// Puts a call at the end of its flow; returns its place in the flow.
    pub(crate) fn push(
        &mut self,
        now: Time,
        id: FlowId,
        call: CallId,
        offer: Offer,
    ) -> Result<u64, Refusal> {
        if !self.admits(now, id, offer) {
            self.saturate(now);
            return Err(Refusal);
        }
        self.next_seq += 1;
        let seq = self.next_seq;
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return Err(Refusal) };
        flow.waiting.insert(seq, call);
        self.len += 1;
        self.place(now, id);
        Ok(seq)
    }

    fn admits(&self, now: Time, id: FlowId, offer: Offer) -> bool {
        if self.len >= offer.max_queue {
            return false;
        }
        let wait_ms = offer.max_wait.as_ms_f64() * self.settings.depth;
        if f64::from(self.len + 1) <= offer.rate * wait_ms {
            return true;
        }
        let Some(flow) = self.flows.get(id.0 as usize) else { return false };
        let age_ms = now.since(self.started).as_ms_f64();
        let rate = flow.rate(self.calm(now), self.memory_ms(), self.settings.headroom);
        let rate = rate.max(flow.served.rate(age_ms, SERVED_MEMORY_MS));
        (flow.waiting.len() as f64) < MIN_DEPTH + rate * wait_ms
    }

    /// Takes a call out of the queue before its turn.
    pub(crate) fn remove(&mut self, now: Time, id: FlowId, seq: u64) {
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        if flow.waiting.remove(&seq).is_some() {
            self.len -= 1;
            self.unplace(id);
            self.place(now, id);
        }
    }

    /// Takes the call that goes next.
    pub(crate) fn pop(&mut self, now: Time) -> Option<CallId> {
        self.ripen(now);
        self.taken += 1;
        let id = self.next_flow()?;
        self.unplace(id);
        let reached = self.reached;
        let flow = self.flows.get_mut(id.0 as usize)?;
        let (_, call) = flow.waiting.pop_first()?;
        if flow.due > now + self.settings.burst {
            self.reached = flow.advance_tag(reached);
        }
        self.len -= 1;
        self.account(now, id);
        self.place(now, id);
        Some(call)
    }

    /// Returns the call that would go next.
    pub(crate) fn peek(&mut self, now: Time) -> Option<CallId> {
        self.ripen(now);
        let id = self.next_flow()?;
        let flow = self.flows.get(id.0 as usize)?;
        flow.waiting.first_key_value().map(|(_, call)| *call)
    }

    fn next_flow(&self) -> Option<FlowId> {
        if self.taken.is_multiple_of(self.settings.floor.max(1))
            && let Some(id) = self.furthest_behind()
        {
            return Some(id);
        }
        let first = self.in_profile.first().map(|(_, _, id)| *id);
        first.or_else(|| self.beyond.first().map(|(_, id)| *id))
    }

    fn furthest_behind(&self) -> Option<FlowId> {
        let first_of = |urgency| {
            let from = (Reverse(urgency), Time::ZERO, FlowId(0));
            self.in_profile.range(from..).next().filter(|(found, _, _)| *found == Reverse(urgency))
        };
        let firsts = Urgency::ALL.into_iter().filter_map(first_of);
        firsts.min_by_key(|(_, due, _)| *due).map(|(_, _, id)| *id)
    }

    /// Moves flows that are back in profile to where they are chosen first.
    fn ripen(&mut self, now: Time) {
        while let Some((due, id)) = self.ripening.first().copied() {
            if due > now + self.settings.burst {
                return;
            }
            self.unplace(id);
            self.place(now, id);
        }
    }

    fn place(&mut self, now: Time, id: FlowId) {
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        if flow.waiting.is_empty() || flow.place.is_some() {
            return;
        }
        if flow.due <= now + self.settings.burst {
            flow.place = Some(Place::InProfile);
            self.in_profile.insert((Reverse(flow.urgency), flow.due, id));
            return;
        }
        flow.place = Some(Place::Beyond);
        flow.tag = flow.tag.max(self.reached);
        self.beyond.insert((flow.tag, id));
        self.ripening.insert((flow.due, id));
    }

    fn unplace(&mut self, id: FlowId) {
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        match flow.place.take() {
            None => {}
            Some(Place::InProfile) => {
                self.in_profile.remove(&(Reverse(flow.urgency), flow.due, id));
            }
            Some(Place::Beyond) => {
                self.beyond.remove(&(flow.tag, id));
                self.ripening.remove(&(flow.due, id));
            }
        }
    }
}
