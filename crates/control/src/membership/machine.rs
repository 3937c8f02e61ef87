//! Membership state machine, updated by heartbeats, gossip and the platform's list of
//! instances.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, Version};

use super::{Evidence, ListEntry, Member, MemberState, Settings, StateUpdate};
use crate::agent::{Decision, Heartbeat, Outbox};
use crate::session;

/// Minimum number of heartbeat rounds that include a state update. One more is added
/// for every two doublings of the group size.
const MIN_GOSSIP_ROUNDS: u32 = 3;
/// Time for which a gone instance stays in the member table.
const GONE_RETENTION: Span = Span::from_secs(600);

/// State of this instance as sent in heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct LocalMember {
    pub(crate) name: session::Name,
    pub(crate) domain: DomainName,
    pub(crate) state: MemberState,
    pub(crate) state_version: u64,
    pub(crate) version: Version,
    pub(crate) owners_digest: u64,
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    pub(super) local: LocalMember,
    pub(super) members: BTreeMap<InstanceName, Member>,
    pub(super) listed: BTreeSet<InstanceName>,
    /// Instances missing from the platform's list, and the instant from which that
    /// counts as evidence.
    pub(super) unlisted: BTreeMap<InstanceName, Time>,
    /// Watched peers, and the earliest instant from which their silence is measured.
    pub(super) watched: BTreeMap<InstanceName, Time>,
    pub(super) last_tick: Time,
    pub(super) next_heartbeat: Time,
    /// Incremented by each change of a member or its state.
    pub(super) revision: u64,
    /// Revision for which the watched peers were selected.
    pub(super) watched_revision: Option<u64>,
    pub(super) running_count: usize,
    /// Digest of the running members when the watched peers were last selected.
    pub(super) digest: u64,
    /// State updates to gossip, with the number of rounds left.
    updates: BTreeMap<InstanceName, (StateUpdate, u32)>,
}

impl Machine {
    pub(crate) fn new(settings: Settings, local: LocalMember, peers: &[InstanceName]) -> Self {
        let mut machine = Self {
            settings,
            local,
            members: BTreeMap::new(),
            listed: BTreeSet::new(),
            unlisted: BTreeMap::new(),
            watched: BTreeMap::new(),
            last_tick: Time::ZERO,
            next_heartbeat: Time::ZERO,
            revision: 0,
            watched_revision: None,
            running_count: 1,
            digest: 0,
            updates: BTreeMap::new(),
        };
        peers.iter().for_each(|peer| machine.add_member(Time::ZERO, peer));
        machine
    }

    pub(crate) const fn members(&self) -> &BTreeMap<InstanceName, Member> {
        &self.members
    }

    /// Returns the state of this instance for modification.
    pub(crate) fn local_mut(&mut self) -> &mut LocalMember {
        &mut self.local
    }

    /// Sets the state of this instance.
    pub(crate) fn set_state(&mut self, state: MemberState) {
        if self.local.state != state {
            // Among updates of the same incarnation, the highest version replaces the
            // others.
            self.local.state_version += 1;
            self.local.state = state;
            self.revision += 1;
        }
    }

    /// Returns the revision, which increases with each change of a member or its state.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of running instances, this one included, when the watched
    /// peers were last selected.
    pub(crate) const fn group_size(&self) -> usize {
        self.running_count
    }

