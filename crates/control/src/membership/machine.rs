//! Keeps the members by heartbeats, news and the platform's list.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, Incarnation, InstanceName, Version};

use super::{Evidence, Listing, Member, News, Settings, Standing};
use crate::agent::{Beat, Decision, Out};
use crate::session;

/// Rounds for which news is passed on, besides one for each two doublings of the members.
const LEAST_ROUNDS: u32 = 3;
/// Time for which an instance that is gone is remembered.
const FORGET_AFTER: Span = Span::from_secs(600);

/// What an instance tells others of itself.
#[derive(Clone, Debug)]
pub(crate) struct Own {
    pub(crate) name: session::Name,
    pub(crate) domain: DomainName,
    pub(crate) standing: Standing,
    pub(crate) life: u64,
    pub(crate) version: Version,
    pub(crate) owners: u64,
}

#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) settings: Settings,
    pub(super) own: Own,
    pub(super) members: BTreeMap<InstanceName, Member>,
    pub(super) listed: BTreeSet<InstanceName>,
    /// Instances that the list lacks, with the instant from which it is believed.
    pub(super) absent: BTreeMap<InstanceName, Time>,
    pub(super) watch: BTreeMap<InstanceName, Time>,
    pub(super) ticked: Time,
    pub(super) next_beat: Time,
    /// Grows with each change of a standing.
    pub(super) revision: u64,
    /// Revision for which the watched peers were chosen.
    pub(super) watch_revision: Option<u64>,
    pub(super) running: usize,
    /// Digest of the members at the last tick.
    pub(super) digest: u64,
    news: BTreeMap<InstanceName, (News, u32)>,
}

impl Machine {
    pub(crate) fn new(settings: Settings, own: Own, peers: &[InstanceName]) -> Self {
        let mut machine = Self {
            settings,
            own,
            members: BTreeMap::new(),
            listed: BTreeSet::new(),
            absent: BTreeMap::new(),
            watch: BTreeMap::new(),
            ticked: Time::ZERO,
            next_beat: Time::ZERO,
            revision: 0,
            watch_revision: None,
            running: 1,
            digest: 0,
            news: BTreeMap::new(),
        };
        peers.iter().for_each(|peer| machine.introduce(Time::ZERO, peer));
        machine
    }

    pub(crate) const fn members(&self) -> &BTreeMap<InstanceName, Member> {
        &self.members
    }

    /// Returns what this instance tells of itself, to be changed.
    pub(crate) fn own(&mut self) -> &mut Own {
        &mut self.own
    }

    /// Changes the standing of this instance.
    pub(crate) fn stand(&mut self, standing: Standing) {
        if self.own.standing != standing {
            // Among news of one incarnation the higher life count holds.
            self.own.life += 1;
            self.own.standing = standing;
            self.revision += 1;
        }
    }

    /// Returns a number that grows with each change of a standing.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of instances that ran at the last tick, this one included.
    pub(crate) const fn size(&self) -> usize {
        self.running
    }

