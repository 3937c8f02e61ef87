//! Order in which the waiting calls of one service are sent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{CallId, TeamName};
use sycamorerill_core::model::Urgency;

use super::Settings;
use super::flow::{Conformance, Flow, FlowId, Profile};

/// Number of calls that each flow may queue whatever its rate.
const MIN_FLOW_QUEUE: f64 = 4.0;
/// Time constant of the rate at which a flow is served, in milliseconds.
const SERVED_TIME_CONSTANT_MS: f64 = 500.0;

/// Conditions under which one call is admitted to the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Longest time that the call could wait and still meet its deadline.
    pub(crate) max_wait: Span,
    /// Rate at which slots become free, in calls per millisecond.
    pub(crate) slot_rate: f64,
    /// Largest number of waiting calls of the service.
    pub(crate) max_queue: u32,
}

/// Error: the queue is too long to admit the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full;

#[derive(Debug)]
pub(crate) struct Queue {
    settings: Settings,
    flow_ids: BTreeMap<TeamName, [Option<FlowId>; Urgency::ALL.len()]>,
    flows: Vec<Flow>,
    /// Flows in profile by urgency, then by theoretical arrival time.
    in_profile: BTreeSet<(Reverse<Urgency>, Time, FlowId)>,
    /// Flows out of profile by tag.
    out_of_profile: BTreeSet<(u64, FlowId)>,
    /// Flows out of profile by theoretical arrival time, at which they conform again.
    out_of_profile_by_time: BTreeSet<(Time, FlowId)>,
    len: u32,
    next_seq: u64,
    popped: u64,
    /// Start tag of the last call that was sent out of profile.
    virtual_time: u64,
    saturated_until: Time,
    /// Time without saturation up to `unsaturated_since`, in milliseconds.
    unsaturated_ms: f64,
    unsaturated_since: Time,
    started: Time,
}

