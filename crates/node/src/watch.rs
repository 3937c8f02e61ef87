//! Watches tables of the store.
//!
//! A watch reads a snapshot of the table first and then its changes. When the store has
//! discarded the history that the watch needs, it reads a new snapshot.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures::stream::{self, StreamExt, TryStreamExt};
use sycamorerill_core::clock::Span;

use crate::platform::{Error, Platform, Row, Table, Version};

/// Longest time that one call waits for a change.
///
/// A silent connection is noticed soon after this time. That is well within the 2 s in
/// which a new configuration, and the 3 s in which a cancellation, must take effect.
const WATCH_TIMEOUT: Span = Span::from_ms(1_000);
/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Number of rows requested per page.
const PAGE_ROWS: u32 = 500;
/// Maximum number of parts that are read at the same time.
const MAX_PARALLEL_READS: usize = 16;
/// Consecutive failures after which the store is reported as unavailable.
pub(crate) const UNAVAILABLE_AFTER: u32 = 2;

/// A result of watching a table.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// All rows of the table.
    Snapshot(Vec<Row>),
    /// Rows that changed since the previous update.
    Changed(Vec<Row>),
    /// The store did not answer several calls in a row.
    Unavailable,
}

/// Selects the rows to watch and how to deliver their changes.
#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    pub(crate) table: Table,
    pub(crate) parts: Vec<String>,
    /// Version after which changes are read; without one, a snapshot is read first.
    pub(crate) after: Option<Version>,
    /// Delay after each update in which further changes accumulate, because each call to
    /// the store has a cost.
    pub(crate) batch_delay: Duration,
}

/// Watches a table and passes each update to `on_update`, with the version of the store up to which
/// it is complete; never returns.
pub(crate) async fn watch<P: Platform>(
    platform: Rc<P>,
    subscription: Subscription,
    on_update: impl Fn(Update, Version),
) {
    let Subscription { table, parts, mut after, batch_delay } = subscription;
    let mut failures = 0;
    loop {
        let result = match after {
            Some(version) => next_changes(&*platform, table, version).await,
            None => read_snapshot(&*platform, table, &parts).await,
        };
        match result {
            Ok((update, version)) => {
                failures = 0;
                after = Some(version);
                on_update(update, version);
                if batch_delay > Duration::ZERO {
                    Timer::after(batch_delay).await;
                }
            }
            Err(Error::HistoryGone) => after = None,
            Err(_) => {
                failures += 1;
                if failures >= UNAVAILABLE_AFTER {
                    on_update(Update::Unavailable, after.unwrap_or_default());
                }
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

async fn next_changes<P: Platform>(
    platform: &P,
    table: Table,
    after: Version,
) -> Result<(Update, Version), Error> {
    let changes = platform.watch(table, after, WATCH_TIMEOUT).await?;
    Ok((Update::Changed(changes.rows), changes.version))
}

async fn read_snapshot<P: Platform>(
    platform: &P,
    table: Table,
    parts: &[String],
) -> Result<(Update, Version), Error> {
    let (rows, version) = read_all(platform, table, parts).await?;
    Ok((Update::Snapshot(rows), version))
}

/// Reads all rows in the given parts of a table, several parts at the same time.
///
/// Also returns the earliest version of the store at the first page of a part. Changes after it
/// must be read to bring the rows up to date.
pub(crate) async fn read_all<P: Platform>(
    platform: &P,
    table: Table,
    parts: &[String],
) -> Result<(Vec<Row>, Version), Error> {
    let reads = parts.iter().map(|part| read_part(platform, table, part));
    let read: Vec<(Vec<Row>, Version)> =
        stream::iter(reads).buffered(MAX_PARALLEL_READS).try_collect().await?;
    let version = read.iter().map(|(_, version)| *version).min();
    let rows = read.into_iter().flat_map(|(rows, _)| rows).collect();
    Ok((rows, version.unwrap_or_default()))
}

/// Reads all rows in a part of a table, and returns the version of the store at the first page.
async fn read_part<P: Platform>(
    platform: &P,
    table: Table,
    part: &str,
) -> Result<(Vec<Row>, Version), Error> {
    let mut rows = Vec::new();
    let mut version = None;
    let mut from = String::new();
    loop {
        let page = platform.read(table, part, &from, PAGE_ROWS).await?;
        let version = *version.get_or_insert(page.version);
        let last = page.rows.last().map(|row| row.name.clone());
        rows.extend(page.rows);
        match last {
            // The smallest name greater than `name` in byte order.
            Some(name) if page.more => from = format!("{name}\0"),
            _ => return Ok((rows, version)),
        }
    }
}
