//! The machines of one instance and what they say to each other.

use std::collections::BTreeMap;

use bytes::Bytes;
use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, InstanceName, Version};

use super::{Body, Command, Decision, Event, Message, Out, Purpose, Settings, Status, StatusRow};
use crate::journal::{self, Guarded, Kind, Need, Record, Refused, Sequence};
use crate::membership::{self, Own, Standing};
use crate::ownership::{self, Place, Shard};
use crate::penalties::{Entry, Full, Misses};
use crate::store::{Key, Response, State, Usage};
use crate::{config, penalties, session};

/// Time between two looks at the own session row.
const SESSION_POLL: Span = Span::from_ms(1_000);
/// Largest group in which every instance looks at its session row all the time.
const SESSION_POLL_GROUP: usize = 16;
/// Time for which digests must differ from those of a peer, and between two questions.
const DIFFERS_FOR: Span = Span::from_ms(2_000);
/// Instances for which the time between two questions is stated.
const ASK_GROUP: u64 = 100;
/// Time between two adjustments to the number of instances.
const RETUNE_AFTER: Span = Span::from_ms(1_000);
/// Time without the store after which an instance offers itself for no shards.
const STORE_PATIENCE: Span = Span::from_ms(3_000);

#[derive(Debug)]
pub(super) struct Plane {
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
    next_retune: Time,
    next_ask: Time,
    /// Peers that know other owners or members, and since when.
    differs: BTreeMap<InstanceName, Time>,
}

impl Plane {
    pub(super) fn new(settings: Settings, rng: &mut Rng) -> Self {
        let name = session::Name {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
        };
        let own = Own {
            name: name.clone(),
            domain: settings.domain.clone(),
            standing: Standing::Joining,
            life: 0,
            version: Version::default(),
            owners: 0,
        };
        Self {
            session: session::Machine::new(name.clone(), rng),
            members: membership::Machine::new(settings.membership.clone(), own, &settings.peers),
            ownership: ownership::Machine::new(settings.ownership.clone(), name),
            journal: journal::Machine::new(settings.journal.clone()),
            config: config::Machine::new(settings.config.clone()),
            penalties: penalties::Machine::new(settings.penalties.clone()),
            draining: false,
            store: State::Up,
            store_since: Time::ZERO,
            next_retune: Time::ZERO,
            next_ask: Time::ZERO,
            differs: BTreeMap::new(),
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

    pub(super) fn event(&mut self, now: Time, event: Event, out: &mut Out<'_>) {
        match event {
            Event::Tick | Event::Store { .. } => {}
            Event::Message { from, bytes } => self.message(now, &from, &bytes, out),
            Event::Evidence { session, evidence } => {
                self.members.gone(now, &session, evidence, out);
            }
            Event::Listed { listings } => self.members.list(now, &listings, out),
            Event::Released { shard, carry } => {
                self.ownership.released(shard, carry, self.journal.last());
            }
            Event::Snapshot { shard, bytes } => {
                self.ownership.snapshot(shard, bytes, self.journal.last());
            }
            Event::Apply(apply) => {
                let context = config_context(now, &self.members, out);
                self.config.apply(apply, &context, out);
            }
            Event::Settle(settle) => {
                let context = penalties_context(now, &self.members, &self.session, out);
                self.penalties.settle(settle, &context, out);
            }
            Event::Drain => self.draining = true,
        }
    }

    fn message(&mut self, now: Time, from: &InstanceName, bytes: &[u8], out: &mut Out<'_>) {
        let message = match Message::decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                let key = Key::new(format!("peer {from}"));
                return out.decide(Decision::Corrupt { key, error });
            }
        };
        let sender = session::Name { instance: from.clone(), incarnation: message.incarnation };
        match message.body {
            Body::Beat(beat) => {
                self.members.beat(now, from, message.incarnation, &beat, out);
                self.config.heard(beat.version);
                self.compare(now, from, (beat.owners, beat.members), out);
            }
            Body::Handed(handed) => self.ownership.receive(from, handed, out),
            Body::Received(owners) => self.ownership.acknowledged(&owners),
            Body::Owners(owners) => self.ownership.told(&owners, &self.members, out),
            Body::OwnersWanted => {
                let owners = self.ownership.table().owners().cloned().collect();
                out.send(from.clone(), Body::Owners(owners));
            }
            Body::MembersWanted => out.send(from.clone(), Body::Members(self.members.known())),
            Body::Members(all) => self.members.told(now, &all, out),
            Body::Notify(version) => self.config.heard(version),
            Body::ContentWanted(known) => {
                if let Some(body) = self.config.wanted(known) {
                    out.send(from.clone(), body);
                }
            }
            Body::Content(sealed) => {
                let context = config_context(now, &self.members, out);
                self.config.received(from, sealed, &context, out);
            }
            Body::Pending(misses) => self.penalties.keep(sender, misses),
            Body::Lasting(misses) => self.penalties.lasting(&sender, &misses),
        }
    }

