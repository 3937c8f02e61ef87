//! Following tables: read whole, then change by change, and whole again when
//! history is gone.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::Span;

use crate::platform::{Error, Platform, Row, Table, Version};

/// Longest wait for a change: a connection that went silent is noticed soon after, well
/// within the 2 s and 3 s in which a configuration and a cancelling must be in force.
const WATCH_TIMEOUT: Span = Span::from_ms(1_000);
/// Pause after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Rows asked for at once.
const PAGE_ROWS: u32 = 500;
/// Failures in a row after which the store is thought to be away.
const UNAVAILABLE_AFTER: u32 = 2;

/// What is heard of a table.
#[derive(Clone, Debug)]
pub(crate) enum Update {
    /// All rows there are.
    Snapshot(Vec<Row>),
    /// Rows that changed.
    Changed(Vec<Row>),
    /// The store does not answer.
    Unavailable,
}

/// What is followed.
#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    pub(crate) table: Table,
    pub(crate) parts: Vec<String>,
    /// Version from which to follow; without one all is read first.
    pub(crate) after: Option<Version>,
    /// Pause after each change, in which further ones gather: each call is paid for.
    pub(crate) batch_delay: Duration,
}

/// Follows a table for ever and passes on what is heard.
pub(crate) async fn watch<P: Platform>(
    platform: Rc<P>,
    subject: Subscription,
    on_update: impl Fn(Update),
) {
    let Subscription { table, parts, mut after, batch_delay } = subject;
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
                on_update(update);
                if batch_delay > Duration::ZERO {
                    Timer::after(batch_delay).await;
                }
            }
            Err(Error::HistoryGone) => after = None,
            Err(_) => {
                failures += 1;
                if failures >= UNAVAILABLE_AFTER {
                    on_update(Update::Unavailable);
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

/// Reads all rows of some parts of a table, and the version from which to follow.
pub(crate) async fn read_all<P: Platform>(
    platform: &P,
    table: Table,
    parts: &[String],
) -> Result<(Vec<Row>, Version), Error> {
    let mut rows = Vec::new();
    let mut version = None;
    for part in parts {
        let mut from = String::new();
        loop {
            let page = platform.read(table, part, &from, PAGE_ROWS).await?;
            version.get_or_insert(page.version);
            let last = page.rows.last().map(|row| row.name.clone());
            rows.extend(page.rows);
            match last {
                // The next name in byte order.
                Some(name) if page.more => from = format!("{name}\0"),
                _ => break,
            }
        }
    }
    Ok((rows, version.unwrap_or_default()))
}
