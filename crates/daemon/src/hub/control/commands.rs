//! Execution of the control agent's commands.

use std::sync::Arc;

use bytes::Bytes;
use stakker::{CX, call};
use sycamorerill_control::agent::{Command, Event};
use sycamorerill_control::config::ActiveConfig;
use sycamorerill_control::ownership::{Gained, Kind, Shard};
use sycamorerill_core::id::InstanceName;

use super::Control;
use crate::event;
use crate::events::Code;
use crate::hub::EndReason;
use crate::hub::records;
use crate::hub::shards::ShardLayout;

impl Control {
    pub(super) fn execute(&mut self, cx: CX![], command: Command) {
        match command {
            Command::Store { id, request } => self.send_store_request(id, request),
            Command::Send { to, message } => self.send(&to, message),
            Command::Probe { session } => self.probe(session),
            Command::StartServing(gained) => self.shard_gained(gained),
            Command::StopServing { shard } => self.shard_lost(shard),
            Command::Release { shard, to } => self.release_shard(cx, shard, to),
            Command::RecordsDurable { up_to } => self.records_durable(up_to),
            Command::RecordsWithdrawn { sequences } => self.records_withdrawn(&sequences),
            Command::TakeSnapshot { shard } => self.take_snapshot(shard),
            Command::ActivateConfig(config) => self.activate_config(config),
            Command::ApplyFinished { id, outcome } => self.apply_finished(id, outcome),
            Command::SettleFinished { id, outcome } => self.settle_finished(id, outcome),
            Command::Fenced { incarnation } => {
                event!(Code::Fenced, incarnation = incarnation);
                self.deps.shared.kill();
                // The send fails if the instance is already stopping.
                let _ = self.deps.end_reason_sender.try_send(EndReason::Fenced);
            }
            Command::Decision(decision) => event!(Code::ControlDecision, decision = decision),
        }
    }

    fn shard_gained(&mut self, gained: Gained) {
        let Gained { shard, epoch, acquisition, handover_state, recovered } = gained;
        event!(Code::ShardGained, shard = shard, epoch = epoch, way = acquisition.as_str());
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            Kind::Slots => {
                call!([calls], slot_shard_gained(shard, epoch, acquisition, handover_state))
            }
            Kind::Keys => match records::read_keys(&recovered) {
                Ok(records) => {
                    call!([calls], key_shard_gained(ShardLayout::key_shard(shard), records))
                }
                Err(error) => event!(Code::RecoveryFailed, shard = shard, error = error),
            },
            Kind::Cell => match records::read_cell(&recovered) {
                Ok((snapshot, records)) => {
                    call!([cells], cell_gained(shard, epoch, snapshot, records));
                }
                Err(error) => event!(Code::RecoveryFailed, shard = shard, error = error),
            },
        }
    }

    fn shard_lost(&mut self, shard: Shard) {
        event!(Code::ShardLost, shard = shard);
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            Kind::Slots => call!([calls], slot_shard_lost(shard)),
            Kind::Keys => {
                call!([calls], key_owner_changed(ShardLayout::key_shard(shard), None));
                // Forgets the owner, so that `refresh_owners` reports the new one to the
                // call actor as soon as it is known.
                self.releasing.remove(&ShardLayout::key_shard(shard));
                self.key_owners.remove(&ShardLayout::key_shard(shard));
            }
            Kind::Cell => call!([cells], cell_lost(shard)),
        }
    }

    fn release_shard(&mut self, cx: CX![], shard: Shard, to: InstanceName) {
        event!(Code::ShardLost, shard = shard, to = to);
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            // `released` follows when the router has drained the executors.
            Kind::Slots => call!([calls], release_slot_shard(shard)),
            // `released` follows when the pending first records of the shard are durable, as
            // their calls are about to be sent.
            Kind::Keys => {
                self.releasing.insert(ShardLayout::key_shard(shard), to);
                self.release_key_shards(cx);
            }
            Kind::Cell => {
                call!([cells], cell_lost(shard));
                call!([cx], released(shard, Bytes::new()));
            }
        }
    }

    /// Records that this instance no longer acts on a shard.
    ///
    /// `handover_state` is passed to the next owner of the shard.
    pub(crate) fn released(&mut self, cx: CX![], shard: Shard, handover_state: Bytes) {
        self.handle_event(cx, Event::ShardReleased { shard, handover_state });
    }

    /// Stores the content of a shard as its snapshot.
    pub(crate) fn snapshot(&mut self, cx: CX![], shard: Shard, bytes: Bytes) {
        self.handle_event(cx, Event::Snapshot { shard, bytes });
    }

    fn take_snapshot(&mut self, shard: Shard) {
        let (Some(calls), Some(cells)) = (&self.calls, &self.cells) else {
            return;
        };
        match shard.kind {
            Kind::Slots => {}
            Kind::Keys => call!([calls], snapshot_keys(shard)),
            Kind::Cell => call!([cells], take_snapshot(shard)),
        }
    }

    fn activate_config(&mut self, config: ActiveConfig) {
        let ActiveConfig { version, author, bytes } = config;
        let mut config = match sycamorerill_config::decode(&bytes) {
            Ok(config) => config,
            Err(error) => {
                event!(Code::ConfigRefused, version = version, error = error);
                return;
            }
        };
        config.version = version;
        event!(Code::ConfigInForce, version = version, author = author);
        self.deps.shared.metrics.set_config_version(version.0);
        self.config_bytes = bytes;
        self.config = Arc::new(config);
        if let (Some(calls), Some(cells)) = (&self.calls, &self.cells) {
            call!([calls], apply_config(Arc::clone(&self.config)));
            call!([cells], apply_config(Arc::clone(&self.config)));
        }
        self.deps.shared.set_ready(!self.drain.begun);
    }
}
