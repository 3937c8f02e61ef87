//! Heartbeats to the watched peers and suspicion of silent ones.

use fastrand::Rng;
use sycamorerill_core::clock::Time;
use sycamorerill_core::id::{Incarnation, InstanceName};

use super::machine::{Machine, member_news};
use super::{News, Standing, ring};
use crate::agent::{Beat, Body, Command, Decision, Out};
use crate::session;

/// Intervals between two calls after which this process was paused itself.
const PAUSED_INTERVALS: u64 = 4;

impl Machine {
    /// Sends what is due and suspects who is silent.
    pub(crate) fn tick(&mut self, now: Time, rng: &mut Rng, out: &mut Out<'_>) {
        let paused = now.since(self.ticked) > self.settings.interval.times(PAUSED_INTERVALS);
        self.ticked = now;
        if paused {
            // Silence during an own pause says nothing about the others.
            self.watch.values_mut().for_each(|since| *since = now);
        }
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + self.settings.interval.scale(0.95 + 0.1 * rng.f64());
        self.choose_watch(now);
        self.suspect_silent(now, out);
        self.check_unlisted(now, out);
        self.forget(now);
        self.send_beats(rng, out);
    }

    pub(crate) const fn next_wake(&self) -> Time {
        self.next_beat
    }

    /// Reports whether a watched peer has been silent for a while.
    pub(crate) fn misses_peers(&self, now: Time) -> bool {
        let limit = self.settings.interval.times(2);
        self.watch.iter().any(|(name, since)| {
            self.members.get(name).is_some_and(|member| {
                member.incarnation != Incarnation::default()
                    && now.since(member.heard.max(*since)) > limit
            })
        })
    }

    fn choose_watch(&mut self, now: Time) {
        if self.watch_revision == Some(self.revision) {
            return;
        }
        self.watch_revision = Some(self.revision);
        self.running = self.peers().count() + 1;
        self.digest = self.known().iter().fold(0, |all, news| all ^ digest(news));
        let chosen: Vec<InstanceName> = match self.members.len() < self.settings.full_mesh {
            true => self.peers().cloned().collect(),
            false => {
                ring::neighbours(&self.own.name.instance, self.peers(), self.settings.neighbours)
            }
        };
        self.watch.retain(|name, _| chosen.contains(name));
        for name in chosen {
            self.watch.entry(name).or_insert(now);
        }
    }

    fn suspect_silent(&mut self, now: Time, out: &mut Out<'_>) {
        let limit = self.settings.suspect_after;
        let mut silent = Vec::new();
        for (name, since) in &self.watch {
            let Some(member) = self.members.get_mut(name) else { continue };
            if now.since(member.heard.max(*since)) < limit {
                continue;
            }
            let incarnation = member.incarnation;
            if incarnation == Incarnation::default() {
                continue;
            }
            let session = session::Name { instance: name.clone(), incarnation };
            out.emit(Command::Probe { session });
            if member.standing != Standing::Suspect {
                member.standing = Standing::Suspect;
                self.revision += 1;
                member.since = now;
                silent.push(member_news(name, member));
            }
        }
        for news in silent {
            let (instance, standing) = (news.instance.clone(), news.standing);
            out.decide(Decision::Standing { instance, standing });
            self.spread(news);
        }
    }

    fn send_beats(&mut self, rng: &mut Rng, out: &mut Out<'_>) {
        let beat = Beat {
            standing: self.own.standing,
            life: self.own.life,
            version: self.own.version,
            owners: self.own.owners,
            members: self.digest,
            domain: self.own.domain.clone(),
            news: self.next_news(),
        };
        let mut targets: Vec<InstanceName> = self.watch.keys().cloned().collect();
        if targets.len() < self.members.len()
            && let Some(any) = self.any_peer(rng)
            && !targets.contains(&any)
        {
            targets.push(any);
        }
        for to in targets {
            out.send(to, Body::Beat(beat.clone()));
        }
    }
}

fn digest(news: &News) -> u64 {
    let standing = news.incarnation.0.wrapping_shl(3) | u64::from(news.standing.code());
    ring::score(standing, &news.instance)
}
