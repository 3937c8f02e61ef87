//! Claims shards, drives the owned ones and releases them.

mod commit;
mod evacuations;
mod execute;
mod lease_row;
mod load;
mod logging;
mod owner;
mod recovery;
mod writes;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use stakker::CX;
use sycamorerill_core::clock::Time;
use sycamorerill_core::data;
use sycamorerill_jobs::admission;
use sycamorerill_jobs::config::Config;
use sycamorerill_jobs::evacuation::{self, Evacuations};
use sycamorerill_jobs::id::{InstanceName, ShardId};
use sycamorerill_jobs::overload::TickMonitor;
use sycamorerill_jobs::ownership::{self, Action, Claim, Load, Ownership};
use sycamorerill_jobs::shard::{self, Event};

use self::commit::Committed;
use self::owner::Owner;
use self::recovery::Recovered;
use crate::frontend::decode;
use crate::instance::{Context, Status};
use crate::layout::{self, Layout};
use crate::lines::{self, Loss};
use crate::log::{Code, Line};
use crate::metrics::Hop;
use crate::platform::{Platform, Row, Table, Version};
use crate::watch::{Subscription, Update};
use crate::{clock, instance};

pub(crate) use self::evacuations::changes as evacuation_changes;
pub(crate) use self::recovery::agree_on_layout;

data! {
    /// Settings of the [`Manager`].
    #[derive(Copy, Default)]
    pub struct Settings {
        /// Settings for claiming shards and renewing the claims.
        pub ownership: ownership::Settings,
        /// Settings of each owned shard.
        pub shard: shard::Settings,
        /// Settings for refusing submitted jobs.
        pub admission: admission::Settings,
    }
}

/// Delay in which updates of claims accumulate: half of the time between renewals.
const CLAIMS_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Delay in which updates of job states accumulate.
///
/// A count of waiting jobs may be 2 s old, and a state that is not final is read from the
/// store again on each query.
const STATES_BATCH_DELAY: Duration = Duration::from_millis(1_000);

/// A message to the [`Manager`] actor.
pub(crate) enum Message {
    Configured(Arc<Config>),
    Evacuations(evacuation::Update),
    /// The layout, and whether the store was unavailable before it was read.
    LayoutAgreed(Layout, bool),
    Claims(Update),
    Claimed(ShardId, Time, Result<(Claim, Version), Option<Row>>),
    ClaimRead(ShardId, Option<Row>),
    Recovered(ShardId, u64, Box<Recovered>),
    Rows(ShardId, u64, Table, Update),
    Committed(ShardId, u64, Committed),
    Released(ShardId, u64),
    Event(ShardId, u64, Box<Event>),
    Tick,
    Drain,
}

/// The state of one shard at this instance, whether owned or not.
struct ShardState<P: Platform> {
    ownership: Ownership,
    version: Version,
    owner: Option<Owner<P>>,
    /// Epoch of the latest claim that this process sent, and when it first sent it.
    sent_claim: (u64, Time),
    /// Epoch of the latest ownership by this process; 0 before the first.
    started_epoch: u64,
}

impl<P: Platform> ShardState<P> {
    /// Returns whether ownership may start with a claim that this instance has written.
    ///
    /// No claim with a later epoch may be known. The update of the watch with the claim may arrive
    /// before the answer to its transaction. An epoch is used for one ownership only, since the
    /// orders of an earlier one are fenced by their lower epoch.
    fn may_start(&self, claim: &Claim) -> bool {
        let latest = self.ownership.claim().is_none_or(|seen| seen.epoch <= claim.epoch);
        latest && self.owner.is_none() && claim.epoch > self.started_epoch
    }

    /// Ends the ownership of the shard if this instance owns it.
    fn drop_owner(&mut self, now: Time, shard: ShardId, why: &Loss) {
        if let Some(owner) = self.owner.take() {
            let unconfirmed = now.since(self.ownership.last_confirmed());
            lines::lost(shard, owner.epoch(), unconfirmed, why).write();
        }
    }
}

