//! Graceful handover: the owner stops serving a shard, writes the new owner to the table
//! and notifies it.

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::machine::{Context, Intent, Machine};
use super::owned::State;
use super::{Handover, Owner, Row, Shard, key};
use crate::agent::{Body, Command, Outbox};
use crate::journal::Sequence;
use crate::membership::{self, MemberState};
use crate::session;
use crate::store::{Check, Expected, Transaction};

/// Time after which an unacknowledged handover is sent again.
const RESEND_AFTER: Span = Span::from_ms(400);

impl Machine {
    /// Requests the release of shards to their preferred owners.
    pub(super) fn release(&mut self, moves: Vec<(Shard, InstanceName)>, out: &mut Outbox<'_>) {
        for (shard, to) in moves {
            let Some(owned) = self.owned.get_mut(&shard) else { continue };
            owned.state = State::Releasing { to: to.clone() };
            out.emit(Command::Release { shard, to });
        }
    }

    /// Records that this instance has stopped serving a shard.
    pub(crate) fn released(&mut self, shard: Shard, handover_state: Bytes, last: Sequence) {
        let Some(owned) = self.owned.get_mut(&shard) else { return };
        if let State::Releasing { to } = &owned.state {
            let to = to.clone();
            owned.state = State::Released { to, handover_state, last_sequence: last };
        }
    }

    /// Selects another receiver for each released shard whose receiver is no longer
    /// serving.
    ///
    /// The shard returns to this instance if this instance is the preferred owner and not
    /// draining.
    fn retarget(&mut self, context: &Context<'_>) {
        for (shard, owned) in &mut self.owned {
            let State::Released { to, handover_state, last_sequence } = &mut owned.state else {
                continue;
            };
            let member = context.members.members().get(to);
            if member.is_some_and(|member| member.state == MemberState::Serving) {
                continue;
            }
            let Some(chosen) = self.assignment.owner(*shard) else { continue };
            if *chosen != self.session.instance {
                *to = chosen.clone();
            } else if !context.draining && context.resolved >= *last_sequence {
                let Some(entry) = self.rows.get(shard) else { continue };
                self.handover_states.insert(*shard, (owned.epoch, handover_state.clone()));
                self.recoveries.enqueue(*shard, entry.row.clone(), &self.session);
                owned.state = State::Recovering;
            }
        }
    }

    /// Writes the new owners of released shards to the table, in one transaction.
    ///
    /// Returns whether a request was sent.
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

    /// Notifies the new owner of a shard after its row has been written.
    pub(super) fn notify_receiver(
        &mut self,
        shard: Shard,
        row: &Row,
        now: Time,
        out: &mut Outbox<'_>,
    ) {
        let Some(owned) = self.owned.get(&shard) else { return };
        let State::Released { handover_state, .. } = &owned.state else { return };
        if row.owner == self.session {
            return;
        }
        let owner = Owner { shard, session: row.owner.clone(), epoch: row.epoch };
        let handover = Handover { owner, handover_state: handover_state.clone() };
        out.send(row.owner.instance.clone(), Body::Handover(vec![handover.clone()]));
        self.unacknowledged.insert(shard, (handover, now + RESEND_AFTER));
    }

    /// Processes handovers from `from` and acknowledges them.
    pub(crate) fn handle_handovers(
        &mut self,
        from: &InstanceName,
        handovers: Vec<Handover>,
        out: &mut Outbox<'_>,
    ) {
        let mut received = Vec::new();
        for Handover { owner, handover_state } in handovers {
            let changed = self.table.merge(&owner);
            let owned = self.owned.contains_key(&owner.shard);
            if owner.session == self.session && (changed || !owned) {
                self.handover_states.insert(owner.shard, (owner.epoch, handover_state));
                self.to_fetch.insert(owner.shard);
            }
            received.push(owner);
        }
        out.send(from.clone(), Body::HandoverReceived(received));
    }

    /// Stops the retransmission of acknowledged handovers.
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

    /// Sends changed owners to the watched peers.
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

    /// Merges the owners reported by a peer.
    ///
    /// Reports locate shards but grant no ownership; a row that concerns this instance
    /// is read from the table.
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
        // In a full mesh the new owner has already sent the change to every instance.
        if !members.is_full_mesh() {
            self.announce_owners(changed, members, out);
        }
    }
}
