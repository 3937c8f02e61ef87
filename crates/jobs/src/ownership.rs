//! Decides when an entry instance claims a shard, renews its claim and releases it.
//!
//! The claim is a row of the platform's store that names the shard's owner, the holder of
//! the claim. It is replaced by a write that is conditional on the row being unchanged, so
//! at most one of several claimants succeeds. A live holder that others presume dead loses
//! only its claim: its own writes are conditional on the row too, and executors refuse
//! orders with its lower epoch.

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;

use crate::id::InstanceName;

data! {
    /// Row of the store that names the owner of a shard.
    #[derive(Serialize, Deserialize)]
    pub struct Claim {
        /// Fencing token of all orders of the holder; it rises with each claim.
        #[serde(rename = "e")]
        pub epoch: u64,
        /// Instance that owns the shard; `None` after a release.
        #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
        pub holder: Option<InstanceName>,
        /// When the holder's process started, in milliseconds since 1970.
        #[serde(rename = "b", default)]
        pub started_ms: u64,
        /// Number of renewals since the holder claimed the shard.
        #[serde(rename = "n", default)]
        pub renewal: u64,
        /// Number of executors that the holder can manage.
        #[serde(rename = "r", default)]
        pub max_executors: u32,
        /// When a holder last released the shard because it fell behind, in milliseconds
        /// since 1970; 0 if none has.
        #[serde(rename = "g", default)]
        pub yielded_ms: u64,
        /// Number of such releases in a row.
        #[serde(rename = "y", default)]
        pub yields: u32,
    }
}

impl Claim {
    /// Returns whether the claim can be one of an instance: its epoch can still rise.
    pub const fn is_valid(&self) -> bool {
        self.epoch < MAX_EPOCH
    }
}

data! {
    /// Capacity of an instance and the times that govern its claims.
    #[derive(Copy)]
    pub struct Settings {
        /// Number of executors that this instance can manage.
        pub max_executors: u32,
        /// Time between renewals of a held claim.
        pub renewal_interval: Span,
        /// Time without a renewal after which other instances may claim the shard.
        pub renewal_timeout: Span,
        /// Interval over which instances spread claims that they would write at the same time.
        pub claim_spread: Span,
        /// Additional claim delay of an instance without the capacity for the shard, so that
        /// instances with the capacity claim first.
        pub low_capacity_delay: Span,
        /// Additional claim delay of an instance that recently failed as a holder, so that others
        /// with the capacity claim first. It is less than `low_capacity_delay`.
        pub failed_holder_delay: Span,
        /// Minimum time from the claim of a holder without the capacity for the shard until an
        /// instance with the capacity takes the shard over, even if the holder renews.
        pub takeover_delay: Span,
    }
}

data! {
    /// Load that an instance would carry with one more shard.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Number of shards that the instance already owns.
        pub owned_shards: u32,
        /// Number of executors in one shard.
        pub executors_per_shard: u32,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // Capacity of an instance with 0.25 cores.
            max_executors: 250,
            // Less than a third of `renewal_timeout`, so that two renewals may be lost or late.
            renewal_interval: Span::from_ms(400),
            // Longer than two renewals at the store's usual worst-case latency.
            renewal_timeout: Span::from_ms(1_500),
            // Writing a claim and notifying the other instances takes about 30 ms.
            claim_spread: Span::from_ms(150),
            // At least twice the sum of `claim_spread` and the time to write a claim and notify the
            // other instances.
            low_capacity_delay: Span::from_ms(800),
            failed_holder_delay: Span::from_ms(400),
            // Long enough that shards stay in place while many instances start or recover.
            takeover_delay: Span::from_ms(2_500),
        }
    }
}

/// Epoch that no number of claims reaches.
const MAX_EPOCH: u64 = 1 << 53;

/// Minimum delay before a claim or a read of the claim is repeated, so that its outcome can
/// arrive first.
const RETRY_DELAY: Span = Span::from_ms(400);

/// Additional claim delay for each shard that the instance already owns, so that instances
/// with fewer shards claim first.
const DELAY_PER_OWNED_SHARD: Span = Span::from_ms(250);