impl Queue {
    pub(crate) fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            flow_ids: BTreeMap::new(),
            flows: Vec::new(),
            in_profile: BTreeSet::new(),
            out_of_profile: BTreeSet::new(),
            out_of_profile_by_time: BTreeSet::new(),
            len: 0,
            next_seq: 0,
            popped: 0,
            virtual_time: 0,
            saturated_until: Time::ZERO,
            unsaturated_ms: 0.0,
            unsaturated_since: now,
            started: now,
        }
    }

    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    /// Returns the flow of a team and an urgency, or `None` if it was not added.
    pub(crate) fn flow(&self, team: &TeamName, urgency: Urgency) -> Option<FlowId> {
        self.flow_ids.get(team)?.get(urgency as usize).copied().flatten()
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
        let flows = self.flow_ids.entry(team.clone()).or_default();
        if let Some(entry) = flows.get_mut(urgency as usize) {
            *entry = Some(id);
        }
        id
    }

    /// Replaces the profile of each flow.
    pub(crate) fn update_profiles(&mut self, profile: impl Fn(&TeamName) -> Profile) {
        for (team, flows) in &self.flow_ids {
            for id in flows.iter().flatten() {
                if let Some(flow) = self.flows.get_mut(id.0 as usize) {
                    flow.profile = profile(team);
                }
            }
        }
    }

    /// Returns whether the service is or was recently saturated.
    pub(crate) fn is_saturated(&self, now: Time) -> bool {
        now < self.saturated_until
    }

    /// Records that the offered load exceeds the capacity.
    pub(crate) fn mark_saturated(&mut self, now: Time) {
        self.unsaturated_ms = self.unsaturated_time_ms(now);
        self.unsaturated_since = now + self.settings.saturation_hold;
        self.saturated_until = self.unsaturated_since;
    }

    /// Returns the total time without saturation since the start, in milliseconds.
    fn unsaturated_time_ms(&self, now: Time) -> f64 {
        self.unsaturated_ms + now.since(self.unsaturated_since).as_ms_f64()
    }

    fn time_constant_ms(&self) -> f64 {
        self.settings.baseline_window.as_ms_f64()
    }

    /// Records a call of the flow that is sent without being queued.
    pub(crate) fn charge(&mut self, now: Time, id: FlowId) {
        self.unschedule(id);
        self.record_call(now, id);
        self.schedule(now, id);
    }

    /// Updates the rates and the theoretical arrival time of a flow for one call that is sent.
    fn record_call(&mut self, now: Time, id: FlowId) {
        let unsaturated_ms = self.unsaturated_time_ms(now);
        let time_constant_ms = self.time_constant_ms();
        let age_ms = now.since(self.started).as_ms_f64();
        let saturated = self.is_saturated(now);
        let headroom = self.settings.headroom;
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        if !saturated {
            flow.baseline.add(unsaturated_ms, time_constant_ms);
        }
        flow.served.add(age_ms, SERVED_TIME_CONSTANT_MS);
        let rate = flow.profile_rate(unsaturated_ms, time_constant_ms, headroom);
        flow.advance_arrival(now, rate);
    }

    /// Appends a call to its flow; returns its sequence number.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if the expected wait exceeds `limits`; the service then counts as
    /// saturated.
    pub(crate) fn push(
        &mut self,
        now: Time,
        id: FlowId,
        call: CallId,
        limits: Limits,
    ) -> Result<u64, Full> {
        if !self.admits(now, id, limits) {
            self.mark_saturated(now);
            return Err(Full);
        }
        self.next_seq += 1;
        let seq = self.next_seq;
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return Err(Full) };
        flow.waiting.insert(seq, call);
        self.len += 1;
        self.schedule(now, id);
        Ok(seq)
    }

    /// Returns whether the expected wait of the whole queue, or of the flow at its own rate, is
    /// short enough to admit a call.
    fn admits(&self, now: Time, id: FlowId, limits: Limits) -> bool {
        if self.len >= limits.max_queue {
            return false;
        }
        let wait_ms = limits.max_wait.as_ms_f64() * self.settings.max_wait_share;
        if f64::from(self.len + 1) <= limits.slot_rate * wait_ms {
            return true;
        }
        let Some(flow) = self.flows.get(id.0 as usize) else { return false };
        let age_ms = now.since(self.started).as_ms_f64();
        let rate = flow.profile_rate(
            self.unsaturated_time_ms(now),
            self.time_constant_ms(),
            self.settings.headroom,
        );
        let rate = rate.max(flow.served.rate(age_ms, SERVED_TIME_CONSTANT_MS));
        (flow.waiting.len() as f64) < MIN_FLOW_QUEUE + rate * wait_ms
    }

    /// Removes a waiting call from the queue.
    pub(crate) fn remove(&mut self, now: Time, id: FlowId, seq: u64) {
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        if flow.waiting.remove(&seq).is_some() {
            self.len -= 1;
            self.unschedule(id);
            self.schedule(now, id);
        }
    }

    /// Removes and returns the next call to send.
    pub(crate) fn pop(&mut self, now: Time) -> Option<CallId> {
        self.promote_conforming(now);
        self.popped += 1;
        let id = self.next_flow()?;
        self.unschedule(id);
        let virtual_time = self.virtual_time;
        let flow = self.flows.get_mut(id.0 as usize)?;
        let (_, call) = flow.waiting.pop_first()?;
        if flow.theoretical_arrival > now + self.settings.burst {
            self.virtual_time = flow.advance_tag(virtual_time);
        }
        self.len -= 1;
        self.record_call(now, id);
        self.schedule(now, id);
        Some(call)
    }

    /// Returns the next call to send without removing it.
    pub(crate) fn peek(&mut self, now: Time) -> Option<CallId> {
        self.promote_conforming(now);
        let id = self.next_flow()?;
        let flow = self.flows.get(id.0 as usize)?;
        flow.waiting.first_key_value().map(|(_, call)| *call)
    }

    fn next_flow(&self) -> Option<FlowId> {
        if self.popped.is_multiple_of(self.settings.fairness_interval.max(1))
            && let Some(id) = self.most_overdue()
        {
            return Some(id);
        }
        let first = self.in_profile.first().map(|(_, _, id)| *id);
        first.or_else(|| self.out_of_profile.first().map(|(_, id)| *id))
    }

    /// Returns the flow in profile with the earliest theoretical arrival time, of any urgency.
    fn most_overdue(&self) -> Option<FlowId> {
        let first_of = |urgency| {
            let from = (Reverse(urgency), Time::ZERO, FlowId(0));
            self.in_profile.range(from..).next().filter(|(found, _, _)| *found == Reverse(urgency))
        };
        let firsts = Urgency::ALL.into_iter().filter_map(first_of);
        firsts.min_by_key(|(_, theoretical_arrival, _)| *theoretical_arrival).map(|(_, _, id)| *id)
    }

    /// Moves the flows that conform to their profile again back to the flows in profile.
    fn promote_conforming(&mut self, now: Time) {
        while let Some((theoretical_arrival, id)) = self.out_of_profile_by_time.first().copied() {
            if theoretical_arrival > now + self.settings.burst {
                return;
            }
            self.unschedule(id);
            self.schedule(now, id);
        }
    }

    /// Adds a flow with waiting calls to the order, in or out of profile.
    fn schedule(&mut self, now: Time, id: FlowId) {
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        if flow.waiting.is_empty() || flow.conformance.is_some() {
            return;
        }
        if flow.theoretical_arrival <= now + self.settings.burst {
            flow.conformance = Some(Conformance::InProfile);
            self.in_profile.insert((Reverse(flow.urgency), flow.theoretical_arrival, id));
            return;
        }
        flow.conformance = Some(Conformance::OutOfProfile);
        flow.tag = flow.tag.max(self.virtual_time);
        self.out_of_profile.insert((flow.tag, id));
        self.out_of_profile_by_time.insert((flow.theoretical_arrival, id));
    }

    /// Removes a flow from the order; required before its tag or arrival time changes.
    fn unschedule(&mut self, id: FlowId) {
        let Some(flow) = self.flows.get_mut(id.0 as usize) else { return };
        match flow.conformance.take() {
            None => {}
            Some(Conformance::InProfile) => {
                self.in_profile.remove(&(Reverse(flow.urgency), flow.theoretical_arrival, id));
            }
            Some(Conformance::OutOfProfile) => {
                self.out_of_profile.remove(&(flow.tag, id));
                self.out_of_profile_by_time.remove(&(flow.theoretical_arrival, id));
            }
        }
    }
}
