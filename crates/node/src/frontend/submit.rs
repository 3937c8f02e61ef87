//! Writes the rows that accept and cancel jobs, and reads them.

use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::admission::Refusal;
use sycamorerill_jobs::config::{Queue, Terms};
use sycamorerill_jobs::id::JobId;
use sycamorerill_jobs::spec::{AcceptedJob, Job};

use super::admission::Doubt;
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
/// Longest time that the write of a refusal may take: without it the job is stored in the time that
/// is left.
const REFUSAL_TIMEOUT: Span = Span::from_ms(300);
/// Number of refusals by the store after which the caller gets a reply.
const MAX_REFUSALS: u32 = 5;

/// A job to store, apart from its content.
pub(super) struct Submission<'a> {
    pub(super) id: JobId,
    pub(super) queue: &'a Queue,
    pub(super) timeout: Option<Span>,
    pub(super) max_row_bytes: usize,
    /// What speaks against the acceptance of the job.
    pub(super) doubt: Option<Doubt>,
}

/// Stores a job, so that it will run, or refuses it, and returns the reply to the caller.
pub(super) async fn submit<P: Platform>(
    context: &Context<P>,
    submission: Submission<'_>,
    job: Job,
) -> Reply {
    let Submission { id, queue, timeout, max_row_bytes, doubt } = submission;
    let until = unknown_deadline(timeout);
    let (name, terms) = (queue.name.clone(), Some(Terms::of(queue)));
    let mut accepted = AcceptedJob { queue: name, terms, at_ms: clock::wall_ms(), job };
    if encode(&accepted).len() > max_row_bytes {
        return Reply::TooLarge;
    }
    let new = Version(0);
    let refused = match doubt.and_then(|doubt| doubt.refusal(accepted.at_ms)) {
        Some(refusal) => refuse(context, id, new, refusal).await,
        None => Err(Error::NotSent),
    };
    let result = match refused {
        Ok(reply) => return reply,
        Err(Error::Conflict(rows)) => Err(Error::Conflict(rows)),
        Err(_) => persist(context, &accept(id, new, queue, &accepted), timeout).await,
    };
    let stored = match result {
        Err(Error::Conflict(ref rows)) => stored_refusal(rows),
        _ => None,
    };
    let Some((refusal, version)) = stored else {
        return reply_to(result, &accepted);
    };
    if clock::now() >= until {
        // The caller may have given up and been refused elsewhere, which must remain true.
        return Reply::NotDone(RETRY_AFTER);
    }
    let now_ms = clock::wall_ms();
    let again = doubt.and_then(|doubt| doubt.refusal_again(refusal, now_ms));
    if let Some(again) = again
        && let Ok(reply) = refuse(context, id, version, again).await
    {
        return reply;
    }
    accepted.at_ms = refusal.counts_from(now_ms);
    reply_to(persist(context, &accept(id, version, queue, &accepted), timeout).await, &accepted)
}

/// Returns the transaction that stores a job if its row has `version`.
fn accept(id: JobId, version: Version, queue: &Queue, accepted: &AcceptedJob) -> Transaction {
    let key = layout::accepted_key(id);
    let queued = QueuedRow::of(queue);
    Transaction {
        expected: vec![(key.clone(), version)],
        writes: vec![(key, encode(accepted)), (layout::queued_key(id), encode(&queued))],
        removes: Vec::new(),
    }
}

/// Stores the refusal of a job if its row has `version`, and returns the reply to the caller.
///
/// The refusal takes the place of the job's row, so that an earlier attempt without an answer can no
/// longer store the job: the caller is told that the job never runs.
async fn refuse<P: Platform>(
    context: &Context<P>,
    id: JobId,
    version: Version,
    (refusal, retry_after): (Refusal, Span),
) -> Result<Reply, Error> {
    let key = layout::accepted_key(id);
    let transaction = Transaction {
        expected: vec![(key.clone(), version)],
        writes: vec![(key, encode(&refusal))],
        removes: Vec::new(),
    };
    let written = context.platform.transact(&transaction, REFUSAL_TIMEOUT).await;
    written.map(|_| Reply::Overloaded(retry_after))
}

/// Returns the refusal that is stored in the place of a job, and the version of its row.
fn stored_refusal(rows: &[Row]) -> Option<(Refusal, Version)> {
    rows.iter().find_map(|row| Some((decode::<Refusal>(row)?, row.version)))
}

/// Returns the reply for the result of storing a job.
fn reply_to(result: Result<Version, Error>, accepted: &AcceptedJob) -> Reply {
    match result {
        Ok(_) => Reply::Accepted,
        // An earlier attempt by this function or by the caller was stored.
        Err(Error::Conflict(rows)) => reply_to_conflict(&rows, accepted),
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
        // Another instance has refused the job meanwhile, so this attempt can't take effect.
        None if stored_refusal(rows).is_some() => Reply::NotDone(RETRY_AFTER),
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