/// Minimum time between two releases of a shard by holders that fell behind. It doubles with
/// each release in a row, since the work may be too much for any instance.
const MIN_YIELD_INTERVAL: Span = Span::from_ms(3_000);

/// Upper bound on the minimum time between two such releases.
const MAX_YIELD_INTERVAL: Span = Span::from_ms(24_000);

/// Time without such a release after which the next one counts as the first in a row.
const YIELD_MEMORY: Span = Span::from_ms(30_000);

/// Number of responses of the store in which a claim is written and the other instances learn of
/// it. Instances spread their claims over at least this time, as each claim that is written in vain
/// holds up the store, most of all while it is slow.
const RESPONSES_PER_CLAIM: f64 = 4.0;

/// Time after an instance failed as a holder in which it lets others claim first.
const FAILED_HOLDER_MEMORY: Span = Span::from_ms(15_000);

/// Time without a response after which the store is considered to have been unavailable. It
/// responds about the claims every 1.2 s even if none has changed.
const OUTAGE_THRESHOLD: Span = Span::from_ms(2_000);

/// Maximum age of the store's latest response at which an unchanged claim counts as evidence
/// that its holder has failed.
const MAX_RESPONSE_AGE: Span = Span::from_ms(250);

/// Action to take on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Do nothing now.
    Wait,
    /// Read the claim before claiming. The store may be unavailable, and the holder alive but
    /// unable to renew.
    ReadClaim,
    /// Write a claim with a higher epoch, conditional on the row being unchanged.
    Claim,
    /// Renew the claim under its epoch.
    Renew,
}

/// State of the claim on one shard, as one instance has observed it.
#[derive(Clone, Debug)]
pub struct Ownership {
    settings: Settings,
    instance: InstanceName,
    started_ms: u64,
    /// Fraction of `Settings::claim_spread` that this instance waits, 0 to 1.
    spread_fraction: f64,
    /// Latest claim that was read or acknowledged.
    claim: Option<Claim>,
    /// When the claim last changed or the store last became available again; `None` before
    /// the first read.
    unchanged_since: Option<Time>,
    /// When the current epoch was first seen.
    epoch_seen_at: Time,
    /// When the store last responded.
    last_response: Time,
    /// Time in which the store has responded lately.
    store_latency: Span,
    /// When the latest acknowledged claim or renewal was sent.
    last_renewal: Time,
    /// When the latest acknowledged write under the claim was sent.
    last_confirmed: Time,
    /// When `Action::ReadClaim` was last returned.
    last_read: Option<Time>,
    /// Earliest time of the next `Action::Claim`, set by the previous one; `None` once a claim
    /// or renewal is acknowledged.
    retry_at: Option<Time>,
    /// When this instance last released the shard because it fell behind, or lost its claim to
    /// another.
    failed_at: Option<Time>,
}

impl Ownership {
    /// Returns the state before the first read of the claim, for a process of `instance`
    /// that started at `started_ms`, in milliseconds since 1970.
    ///
    /// `spread_fraction` is the part of [`Settings::claim_spread`] that this instance waits, from
    /// 0 to 1. It separates instances that would otherwise claim at the same time.
    pub fn new(
        settings: Settings,
        instance: InstanceName,
        started_ms: u64,
        spread_fraction: f64,
    ) -> Self {
        let spread_fraction = spread_fraction.clamp(0.0, 1.0);
        Self {
            settings,
            instance,
            started_ms,
            spread_fraction,
            claim: None,
            unchanged_since: None,
            epoch_seen_at: Time::ZERO,
            last_response: Time::ZERO,
            store_latency: Span::ZERO,
            last_renewal: Time::ZERO,
            last_confirmed: Time::ZERO,
            last_read: None,
            retry_at: None,
            failed_at: None,
        }
    }

    /// Records the claim as read from the store at `now`; `None` if there is no row.
    pub fn observe(&mut self, now: Time, claim: Option<Claim>) {
        self.record_response(now);
        let epoch = |claim: &Option<Claim>| claim.as_ref().map(|claim| claim.epoch);
        if epoch(&self.claim) != epoch(&claim) {
            self.epoch_seen_at = now;
        }
        if self.claim != claim || self.unchanged_since.is_none() {
            let was_held = self.is_held();
            self.claim = claim;
            if was_held && !self.is_held() {
                self.failed_at = Some(now);
            }
            self.unchanged_since = Some(now);
        }
    }

