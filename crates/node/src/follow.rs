//! Following tables: read whole, then change by change, and whole again when
//! history is gone.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::Span;

use crate::port::{Error, Platform, Row, Table, Version};

/// Longest wait for a change: a connection that went silent is noticed soon after, well
/// within the 2 s and 3 s in which a configuration and a cancelling must be in force.
const WAIT: Span = Span::from_ms(1_000);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(150);
/// Rows asked for at once.
const PAGE: u32 = 500;
/// Failures in a row after which the store is thought to be away.
const AWAY: u32 = 2;

/// What is heard of a table.
#[derive(Clone, Debug)]
pub(crate) enum News {
    /// All rows there are.
    Whole(Vec<Row>),
    /// Rows that changed.
    Changed(Vec<Row>),
    /// The store does not answer.
    Away,
}

/// What is followed.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    pub(crate) table: Table,
    pub(crate) parts: Vec<String>,
    /// Version from which to follow; without one all is read first.
    pub(crate) after: Option<Version>,
    /// Pause after each change, in which further ones gather: each call is paid for.
    pub(crate) gather: Duration,
}

/// Follows a table for ever and passes on what is heard.
pub(crate) async fn follow<P: Platform>(platform: Rc<P>, subject: Subject, tell: impl Fn(News)) {
    let Subject { table, parts, mut after, gather } = subject;
    let mut failures = 0;
    loop {
        let heard = match after {
            Some(version) => next(&*platform, table, version).await,
            None => whole(&*platform, table, &parts).await,
        };
        match heard {
            Ok((news, version)) => {
                failures = 0;
                after = Some(version);
                tell(news);
                if gather > Duration::ZERO {
                    Timer::after(gather).await;
                }
            }
            Err(Error::HistoryGone) => after = None,
            Err(_) => {
                failures += 1;
                if failures >= AWAY {
                    tell(News::Away);
                }
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn next<P: Platform>(
    platform: &P,
    table: Table,
    after: Version,
) -> Result<(News, Version), Error> {
    let changes = platform.follow(table, after, WAIT).await?;
    Ok((News::Changed(changes.rows), changes.version))
}

async fn whole<P: Platform>(
    platform: &P,
    table: Table,
    parts: &[String],
) -> Result<(News, Version), Error> {
    let (rows, version) = read_all(platform, table, parts).await?;
    Ok((News::Whole(rows), version))
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
            let page = platform.read(table, part, &from, PAGE).await?;
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