    /// Asks a peer for the owners or members it knows when both have differed for a while.
    ///
    /// A change is told to all and settles by itself within that time.
    fn compare(&mut self, now: Time, from: &InstanceName, digests: (u64, u64), out: &mut Out<'_>) {
        let (owners, members) = digests;
        let owners_differ = owners != self.ownership.table().digest();
        let members_differ = members != self.members.digest();
        if !owners_differ && !members_differ {
            self.differs.remove(from);
            return;
        }
        let since = *self.differs.entry(from.clone()).or_insert(now);
        if now.since(since) < DIFFERS_FOR || now < self.next_ask {
            return;
        }
        self.differs.clear();
        let crowd = (self.members.size() as u64).div_ceil(ASK_GROUP);
        self.next_ask = now + DIFFERS_FOR.times(crowd);
        if owners_differ {
            out.send(from.clone(), Body::OwnersWanted);
        }
        if members_differ {
            out.send(from.clone(), Body::MembersWanted);
        }
    }

    pub(super) fn answer(
        &mut self,
        now: Time,
        purpose: Purpose,
        response: Response,
        out: &mut Out<'_>,
    ) {
        match purpose {
            Purpose::Session(_) => {
                let change = self.session.handle(now, response, out);
                self.session_changed(now, change, out);
            }
            Purpose::Ownership(purpose) => {
                let steady = self.is_steady(now);
                let mut context = ownership_context(
                    now,
                    &mut self.members,
                    &self.session,
                    &self.journal,
                    (self.draining, steady),
                );
                if self.ownership.handle(purpose, response, &mut context, out) {
                    self.session.recheck(now, out);
                }
            }
            Purpose::Journal(purpose) => match self.journal.handle(purpose, response, out) {
                journal::Change::None => {}
                journal::Change::Durable(up_to) => out.emit(Command::Durable { up_to }),
                journal::Change::Doubt => self.session.recheck(now, out),
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

    fn session_changed(&mut self, now: Time, change: session::Change, out: &mut Out<'_>) {
        let name = self.session.name().clone();
        match change {
            session::Change::None => {}
            session::Change::Opened => {
                self.members.own().name = name.clone();
                self.ownership.open(now, &name);
                out.decide(Decision::Opened { session: name });
            }
            session::Change::Fenced => {
                self.ownership.close(out);
                out.emit(Command::Fenced { incarnation: name.incarnation });
                out.decide(Decision::Fenced { session: name });
            }
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Out<'_>) {
        self.retune(now, out);
        self.tick_store(now, out);
        self.tick_session(now, out);
        self.tick_members(now, out);
        let steady = self.is_steady(now);
        let mut context = ownership_context(
            now,
            &mut self.members,
            &self.session,
            &self.journal,
            (self.draining, steady),
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

    fn retune(&mut self, now: Time, out: &mut Out<'_>) {
        if now < self.next_retune {
            return;
        }
        self.next_retune = now + RETUNE_AFTER;
        let size = self.members.size();
        let writers = size.min(self.settings.ownership.writers);
        let budget = &self.settings.budget;
        out.retune(now, budget, writers, size);
        self.journal.retune(budget.share(writers, size).0);
    }

    fn tick_store(&mut self, now: Time, out: &mut Out<'_>) {
        let state = out.state(now);
        if state == self.store {
            return;
        }
        self.store = state;
        self.store_since = now;
        out.decide(Decision::Store { state });
        if state == State::Down {
            let sequences = self.journal.withdraw();
            if !sequences.is_empty() {
                self.ownership.redraw_snapshots();
                out.emit(Command::Withdrawn { sequences });
            }
        }
    }

    fn tick_session(&mut self, now: Time, out: &mut Out<'_>) {
        let lonely = self.members.misses_peers(now);
        let watchful = lonely || self.members.size() <= SESSION_POLL_GROUP;
        let due = self.session.age(now) >= SESSION_POLL && watchful;
        if due || !self.session.is_open() {
            self.session.recheck(now, out);
        }
    }

    fn tick_members(&mut self, now: Time, out: &mut Out<'_>) {
        let standing = self.standing(now);
        self.members.stand(standing);
        let own = self.members.own();
        own.version = self.config.version();
        own.owners = self.ownership.table().digest();
        self.members.tick(now, &mut self.rng, out);
    }

    /// Reports whether the store has been up for a while.
    fn is_steady(&self, now: Time) -> bool {
        self.store == State::Up && now.since(self.store_since) >= STORE_PATIENCE
    }

    fn standing(&self, now: Time) -> Standing {
        let cut_off = self.store == State::Down && now.since(self.store_since) >= STORE_PATIENCE;
        match (self.draining, self.session.is_open() && !cut_off) {
            (true, _) => Standing::Draining,
            (false, true) => Standing::Serving,
            (false, false) => Standing::Joining,
        }
    }

    fn tick_journal(&mut self, now: Time, out: &mut Out<'_>) {
        for (shard, sequence) in self.ownership.take_covered() {
            self.journal.cover(shard, sequence);
        }
        let limit = self.journal.settings().snapshot_bytes;
        self.ownership.want_snapshots(self.journal.coverage().above(limit));
        if let Some(guarded) = guarded(&self.session) {
            self.journal.tick(now, &guarded, out);
        }
    }

    pub(super) fn append(
        &mut self,
        shard: Shard,
        kind: Kind,
        bytes: Bytes,
        need: Need,
        store: State,
    ) -> Result<Sequence, Refused> {
        if !self.session.is_open() {
            return Err(Refused::NoSession);
        }
        let Some(epoch) = self.ownership.serving(shard) else {
            return Err(Refused::NotOwner(shard));
        };
        let record = Record { sequence: Sequence(0), shard, epoch, kind, bytes };
        self.journal.append(need, record, store)
    }

    pub(super) fn miss(&mut self, entry: Entry) -> Result<(), Full> {
        self.penalties.miss(entry)
    }

    pub(super) fn unsaved(&self) -> Misses {
        self.penalties.unsaved()
    }

    pub(super) fn place(&self, shard: Shard) -> Option<Place> {
        self.ownership.table().place(shard)
    }

    pub(super) fn serving(&self, shard: Shard) -> Option<Epoch> {
        self.ownership.serving(shard)
    }

    pub(super) fn held(&self) -> usize {
        self.ownership.held_count()
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
            standing: self.standing(now),
            version: self.config.version(),
            shards: count(&own.instance),
            silent: Span::ZERO,
        }];
        for (name, member) in self.members.members() {
            instances.push(StatusRow {
                instance: name.clone(),
                incarnation: member.incarnation,
                domain: member.domain.clone(),
                standing: member.standing,
                version: member.version,
                shards: count(name),
                silent: now.since(member.heard),
            });
        }
        instances.sort_by(|a, b| a.instance.cmp(&b.instance));
        Status {
            instances,
            version: self.config.version(),
            everywhere: self.config.everywhere(),
            store,
            usage,
            pending_penalties: self.penalties.pending(),
        }
    }
}

fn guarded(session: &session::Machine) -> Option<Guarded> {
    session.guard().map(|check| Guarded { session: session.name().clone(), check })
}

fn ownership_context<'a>(
    now: Time,
    members: &'a mut membership::Machine,
    session: &session::Machine,
    journal: &journal::Machine,
    (draining, steady): (bool, bool),
) -> ownership::Context<'a> {
    let guard = session.guard();
    let (last, settled) = (journal.last(), journal.settled());
    ownership::Context { now, members, guard, last, settled, draining, steady }
}

fn config_context<'a>(
    now: Time,
    members: &'a membership::Machine,
    out: &Out<'_>,
) -> config::Context<'a> {
    config::Context { now, members, store: out.state(now) }
}

fn penalties_context<'a>(
    now: Time,
    members: &'a membership::Machine,
    session: &session::Machine,
    out: &Out<'_>,
) -> penalties::Context<'a> {
    penalties::Context { now, members, guarded: guarded(session), store: out.state(now) }
}
