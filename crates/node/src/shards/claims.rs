//! Claims on shards: writing, reading, adopting and releasing them.

use std::sync::Arc;

use sycamorerill_core::clock::Time;
use sycamorerill_jobs::id::ShardId;
use sycamorerill_jobs::ownership::{Claim, Ownership};
use sycamorerill_jobs::shard::{self, Event};

use super::owner::{self, Owner};
use super::{Manager, Message, commit};
use crate::frontend::decode;
use crate::lines::{self, Loss};
use crate::log::{Code, Line};
use crate::platform::{Platform, Row, Version};
use crate::watch::Update;
use crate::{clock, instance, layout};

/// The state of one shard at this instance, whether owned or not.
pub(super) struct ShardState<P: Platform> {
    pub(super) ownership: Ownership,
    pub(super) version: Version,
    pub(super) owner: Option<Owner<P>>,
    /// Epoch of the latest claim that this process sent, and when it first sent it.
    sent_claim: (u64, Time),
    /// Epoch of the latest ownership by this process; 0 before the first.
    started_epoch: u64,
}

impl<P: Platform> ShardState<P> {
    /// Returns the state of a shard whose claim has not been read yet.
    pub(super) const fn new(ownership: Ownership) -> Self {
        Self {
            ownership,
            version: Version(0),
            owner: None,
            sent_claim: (0, Time::ZERO),
            started_epoch: 0,
        }
    }

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
    pub(super) fn drop_owner(&mut self, now: Time, shard: ShardId, why: &Loss) {
        if let Some(owner) = self.owner.take() {
            let unconfirmed = now.since(self.ownership.last_confirmed());
            lines::lost(shard, owner.epoch(), unconfirmed, why).write();
        }
    }
}

impl<P: Platform> Manager<P> {
    /// Reads the claim on a shard for which no renewal was received in time.
    pub(super) fn read_claim(&mut self, shard: ShardId) {
        let context = self.context.clone();
        self.context.spawner.spawn(async move {
            // A failed read is repeated by a later turn.
            if let Ok(row) = commit::read_claim(&context, shard).await {
                context.send(instance::Message::Manager(Message::ClaimRead(shard, row)));
            }
        });
    }

    pub(super) fn claim(&mut self, now: Time, shard: ShardId) {
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

    pub(super) fn finish_claim(
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

    pub(super) fn update_claims(&mut self, now: Time, update: Update) {
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
    pub(super) fn observe(&mut self, now: Time, shard: ShardId, row: Option<&Row>) {
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
    pub(super) fn release(&mut self, shard: ShardId, claim: Claim) {
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

    pub(super) fn finish_release(&mut self, now: Time, shard: ShardId, epoch: u64) {
        if let Some(state) = self.shards.get_mut(&shard)
            && state.owner.as_ref().is_some_and(|owner| owner.epoch() == epoch)
        {
            state.drop_owner(now, shard, &Loss::Released);
        }
    }
}

fn is_claim(row: &Row, shard: ShardId) -> bool {
    row.name == layout::CLAIM && row.part == layout::shard_part(shard)
}
