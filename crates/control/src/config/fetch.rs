//! Fetches the latest version from the store, or from a peer while the store is down.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{InstanceName, Version};

use super::machine::{Context, Machine, Purpose};
use super::{CURRENT, Content, Row};
use crate::agent::{Body, Decision, Outbox};
use crate::codec::{Error, checksum};
use crate::membership::MemberState;
use crate::store::{Key, Priority, Request, Response, State};

/// Time between two requests to peers.
const PEER_REQUEST_INTERVAL: Span = Span::from_ms(500);
const MS_PER_SECOND: f64 = 1_000.0;

impl Machine {
    pub(super) fn tick_fetch(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        let now = context.now;
        if context.store == State::Down {
            return self.request_from_peer(context, out);
        }
        let behind = self.latest > self.version() && now >= self.next_fetch;
        if !self.fetching && (behind || now >= self.next_poll) {
            self.poll(context, out);
        }
    }

    fn poll(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        self.fetching = true;
        self.next_poll = context.now + self.poll_interval(context);
        let request = Request::Row { key: Key::new(CURRENT) };
        out.store(Priority::Config, Purpose::PollRow, request);
    }

    pub(super) fn handle_poll(
        &mut self,
        response: Response,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        self.fetching = false;
        let Response::Row(Some(found)) = response else { return };
        let row = match Row::decode(&found.value) {
            Ok(row) => row,
            Err(error) => {
                self.next_fetch = context.now + self.settings.poll_interval;
                return out.log(Decision::Corrupt { key: found.key, error });
            }
        };
        self.observe_version(row.version());
        let version = row.version();
        let object = row.object(version).cloned();
        self.row = row;
        if let Some(key) = object.filter(|_| version > self.version()) {
            self.fetching = true;
            out.store(Priority::Config, Purpose::FetchObject(version), Request::GetObject { key });
        }
    }

    pub(super) fn handle_object(
        &mut self,
        version: Version,
        response: Response,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        self.fetching = false;
        let Response::Object(object) = response else { return };
        if self.row.version() != version {
            return;
        }
        let key = self.row.object(version).cloned().unwrap_or_default();
        let Some(bytes) = object else {
            let error = Error::Missing { key: key.to_string() };
            return self.report_damage(key, error, context, out);
        };
        self.charge_fetch(context.now, bytes.len());
        let found = checksum(&bytes);
        if found != self.row.checksum {
            let error = Error::Checksum { found, expected: self.row.checksum };
            return self.report_damage(key, error, context, out);
        }
        match Content::decode(&bytes) {
            Ok(content) => self.put_in_force(content, bytes, context, out),
            Err(error) => self.report_damage(key, error, context, out),
        }
    }

    fn report_damage(
        &mut self,
        key: Key,
        error: Error,
        context: &Context<'_>,
        out: &mut Outbox<'_>,
    ) {
        self.next_fetch = context.now + self.settings.poll_interval;
        out.log(Decision::Corrupt { key, error });
    }

    /// Subtracts fetched bytes from the fetch budget and delays the next fetch if the
    /// budget is exceeded.
    fn charge_fetch(&mut self, now: Time, bytes: usize) {
        let rate = self.settings.fetch_rate.max(1) as f64;
        let elapsed = now.since(self.refilled_at).as_ms_f64() / MS_PER_SECOND;
        let burst = self.settings.fetch_burst as f64;
        self.refilled_at = now;
        self.fetch_tokens = (self.fetch_tokens + elapsed * rate).min(burst) - bytes as f64;
        if self.fetch_tokens < 0.0 {
            let wait = Span::from_ms_f64(-self.fetch_tokens / rate * MS_PER_SECOND);
            self.next_fetch = now + wait.min(self.settings.fetch_limit);
        }
    }

    /// Requests the content from the peer with the latest known version while the store
    /// is down.
    ///
    /// Sends nothing if this instance has a version and knows of no later one.
    fn request_from_peer(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        let starting = self.version() == Version::default();
        if context.now < self.next_peer_request || !(starting || self.latest > self.version()) {
            return;
        }
        self.next_peer_request = context.now + PEER_REQUEST_INTERVAL;
        let members = context.members.members().iter();
        let runs = members.filter(|(_, member)| member.state != MemberState::Gone);
        let newest =
            runs.max_by_key(|(_, member)| (member.last_contact > Time::ZERO, member.version));
        let Some((peer, _)) = newest else { return };
        let to: InstanceName = peer.clone();
        out.send(to, Body::ConfigRequest(self.version()));
    }
}