/// The actor that claims, drives and releases shards.
pub(crate) struct Manager<P: Platform> {
    context: Context<P>,
    name: InstanceName,
    settings: Settings,
    status: Rc<Status>,
    started_ms: u64,
    config: Option<Arc<Config>>,
    /// Evacuated failure domains; the last known ones while the store is away.
    evacuations: Evacuations,
    layout: Option<Layout>,
    shards: BTreeMap<ShardId, ShardState<P>>,
    draining: bool,
    /// Detects late ticks; set while this instance owns a shard.
    tick_monitor: Option<TickMonitor>,
    /// Time of the next log line on how well this instance keeps up.
    next_load_log: Time,
}

impl<P: Platform> Manager<P> {
    pub(crate) fn start(
        _cx: CX![],
        context: Context<P>,
        name: InstanceName,
        settings: Settings,
        status: Rc<Status>,
    ) -> Option<Self> {
        Some(Self {
            context,
            name,
            settings,
            status,
            started_ms: clock::wall_ms(),
            config: None,
            evacuations: Evacuations::default(),
            layout: None,
            shards: BTreeMap::new(),
            draining: false,
            tick_monitor: None,
            next_load_log: Time::ZERO,
        })
    }

    /// Handles one message; decisions that depend on it are made in the next turn.
    pub(crate) fn handle(&mut self, _cx: CX![], message: Message) {
        let now = clock::now();
        match message {
            Message::Configured(config) => self.configure(now, config),
            Message::Evacuations(update) => self.evacuate(now, update),
            Message::LayoutAgreed(layout, after_outage) => {
                self.set_layout(now, layout, after_outage);
            }
            Message::Claims(update) => self.update_claims(now, update),
            Message::Claimed(shard, sent, outcome) => self.finish_claim(now, shard, sent, outcome),
            Message::ClaimRead(shard, row) => self.observe(now, shard, row.as_ref()),
            Message::Recovered(shard, epoch, mut recovered) => {
                self.evacuate(now, std::mem::take(&mut recovered.evacuations));
                if let Some(owner) = self.owner(shard, epoch) {
                    owner.restore(now, *recovered);
                }
            }
            Message::Rows(shard, epoch, table, update) => {
                if let Some(owner) = self.owner(shard, epoch) {
                    owner.apply_update(now, table, update);
                }
            }
            Message::Committed(shard, epoch, committed) => {
                self.finish_commit(now, shard, epoch, committed);
            }
            Message::Released(shard, epoch) => self.finish_release(now, shard, epoch),
            Message::Event(shard, epoch, event) => {
                if let Some(owner) = self.owner(shard, epoch) {
                    owner.handle_event(now, *event);
                }
            }
            Message::Tick => self.tick(now),
            Message::Drain => self.draining = true,
        }
    }

