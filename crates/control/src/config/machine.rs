//! Configuration state machine: the version in force on this instance and the latest
//! known version.

use std::collections::BTreeMap;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{InstanceName, Version};

use super::acceptance::Acceptance;
use super::{ActiveConfig, ApplyId, Content, Outcome, Row, Settings, Spread};
use crate::agent::{Body, Command, Decision, Outbox};
use crate::membership;
use crate::store::{Key, Response, State};

/// Group size up to which the configured poll interval applies; it scales with the size
/// of larger groups.
const POLL_GROUP: u64 = 9;

/// Purpose of a store request of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    PollRow,
    FetchObject(Version),
    ReadRow(ApplyId),
    PutObject(ApplyId),
    WriteRow(ApplyId),
    ReadBase(ApplyId),
    ReadCurrent(ApplyId),
    Delete,
}

/// State of the other state machines that the configuration depends on.
pub(crate) struct Context<'a> {
    pub(crate) now: Time,
    pub(crate) members: &'a membership::Machine,
    pub(crate) store: State,
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    pub(super) content: Option<Content>,
    pub(super) encoded: Bytes,
    /// Latest version known to exist.
    pub(super) latest: Version,
    pub(super) fetching: bool,
    store: State,
    pub(super) next_poll: Time,
    pub(super) next_fetch: Time,
    pub(super) next_peer_request: Time,
    pub(super) fetch_tokens: f64,
    pub(super) refilled_at: Time,
    /// Row as last read from the table.
    pub(super) row: Row,
    pub(super) applies: BTreeMap<ApplyId, Acceptance>,
    in_force_since: Time,
    spread_time: Option<Span>,
}

impl Machine {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            fetch_tokens: settings.fetch_burst as f64,
            settings,
            content: None,
            encoded: Bytes::new(),
            latest: Version::default(),
            fetching: false,
            store: State::Up,
            next_poll: Time::ZERO,
            next_fetch: Time::ZERO,
            next_peer_request: Time::ZERO,
            refilled_at: Time::ZERO,
            row: Row::default(),
            applies: BTreeMap::new(),
            in_force_since: Time::ZERO,
            spread_time: None,
        }
    }

    /// Returns the version in force on this instance, or zero if there is none.
    pub(crate) fn version(&self) -> Version {
        self.content.as_ref().map(|content| content.version).unwrap_or_default()
    }

    /// Returns the time from putting the current version in force on this instance until
    /// it was in force on all running members.
    pub(crate) const fn spread_time(&self) -> Option<Span> {
        self.spread_time
    }

    pub(crate) fn tick(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        self.store = context.store;
        self.tick_applies(context.now, out);
        self.tick_fetch(context, out);
        self.update_spread_time(context);
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let applies = self.applies.values().map(|acceptance| acceptance.deadline).min();
        let behind = self.latest > self.version();
        let starting = self.version() == Version::default();
        let next = match (self.store, self.fetching) {
            (State::Down, _) => (behind || starting).then_some(self.next_peer_request),
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
        out: &mut Outbox<'_>,
    ) {
        match purpose {
            Purpose::PollRow => self.handle_poll(response, context, out),
            Purpose::FetchObject(version) => self.handle_object(version, response, context, out),
            Purpose::Delete => {}
            Purpose::ReadRow(id)
            | Purpose::PutObject(id)
            | Purpose::WriteRow(id)
            | Purpose::ReadBase(id)
            | Purpose::ReadCurrent(id) => self.handle_apply(id, &purpose, response, context, out),
        }
    }

    /// Records that a version exists.
    pub(crate) fn observe_version(&mut self, version: Version) {
        self.latest = self.latest.max(version);
    }

    /// Returns the response to a peer that requests a version above `known`, if there is
    /// one.
    pub(crate) fn content_above(&self, known: Version) -> Option<Body> {
        (self.version() > known).then(|| Body::Config(self.encoded.clone()))
    }

    /// Processes the content of a version received from a peer.
    ///
    /// Peers only send accepted versions.
    pub(crate) fn handle_content(
        &mut self,
        from: &InstanceName,
        encoded: Bytes,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        match Content::decode(&encoded) {
            Ok(content) => self.put_in_force(content, encoded, context, out),
            Err(error) => {
                out.log(Decision::Corrupt { key: Key::new(format!("peer {from}")), error });
            }
        }
    }

    /// Puts a version in force if it is above the current one.
    pub(super) fn put_in_force(
        &mut self,
        content: Content,
        encoded: Bytes,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        if content.version <= self.version() {
            return;
        }
        self.latest = self.latest.max(content.version);
        self.in_force_since = context.now;
        self.spread_time = None;
        out.emit(Command::ActivateConfig(ActiveConfig {
            version: content.version,
            author: content.author.clone(),
            bytes: content.bytes.clone(),
        }));
        out.log(Decision::InForce { version: content.version });
        let version = content.version;
        self.content = Some(content);
        self.encoded = encoded;
        self.announce(version, context, out);
    }

    /// Announces a version to the watched peers that do not have it.
    fn announce(&self, version: Version, context: &Context<'_>, out: &mut Outbox<'_>) {
        let body = match self.settings.spread {
            Spread::Poll => return,
            Spread::Push => Body::Config(self.encoded.clone()),
            Spread::Notify => Body::ConfigVersion(version),
        };
        for peer in context.members.watched_peers() {
            let behind = |member: &membership::Member| member.version < version;
            if context.members.members().get(peer).is_some_and(behind) {
                out.send(peer.clone(), body.clone());
            }
        }
    }

    pub(super) fn finish(&mut self, id: ApplyId, outcome: Outcome, out: &mut Outbox<'_>) {
        self.applies.remove(&id);
        out.log(Decision::Applied { id, outcome: outcome.clone() });
        out.emit(Command::ApplyFinished { id, outcome });
    }

    pub(super) fn poll_interval(&self, context: &Context<'_>) -> Span {
        let groups = (context.members.group_size() as u64).div_ceil(POLL_GROUP);
        self.settings.poll_interval.saturating_mul(groups)
    }

    fn update_spread_time(&mut self, context: &Context<'_>) {
        let version = self.version();
        if self.spread_time.is_some() || version == Version::default() {
            return;
        }
        let runs = |member: &&membership::Member| {
            !matches!(
                member.state,
                membership::MemberState::Gone | membership::MemberState::Suspect
            )
        };
        let mut members = context.members.members().values().filter(runs);
        if members.all(|member| member.version >= version) {
            self.spread_time = Some(context.now.since(self.in_force_since));
        }
    }
}
