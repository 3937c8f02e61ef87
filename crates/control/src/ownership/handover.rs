//! Graceful hand-over: the owner stops, names its successor in the table, and tells it.

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::InstanceName;

use super::held::State;
use super::machine::{Context, Intent, Machine};
use super::{Handed, Owner, Row, Shard, key};
use crate::agent::{Body, Command, Out};
use crate::journal::Sequence;
use crate::membership::{self, Standing};
use crate::session;
use crate::store::{Check, Expected, Transaction};

/// Time between two tellings of the receiver.
const RESEND_AFTER: Span = Span::from_ms(400);

impl Machine {
    /// Asks for shards to be released to the instances that should own them.
    pub(super) fn release(&mut self, moves: Vec<(Shard, InstanceName)>, out: &mut Out<'_>) {
        for (shard, to) in moves {
            let Some(held) = self.held.get_mut(&shard) else { continue };
            held.state = State::Releasing { to: to.clone() };
            out.emit(Command::Release { shard, to });
        }
    }

    /// Takes note that nothing here acts on a shard any more.
    pub(crate) fn released(&mut self, shard: Shard, carry: Bytes, last: Sequence) {
        let Some(held) = self.held.get_mut(&shard) else { return };
        if let State::Releasing { to } = &held.state {
            let to = to.clone();
            held.state = State::Released { to, carry, flush: last };
        }
    }

    /// Turns to another receiver, or back to this instance, where the receiver has failed.
    fn retarget(&mut self, context: &Context<'_>) {
        for (shard, held) in &mut self.held {
            let State::Released { to, carry, flush } = &mut held.state else { continue };
            let member = context.members.members().get(to);
            if member.is_some_and(|member| member.standing == Standing::Serving) {
                continue;
            }
            let Some(chosen) = self.choices.of(*shard) else { continue };
            if *chosen != self.own.instance {
                *to = chosen.clone();
            } else if !context.draining && context.settled >= *flush {
                let Some(entry) = self.rows.get(shard) else { continue };
                self.carries.insert(*shard, (held.epoch, carry.clone()));
                self.recoveries.want(*shard, entry.row.clone(), &self.own);
                held.state = State::Recovering;
            }
        }
    }

    /// Names the receivers of released shards in the table, in one transaction.
    pub(super) fn hand_over(
        &mut self,
        guard: &Check,
        context: &mut Context<'_>,
        out: &mut Out<'_>,
    ) -> bool {
        self.retarget(context);
        let mut transaction = Transaction::default().check(guard.key.clone(), guard.expected);
        let mut rows = Vec::new();
        for (shard, held) in &self.held {
            let State::Released { to, flush, .. } = &held.state else { continue };
            let Some(member) = context.members.members().get(to) else { continue };
            let Some(entry) = self.rows.get(shard) else { continue };
            if context.settled < *flush || rows.len() >= self.settings.moves_at_once {
                continue;
            }
            let receiver = session::Name { instance: to.clone(), incarnation: member.incarnation };
            let row = entry.row.passed_to(receiver, shard.kind.is_journaled());
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
    pub(super) fn handed(&mut self, shard: Shard, row: &Row, now: Time, out: &mut Out<'_>) {
        let Some(held) = self.held.get(&shard) else { return };
        let State::Released { carry, .. } = &held.state else { return };
        if row.owner == self.own {
            return;
        }
        let owner = Owner { shard, session: row.owner.clone(), epoch: row.epoch };
        let handed = Handed { owner, carry: carry.clone() };
        out.send(row.owner.instance.clone(), Body::Handed(vec![handed.clone()]));
        self.unacknowledged.insert(shard, (handed, now + RESEND_AFTER));
    }

    /// Takes shards that their owner has handed to this instance.
    pub(crate) fn receive(&mut self, from: &InstanceName, handed: Vec<Handed>, out: &mut Out<'_>) {
        let mut received = Vec::new();
        for Handed { owner, carry } in handed {
            let news = self.table.learn(&owner);
            let held = self.held.contains_key(&owner.shard);
            if owner.session == self.own && (news || !held) {
                self.carries.insert(owner.shard, (owner.epoch, carry));
                self.fetch.insert(owner.shard);
            }
            received.push(owner);
        }
        out.send(from.clone(), Body::Received(received));
    }

    /// Stops telling the receiver of shards that it has answered for.
    pub(crate) fn acknowledged(&mut self, owners: &[Owner]) {
        for owner in owners {
            let told = self.unacknowledged.get(&owner.shard);
            if told.is_some_and(|(handed, _)| handed.owner.epoch <= owner.epoch) {
                self.unacknowledged.remove(&owner.shard);
            }
        }
    }

    pub(super) fn resend(&mut self, now: Time, out: &mut Out<'_>) {
        let table = &self.table;
        self.unacknowledged.retain(|shard, (handed, _)| {
            table.owner(*shard).is_some_and(|owner| owner.epoch == handed.owner.epoch)
        });
        for (handed, due) in self.unacknowledged.values_mut() {
            if now >= *due {
                *due = now + RESEND_AFTER;
                let to = handed.owner.session.instance.clone();
                out.send(to, Body::Handed(vec![handed.clone()]));
            }
        }
    }

    /// Tells the watched peers of new owners.
    pub(super) fn tell(
        &self,
        owners: Vec<Owner>,
        members: &membership::Machine,
        out: &mut Out<'_>,
    ) {
        if owners.is_empty() {
            return;
        }
        for peer in members.watched() {
            out.send(peer.clone(), Body::Owners(owners.clone()));
        }
    }

    /// Takes owners that a peer told, as a hint of where shards are at work.
    pub(crate) fn told(
        &mut self,
        owners: &[Owner],
        members: &membership::Machine,
        out: &mut Out<'_>,
    ) {
        let mut news = Vec::new();
        for owner in owners {
            if self.table.learn(owner) {
                let ours = owner.session == self.own || self.held.contains_key(&owner.shard);
                if ours {
                    self.fetch.insert(owner.shard);
                }
                news.push(owner.clone());
            }
        }
        // In a full mesh the owner itself has told everybody.
        if !members.is_full_mesh() {
            self.tell(news, members, out);
        }
    }
}