    /// Returns the peers that were heard lately or are not known to be gone.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &InstanceName> {
        let runs = |member: &Member| !matches!(member.standing, Standing::Gone);
        self.members.iter().filter(move |(_, member)| runs(member)).map(|(name, _)| name)
    }

    /// Returns the evidence that the process of a session is gone.
    pub(crate) fn evidence(&self, session: &session::Name) -> Option<Evidence> {
        if session.instance == self.own.name.instance {
            let newer = session.incarnation < self.own.name.incarnation;
            return newer.then_some(Evidence::Newer);
        }
        let member = self.members.get(&session.instance)?;
        match member.incarnation.cmp(&session.incarnation) {
            std::cmp::Ordering::Greater => Some(Evidence::Newer),
            std::cmp::Ordering::Equal => member.evidence,
            std::cmp::Ordering::Less => None,
        }
    }

    /// Reports whether a session has not been heard for long enough to doubt it.
    pub(crate) fn suspects(&self, session: &session::Name) -> bool {
        self.evidence(session).is_some()
            || self.members.get(&session.instance).is_some_and(|member| {
                member.incarnation == session.incarnation && member.standing == Standing::Suspect
            })
    }

    /// Reports whether a session has said for a while that it cannot reach the store.
    pub(crate) fn lacks_store(&self, now: Time, session: &session::Name) -> bool {
        self.members.get(&session.instance).is_some_and(|member| {
            member.incarnation == session.incarnation
                && member.standing == Standing::Joining
                && now.since(member.since) >= self.settings.suspect_after
        })
    }

    /// Returns the failure domain of this instance.
    pub(crate) const fn domain(&self) -> &DomainName {
        &self.own.domain
    }

    /// Returns the peers that heartbeats are sent to.
    pub(crate) fn watched(&self) -> impl Iterator<Item = &InstanceName> {
        self.watch.keys()
    }

    /// Reports whether heartbeats go to every peer.
    pub(crate) fn is_full_mesh(&self) -> bool {
        self.members.len() < self.settings.full_mesh
    }

    /// Takes note of a session that was found in the table.
    pub(crate) fn expect(&mut self, now: Time, session: &session::Name) {
        if session.instance == self.own.name.instance {
            return;
        }
        self.introduce(now, &session.instance);
        let Some(member) = self.members.get_mut(&session.instance) else { return };
        if member.incarnation < session.incarnation {
            member.incarnation = session.incarnation;
            member.evidence = None;
            member.standing = Standing::Joining;
            self.revision += 1;
            member.heard = now;
            member.since = now;
        }
    }

    /// Takes a heartbeat.
    pub(crate) fn beat(
        &mut self,
        now: Time,
        from: &InstanceName,
        incarnation: Incarnation,
        beat: &Beat,
        out: &mut Out<'_>,
    ) {
        let news = News {
            instance: from.clone(),
            incarnation,
            life: beat.life,
            standing: beat.standing,
            domain: beat.domain.clone(),
        };
        self.learn(now, &news, out);
        if let Some(member) = self.members.get_mut(from)
            && member.incarnation == incarnation
            && member.evidence.is_none()
        {
            member.heard = now;
            member.version = member.version.max(beat.version);
        }
        // A heartbeat contradicts a suspicion at once for the one who hears it.
        self.recover(now, &news, out);
        beat.news.iter().for_each(|news| self.learn(now, news, out));
    }

    /// Returns a number that differs, but for chance, where two instances know other members.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns what is known of every member that runs, this instance included.
    pub(crate) fn known(&self) -> Vec<News> {
        let heard = |(_, member): &(&InstanceName, &Member)| {
            member.incarnation != Incarnation::default() && member.standing != Standing::Gone
        };
        let others = self.members.iter().filter(heard);
        others.map(|(name, member)| member_news(name, member)).chain([self.own_news()]).collect()
    }

    /// Takes what a peer knows of the members.
    pub(crate) fn told(&mut self, now: Time, all: &[News], out: &mut Out<'_>) {
        all.iter().for_each(|news| self.learn(now, news, out));
    }

    fn recover(&mut self, now: Time, news: &News, out: &mut Out<'_>) {
        let Some(member) = self.members.get_mut(&news.instance) else { return };
        if member.incarnation == news.incarnation && member.standing == Standing::Suspect {
            member.standing = news.standing;
            member.since = now;
            self.revision += 1;
            out.decide(Decision::Standing {
                instance: news.instance.clone(),
                standing: news.standing,
            });
        }
    }

    /// Takes evidence that the process of an incarnation is gone.
    pub(crate) fn gone(
        &mut self,
        now: Time,
        session: &session::Name,
        evidence: Evidence,
        out: &mut Out<'_>,
    ) {
        let Some(member) = self.members.get_mut(&session.instance) else { return };
        if member.incarnation != session.incarnation || member.evidence.is_some() {
            return;
        }
        member.evidence = Some(evidence);
        member.standing = Standing::Gone;
        self.revision += 1;
        member.since = now;
        let news = member_news(&session.instance, member);
        self.spread(news);
        out.decide(Decision::Gone { session: session.clone(), evidence });
    }

    /// Takes the platform's list.
    pub(crate) fn list(&mut self, now: Time, listings: &[Listing], out: &mut Out<'_>) {
        let named: BTreeSet<InstanceName> =
            listings.iter().map(|listing| listing.instance.clone()).collect();
        let own = self.own.name.instance.clone();
        named.iter().filter(|name| **name != own).for_each(|name| self.introduce(now, name));
        for name in self.members.keys() {
            // The list may lack an instance that has just started; one that it named
            // and drops is believed at once.
            let lag = match self.listed.contains(name) {
                true => Span::ZERO,
                false => self.settings.list_lag,
            };
            match named.contains(name) {
                true => _ = self.absent.remove(name),
                false => _ = self.absent.entry(name.clone()).or_insert(now + lag),
            }
        }
        self.listed = named;
        self.check_unlisted(now, out);
    }

    pub(super) fn check_unlisted(&mut self, now: Time, out: &mut Out<'_>) {
        let absent = |name: &InstanceName| self.absent.get(name).is_some_and(|from| now >= *from);
        let silent = |member: &Member| member.standing == Standing::Suspect;
        let gone: Vec<session::Name> = (self.members.iter())
            .filter(|(name, member)| silent(member) && absent(name))
            .map(|(name, member)| session::Name {
                instance: name.clone(),
                incarnation: member.incarnation,
            })
            .collect();
        gone.iter().for_each(|session| self.gone(now, session, Evidence::Unlisted, out));
    }

    /// Returns the news for one heartbeat.
    pub(super) fn next_news(&mut self) -> Vec<News> {
        let mut waiting: Vec<(u32, InstanceName)> =
            self.news.iter().map(|(name, (_, left))| (*left, name.clone())).collect();
        waiting.sort_by(|a, b| b.cmp(a));
        waiting.truncate(self.settings.news_per_beat);
        let mut chosen = Vec::with_capacity(waiting.len());
        for (_, name) in waiting {
            let Some((news, left)) = self.news.get_mut(&name) else { continue };
            chosen.push(news.clone());
            *left -= 1;
            if *left == 0 {
                self.news.remove(&name);
            }
        }
        chosen
    }

    pub(super) fn spread(&mut self, news: News) {
        let doublings = usize::BITS - self.members.len().leading_zeros() + 1;
        self.news.insert(news.instance.clone(), (news, LEAST_ROUNDS + doublings / 2));
    }

    fn learn(&mut self, now: Time, news: &News, out: &mut Out<'_>) {
        if news.instance == self.own.name.instance {
            return self.contradict(news);
        }
        self.introduce(now, &news.instance);
        let Some(member) = self.members.get_mut(&news.instance) else { return };
        if !news.replaces(member.incarnation, member.life, member.standing) {
            return;
        }
        if member.incarnation != news.incarnation {
            member.evidence = None;
            member.heard = now;
        }
        if news.standing == Standing::Gone {
            member.evidence = Some(Evidence::Reported);
        }
        if member.standing != news.standing || member.incarnation != news.incarnation {
            member.since = now;
            let (instance, standing) = (news.instance.clone(), news.standing);
            out.decide(Decision::Standing { instance, standing });
        }
        member.incarnation = news.incarnation;
        member.life = news.life;
        member.standing = news.standing;
        self.revision += 1;
        member.domain = news.domain.clone();
        self.spread(news.clone());
    }

    /// Answers a suspicion of this instance by a higher life count.
    fn contradict(&mut self, news: &News) {
        let about_us = news.incarnation == self.own.name.incarnation;
        if about_us && news.standing == Standing::Suspect && news.life >= self.own.life {
            self.own.life = news.life + 1;
            let own = self.own_news();
            self.spread(own);
        }
    }

    pub(super) fn own_news(&self) -> News {
        News {
            instance: self.own.name.instance.clone(),
            incarnation: self.own.name.incarnation,
            life: self.own.life,
            standing: self.own.standing,
            domain: self.own.domain.clone(),
        }
    }

    fn introduce(&mut self, now: Time, instance: &InstanceName) {
        if *instance == self.own.name.instance || self.members.contains_key(instance) {
            return;
        }
        let member = Member {
            incarnation: Incarnation::default(),
            domain: self.own.domain.clone(),
            standing: Standing::Joining,
            version: Version::default(),
            heard: now,
            since: now,
            evidence: None,
            life: 0,
        };
        self.members.insert(instance.clone(), member);
        self.revision += 1;
        self.running += 1;
    }

    pub(super) fn forget(&mut self, now: Time) {
        let before = self.members.len();
        self.members.retain(|_, member| {
            member.standing != Standing::Gone || now.since(member.since) < FORGET_AFTER
        });
        self.revision += u64::from(self.members.len() != before);
    }

    /// Returns one peer drawn at random.
    pub(super) fn any_peer(&self, rng: &mut Rng) -> Option<InstanceName> {
        let count = self.running.saturating_sub(1);
        if count == 0 { None } else { self.peers().nth(rng.usize(..count)).cloned() }
    }
}

pub(super) fn member_news(instance: &InstanceName, member: &Member) -> News {
    News {
        instance: instance.clone(),
        incarnation: member.incarnation,
        life: member.life,
        standing: member.standing,
        domain: member.domain.clone(),
    }
}
