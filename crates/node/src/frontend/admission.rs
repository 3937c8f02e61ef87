//! Outlooks of the owners of shards, as this instance received them, and the submissions that it
//! refuses by them.
//!
//! Load pattern: jobs arrive of which the owner expects that they can't be completed in time. See
//! [`sycamorerill_jobs::admission`] for the decision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::admission::{Assessment, Forecast, Outlook, Refusal, Settings};
use sycamorerill_jobs::id::{JobId, QueueName, ShardId};
use xxhash_rust::xxh3::xxh3_64;

use super::decode;
use crate::layout::{self, Layout, OUTLOOK};
use crate::log::{Code, Line};
use crate::platform::{Row, StoreClock};

/// The stored value of the row with the outlook of a shard's owner.
#[derive(Serialize, Deserialize)]
pub(crate) struct OutlookRow {
    #[serde(flatten)]
    outlook: Outlook,
    /// Lower bound on the time of the store's clock when the row was written, in milliseconds.
    #[serde(rename = "store")]
    store_ms: Option<u64>,
}

impl OutlookRow {
    pub(crate) fn new(outlook: Outlook, clock: Option<StoreClock>, now: Time) -> Self {
        Self { outlook, store_ms: clock.map(|clock| clock.earliest(now).as_ms()) }
    }

    /// Returns an upper bound on the age of the row; returns none if the store's clock is not known
    /// or not that of the row.
    fn age(&self, clock: Option<StoreClock>, now: Time) -> Option<Span> {
        let (written, clock) = (Span::from_ms(self.store_ms?), clock?);
        let latest = clock.latest(now);
        (latest >= written).then(|| latest.saturating_sub(written))
    }
}

/// Outlook of one shard.
#[derive(Debug)]
struct Received {
    wait_ms: BTreeMap<QueueName, u64>,
    at: Time,
    /// Age when it was received.
    age: Span,
}

/// The latest outlook of each shard.
#[derive(Debug, Default)]
pub(super) struct Outlooks {
    shards: BTreeMap<ShardId, Received>,
}

impl Outlooks {
    /// Applies a row of [`Table::States`](crate::platform::Table::States). A row that can't be read
    /// refuses nothing.
    pub(super) fn apply(
        &mut self,
        layout: Layout,
        row: &Row,
        clock: Option<StoreClock>,
        now: Time,
    ) {
        if row.name != OUTLOOK {
            return;
        }
        let mut shards = layout.shards();
        let Some(shard) = shards.find(|shard| layout::shard_part(*shard) == row.part) else {
            return;
        };
        self.shards.remove(&shard);
        let read = decode::<OutlookRow>(row);
        if let Some((row, age)) = read.and_then(|row| row.age(clock, now).map(|age| (row, age))) {
            let wait_ms = row.outlook.wait_ms;
            self.shards.insert(shard, Received { wait_ms, at: now, age });
        }
    }

    /// Returns the wait that the owner of a shard expects for a queue, with its age.
    pub(super) fn forecast(
        &self,
        shard: ShardId,
        queue: &QueueName,
        now: Time,
    ) -> Option<Forecast> {
        let received = self.shards.get(&shard)?;
        let wait = Span::from_ms(*received.wait_ms.get(queue)?);
        Some(Forecast { wait, age: received.age + now.since(received.at) })
    }

    /// Returns the longest wait of any queue in outlooks that are not older than `max_age`.
    pub(super) fn longest_wait(&self, max_age: Span, now: Time) -> Span {
        let fresh = |received: &&Received| received.age + now.since(received.at) <= max_age;
        let waits =
            self.shards.values().filter(fresh).flat_map(|received| received.wait_ms.values());
        Span::from_ms(waits.max().copied().unwrap_or(0))
    }
}

/// What speaks against the acceptance of a submitted job, and the numbers drawn for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Doubt {
    assessment: Assessment,
    settings: Settings,
    draw: f64,
    spread: f64,
}

impl Doubt {
    /// Returns the doubt about a job. The numbers follow from its identifier, so that they are the
    /// same at all instances.
    pub(super) fn new(id: JobId, assessment: Assessment, settings: Settings) -> Self {
        let hash = xxh3_64(&id.0.to_le_bytes());
        let fraction = |bits: u64| bits as u32 as f64 / (u32::MAX as f64 + 1.0);
        Self { assessment, settings, draw: fraction(hash), spread: fraction(hash >> 32) }
    }

    /// Returns the refusal of a job that is submitted for the first time, with the time after which
    /// its caller is to come back; returns none if the job is accepted.
    pub(super) fn refusal(&self, now_ms: u64) -> Option<(Refusal, Span)> {
        let after = self.assessment.retry_after(&self.settings, self.spread);
        self.assessment.refuses(self.draw).then(|| (Refusal::new(now_ms, after), after))
    }

    /// Returns the same for a job that was refused before.
    pub(super) fn refusal_again(&self, earlier: Refusal, now_ms: u64) -> Option<(Refusal, Span)> {
        earlier.again(&self.settings, &self.assessment, self.spread, now_ms)
    }

    /// Logs that the job was refused.
    pub(super) fn log_refusal(&self, id: JobId, queue: &QueueName, retry_after: Span) {
        Line::new(Code::Refused)
            .text("job", id)
            .text("queue", queue)
            .number("expected_ms", self.assessment.expected.as_ms())
            .number("limit_ms", self.assessment.limit.as_ms())
            .number("age_ms", self.assessment.age.as_ms())
            .number("refused_percent", (self.assessment.probability * 100.0) as u64)
            .number("retry_ms", retry_after.as_ms())
            .write();
    }
}