    /// Records that the store responded at `now`, whether or not it reported the claim.
    pub fn record_response(&mut self, now: Time) {
        if now.since(self.last_response) >= OUTAGE_THRESHOLD {
            self.restart_timeout(now);
        }
        self.last_response = now;
    }

    /// Sets the time in which the store has responded lately.
    pub const fn set_store_latency(&mut self, latency: Span) {
        self.store_latency = latency;
    }

    /// Records that the store was unavailable until `now`.
    ///
    /// A holder could not renew in that time, so its missing renewals do not count.
    pub fn record_outage(&mut self, now: Time) {
        self.restart_timeout(now);
    }

    fn restart_timeout(&mut self, now: Time) {
        if self.unchanged_since.is_some() {
            self.unchanged_since = Some(now);
        }
    }

    /// Records that `claim`, a new claim or a renewal sent at `sent`, was acknowledged.
    pub fn record_renewal(&mut self, sent: Time, claim: Claim) {
        self.last_renewal = sent;
        self.record_write(sent);
        self.unchanged_since = Some(sent);
        self.retry_at = None;
        self.claim = Some(claim);
    }

    /// Records that a write under the claim, sent at `sent`, was acknowledged.
    pub fn record_write(&mut self, sent: Time) {
        self.last_confirmed = self.last_confirmed.max(sent);
    }

    /// Returns the latest claim that was read or acknowledged, if any.
    pub const fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns when the latest acknowledged write under the claim was sent.
    pub const fn last_confirmed(&self) -> Time {
        self.last_confirmed
    }

    /// Returns whether this process holds the claim.
    pub fn is_held(&self) -> bool {
        self.claim.as_ref().is_some_and(|claim| {
            claim.holder.as_ref() == Some(&self.instance) && claim.started_ms == self.started_ms
        })
    }

    /// Returns the claim that this process would write next: a renewal if it holds the claim,
    /// otherwise a claim with the next epoch.
    pub fn next_claim(&self) -> Claim {
        let holder = Some(self.instance.clone());
        let (epoch, renewal) = match &self.claim {
            Some(claim) if self.is_held() => (claim.epoch, claim.renewal.saturating_add(1)),
            Some(claim) => (claim.epoch.saturating_add(1), 0),
            None => (1, 0),
        };
        let max_executors = self.settings.max_executors;
        let (yielded_ms, yields) = self.last_yield();
        let started_ms = self.started_ms;
        Claim { epoch, holder, started_ms, renewal, max_executors, yielded_ms, yields }
    }

    /// Returns the claim that releases the shard and keeps its epoch.
    pub fn released_claim(&self) -> Claim {
        let epoch = self.claim.as_ref().map_or(0, |claim| claim.epoch);
        let (yielded_ms, yields) = self.last_yield();
        Claim {
            epoch,
            holder: None,
            started_ms: 0,
            renewal: 0,
            max_executors: 0,
            yielded_ms,
            yields,
        }
    }

    /// Returns the claim that releases the shard because this instance fell behind at
    /// `wall_ms`, in milliseconds since 1970.
    ///
    /// Returns `None` if a holder did so shortly before: 3 s, and twice as long after each
    /// release in a row, up to 24 s.
    pub fn yielded_claim(&self, wall_ms: u64) -> Option<Claim> {
        let (yielded_ms, yields) = self.last_yield();
        let since = Span::from_ms(wall_ms.saturating_sub(yielded_ms));
        if yields > 0 && since < yield_interval(yields) {
            return None;
        }
        let yields = if since < YIELD_MEMORY { yields.saturating_add(1) } else { 1 };
        Some(Claim { yielded_ms: wall_ms, yields, ..self.released_claim() })
    }

