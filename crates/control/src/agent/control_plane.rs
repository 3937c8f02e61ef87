//! The state machines of one instance and the interactions between them.

use std::collections::BTreeMap;

use bytes::Bytes;
use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, InstanceName, Version};

use super::{
    Body, Command, Decision, Event, Message, Outbox, Purpose, Settings, Status, StatusRow,
};
use crate::journal::{self, AppendError, Durability, Kind, Record, Sequence, WriteGuard};
use crate::membership::{self, LocalMember, MemberState};
use crate::ownership::{self, KnownOwner, Shard};
use crate::penalties::{Miss, Misses, QueueFull};
use crate::store::{Key, Response, State, Usage};
use crate::{config, penalties, session};

/// Time between two reads of this instance's session row.
const SESSION_POLL_INTERVAL: Span = Span::from_ms(1_000);
/// Largest group in which every instance polls its session row. In larger groups only an
/// instance with a silent peer does.
const MAX_SESSION_POLL_GROUP: usize = 16;
/// Time for which the digests of a peer must differ before its tables are requested;
/// also the time between two requests.
const RESYNC_AFTER: Span = Span::from_ms(2_000);
/// Group size up to which [`RESYNC_AFTER`] is the time between two requests; it scales
/// with the size of larger groups.
const RESYNC_GROUP: u64 = 100;
/// Time between two adjustments of the rate limits to the group size.
const BUDGET_UPDATE_INTERVAL: Span = Span::from_ms(1_000);
/// Time after which a change of the store's state affects shard ownership.
///
/// An instance without the store for this long is no candidate for shards. Sessions
/// without heartbeats are taken over only after the store has been up for this long.
const STORE_STABLE_AFTER: Span = Span::from_ms(3_000);

#[derive(Debug)]
pub(super) struct ControlPlane {
    settings: Settings,
    rng: Rng,
    session: session::Machine,
    members: membership::Machine,
    ownership: ownership::Machine,
    journal: journal::Machine,
    config: config::Machine,
    penalties: penalties::Machine,
    draining: bool,
    store: State,
    store_since: Time,
    next_budget_update: Time,
    next_resync: Time,
    /// Peers whose digests of owners or members differ, and since when.
    differing_since: BTreeMap<InstanceName, Time>,
}

impl ControlPlane {
    pub(super) fn new(settings: Settings, rng: &mut Rng) -> Self {
        let name = session::Name {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
        };
        let local = LocalMember {
            name: name.clone(),
            domain: settings.domain.clone(),
            state: MemberState::Joining,
            state_version: 0,
            version: Version::default(),
            owners_digest: 0,
        };
        Self {
            session: session::Machine::new(name.clone(), rng),
            members: membership::Machine::new(settings.membership.clone(), local, &settings.peers),
            ownership: ownership::Machine::new(settings.ownership.clone(), name),
            journal: journal::Machine::new(settings.journal.clone()),
            config: config::Machine::new(settings.config.clone()),
            penalties: penalties::Machine::new(settings.penalties.clone()),
            draining: false,
            store: State::Up,
            store_since: Time::ZERO,
            next_budget_update: Time::ZERO,
            next_resync: Time::ZERO,
            differing_since: BTreeMap::new(),
            rng: rng.fork(),
            settings,
        }
    }

    pub(super) const fn is_fenced(&self) -> bool {
        self.session.is_fenced()
    }

    pub(super) const fn session(&self) -> &session::Name {
        self.session.name()
    }