    /// Returns the members that are not known to be gone.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &InstanceName> {
        let runs = |member: &Member| !matches!(member.state, MemberState::Gone);
        self.members.iter().filter(move |(_, member)| runs(member)).map(|(name, _)| name)
    }

    /// Returns the evidence that the process of a session has ended, if any.
    pub(crate) fn evidence(&self, session: &session::Name) -> Option<Evidence> {
        if session.instance == self.local.name.instance {
            let newer = session.incarnation < self.local.name.incarnation;
            return newer.then_some(Evidence::NewerIncarnation);
        }
        let member = self.members.get(&session.instance)?;
        match member.incarnation.cmp(&session.incarnation) {
            std::cmp::Ordering::Greater => Some(Evidence::NewerIncarnation),
            std::cmp::Ordering::Equal => member.evidence,
            std::cmp::Ordering::Less => None,
        }
    }

    /// Returns whether a session is suspected or known to have ended.
    pub(crate) fn is_suspect(&self, session: &session::Name) -> bool {
        self.evidence(session).is_some()
            || self.members.get(&session.instance).is_some_and(|member| {
                member.incarnation == session.incarnation && member.state == MemberState::Suspect
            })
    }

    /// Returns whether a session has been without the store for at least the suspicion
    /// timeout.
    ///
    /// Such an instance reports its state as [`MemberState::Joining`].
    pub(crate) fn lost_store(&self, now: Time, session: &session::Name) -> bool {
        self.members.get(&session.instance).is_some_and(|member| {
            member.incarnation == session.incarnation
                && member.state == MemberState::Joining
                && now.since(member.state_since) >= self.settings.suspect_after
        })
    }

    /// Returns the failure domain of this instance.
    pub(crate) const fn domain(&self) -> &DomainName {
        &self.local.domain
    }

    /// Returns the peers that receive periodic heartbeats and are checked for silence.
    pub(crate) fn watched_peers(&self) -> impl Iterator<Item = &InstanceName> {
        self.watched.keys()
    }

    /// Returns whether every peer is watched.
    pub(crate) fn is_full_mesh(&self) -> bool {
        self.members.len() < self.settings.full_mesh
    }

    /// Records a session found in the table.
    pub(crate) fn observe_session(&mut self, now: Time, session: &session::Name) {
        if session.instance == self.local.name.instance {
            return;
        }
        self.add_member(now, &session.instance);
        let Some(member) = self.members.get_mut(&session.instance) else { return };
        if member.incarnation < session.incarnation {
            member.incarnation = session.incarnation;
            member.evidence = None;
            member.state = MemberState::Joining;
            self.revision += 1;
            member.last_contact = now;
            member.state_since = now;
        }
    }

    /// Processes a heartbeat.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &InstanceName,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        out: &mut Outbox<'_>,
    ) {
        let update = StateUpdate {
            instance: from.clone(),
            incarnation,
            state_version: heartbeat.state_version,
            state: heartbeat.state,
            domain: heartbeat.domain.clone(),
        };
        self.merge_update(now, &update, out);
        if let Some(member) = self.members.get_mut(from)
            && member.incarnation == incarnation
            && member.evidence.is_none()
        {
            member.last_contact = now;
            member.version = member.version.max(heartbeat.version);
        }
        // A heartbeat is direct proof of life. It clears a suspicion even if it carries
        // no newer state version.
        self.clear_suspicion(now, &update, out);
        heartbeat.updates.iter().for_each(|update| self.merge_update(now, update, out));
    }

    /// Returns a digest of the running members. Equal digests mean equal members, except
    /// for hash collisions.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a state update for every running member, this instance included.
    pub(crate) fn running_members(&self) -> Vec<StateUpdate> {
        let is_running = |(_, member): &(&InstanceName, &Member)| {
            member.incarnation != Incarnation::default() && member.state != MemberState::Gone
        };
        let others = self.members.iter().filter(is_running);
        others
            .map(|(name, member)| member_update(name, member))
            .chain([self.local_update()])
            .collect()
    }

    /// Merges the member table of a peer.
    pub(crate) fn merge_updates(&mut self, now: Time, all: &[StateUpdate], out: &mut Outbox<'_>) {
        all.iter().for_each(|update| self.merge_update(now, update, out));
    }

    fn clear_suspicion(&mut self, now: Time, update: &StateUpdate, out: &mut Outbox<'_>) {
        let Some(member) = self.members.get_mut(&update.instance) else { return };
        if member.incarnation == update.incarnation && member.state == MemberState::Suspect {
            member.state = update.state;
            member.state_since = now;
            self.revision += 1;
            out.log(Decision::MemberState {
                instance: update.instance.clone(),
                state: update.state,
            });
        }
    }

    /// Records evidence that the process of an incarnation has ended.
    pub(crate) fn record_evidence(
        &mut self,
        now: Time,
        session: &session::Name,
        evidence: Evidence,
        out: &mut Outbox<'_>,
    ) {
        let Some(member) = self.members.get_mut(&session.instance) else { return };
        if member.incarnation != session.incarnation || member.evidence.is_some() {
            return;
        }
        member.evidence = Some(evidence);
        member.state = MemberState::Gone;
        self.revision += 1;
        member.state_since = now;
        let update = member_update(&session.instance, member);
        self.queue_update(update);
        out.log(Decision::Gone { session: session.clone(), evidence });
    }

    /// Processes the platform's list of instances.
    pub(crate) fn handle_list(&mut self, now: Time, entries: &[ListEntry], out: &mut Outbox<'_>) {
        let listed: BTreeSet<InstanceName> =
            entries.iter().map(|entry| entry.instance.clone()).collect();
        let own = self.local.name.instance.clone();
        listed.iter().filter(|name| **name != own).for_each(|name| self.add_member(now, name));
        for name in self.members.keys() {
            // The platform's list may not contain a recently started instance yet. An
            // instance that was listed before counts as removed at once.
            let lag = match self.listed.contains(name) {
                true => Span::ZERO,
                false => self.settings.list_lag,
            };
            match listed.contains(name) {
                true => _ = self.unlisted.remove(name),
                false => _ = self.unlisted.entry(name.clone()).or_insert(now + lag),
            }
        }
        self.listed = listed;
        self.detect_unlisted(now, out);
    }

    pub(super) fn detect_unlisted(&mut self, now: Time, out: &mut Outbox<'_>) {
        let is_unlisted =
            |name: &InstanceName| self.unlisted.get(name).is_some_and(|from| now >= *from);
        let is_suspect = |member: &Member| member.state == MemberState::Suspect;
        let gone: Vec<session::Name> = (self.members.iter())
            .filter(|(name, member)| is_suspect(member) && is_unlisted(name))
            .map(|(name, member)| session::Name {
                instance: name.clone(),
                incarnation: member.incarnation,
            })
            .collect();
        gone.iter().for_each(|session| self.record_evidence(now, session, Evidence::Unlisted, out));
    }

    /// Returns the state updates to include in the next heartbeat, those with the
    /// most rounds left first.
    pub(super) fn take_updates(&mut self) -> Vec<StateUpdate> {
        let mut waiting: Vec<(u32, InstanceName)> =
            self.updates.iter().map(|(name, (_, left))| (*left, name.clone())).collect();
        waiting.sort_by(|a, b| b.cmp(a));
        waiting.truncate(self.settings.updates_per_heartbeat);
        let mut chosen = Vec::with_capacity(waiting.len());
        for (_, name) in waiting {
            let Some((update, left)) = self.updates.get_mut(&name) else { continue };
            chosen.push(update.clone());
            *left -= 1;
            if *left == 0 {
                self.updates.remove(&name);
            }
        }
        chosen
    }

    pub(super) fn queue_update(&mut self, update: StateUpdate) {
        let doublings = usize::BITS - self.members.len().leading_zeros() + 1;
        self.updates.insert(update.instance.clone(), (update, MIN_GOSSIP_ROUNDS + doublings / 2));
    }

    fn merge_update(&mut self, now: Time, update: &StateUpdate, out: &mut Outbox<'_>) {
        if update.instance == self.local.name.instance {
            return self.refute_suspicion(update);
        }
        self.add_member(now, &update.instance);
        let Some(member) = self.members.get_mut(&update.instance) else { return };
        if !update.replaces(member.incarnation, member.state_version, member.state) {
            return;
        }
        if member.incarnation != update.incarnation {
            member.evidence = None;
            member.last_contact = now;
        }
        if update.state == MemberState::Gone {
            member.evidence = Some(Evidence::Reported);
        }
        if member.state != update.state || member.incarnation != update.incarnation {
            member.state_since = now;
            let (instance, state) = (update.instance.clone(), update.state);
            out.log(Decision::MemberState { instance, state });
        }
        member.incarnation = update.incarnation;
        member.state_version = update.state_version;
        member.state = update.state;
        self.revision += 1;
        member.domain = update.domain.clone();
        self.queue_update(update.clone());
    }

    /// Refutes a suspicion of this instance by announcing a higher state version.
    fn refute_suspicion(&mut self, update: &StateUpdate) {
        let about_local = update.incarnation == self.local.name.incarnation;
        if about_local
            && update.state == MemberState::Suspect
            && update.state_version >= self.local.state_version
        {
            self.local.state_version = update.state_version + 1;
            let update = self.local_update();
            self.queue_update(update);
        }
    }

    pub(super) fn local_update(&self) -> StateUpdate {
        StateUpdate {
            instance: self.local.name.instance.clone(),
            incarnation: self.local.name.incarnation,
            state_version: self.local.state_version,
            state: self.local.state,
            domain: self.local.domain.clone(),
        }
    }

    fn add_member(&mut self, now: Time, instance: &InstanceName) {
        if *instance == self.local.name.instance || self.members.contains_key(instance) {
            return;
        }
        let member = Member {
            incarnation: Incarnation::default(),
            domain: self.local.domain.clone(),
            state: MemberState::Joining,
            version: Version::default(),
            last_contact: now,
            state_since: now,
            evidence: None,
            state_version: 0,
        };
        self.members.insert(instance.clone(), member);
        self.revision += 1;
        self.running_count += 1;
    }

    pub(super) fn remove_expired(&mut self, now: Time) {
        let before = self.members.len();
        self.members.retain(|_, member| {
            member.state != MemberState::Gone || now.since(member.state_since) < GONE_RETENTION
        });
        self.revision += u64::from(self.members.len() != before);
    }

    pub(super) fn random_peer(&self, rng: &mut Rng) -> Option<InstanceName> {
        let count = self.running_count.saturating_sub(1);
        if count == 0 { None } else { self.peers().nth(rng.usize(..count)).cloned() }
    }
}

pub(super) fn member_update(instance: &InstanceName, member: &Member) -> StateUpdate {
    StateUpdate {
        instance: instance.clone(),
        incarnation: member.incarnation,
        state_version: member.state_version,
        state: member.state,
        domain: member.domain.clone(),
    }
}
