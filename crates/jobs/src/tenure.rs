//! When an entry instance claims a shard, renews its claim and gives it up.
//!
//! The claim is a row of the platform's store. It is taken over by a write under
//! the condition that it is unchanged, so that two claimants cannot both succeed.
//! A holder that is thought dead but lives loses nothing but its claim: all that
//! it would record is conditional on the row, and executors refuse its lower epoch.

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;

use crate::id::InstanceName;

data! {
    /// The row that says who owns a shard.
    #[derive(Serialize, Deserialize)]
    pub struct Claim {
        /// Epoch, which rises with each claim; the fencing token of all orders.
        #[serde(rename = "e")]
        pub epoch: u64,
        /// Instance that holds the shard; none where it was given up.
        #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
        pub holder: Option<InstanceName>,
        /// Start of the holder's process in milliseconds since 1970.
        #[serde(rename = "b", default)]
        pub started_ms: u64,
        /// Number of renewals.
        #[serde(rename = "n", default)]
        pub renewal: u64,
        /// Executors that the holder can steer.
        #[serde(rename = "r", default)]
        pub reach: u32,
        /// When a holder last gave the shard up because it did not keep up, in milliseconds
        /// since 1970; 0 where none has.
        #[serde(rename = "g", default)]
        pub yielded_ms: u64,
    }
}

data! {
    /// What governs claims.
    #[derive(Copy)]
    pub struct Settings {
        /// Executors that this instance can steer.
        pub reach: u32,
        /// Time between renewals of a held claim.
        pub renew_every: Span,
        /// Silence of a holder after which others may claim its shard.
        pub patience: Span,
        /// Time by which instances that would claim at once are spread.
        pub spread: Span,
        /// Head start of instances that can steer a shard over those that cannot.
        pub head_start: Span,
        /// Time that a holder that cannot steer its shard keeps it from one that can.
        pub makeshift: Span,
    }
}

data! {
    /// What an instance would take on with a shard.
    #[derive(Copy, Default)]
    pub struct Burden {
        /// Shards that it owns already.
        pub kept: u32,
        /// Executors of one shard.
        pub each: u32,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // That of an instance with 0.25 cores.
            reach: 250,
            // A third of the patience, so that two renewals may be lost or slow.
            renew_every: Span::from_ms(400),
            // Longer than two renewals at the store's usual worst answer.
            patience: Span::from_ms(1_500),
            // A claim's write and the news of it take about 30 ms.
            spread: Span::from_ms(150),
            // Long enough for the spread, a claim and the news of it, twice over.
            head_start: Span::from_ms(800),
            // Not while many instances start or come back at once.
            makeshift: Span::from_ms(2_500),
        }
    }
}

/// Pause after an attempt at a claim, in which its outcome is heard.
const AGAIN: Span = Span::from_ms(400);

/// Wait for each shard that an instance owns already: others come first.
const CROWDED: Span = Span::from_ms(250);

/// Least time between two times that a shard is given up by holders that do not keep up.
const YIELD_EVERY: Span = Span::from_ms(10_000);

/// Time without an answer of the store after which it is thought to have been away: the
/// claims are heard of every 1.2 s where nothing changes.
const UNHEARD: Span = Span::from_ms(2_000);

/// Age of the store's latest answer up to which a holder's silence is believed.
const FRESH: Span = Span::from_ms(250);

/// What is to be done about a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// Read the claim: the store may be away, and the holder only be unheard.
    Ask,
    /// Write a claim with a higher epoch, on condition that the row is unchanged.
    Claim,
    /// Renew the claim.
    Renew,
}

/// What an instance knows of the claim on one shard.
#[derive(Clone, Debug)]
pub struct Tenure {
    settings: Settings,
    me: InstanceName,
    started_ms: u64,
    /// Fraction of the spread that this instance waits, 0 to 1.
    rank: f64,
    seen: Option<Claim>,
    /// When the claim last changed, or the store was first heard after silence.
    changed: Option<Time>,
    /// When the present epoch was first seen.
    begun: Time,
    /// When the store last answered.
    heard: Time,
    renewed: Time,
    confirmed: Time,
    asked: Option<Time>,
    attempt: Option<Time>,
}

impl Tenure {
    /// Returns what `me`, a process started at `started_ms`, knows at the start.
    ///
    /// `rank` from 0 to 1 orders instances that would claim at once.
    pub fn new(settings: Settings, me: InstanceName, started_ms: u64, rank: f64) -> Self {
        let rank = rank.clamp(0.0, 1.0);
        Self {
            settings,
            me,
            started_ms,
            rank,
            seen: None,
            changed: None,
            begun: Time::ZERO,
            heard: Time::ZERO,
            renewed: Time::ZERO,
            confirmed: Time::ZERO,
            asked: None,
            attempt: None,
        }
    }

    /// Takes the claim as read from the store at `now`; `None` where there is no row.
    pub fn observe(&mut self, now: Time, claim: Option<Claim>) {
        self.heard(now);
        let epoch = |claim: &Option<Claim>| claim.as_ref().map(|claim| claim.epoch);
        if epoch(&self.seen) != epoch(&claim) {
            self.begun = now;
        }
        if self.seen != claim || self.changed.is_none() {
            self.seen = claim;
            self.changed = Some(now);
        }
    }

