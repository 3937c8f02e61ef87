//! Carries out the agent's commands.

use std::sync::Arc;

use bytes::Bytes;
use stakker::{CX, call};
use sycamorerill_control::agent::{Command, Event};
use sycamorerill_control::config::InForce;
use sycamorerill_control::ownership::{Gained, Kind, Shard};
use sycamorerill_core::id::InstanceName;

use super::Control;
use crate::event;
use crate::events::Code;
use crate::hub::End;
use crate::hub::records;
use crate::hub::shards::Shards;

impl Control {
    pub(super) fn carry_out(&mut self, cx: CX![], command: Command) {
        match command {
            Command::Store { id, request } => self.ask_store(id, request),
            Command::Send { to, message } => self.send(&to, message),
            Command::Probe { session } => self.probe(session),
            Command::Gained(gained) => self.gained(gained),
            Command::Lost { shard } => self.lost(shard),
            Command::Release { shard, to } => self.release(cx, shard, to),
            Command::Durable { up_to } => self.durable(up_to),
            Command::Withdrawn { sequences } => self.withdrawn(&sequences),
            Command::SnapshotWanted { shard } => self.snapshot_wanted(shard),
            Command::ConfigInForce(in_force) => self.in_force(in_force),
            Command::Applied { id, outcome } => self.applied(id, outcome),
            Command::Settled { id, outcome } => self.settled(id, outcome),
            Command::Fenced { incarnation } => {
                event!(Code::Fenced, incarnation = incarnation);
                self.parts.shared.kill();
                // The other end is gone when the instance is stopping already.
                let _ = self.parts.done.try_send(End::Fenced);
            }
            Command::Decision(decision) => event!(Code::ControlDecision, decision = decision),
        }
    }

    fn gained(&mut self, gained: Gained) {
        let Gained { shard, epoch, way, carry, recovered } = gained;
        event!(Code::ShardGained, shard = shard, epoch = epoch, way = way.as_str());
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            Kind::Slots => call!([calls], slots_gained(shard, epoch, way, carry)),
            Kind::Keys => match records::read_keys(&recovered) {
                Ok(records) => call!([calls], keys_gained(Shards::keys(shard), records)),
                Err(error) => event!(Code::RecoveryFailed, shard = shard, error = error),
            },
            Kind::Cell => match records::read_cell(&recovered) {
                Ok((snapshot, records)) => {
                    call!([cells], gained(shard, epoch, snapshot, records));
                }
                Err(error) => event!(Code::RecoveryFailed, shard = shard, error = error),
            },
        }
    }

    fn lost(&mut self, shard: Shard) {
        event!(Code::ShardLost, shard = shard);
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            Kind::Slots => call!([calls], slots_lost(shard)),
            Kind::Keys => {
                call!([calls], keys_moved(Shards::keys(shard), None));
                // The calls are told of the new owner as soon as it is known.
                self.releasing.remove(&Shards::keys(shard));
                self.key_owners.remove(&Shards::keys(shard));
            }
            Kind::Cell => call!([cells], lost(shard)),
        }
    }

    fn release(&mut self, cx: CX![], shard: Shard, to: InstanceName) {
        event!(Code::ShardLost, shard = shard, to = to);
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            // Answered once the router has drained the executors.
            Kind::Slots => call!([calls], release_slots(shard)),
            // Answered once the records of calls that are about to be sent last.
            Kind::Keys => {
                self.releasing.insert(Shards::keys(shard), to);
                self.release_keys(cx);
            }
            Kind::Cell => {
                call!([cells], lost(shard));
                call!([cx], released(shard, Bytes::new()));
            }
        }
    }

    /// Notes that nothing here acts on a shard any more.
    pub(crate) fn released(&mut self, cx: CX![], shard: Shard, carry: Bytes) {
        self.drive(cx, Event::Released { shard, carry });
    }

    /// Takes the content of a shard for a snapshot.
    pub(crate) fn snapshot(&mut self, cx: CX![], shard: Shard, bytes: Bytes) {
        self.drive(cx, Event::Snapshot { shard, bytes });
    }

    fn snapshot_wanted(&mut self, shard: Shard) {
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            Kind::Slots => {}
            Kind::Keys => call!([calls], keys_snapshot(shard)),
            Kind::Cell => call!([cells], snapshot_wanted(shard)),
        }
    }

    fn in_force(&mut self, in_force: InForce) {
        let InForce { version, author, bytes } = in_force;
        let mut config = match sycamorerill_config::decode(&bytes) {
            Ok(config) => config,
            Err(error) => {
                event!(Code::ConfigRefused, version = version, error = error);
                return;
            }
        };
        config.version = version;
        event!(Code::ConfigInForce, version = version, author = author);
        self.parts.shared.metrics.set_version(version.0);
        self.content = bytes;
        self.config = Arc::new(config);
        if let (Some(calls), Some(cells)) = (&self.calls, &self.cells) {
            call!([calls], configured(Arc::clone(&self.config)));
            call!([cells], configured(Arc::clone(&self.config)));
        }
        self.parts.shared.set_ready(!self.drain.begun);
    }
}
