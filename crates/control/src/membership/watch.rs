//! Sends heartbeats to the watched peers and suspects silent ones.

use fastrand::Rng;
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Incarnation, InstanceName};

use super::machine::{Machine, member_update};
use super::{MemberState, StateUpdate, ring};
use crate::agent::{Body, Command, Decision, Heartbeat, Outbox};
use crate::session;

/// Time between two ticks, in heartbeat intervals, above which this process itself was
/// paused.
const PAUSE_DETECTION_INTERVALS: u64 = 4;

impl Machine {
    /// Sends heartbeats that are due and updates the suspicion of silent peers.
    pub(crate) fn tick(&mut self, now: Time, rng: &mut Rng, out: &mut Outbox<'_>) {
        let paused = now.since(self.last_tick)
            > self.settings.heartbeat_interval.saturating_mul(PAUSE_DETECTION_INTERVALS);
        self.last_tick = now;
        if paused {
            // Peers may have sent heartbeats while this process was paused, so their
            // silence is measured from now.
            self.watched.values_mut().for_each(|since| *since = now);
        }
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.settings.heartbeat_interval.scale(0.95 + 0.1 * rng.f64());
        self.update_watched(now);
        self.suspect_silent(now, out);
        self.detect_unlisted(now, out);
        self.remove_expired(now);
        self.send_heartbeats(rng, out);
    }

    pub(crate) const fn next_wake(&self) -> Time {
        self.next_heartbeat
    }

    /// Returns whether a watched peer has been silent for more than two heartbeat
    /// intervals.
    pub(crate) fn has_silent_peer(&self, now: Time) -> bool {
        let limit = self.settings.heartbeat_interval.saturating_mul(2);
        self.watched.iter().any(|(name, since)| {
            self.members.get(name).is_some_and(|member| {
                member.incarnation != Incarnation::default()
                    && now.since(member.last_contact.max(*since)) > limit
            })
        })
    }

    fn update_watched(&mut self, now: Time) {
        if self.watched_revision == Some(self.revision) {
            return;
        }
        self.watched_revision = Some(self.revision);
        self.running_count = self.peers().count() + 1;
        self.digest = self.running_members().iter().fold(0, |all, update| all ^ digest(update));
        let selected: Vec<InstanceName> = match self.members.len() < self.settings.full_mesh {
            true => self.peers().cloned().collect(),
            false => {
                ring::neighbours(&self.local.name.instance, self.peers(), self.settings.neighbours)
            }
        };
        self.watched.retain(|name, _| selected.contains(name));
        for name in selected {
            self.watched.entry(name).or_insert(now);
        }
    }

    fn suspect_silent(&mut self, now: Time, out: &mut Outbox<'_>) {
        let limit = self.settings.suspect_after;
        let mut silent = Vec::new();
        for (name, since) in &self.watched {
            let Some(member) = self.members.get_mut(name) else { continue };
            if now.since(member.last_contact.max(*since)) < limit {
                continue;
            }
            let incarnation = member.incarnation;
            if incarnation == Incarnation::default() {
                continue;
            }
            let session = session::Name { instance: name.clone(), incarnation };
            out.emit(Command::Probe { session });
            if member.state != MemberState::Suspect {
                member.state = MemberState::Suspect;
                self.revision += 1;
                member.state_since = now;
                silent.push(member_update(name, member));
            }
        }
        for update in silent {
            let (instance, state) = (update.instance.clone(), update.state);
            out.log(Decision::MemberState { instance, state });
            self.queue_update(update);
        }
    }

    fn send_heartbeats(&mut self, rng: &mut Rng, out: &mut Outbox<'_>) {
        let heartbeat = Heartbeat {
            state: self.local.state,
            state_version: self.local.state_version,
            version: self.local.version,
            owners_digest: self.local.owners_digest,
            members_digest: self.digest,
            domain: self.local.domain.clone(),
            updates: self.take_updates(),
        };
        let mut targets: Vec<InstanceName> = self.watched.keys().cloned().collect();
        if targets.len() < self.members.len()
            && let Some(peer) = self.random_peer(rng)
            && !targets.contains(&peer)
        {
            targets.push(peer);
        }
        for to in targets {
            out.send(to, Body::Heartbeat(heartbeat.clone()));
        }
    }
}

fn digest(update: &StateUpdate) -> u64 {
    let state = update.incarnation.0.wrapping_shl(3) | u64::from(update.state.code());
    ring::score(state, &update.instance)
}
