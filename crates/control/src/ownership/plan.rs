//! Selects the next step of the ownership state machine: scans, claims, handovers and
//! rebalancing.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Epoch, InstanceName};

use super::assignment::Candidates;
use super::machine::{Context, Intent, Machine, Op};
use super::takeover::Action;
use super::{Kind, Row, Shard, key};
use crate::agent::Outbox;
use crate::membership::{Evidence, MemberState};
use crate::session;
use crate::store::{Check, Expected, Transaction};

/// Group size up to which the configured scan interval applies; it scales with the size
/// of larger groups.
pub(super) const SCAN_GROUP: u64 = 9;
/// Time between two planning runs, per [`PLAN_GROUP`] instances.
const PLAN_INTERVAL: Span = Span::from_ms(100);
/// Group size up to which [`PLAN_INTERVAL`] applies.
const PLAN_GROUP: u64 = 100;
/// Maximum number of shards claimed by one transaction.
const MAX_CLAIMS_PER_WRITE: usize = 64;

/// Shards to claim, by the session that owns them, or by `None` if they have no owner.
type Claims = BTreeMap<Option<session::Name>, BTreeSet<Shard>>;

impl Machine {
    /// Starts the next step, unless a read or write of shard rows is in flight.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>, out: &mut Outbox<'_>) {
        self.resend(context.now, out);
        self.start_recoveries(out);
        let (Some(guard), Some(_)) = (context.guard.clone(), self.started) else { return };
        self.tick_snapshots(context, out);
        if !matches!(self.op, Op::Idle) {
            return;
        }
        if self.needs_scan || context.now >= self.next_scan {
            return self.start_scan(out);
        }
        if let Some(intent) = self.retry.take() {
            return self.write(intent, out);
        }
        if let Some(shard) = self.to_fetch.first().copied() {
            return self.start_fetch(shard, out);
        }
        if self.hand_over(&guard, context, out) || self.write_snapshot_pointers(&guard, out) {
            return;
        }
        if self.plan_due || context.now >= self.next_plan {
            self.plan(&guard, context, out);
        }
    }

    /// Claims shards that this instance should own, or else hands shards over to others.
    fn plan(&mut self, guard: &Check, context: &mut Context<'_>, out: &mut Outbox<'_>) {
        self.plan_due = false;
        let groups = (context.members.group_size() as u64).div_ceil(PLAN_GROUP);
        self.next_plan = context.now + PLAN_INTERVAL.saturating_mul(groups);
        let assignment_inputs = Some((context.members.revision(), context.draining));
        if self.assignment_inputs != assignment_inputs {
            self.assignment_inputs = assignment_inputs;
            let candidates = self.candidates(context);
            self.assignment.update(&self.settings, candidates);
        }
        let claims = self.claims(context);
        if !self.claim(claims, guard, context, out) {
            self.rebalance(context, out);
        }
    }

    /// Returns the earliest instant at which `tick` may have work, if any.
    pub(crate) fn next_wake(&self, now: Time) -> Option<Time> {
        self.started?;
        let resend = self.unacknowledged.values().map(|(_, due)| *due).min();
        if !matches!(self.op, Op::Idle) {
            return resend;
        }
        let takeover = self.takeovers.next_wake(now, &self.settings);
        [Some(self.next_scan), resend, takeover].into_iter().flatten().min()
    }

    /// Updates the state that depends on a full scan.
    pub(super) fn after_scan(&mut self, context: &mut Context<'_>) {
        self.cover_moved_shards(context.last);
        let owners: BTreeSet<session::Name> =
            self.rows.values().map(|entry| entry.row.owner.clone()).collect();
        let members = &*context.members;
        let now = context.now;
        let may_be_down = |session: &session::Name| {
            members.is_suspect(session) || members.lost_store(now, session)
        };
        self.takeovers.retain(|session| owners.contains(session) && may_be_down(session));
    }

    fn candidates(&self, context: &Context<'_>) -> Candidates {
        let serving = context
            .members
            .members()
            .iter()
            .filter(|(_, member)| member.state == MemberState::Serving)
            .map(|(name, member)| (name.clone(), member.domain.clone()));
        let mut candidates: Candidates = serving.collect();
        if !context.draining {
            candidates.insert(self.session.instance.clone(), context.members.domain().clone());
        }
        candidates
    }

    fn claims(&mut self, context: &mut Context<'_>) -> Claims {
        let mut claims = Claims::new();
        if context.draining {
            return claims;
        }
        let shards: Vec<Shard> = self.assignment.shards_of(&self.session.instance).collect();
        for shard in shards {
            let owner = self.rows.get(&shard).map(|entry| entry.row.owner.clone());
            if owner.as_ref() == Some(&self.session) {
                continue;
            }
            let reported = self.table.owner(shard).map_or(Epoch(0), |owner| owner.epoch);
            let read = self.rows.get(&shard).map_or(Epoch(0), |entry| entry.row.epoch);
            if reported > read {
                // A peer reported a newer owner than the last scan found. Only the row counts, so
                // it is read again if the reported owner may be down.
                let session = self.table.owner(shard).map(|owner| owner.session.clone());
                self.needs_scan |= session.is_some_and(|session| context.may_be_down(&session));
                continue;
            }
            if self.may_claim(shard, owner.as_ref(), context) {
                claims.entry(owner).or_default().insert(shard);
            }
        }
        claims
    }

    /// Returns whether the takeover rule of the shard's kind allows this instance to
    /// claim it.
    fn may_claim(
        &self,
        shard: Shard,
        owner: Option<&session::Name>,
        context: &Context<'_>,
    ) -> bool {
        let startup_over =
            self.started.is_some_and(|at| context.now.since(at) >= self.settings.startup_delay);
        let Some(owner) = owner else { return startup_over };
        if owner.instance == self.session.instance {
            return true;
        }
        match (context.members.evidence(owner), shard.kind) {
            // Calls with an idempotency key cannot run while the shard has no owner, and
            // moving the shard is cheap. Thus there is no wait for a restart.
            (Some(evidence), Kind::Keys) if evidence != Evidence::NewerIncarnation => startup_over,
            (Some(evidence), _) => startup_over && self.restart_wait_over(owner, evidence, context),
            (None, Kind::Slots) => false,
            (None, Kind::Keys | Kind::Cell) => {
                startup_over && context.store_stable && context.may_be_down(owner)
            }
        }
    }

    /// Returns whether an owner that is gone has had enough time to restart.
    fn restart_wait_over(
        &self,
        owner: &session::Name,
        evidence: Evidence,
        context: &Context<'_>,
    ) -> bool {
        let member = context.members.members().get(&owner.instance);
        let since = member.map_or(Time::ZERO, |member| member.state_since);
        let restarted = evidence == Evidence::NewerIncarnation;
        let wait = if restarted {
            self.settings.restart_wait.saturating_mul(2)
        } else {
            self.settings.restart_wait
        };
        context.now.since(since) >= wait
    }

    /// Claims the shards of one owner and reports whether a request was sent.
    fn claim(
        &mut self,
        claims: Claims,
        guard: &Check,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) -> bool {
        for (owner, shards) in claims {
            let fence = match &owner {
                None => None,
                Some(owner) if owner.instance == self.session.instance => None,
                Some(owner) => match self.takeovers.next_action(context.now, owner, &self.settings)
                {
                    Action::Wait => continue,
                    Action::ReadRow => {
                        self.read_session_row(owner, out);
                        return true;
                    }
                    Action::Take(fence) => fence,
                },
            };
            if let (Some(owner), Some(_)) = (&owner, &fence) {
                self.takeovers.restart(owner);
            }
            let intent = self.claim_intent(owner.as_ref(), shards, fence, guard);
            self.write(intent, out);
            return true;
        }
        false
    }

    fn claim_intent(
        &self,
        owner: Option<&session::Name>,
        shards: BTreeSet<Shard>,
        fence: Option<(session::Row, crate::store::RowVersion)>,
        guard: &Check,
    ) -> Intent {
        let mut transaction = Transaction::default().check(guard.key.clone(), guard.expected);
        if let (Some(owner), Some((row, version))) = (owner, fence) {
            let fenced = session::Row { fenced_by: Some(self.session.instance.clone()), ..row };
            let target = session::key(&owner.instance);
            transaction = transaction
                .check(target.clone(), Expected::At(version))
                .put(target, fenced.encode());
        }
        let mut rows = Vec::new();
        for shard in shards.into_iter().take(MAX_CLAIMS_PER_WRITE) {
            let before = self.rows.get(&shard);
            let expected = before.map_or(Expected::Absent, |entry| Expected::At(entry.version));
            let row = self.claimed_row(shard, before.map(|entry| &entry.row));
            transaction = transaction.check(key(shard), expected).put(key(shard), row.encode());
            rows.push((shard, row));
        }
        Intent { transaction, rows }
    }

    fn claimed_row(&self, shard: Shard, before: Option<&Row>) -> Row {
        let journaled = shard.kind.is_journaled();
        let unowned = Row {
            owner: self.session.clone(),
            epoch: Epoch(0),
            snapshot: None,
            journals: Vec::new(),
        };
        before.unwrap_or(&unowned).with_owner(self.session.clone(), journaled)
    }

    /// Releases shards to instances that have been their preferred owners for long
    /// enough.
    fn rebalance(&mut self, context: &Context<'_>, out: &mut Outbox<'_>) {
        let now = context.now;
        let leaving = self.owned.values().filter(|owned| owned.is_moving()).count();
        let mut remaining = self.settings.max_concurrent_moves.saturating_sub(leaving);
        let mut preferred: BTreeMap<Shard, (InstanceName, Time)> = BTreeMap::new();
        let mut moves = Vec::new();
        for shard in self.serving_shards() {
            let chosen = self.assignment.owner(shard);
            let Some(to) = chosen.filter(|to| **to != self.session.instance) else { continue };
            let known = self.preferred.get(&shard).filter(|(name, _)| name == to);
            let since = known.map_or(now, |(_, since)| *since);
            let stable = now.since(since) >= self.settings.stable_after;
            if remaining > 0 && (stable || context.draining) {
                remaining -= 1;
                moves.push((shard, to.clone()));
            }
            preferred.insert(shard, (to.clone(), since));
        }
        self.preferred = preferred;
        self.release(moves, out);
    }

    fn start_fetch(&mut self, shard: Shard, out: &mut Outbox<'_>) {
        self.op = Op::Reading;
        let request = crate::store::Request::Row { key: key(shard) };
        let purpose = super::Purpose::Fetch(shard);
        out.store(crate::store::Priority::Ownership, purpose, request);
    }
}