    /// Returns when a holder last released the shard because it fell behind, in milliseconds
    /// since 1970, and the number of such releases in a row.
    fn last_yield(&self) -> (u64, u32) {
        self.claim.as_ref().map_or((0, 0), |claim| (claim.yielded_ms, claim.yields))
    }

    /// Returns the action to take at `now`; `load` includes this shard.
    pub fn next_action(&mut self, now: Time, load: Load) -> Action {
        let Some(unchanged_since) = self.unchanged_since else {
            return Action::Wait;
        };
        if self.is_held() {
            let due = now.since(self.last_renewal) >= self.settings.renewal_interval;
            return if due { Action::Renew } else { Action::Wait };
        }
        let due = now.since(unchanged_since) >= self.claim_delay(now, load)
            || self.takes_over_live_holder(now, load);
        if !due || self.retry_at.is_some_and(|at| at > now) {
            return Action::Wait;
        }
        let held = self.claim.as_ref().is_some_and(|claim| claim.holder.is_some());
        if held && now.since(self.last_response) > MAX_RESPONSE_AGE {
            let recently = self.last_read.is_some_and(|at| now.since(at) < RETRY_DELAY);
            if !recently {
                self.last_read = Some(now);
            }
            return if recently { Action::Wait } else { Action::ReadClaim };
        }
        self.retry_at = Some(now + self.claim_spread() + RETRY_DELAY);
        Action::Claim
    }

    /// Returns how long the claim must have been unchanged before this instance claims.
    fn claim_delay(&self, now: Time, load: Load) -> Span {
        let holder = self.claim.as_ref().and_then(|claim| claim.holder.as_ref());
        let renewal_timeout = match holder {
            // The holder is an earlier process of this instance, which has ended.
            Some(holder) if *holder == self.instance => return Span::ZERO,
            Some(_) => self.settings.renewal_timeout,
            None => Span::ZERO,
        };
        let low_capacity_delay =
            if self.has_capacity(load) { Span::ZERO } else { self.low_capacity_delay() };
        let owned_delay = DELAY_PER_OWNED_SHARD.saturating_mul(u64::from(load.owned_shards));
        let failed = self.failed_at.is_some_and(|at| now.since(at) < FAILED_HOLDER_MEMORY);
        let failed_holder_delay =
            if failed { self.settings.failed_holder_delay } else { Span::ZERO };
        renewal_timeout
            + low_capacity_delay
            + failed_holder_delay
            + owned_delay
            + self.claim_spread().scale(self.spread_fraction)
    }

    /// Returns the interval over which instances spread claims, which is longer while the store is
    /// slow.
    fn claim_spread(&self) -> Span {
        self.settings.claim_spread.max(self.store_latency.scale(RESPONSES_PER_CLAIM))
    }

    /// Returns the additional claim delay of an instance without the capacity for the shard. The
    /// last of those with the capacity have claimed by then, and the others have learned of it.
    fn low_capacity_delay(&self) -> Span {
        let learned = self.claim_spread() + self.store_latency.scale(RESPONSES_PER_CLAIM);
        self.settings.low_capacity_delay.max(learned)
    }

    /// Returns whether this instance takes the shard over from a holder that renews its claim but
    /// lacks the capacity for the shard.
    fn takes_over_live_holder(&self, now: Time, load: Load) -> bool {
        let Some(claim) = &self.claim else {
            return false;
        };
        let delay = self.settings.takeover_delay
            + self.claim_spread().saturating_mul(4).scale(self.spread_fraction);
        claim.holder.is_some()
            && claim.max_executors < load.executors_per_shard
            && self.has_capacity(load)
            && now.since(self.epoch_seen_at) >= delay
    }

    /// Returns whether this instance can manage the shard in addition to those it owns.
    const fn has_capacity(&self, load: Load) -> bool {
        self.settings.max_executors >= load.executors_per_shard * (load.owned_shards + 1)
    }
}

/// Returns the minimum time until the release after `yields` releases in a row.
fn yield_interval(yields: u32) -> Span {
    let doublings = yields.saturating_sub(1).min(8);
    MIN_YIELD_INTERVAL.saturating_mul(1 << doublings).min(MAX_YIELD_INTERVAL)
}
