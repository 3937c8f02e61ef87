//! What is in force here, and what is known of newer versions.

use std::collections::BTreeMap;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{InstanceName, Version};

use super::acceptance::Acceptance;
use super::{ApplyId, Content, InForce, Outcome, Row, Settings, Spread};
use crate::agent::{Body, Command, Decision, Out};
use crate::membership;
use crate::store::{Key, Response, State};

/// Instances for which the interval between polls is stated.
const POLL_GROUP: u64 = 9;

/// What a request of the configuration was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Poll,
    Object(Version),
    Look(ApplyId),
    Put(ApplyId),
    Accept(ApplyId),
    Seen(ApplyId),
    Current(ApplyId),
    Forget,
}

/// What the rest of the instance tells the configuration.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) members: &'a membership::Machine,
    pub(crate) store: State,
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    pub(super) content: Option<Content>,
    pub(super) sealed: Bytes,
    /// Newest version that was heard of.
    pub(super) latest: Version,
    pub(super) fetching: bool,
    store: State,
    pub(super) next_poll: Time,
    pub(super) next_fetch: Time,
    pub(super) next_ask: Time,
    pub(super) fetch_tokens: f64,
    pub(super) filled: Time,
    /// Row as read last.
    pub(super) row: Row,
    pub(super) applies: BTreeMap<ApplyId, Acceptance>,
    since: Time,
    everywhere: Option<Span>,
}

impl Machine {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            fetch_tokens: settings.fetch_burst as f64,
            settings,
            content: None,
            sealed: Bytes::new(),
            latest: Version::default(),
            fetching: false,
            store: State::Up,
            next_poll: Time::ZERO,
            next_fetch: Time::ZERO,
            next_ask: Time::ZERO,
            filled: Time::ZERO,
            row: Row::default(),
            applies: BTreeMap::new(),
            since: Time::ZERO,
            everywhere: None,
        }
    }

    /// Returns the version in force here, zero before the first.
    pub(crate) fn version(&self) -> Version {
        self.content.as_ref().map(|content| content.version).unwrap_or_default()
    }

    /// Returns how long the version in force took to be in force everywhere.
    pub(crate) const fn everywhere(&self) -> Option<Span> {
        self.everywhere
    }

    pub(crate) fn tick(&mut self, context: &Context<'_>, out: &mut Out<'_>) {
        self.store = context.store;
        self.tick_applies(context.now, out);
        self.tick_fetch(context, out);
        self.check_everywhere(context);
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let applies = self.applies.values().map(|apply| apply.deadline).min();
        let behind = self.latest > self.version();
        let starting = self.version() == Version::default();
        let next = match (self.store, self.fetching) {
            (State::Down, _) => (behind || starting).then_some(self.next_ask),
            (State::Up, true) => None,
            (State::Up, false) if behind => Some(self.next_fetch.min(self.next_poll)),
            (State::Up, false) => Some(self.next_poll),
        };
        [applies, next].into_iter().flatten().min()
    }

    pub(crate) fn handle(
        &mut self,
        purpose: Purpose,
        response: Response,
        context: &Context<'_>,
        out: &mut Out<'_>,
    ) {
        match purpose {
            Purpose::Poll => self.polled(response, context, out),
            Purpose::Object(version) => self.fetched(version, response, context, out),
            Purpose::Forget => {}
            Purpose::Look(id)
            | Purpose::Put(id)
            | Purpose::Accept(id)
            | Purpose::Seen(id)
            | Purpose::Current(id) => self.answer(id, &purpose, response, context, out),
        }
    }

    /// Takes word of a version from a peer.
    pub(crate) fn heard(&mut self, version: Version) {
        self.latest = self.latest.max(version);
    }

    /// Returns what to answer to a peer that wants a version above `known`.
    pub(crate) fn wanted(&self, known: Version) -> Option<Body> {
        (self.version() > known).then(|| Body::Content(self.sealed.clone()))
    }

    /// Takes a version from a peer, which holds only accepted ones.
    pub(crate) fn received(
        &mut self,
        from: &InstanceName,
        sealed: Bytes,
        context: &Context<'_>,
        out: &mut Out<'_>,
    ) {
        match Content::decode(&sealed) {
            Ok(content) => self.enforce(content, sealed, context, out),
            Err(error) => {
                out.decide(Decision::Corrupt { key: Key::new(format!("peer {from}")), error });
            }
        }
    }

    /// Puts a version in force, if it is above the one in force.
    pub(super) fn enforce(
        &mut self,
        content: Content,
        sealed: Bytes,
        context: &Context<'_>,
        out: &mut Out<'_>,
    ) {
        if content.version <= self.version() {
            return;
        }
        self.latest = self.latest.max(content.version);
        self.since = context.now;
        self.everywhere = None;
        out.emit(Command::ConfigInForce(InForce {
            version: content.version,
            author: content.author.clone(),
            bytes: content.bytes.clone(),
        }));
        out.decide(Decision::InForce { version: content.version });
        let version = content.version;
        self.content = Some(content);
        self.sealed = sealed;
        self.spread(version, context, out);
    }

    /// Passes a version on the first time that it is in force here.
    fn spread(&self, version: Version, context: &Context<'_>, out: &mut Out<'_>) {
        let body = match self.settings.spread {
            Spread::Poll => return,
            Spread::Push => Body::Content(self.sealed.clone()),
            Spread::Notify => Body::Notify(version),
        };
        for peer in context.members.watched() {
            let behind = |member: &membership::Member| member.version < version;
            if context.members.members().get(peer).is_some_and(behind) {
                out.send(peer.clone(), body.clone());
            }
        }
    }

    pub(super) fn finish(&mut self, id: ApplyId, outcome: Outcome, out: &mut Out<'_>) {
        self.applies.remove(&id);
        out.decide(Decision::Applied { id, outcome: outcome.clone() });
        out.emit(Command::Applied { id, outcome });
    }

    pub(super) fn poll_interval(&self, context: &Context<'_>) -> Span {
        let crowd = (context.members.size() as u64).div_ceil(POLL_GROUP);
        self.settings.poll_interval.times(crowd)
    }

    fn check_everywhere(&mut self, context: &Context<'_>) {
        let version = self.version();
        if self.everywhere.is_some() || version == Version::default() {
            return;
        }
        let runs = |member: &&membership::Member| {
            !matches!(member.standing, membership::Standing::Gone | membership::Standing::Suspect)
        };
        let mut members = context.members.members().values().filter(runs);
        if members.all(|member| member.version >= version) {
            self.everywhere = Some(context.now.since(self.since));
        }
    }
}