    /// Decides on the next action for each shard and updates the published status.
    pub(crate) fn turn(&mut self, _cx: CX![], now: Time) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.turn_shard(now, shard);
        }
        self.status.owned_shards.set(self.owned_count());
        self.context.metrics.set_owned_shards(self.owned_count());
    }

    fn owned_count(&self) -> usize {
        self.shards.values().filter(|state| state.owner.is_some()).count()
    }

    fn turn_shard(&mut self, now: Time, shard: ShardId) {
        let owned_shards = self.owned_count() as u32;
        let shortage = self.shortage(now);
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if self.draining {
            let claim = state.ownership.released_claim();
            self.release(shard, claim);
            return;
        }
        if let Some(claim) = state.owner.as_ref().and_then(|owner| owner.yielded_claim.clone()) {
            self.release(shard, claim);
            return;
        }
        state.ownership.set_store_latency(self.context.platform.store_latency());
        let executors_per_shard = self.layout.map_or(0, |layout| layout.executors_per_shard);
        match state.ownership.next_action(now, Load { owned_shards, executors_per_shard }) {
            Action::Wait => {}
            Action::ReadClaim => self.read_claim(shard),
            Action::Claim if self.config.is_some() => self.claim(now, shard),
            Action::Claim => {}
            Action::Renew => {
                if let Some(owner) = &mut state.owner {
                    owner.renew_due = true;
                }
            }
        }
        if let Some(state) = self.shards.get_mut(&shard)
            && let Some(owner) = &mut state.owner
        {
            owner.turn(now, &state.ownership, shortage);
            if owner.is_superseded() {
                let why = Loss::Refused(owner.superseded_by().cloned());
                state.drop_owner(now, shard, &why);
            }
        }
        self.yield_if_overloaded(now, shard);
    }

    /// Reads the claim on a shard for which no renewal was received in time.
    fn read_claim(&mut self, shard: ShardId) {
        let context = self.context.clone();
        self.context.spawner.spawn(async move {
            // A failed read is repeated by a later turn.
            if let Ok(row) = commit::read_claim(&context, shard).await {
                context.send(instance::Message::Manager(Message::ClaimRead(shard, row)));
            }
        });
    }

    fn claim(&mut self, now: Time, shard: ShardId) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let claim = state.ownership.next_claim();
        let version = state.version;
        if state.sent_claim.0 != claim.epoch {
            state.sent_claim = (claim.epoch, now);
        }
        let context = self.context.clone();
        self.context.spawner.spawn(async move {
            let outcome = commit::write_claim(&context, shard, claim, version).await;
            let message = Message::Claimed(shard, now, outcome);
            context.send(instance::Message::Manager(message));
        });
    }

    fn finish_claim(
        &mut self,
        now: Time,
        shard: ShardId,
        sent: Time,
        outcome: Result<(Claim, Version), Option<Row>>,
    ) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        match outcome {
            Ok((claim, version)) if state.may_start(&claim) => {
                self.start_owner(shard, sent, claim, version);
            }
            Ok(_) | Err(None) => {}
            Err(Some(row)) => self.observe(now, shard, Some(&row)),
        }
    }

    /// Begins the ownership of a shard under a claim that was sent at `sent` and is stored with
    /// `version`.
    fn start_owner(&mut self, shard: ShardId, sent: Time, claim: Claim, version: Version) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let epoch = claim.epoch;
        Line::new(Code::Gained).text("shard", shard).number("epoch", epoch).write();
        state.ownership.record_renewal(sent, claim);
        state.version = version;
        state.started_epoch = epoch;
        let (Some(config), Some(layout)) = (&self.config, self.layout) else {
            return;
        };
        let settings =
            shard::Settings { tasks_per_record: layout.tasks_per_record, ..self.settings.shard };
        let mut owner = Owner::start(
            self.context.clone(),
            owner::OwnedShard {
                shard,
                epoch,
                layout,
                claim_version: version,
                predecessor_grace: settings.predecessor_grace,
            },
            settings,
            Arc::clone(config),
        );
        let domains = self.evacuations.domains().clone();
        owner.handle_event(clock::now(), Event::Evacuated(domains));
        state.owner = Some(owner);
    }

    fn owner(&mut self, shard: ShardId, epoch: u64) -> Option<&mut Owner<P>> {
        let owner = self.shards.get_mut(&shard)?.owner.as_mut()?;
        (owner.epoch() == epoch).then_some(owner)
    }

    fn finish_commit(&mut self, now: Time, shard: ShardId, epoch: u64, committed: Committed) {
        if let Committed::Done { sent, .. } = &committed {
            self.context.metrics.observe_hop(Hop::Recorded, now.since(*sent));
        }
        let Some(owner) = self.owner(shard, epoch) else {
            return;
        };
        match committed {
            Committed::Done { sent, confirmed, sequence, claim } => {
                owner.committed(now, sequence);
                let renewed = owner.renewed(claim);
                let Some(state) = self.shards.get_mut(&shard) else {
                    return;
                };
                if let Some((claim, version)) = renewed {
                    state.version = version;
                    state.ownership.record_renewal(sent, claim);
                }
                state.ownership.record_write(confirmed);
            }
            Committed::Rejected(error) => owner.rejected(now, &error),
            Committed::Lost(row) => self.observe(now, shard, row.as_ref()),
        }
    }

    fn configure(&mut self, now: Time, config: Arc<Config>) {
        for state in self.shards.values_mut() {
            if let Some(owner) = &mut state.owner {
                owner.handle_event(now, Event::Configured(Arc::clone(&config)));
            }
        }
        self.config = Some(config);
    }

    fn set_layout(&mut self, now: Time, layout: Layout, after_outage: bool) {
        if self.layout.is_some() {
            return;
        }
        self.layout = Some(layout);
        let message = crate::frontend::Message::LayoutAgreed(layout);
        self.context.send(instance::Message::Frontend(message));
        for shard in layout.shards() {
            let spread_fraction = fastrand::f64();
            let mut ownership = Ownership::new(
                self.settings.ownership,
                self.name.clone(),
                self.started_ms,
                spread_fraction,
            );
            if after_outage {
                ownership.record_outage(now);
            }
            let state = ShardState {
                ownership,
                version: Version(0),
                owner: None,
                sent_claim: (0, Time::ZERO),
                started_epoch: 0,
            };
            self.shards.insert(shard, state);
        }
        let claims = subscription(layout, Table::Claims, CLAIMS_BATCH_DELAY);
        let claims = self
            .context
            .watch(claims, |update| instance::Message::Manager(Message::Claims(update)));
        claims.detach();
        let states = subscription(layout, Table::States, STATES_BATCH_DELAY);
        let states = self.context.watch(states, |update| {
            instance::Message::Frontend(crate::frontend::Message::States(update))
        });
        states.detach();
    }

    fn update_claims(&mut self, now: Time, update: Update) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        match update {
            Update::Unavailable => {
                for state in self.shards.values_mut() {
                    state.ownership.record_outage(now);
                }
            }
            Update::Snapshot(rows) => {
                for shard in shards {
                    let row = rows.iter().find(|row| is_claim(row, shard));
                    self.observe(now, shard, row);
                }
            }
            Update::Changed(rows) => {
                for state in self.shards.values_mut() {
                    state.ownership.record_response(now);
                }
                for row in rows {
                    let shard = shards.iter().find(|shard| is_claim(&row, **shard));
                    if let Some(shard) = shard {
                        self.observe(now, *shard, Some(&row));
                    }
                }
            }
        }
    }

    /// Handles the claim on a shard as read from the store; drops the owner if the shard is
    /// claimed under another epoch or by another instance.
    fn observe(&mut self, now: Time, shard: ShardId, row: Option<&Row>) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let version = row.map_or(Version(0), |row| row.version);
        state.ownership.record_response(now);
        if version < state.version {
            return;
        }
        let claim: Option<Claim> = row.and_then(decode).filter(Claim::is_valid);
        state.version = version;
        state.ownership.observe(now, claim);
        let epoch = state.owner.as_ref().map(Owner::epoch);
        let is_own = state.ownership.is_held();
        if let Some(epoch) = epoch
            && (!is_own || state.ownership.claim().is_some_and(|claim| claim.epoch != epoch))
        {
            let holder = state.ownership.claim().and_then(|claim| claim.holder.clone());
            state.drop_owner(now, shard, &Loss::Claimed(holder));
        }
        self.adopt_claim(shard);
    }

    /// Begins the ownership of a shard whose claim by this process is stored, although the answer
    /// to the claim was lost or came too late.
    fn adopt_claim(&mut self, shard: ShardId) {
        let Some(state) = self.shards.get(&shard) else {
            return;
        };
        let (epoch, sent) = state.sent_claim;
        let claim = state.ownership.claim().filter(|claim| claim.epoch == epoch);
        let claim = claim.filter(|claim| state.ownership.is_held() && state.may_start(claim));
        if let Some(claim) = claim.filter(|_| !self.draining).cloned() {
            let version = state.version;
            self.start_owner(shard, sent, claim, version);
        }
    }

    /// Releases a shard by writing `claim`, once its owner has no transaction in progress.
    fn release(&mut self, shard: ShardId, claim: Claim) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let Some(owner) = state.owner.as_mut().filter(|o| o.is_idle() && !o.releasing) else {
            return;
        };
        owner.releasing = true;
        let epoch = owner.epoch();
        let version = state.version;
        let context = self.context.clone();
        self.context.spawner.spawn(async move {
            // If the write fails, others claim the shard once its claim is no longer renewed.
            let _ = commit::write_claim(&context, shard, claim, version).await;
            context.send(instance::Message::Manager(Message::Released(shard, epoch)));
        });
    }

    fn finish_release(&mut self, now: Time, shard: ShardId, epoch: u64) {
        if let Some(state) = self.shards.get_mut(&shard)
            && state.owner.as_ref().is_some_and(|owner| owner.epoch() == epoch)
        {
            state.drop_owner(now, shard, &Loss::Released);
        }
    }
}

fn subscription(layout: Layout, table: Table, batch_delay: Duration) -> Subscription {
    Subscription { table, parts: layout.parts(table), after: None, batch_delay }
}

fn is_claim(row: &Row, shard: ShardId) -> bool {
    row.name == layout::CLAIM && row.part == layout::shard_part(shard)
}
