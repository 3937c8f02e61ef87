//! Graceful hand-over: the owner stops, names its successor in the table, and tells it.

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::machine::{Context, Intent, Machine};
use super::owned::State;
use super::{Handover, Owner, Row, Shard, key};
use crate::agent::{Body, Command, Outbox};
use crate::journal::Sequence;
use crate::membership::{self, Standing};
use crate::session;
use crate::store::{Check, Expected, Transaction};

/// Time between two tellings of the receiver.
const RESEND_AFTER: Span = Span::from_ms(400);

impl Machine {
    /// Asks for shards to be released to the instances that should own them.
    pub(super) fn release(&mut self, moves: Vec<(Shard, InstanceName)>, out: &mut Outbox<'_>) {
        for (shard, to) in moves {
            let Some(owned) = self.owned.get_mut(&shard) else { continue };
            owned.state = State::Releasing { to: to.clone() };
            out.emit(Command::Release { shard, to });
        }
    }

    /// Takes note that nothing here acts on a shard any more.
    pub(crate) fn released(&mut self, shard: Shard, carry: Bytes, last: Sequence) {
        let Some(owned) = self.owned.get_mut(&shard) else { return };
        if let State::Releasing { to } = &owned.state {
            let to = to.clone();
            owned.state = State::Released { to, carry, last_sequence: last };
        }
    }

    /// Turns to another receiver, or back to this instance, where the receiver has failed.
    fn retarget(&mut self, context: &Context<'_>) {
        for (shard, owned) in &mut self.owned {
            let State::Released { to, carry, last_sequence } = &mut owned.state else { continue };
            let member = context.members.members().get(to);
            if member.is_some_and(|member| member.standing == Standing::Serving) {
                continue;
            }
            let Some(chosen) = self.assignment.owner(*shard) else { continue };
            if *chosen != self.session.instance {
                *to = chosen.clone();
            } else if !context.draining && context.resolved >= *last_sequence {
                let Some(entry) = self.rows.get(shard) else { continue };
                self.carries.insert(*shard, (owned.epoch, carry.clone()));
                self.recoveries.enqueue(*shard, entry.row.clone(), &self.session);
                owned.state = State::Recovering;
            }
        }
    }

    /// Names the receivers of released shards in the table, in one transaction.
    pub(super) fn hand_over(
        &mut self,
        guard: &Check,
        context: &mut Context<'_>,
        out: &mut Outbox<'_>,
    ) -> bool {
        self.retarget(context);
        let mut transaction = Transaction::default().check(guard.key.clone(), guard.expected);
        let mut rows = Vec::new();
        for (shard, owned) in &self.owned {
            let State::Released { to, last_sequence, .. } = &owned.state else { continue };
            let Some(member) = context.members.members().get(to) else { continue };
            let Some(entry) = self.rows.get(shard) else { continue };
            if context.resolved < *last_sequence || rows.len() >= self.settings.max_concurrent_moves
            {
                continue;
            }
            let receiver = session::Name { instance: to.clone(), incarnation: member.incarnation };
            let row = entry.row.with_owner(receiver, shard.kind.is_journaled());
            transaction = transaction
                .check(key(*shard), Expected::At(entry.version))
                .put(key(*shard), row.encode());
            rows.push((*shard, row));
        }
        if rows.is_empty() {
            return false;
        }
        self.write(Intent { transaction, rows }, out);
        true
    }

    /// Tells the receiver of a shard that the table names it now.
    pub(super) fn notify_receiver(
        &mut self,
        shard: Shard,
        row: &Row,
        now: Time,
        out: &mut Outbox<'_>,
    ) {
        let Some(owned) = self.owned.get(&shard) else { return };
        let State::Released { carry, .. } = &owned.state else { return };
        if row.owner == self.session {
            return;
        }
        let owner = Owner { shard, session: row.owner.clone(), epoch: row.epoch };
        let handover = Handover { owner, carry: carry.clone() };
        out.send(row.owner.instance.clone(), Body::Handover(vec![handover.clone()]));
        self.unacknowledged.insert(shard, (handover, now + RESEND_AFTER));
    }

    /// Takes shards that their owner has handover to this instance.
    pub(crate) fn handle_handovers(
        &mut self,
        from: &InstanceName,
        handovers: Vec<Handover>,
        out: &mut Outbox<'_>,
    ) {
        let mut received = Vec::new();
        for Handover { owner, carry } in handovers {
            let changed = self.table.merge(&owner);
            let owned = self.owned.contains_key(&owner.shard);
            if owner.session == self.session && (changed || !owned) {
                self.carries.insert(owner.shard, (owner.epoch, carry));
                self.to_fetch.insert(owner.shard);
            }
            received.push(owner);
        }
        out.send(from.clone(), Body::HandoverReceived(received));
    }

    /// Stops telling the receiver of shards that it has answered for.
    pub(crate) fn handle_acknowledgement(&mut self, owners: &[Owner]) {
        for owner in owners {
            let pending = self.unacknowledged.get(&owner.shard);
            if pending.is_some_and(|(handover, _)| handover.owner.epoch <= owner.epoch) {
                self.unacknowledged.remove(&owner.shard);
            }
        }
    }

    pub(super) fn resend(&mut self, now: Time, out: &mut Outbox<'_>) {
        let table = &self.table;
        self.unacknowledged.retain(|shard, (handover, _)| {
            table.owner(*shard).is_some_and(|owner| owner.epoch == handover.owner.epoch)
        });
        for (handover, due) in self.unacknowledged.values_mut() {
            if now >= *due {
                *due = now + RESEND_AFTER;
                let to = handover.owner.session.instance.clone();
                out.send(to, Body::Handover(vec![handover.clone()]));
            }
        }
    }

    /// Tells the watched peers of new owners.
    pub(super) fn announce_owners(
        &self,
        owners: Vec<Owner>,
        members: &membership::Machine,
        out: &mut Outbox<'_>,
    ) {
        if owners.is_empty() {
            return;
        }
        for peer in members.watched_peers() {
            out.send(peer.clone(), Body::Owners(owners.clone()));
        }
    }

    /// Takes owners that a peer told, as a hint of where shards are at work.
    pub(crate) fn handle_owners(
        &mut self,
        owners: &[Owner],
        members: &membership::Machine,
        out: &mut Outbox<'_>,
    ) {
        let mut changed = Vec::new();
        for owner in owners {
            if self.table.merge(owner) {
                let is_own = owner.session == self.session || self.owned.contains_key(&owner.shard);
                if is_own {
                    self.to_fetch.insert(owner.shard);
                }
                changed.push(owner.clone());
            }
        }
        // In a full mesh the owner itself has told everybody.
        if !members.is_full_mesh() {
            self.announce_owners(changed, members, out);
        }
    }
}
