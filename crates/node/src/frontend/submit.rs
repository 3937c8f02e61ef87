//! Writes the rows that accept and cancel jobs, and reads them.

use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::config::{Queue, Terms};
use sycamorerill_jobs::id::JobId;
use sycamorerill_jobs::spec::{AcceptedJob, Job};

use super::{QueuedRow, Reply, decode, encode};
use crate::instance::Context;
use crate::platform::{Error, Platform, Row, Transaction, Version};
use crate::{clock, layout};

/// Time after which a caller may retry a request that had no effect.
pub(super) const RETRY_AFTER: Span = Span::from_ms(1_000);
/// Longest time for which a caller waits while the store refuses a row.
const STORE_TIMEOUT: Span = Span::from_ms(1_300);
/// Longest time for which a caller that states none waits while the outcome is unknown. It may not
/// repeat its request then, so an outcome that comes late is better than none.
const UNKNOWN_TIMEOUT: Span = Span::from_ms(2_400);
/// Fraction of the time for which a caller waits in which the outcome has to be known.
const CALLER_TIMEOUT_FRACTION: f64 = 0.8;
/// Least timeout of one attempt at a transaction.
const MIN_ATTEMPT_TIMEOUT: Span = Span::from_ms(600);
/// Multiple of the time in which the store has responded lately that an attempt waits. An attempt
/// that is repeated while the store still performs it holds up those behind it.
const LATENCY_FACTOR: f64 = 3.0;
/// Delay before a retry after the store refused a call; it grows by as much with each refusal.
const REFUSED_DELAY: Duration = Duration::from_millis(40);
/// Number of refusals by the store after which the caller gets a reply.
const MAX_REFUSALS: u32 = 5;

/// Stores a job, so that it will run, and returns the reply to the caller.
pub(super) async fn submit<P: Platform>(
    context: &Context<P>,
    id: JobId,
    queue: &Queue,
    job: Job,
    timeout: Option<Span>,
    max_row_bytes: usize,
) -> Reply {
    let (name, terms) = (queue.name.clone(), Some(Terms::of(queue)));
    let accepted = AcceptedJob { queue: name, terms, at_ms: clock::wall_ms(), job };
    let key = layout::accepted_key(id);
    let value = encode(&accepted);
    if value.len() > max_row_bytes {
        return Reply::TooLarge;
    }
    let transaction = Transaction {
        expected: vec![(key.clone(), Version(0))],
        writes: vec![(key, value), (layout::queued_key(id), encode(&QueuedRow::of(queue)))],
        removes: Vec::new(),
    };
    match persist(context, &transaction, timeout).await {
        Ok(_) => Reply::Accepted,
        // An earlier attempt by this function or by the caller was stored.
        Err(Error::Conflict(rows)) => reply_to_conflict(&rows, &accepted),
        Err(Error::Unknown | Error::Malformed(_)) => Reply::Unknown,
        Err(error) if error.is_permanent() => Reply::TooLarge,
        Err(Error::Refused(_) | Error::NotSent | Error::HistoryGone) => Reply::NotDone(RETRY_AFTER),
    }
}

/// Returns the reply for a job identifier that is taken: the submission is accepted if
/// the stored job is the same.
fn reply_to_conflict(rows: &[Row], accepted: &AcceptedJob) -> Reply {
    match rows.iter().find_map(decode::<AcceptedJob>) {
        Some(stored) if stored.job == accepted.job => Reply::Accepted,
        // Another job, or a row that no owner can read.
        _ => Reply::Taken,
    }
}

/// Commits a transaction, retrying after refusals and unknown outcomes.
///
/// The transaction must be idempotent, because an attempt whose outcome is unknown may
/// have taken effect.
async fn persist<P: Platform>(
    context: &Context<P>,
    transaction: &Transaction,
    timeout: Option<Span>,
) -> Result<Version, Error> {
    let (until, last) = (deadline(timeout), unknown_deadline(timeout));
    let mut unknown = false;
    let mut refused = 0;
    loop {
        let remaining = last.since(clock::now());
        let expected = context.platform.store_latency().scale(LATENCY_FACTOR);
        let attempt = expected.max(MIN_ATTEMPT_TIMEOUT).min(remaining);
        let result = context.platform.transact(transaction, attempt).await;
        match result {
            Ok(_) | Err(Error::Conflict(_)) => return result,
            Err(ref error) if error.is_permanent() && !unknown => return result,
            Err(Error::Unknown | Error::Malformed(_)) => unknown = true,
            Err(_) => {
                refused += 1;
                Timer::after(REFUSED_DELAY * refused.min(MAX_REFUSALS)).await;
            }
        }
        let exhausted = match unknown {
            true => clock::now() >= last,
            false => clock::now() >= until || refused >= MAX_REFUSALS,
        };
        match result {
            Err(error) if exhausted && !unknown => return Err(error),
            Err(_) if exhausted => return Err(Error::Unknown),
            _ => {}
        }
    }
}

/// Returns the time at which a caller is told that nothing was done.
fn deadline(timeout: Option<Span>) -> Time {
    unknown_deadline(timeout).min(clock::now() + STORE_TIMEOUT)
}

/// Returns the time at which a caller is told that the outcome is unknown.
fn unknown_deadline(timeout: Option<Span>) -> Time {
    let waits = timeout.map(|span| span.scale(CALLER_TIMEOUT_FRACTION));
    clock::now() + waits.map_or(UNKNOWN_TIMEOUT, |waits| waits.min(UNKNOWN_TIMEOUT))
}

/// Records that a job is cancelled and returns the reply to the caller.
pub(super) async fn cancel<P: Platform>(
    context: &Context<P>,
    id: JobId,
    stored: bool,
    timeout: Option<Span>,
) -> Reply {
    // The row is written for an unknown job too: the job may still be stored later and must
    // not run then.
    let transaction = Transaction {
        writes: vec![(layout::cancelled_key(id), encode(&true))],
        ..Transaction::default()
    };
    match persist(context, &transaction, timeout).await {
        Ok(_) | Err(Error::Conflict(_)) if stored => Reply::Cancelled,
        Ok(_) | Err(Error::Conflict(_)) => match read_queued(context, id, timeout).await {
            Ok(None) => Reply::NoJob,
            Ok(Some(_)) | Err(_) => Reply::Cancelled,
        },
        Err(Error::Unknown | Error::Malformed(_)) => Reply::Unknown,
        Err(_) => Reply::NotDone(RETRY_AFTER),
    }
}

/// Returns the row that marks a job as accepted; returns none if there is no such row.
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
