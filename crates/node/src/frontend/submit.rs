//! Rows of jobs: taken in, cancelled and looked up.

use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::{JobId, QueueName};
use sycamorerill_jobs::spec::{Accepted, Job};

use super::{QueuedRow, Reply, decode, encode};
use crate::instance::Context;
use crate::platform::{Error, Platform, Row, Transaction, Version};
use crate::{clock, layout};

/// What a caller is told to wait when nothing was done.
pub(super) const RETRY_AFTER: Span = Span::from_ms(1_000);
/// Longest time that a caller is kept while the store does not take a row.
const STORE_TIMEOUT: Span = Span::from_ms(1_300);
/// Longest time that the store may take for one attempt.
const ATTEMPT_TIMEOUT: Span = Span::from_ms(600);
/// Pause after the store refused.
const REFUSED_DELAY: Duration = Duration::from_millis(40);
/// Refusals in a row after which a caller is told so.
const MAX_REFUSALS: u32 = 5;

/// Stores a job, so that it will run, and returns what the caller is told.
pub(super) async fn submit<P: Platform>(
    context: &Context<P>,
    id: JobId,
    queue: &QueueName,
    job: Job,
    timeout: Option<Span>,
) -> Reply {
    let accepted = Accepted { queue: queue.clone(), at_ms: clock::wall_ms(), job };
    let key = layout::accepted_key(id);
    let change = Transaction {
        expected: vec![(key.clone(), Version(0))],
        writes: vec![
            (key, encode(&accepted)),
            (layout::queued_key(id), encode(&QueuedRow { queue: queue.clone() })),
        ],
        removes: Vec::new(),
    };
    match persist(context, &change, timeout).await {
        Ok(_) => Reply::Accepted,
        // An earlier attempt of ours or of the caller was stored.
        Err(Error::Conflict(rows)) => reply_to_conflict(&rows, &accepted),
        Err(Error::Unknown | Error::Malformed(_)) => Reply::Unknown,
        Err(Error::Refused(_) | Error::NotSent | Error::HistoryGone) => Reply::NotDone(RETRY_AFTER),
    }
}

fn reply_to_conflict(rows: &[Row], accepted: &Accepted) -> Reply {
    match rows.iter().find_map(decode::<Accepted>) {
        Some(stored) if stored.job != accepted.job => Reply::Taken,
        _ => Reply::Accepted,
    }
}

/// Makes a change, again and again where it is not known whether it was made: the
/// change must be one that takes effect once.
async fn persist<P: Platform>(
    context: &Context<P>,
    change: &Transaction,
    timeout: Option<Span>,
) -> Result<Version, Error> {
    let until = deadline(timeout);
    let mut unknown = false;
    let mut refused = 0;
    loop {
        let remaining = until.since(clock::now());
        let result = context.platform.transact(change, remaining.min(ATTEMPT_TIMEOUT)).await;
        match result {
            Ok(_) | Err(Error::Conflict(_)) => return result,
            Err(Error::Unknown | Error::Malformed(_)) => unknown = true,
            Err(_) => {
                refused += 1;
                Timer::after(REFUSED_DELAY).await;
            }
        }
        let exhausted = clock::now() >= until || refused >= MAX_REFUSALS;
        match result {
            Err(error) if exhausted && !unknown => return Err(error),
            Err(_) if exhausted => return Err(Error::Unknown),
            _ => {}
        }
    }
}

fn deadline(timeout: Option<Span>) -> Time {
    clock::now() + timeout.map_or(STORE_TIMEOUT, |span| span.scale(0.8).min(STORE_TIMEOUT))
}

/// Stores that a job is cancelled, and returns what the caller is told.
pub(super) async fn cancel<P: Platform>(
    context: &Context<P>,
    id: JobId,
    stored: bool,
    timeout: Option<Span>,
) -> Reply {
    // Also where no such job is known: its row may still come, and must not run then.
    let change = Transaction {
        writes: vec![(layout::cancelled_key(id), encode(&true))],
        ..Transaction::default()
    };
    match persist(context, &change, timeout).await {
        Ok(_) | Err(Error::Conflict(_)) if stored => Reply::Cancelled,
        Ok(_) | Err(Error::Conflict(_)) => match read_queued(context, id, timeout).await {
            Ok(None) => Reply::NoJob,
            Ok(Some(_)) | Err(_) => Reply::Cancelled,
        },
        Err(Error::Unknown | Error::Malformed(_)) => Reply::Unknown,
        Err(_) => Reply::NotDone(RETRY_AFTER),
    }
}

/// Returns the row that says that a job was accepted, if it was.
pub(super) async fn read_queued<P: Platform>(
    context: &Context<P>,
    id: JobId,
    timeout: Option<Span>,
) -> Result<Option<Row>, Error> {
    let until = deadline(timeout);
    let key = layout::queued_key(id);
    loop {
        let result = context.platform.read(key.table, &key.part, &key.name, 1).await;
        match result {
            Ok(page) => {
                let found = page.rows.into_iter().next();
                return Ok(found.filter(|row| row.name == key.name));
            }
            Err(error) if clock::now() >= until => return Err(error),
            Err(_) => {
                Timer::after(REFUSED_DELAY).await;
            }
        }
    }
}