    pub(super) fn handle_event(&mut self, now: Time, event: Event, out: &mut Outbox<'_>) {
        match event {
            Event::Tick | Event::Store { .. } => {}
            Event::Message { from, bytes } => self.handle_message(now, &from, &bytes, out),
            Event::Evidence { session, evidence } => {
                self.members.record_evidence(now, &session, evidence, out);
            }
            Event::InstancesListed { entries } => self.members.handle_list(now, &entries, out),
            Event::ShardReleased { shard, handover_state } => {
                self.ownership.released(shard, handover_state, self.journal.last());
            }
            Event::Snapshot { shard, bytes } => {
                self.ownership.add_snapshot(shard, bytes, self.journal.last());
            }
            Event::Apply(apply) => {
                let context = config_context(now, &self.members, out);
                self.config.apply(apply, &context, out);
            }
            Event::SettlePenalties(settle) => {
                let context = penalties_context(now, &self.members, &self.session, out);
                self.penalties.settle(settle, &context, out);
            }
            Event::Drain => self.draining = true,
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: &InstanceName,
        bytes: &[u8],
        out: &mut Outbox<'_>,
    ) {
        let message = match Message::decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                let key = Key::new(format!("peer {from}"));
                return out.log(Decision::Corrupt { key, error });
            }
        };
        let sender = session::Name { instance: from.clone(), incarnation: message.incarnation };
        match message.body {
            Body::Heartbeat(heartbeat) => {
                self.members.handle_heartbeat(now, from, message.incarnation, &heartbeat, out);
                self.config.observe_version(heartbeat.version);
                self.compare_digests(
                    now,
                    from,
                    (heartbeat.owners_digest, heartbeat.members_digest),
                    out,
                );
            }
            Body::Handover(handovers) => self.ownership.handle_handovers(from, handovers, out),
            Body::HandoverReceived(owners) => self.ownership.handle_acknowledgement(&owners),
            Body::Owners(owners) => self.ownership.handle_owners(&owners, &self.members, out),
            Body::OwnersRequest => {
                let owners = self.ownership.table().owners().cloned().collect();
                out.send(from.clone(), Body::Owners(owners));
            }
            Body::MembersRequest => {
                out.send(from.clone(), Body::Members(self.members.running_members()))
            }
            Body::Members(updates) => self.members.merge_updates(now, &updates, out),
            Body::ConfigVersion(version) => self.config.observe_version(version),
            Body::ConfigRequest(known) => {
                if let Some(body) = self.config.content_above(known) {
                    out.send(from.clone(), body);
                }
            }
            Body::Config(encoded) => {
                let context = config_context(now, &self.members, out);
                self.config.handle_content(from, encoded, &context, out);
            }
            Body::PendingMisses(misses) => self.penalties.hold_peer_misses(sender, misses),
            Body::DurableMisses(misses) => self.penalties.drop_durable(&sender, &misses),
        }
    }

    /// Requests the owners or members of a peer if their digests have differed from the
    /// local ones for long enough.
    ///
    /// Every change is sent to the peers anyway, so most differences disappear within
    /// that time.
    fn compare_digests(
        &mut self,
        now: Time,
        from: &InstanceName,
        digests: (u64, u64),
        out: &mut Outbox<'_>,
    ) {
        let (owners, members) = digests;
        let owners_differ = owners != self.ownership.table().digest();
        let members_differ = members != self.members.digest();
        if !owners_differ && !members_differ {
            self.differing_since.remove(from);
            return;
        }
        let since = *self.differing_since.entry(from.clone()).or_insert(now);
        if now.since(since) < RESYNC_AFTER || now < self.next_resync {
            return;
        }
        self.differing_since.clear();
        let groups = (self.members.group_size() as u64).div_ceil(RESYNC_GROUP);
        self.next_resync = now + RESYNC_AFTER.saturating_mul(groups);
        if owners_differ {
            out.send(from.clone(), Body::OwnersRequest);
        }
        if members_differ {
            out.send(from.clone(), Body::MembersRequest);
        }
    }

    pub(super) fn handle_response(
        &mut self,
        now: Time,
        purpose: Purpose,
        response: Response,
        out: &mut Outbox<'_>,
    ) {
        match purpose {
            Purpose::Session(_) => {
                let change = self.session.handle(now, response, out);
                self.apply_session_change(now, change, out);
            }
            Purpose::Ownership(purpose) => {
                let store_stable = self.store_is_stable(now);
                let mut context = ownership_context(
                    now,
                    &mut self.members,
                    &self.session,
                    &self.journal,
                    (self.draining, store_stable),
                );
                if self.ownership.handle(purpose, response, &mut context, out) {
                    self.session.recheck(now, out);
                }
            }
            Purpose::Journal(purpose) => match self.journal.handle(purpose, response, out) {
                journal::Change::None => {}
                journal::Change::Durable(up_to) => out.emit(Command::RecordsDurable { up_to }),
                journal::Change::SessionInDoubt => self.session.recheck(now, out),
            },
            Purpose::Config(purpose) => {
                let context = config_context(now, &self.members, out);
                self.config.handle(purpose, response, &context, out);
            }
            Purpose::Penalties(purpose) => {
                let conflict = response == Response::Conflict;
                let context = penalties_context(now, &self.members, &self.session, out);
                self.penalties.handle(purpose, response, &context, out);
                if conflict {
                    self.session.recheck(now, out);
                }
            }
        }
    }

    fn apply_session_change(&mut self, now: Time, change: session::Change, out: &mut Outbox<'_>) {
        let name = self.session.name().clone();
        match change {
            session::Change::None => {}
            session::Change::Opened => {
                self.members.local_mut().name = name.clone();
                self.ownership.start(now, &name);
                out.log(Decision::Opened { session: name });
            }
            session::Change::Fenced => {
                self.ownership.stop(out);
                out.emit(Command::Fenced { incarnation: name.incarnation });
                out.log(Decision::Fenced { session: name });
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Outbox<'_>) {
        self.update_budget(now, out);
        self.update_store_state(now, out);
        self.tick_session(now, out);
        self.tick_members(now, out);
        let store_stable = self.store_is_stable(now);
        let mut context = ownership_context(
            now,
            &mut self.members,
            &self.session,
            &self.journal,
            (self.draining, store_stable),
        );
        self.ownership.tick(&mut context, out);
        self.tick_journal(now, out);
        let context = config_context(now, &self.members, out);
        self.config.tick(&context, out);
        let context = penalties_context(now, &self.members, &self.session, out);
        self.penalties.tick(&context, out);
    }

    pub(super) fn next_wake(&self, now: Time) -> Time {
        let journal = self.session.is_open().then(|| self.journal.next_wake(now)).flatten();
        let machines = [
            self.ownership.next_wake(now),
            journal,
            self.config.next_wake(),
            self.penalties.next_wake(),
        ];
        machines.into_iter().flatten().fold(self.members.next_wake(), Time::min)
    }

    fn update_budget(&mut self, now: Time, out: &mut Outbox<'_>) {
        if now < self.next_budget_update {
            return;
        }
        self.next_budget_update = now + BUDGET_UPDATE_INTERVAL;
        let size = self.members.group_size();
        let writers = size.min(self.settings.ownership.writers);
        let budget = &self.settings.budget;
        out.set_budget(now, budget, writers, size);
        self.journal.set_write_rate(budget.share(writers, size).0);
    }

    fn update_store_state(&mut self, now: Time, out: &mut Outbox<'_>) {
        let state = out.state(now);
        if state == self.store {
            return;
        }
        self.store = state;
        self.store_since = now;
        out.log(Decision::Store { state });
        if state == State::Down {
            let sequences = self.journal.withdraw();
            if !sequences.is_empty() {
                self.ownership.discard_unsent_snapshots();
                out.emit(Command::RecordsWithdrawn { sequences });
            }
        }
    }

    fn tick_session(&mut self, now: Time, out: &mut Outbox<'_>) {
        let has_silent_peer = self.members.has_silent_peer(now);
        let should_poll = has_silent_peer || self.members.group_size() <= MAX_SESSION_POLL_GROUP;
        let due = self.session.since_read(now) >= SESSION_POLL_INTERVAL && should_poll;
        if due || !self.session.is_open() {
            self.session.recheck(now, out);
        }
    }

    fn tick_members(&mut self, now: Time, out: &mut Outbox<'_>) {
        let state = self.member_state(now);
        self.members.set_state(state);
        let local = self.members.local_mut();
        local.version = self.config.version();
        local.owners_digest = self.ownership.table().digest();
        self.members.tick(now, &mut self.rng, out);
    }

    /// Returns whether the store has been up long enough to act on missing heartbeats.
    fn store_is_stable(&self, now: Time) -> bool {
        self.store == State::Up && now.since(self.store_since) >= STORE_STABLE_AFTER
    }

    fn member_state(&self, now: Time) -> MemberState {
        let store_lost =
            self.store == State::Down && now.since(self.store_since) >= STORE_STABLE_AFTER;
        match (self.draining, self.session.is_open() && !store_lost) {
            (true, _) => MemberState::Draining,
            (false, true) => MemberState::Serving,
            (false, false) => MemberState::Joining,
        }
    }

    fn tick_journal(&mut self, now: Time, out: &mut Outbox<'_>) {
        for (shard, sequence) in self.ownership.take_covered() {
            self.journal.cover(shard, sequence);
        }
        let limit = self.journal.settings().snapshot_bytes;
        self.ownership.request_snapshots(self.journal.coverage().shards_above(limit));
        if let Some(write_guard) = write_guard(&self.session) {
            self.journal.tick(now, &write_guard, out);
        }
    }

    pub(super) fn append(
        &mut self,
        shard: Shard,
        kind: Kind,
        bytes: Bytes,
        durability: Durability,
        store: State,
    ) -> Result<Sequence, AppendError> {
        if !self.session.is_open() {
            return Err(AppendError::NoSession);
        }
        let Some(epoch) = self.ownership.serving_epoch(shard) else {
            return Err(AppendError::NotOwner(shard));
        };
        let record = Record { sequence: Sequence(0), shard, epoch, kind, bytes };
        self.journal.append(durability, record, store)
    }

    pub(super) fn add_miss(&mut self, miss: Miss) -> Result<(), QueueFull> {
        self.penalties.add_miss(miss)
    }

    pub(super) fn pending_misses(&self) -> Misses {
        self.penalties.pending_misses()
    }

    pub(super) fn owner(&self, shard: Shard) -> Option<KnownOwner> {
        self.ownership.table().known_owner(shard)
    }

    pub(super) fn serving_epoch(&self, shard: Shard) -> Option<Epoch> {
        self.ownership.serving_epoch(shard)
    }

    pub(super) fn owned_count(&self) -> usize {
        self.ownership.owned_count()
    }

    pub(super) fn status(&self, now: Time, store: State, usage: Usage) -> Status {
        let mut shards: BTreeMap<&InstanceName, usize> = BTreeMap::new();
        for owner in self.ownership.table().owners() {
            *shards.entry(&owner.session.instance).or_default() += 1;
        }
        let count = |name: &InstanceName| shards.get(name).copied().unwrap_or_default();
        let own = self.session.name();
        let mut instances = vec![StatusRow {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
            domain: self.settings.domain.clone(),
            state: self.member_state(now),
            version: self.config.version(),
            shards: count(&own.instance),
            silence: Span::ZERO,
        }];
        for (name, member) in self.members.members() {
            instances.push(StatusRow {
                instance: name.clone(),
                incarnation: member.incarnation,
                domain: member.domain.clone(),
                state: member.state,
                version: member.version,
                shards: count(name),
                silence: now.since(member.last_contact),
            });
        }
        instances.sort_by(|a, b| a.instance.cmp(&b.instance));
        Status {
            instances,
            version: self.config.version(),
            spread_time: self.config.spread_time(),
            store,
            usage,
            pending_misses: self.penalties.pending(),
        }
    }
}

fn write_guard(session: &session::Machine) -> Option<WriteGuard> {
    session.guard().map(|check| WriteGuard { session: session.name().clone(), check })
}

fn ownership_context<'a>(
    now: Time,
    members: &'a mut membership::Machine,
    session: &session::Machine,
    journal: &journal::Machine,
    (draining, store_stable): (bool, bool),
) -> ownership::Context<'a> {
    let guard = session.guard();
    let (last, resolved) = (journal.last(), journal.resolved());
    ownership::Context { now, members, guard, last, resolved, draining, store_stable }
}

fn config_context<'a>(
    now: Time,
    members: &'a membership::Machine,
    out: &Outbox<'_>,
) -> config::Context<'a> {
    config::Context { now, members, store: out.state(now) }
}

fn penalties_context<'a>(
    now: Time,
    members: &'a membership::Machine,
    session: &session::Machine,
    out: &Outbox<'_>,
) -> penalties::Context<'a> {
    penalties::Context { now, members, write_guard: write_guard(session), store: out.state(now) }
}