    /// Takes that the store answered at `now`, with or without news of the claim.
    pub fn heard(&mut self, now: Time) {
        if now.since(self.heard) >= UNHEARD {
            self.store_was_away(now);
        }
        self.heard = now;
    }

    /// Takes that the store was out of reach until `now`: a holder's silence during
    /// that time says nothing.
    pub fn store_was_away(&mut self, now: Time) {
        if self.changed.is_some() {
            self.changed = Some(now);
        }
    }

    /// Takes that a renewal or claim was acknowledged that was sent at `sent`.
    pub fn renewed(&mut self, sent: Time, claim: Claim) {
        self.renewed = sent;
        self.confirm(sent);
        self.changed = Some(sent);
        self.attempt = None;
        self.seen = Some(claim);
    }

    /// Takes that a write under the claim was acknowledged that was sent at `sent`.
    pub fn confirm(&mut self, sent: Time) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// Returns the latest claim seen.
    pub const fn claim(&self) -> Option<&Claim> {
        self.seen.as_ref()
    }

    /// Returns when the latest write under the claim that was acknowledged was sent.
    pub const fn confirmed(&self) -> Time {
        self.confirmed
    }

    /// Reports whether the claim names this process.
    pub fn is_mine(&self) -> bool {
        self.seen.as_ref().is_some_and(|claim| {
            claim.holder.as_ref() == Some(&self.me) && claim.started_ms == self.started_ms
        })
    }

    /// Returns the claim that this process would write next.
    pub fn next_claim(&self) -> Claim {
        let holder = Some(self.me.clone());
        let (epoch, renewal) = match &self.seen {
            Some(claim) if self.is_mine() => (claim.epoch, claim.renewal + 1),
            Some(claim) => (claim.epoch + 1, 0),
            None => (1, 0),
        };
        let reach = self.settings.reach;
        let yielded_ms = self.yielded_ms();
        Claim { epoch, holder, started_ms: self.started_ms, renewal, reach, yielded_ms }
    }

    /// Returns the claim that gives the shard up, keeping its epoch.
    pub fn release(&self) -> Claim {
        let epoch = self.seen.as_ref().map_or(0, |claim| claim.epoch);
        let yielded_ms = self.yielded_ms();
        Claim { epoch, holder: None, started_ms: 0, renewal: 0, reach: 0, yielded_ms }
    }

    /// Returns the claim that gives the shard up at `wall_ms` because this instance does
    /// not keep up; none where another did so lately: then the work is too much for all.
    pub fn yielding(&self, wall_ms: u64) -> Option<Claim> {
        let lately = wall_ms.saturating_sub(self.yielded_ms()) < YIELD_EVERY.as_ms();
        (!lately).then(|| Claim { yielded_ms: wall_ms, ..self.release() })
    }

    fn yielded_ms(&self) -> u64 {
        self.seen.as_ref().map_or(0, |claim| claim.yielded_ms)
    }

    /// Returns what is to be done at `now` by an instance that would take on `burden`.
    pub fn step(&mut self, now: Time, burden: Burden) -> Step {
        let Some(changed) = self.changed else {
            return Step::Wait;
        };
        if self.is_mine() {
            let due = now.since(self.renewed) >= self.settings.renew_every;
            return if due { Step::Renew } else { Step::Wait };
        }
        let due = now.since(changed) >= self.wait(burden) || self.relieves(now, burden);
        if !due || self.attempt.is_some_and(|at| at > now) {
            return Step::Wait;
        }
        let held = self.seen.as_ref().is_some_and(|claim| claim.holder.is_some());
        if held && now.since(self.heard) > FRESH {
            let lately = self.asked.is_some_and(|at| now.since(at) < AGAIN);
            if !lately {
                self.asked = Some(now);
            }
            return if lately { Step::Wait } else { Step::Ask };
        }
        self.attempt = Some(now + self.settings.spread + AGAIN);
        Step::Claim
    }

    /// Returns how long the claim must have been unchanged.
    fn wait(&self, burden: Burden) -> Span {
        let holder = self.seen.as_ref().and_then(|claim| claim.holder.as_ref());
        let patience = match holder {
            // An earlier process of this instance, which is gone.
            Some(holder) if *holder == self.me => return Span::ZERO,
            Some(_) => self.settings.patience,
            None => Span::ZERO,
        };
        let handicap = if self.can_steer(burden) { Span::ZERO } else { self.settings.head_start };
        let crowded = CROWDED.times(u64::from(burden.kept));
        patience + handicap + crowded + self.settings.spread.scale(self.rank)
    }

    /// Reports whether this instance takes the shard from a holder that lives but cannot
    /// steer it.
    fn relieves(&self, now: Time, burden: Burden) -> bool {
        let Some(claim) = &self.seen else {
            return false;
        };
        let kept = self.settings.makeshift + self.settings.spread.times(4).scale(self.rank);
        claim.holder.is_some()
            && claim.reach < burden.each
            && self.can_steer(burden)
            && now.since(self.begun) >= kept
    }

    const fn can_steer(&self, burden: Burden) -> bool {
        self.settings.reach >= burden.each * (burden.kept + 1)
    }
}
