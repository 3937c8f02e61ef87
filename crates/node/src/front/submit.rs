//! Rows of jobs: taken in, cancelled and looked up.

use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::{JobId, QueueName};
use sycamorerill_jobs::spec::{Accepted, Job};

use super::{Queued, Reply, decode, encode};
use crate::port::{Error, Platform, Row, Transaction, Version};
use crate::run::Outside;
use crate::{clock, layout};

/// What a caller is told to wait when nothing was done.
pub(super) const RETRY_AFTER: Span = Span::from_ms(1_000);
/// Longest time that a caller is kept while the store does not take a row.
const PATIENCE: Span = Span::from_ms(1_300);
/// Longest time that the store may take for one attempt.
const ATTEMPT: Span = Span::from_ms(600);
/// Pause after the store refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);
/// Refusals in a row after which a caller is told so.
const REFUSALS: u32 = 5;

/// Stores a job, so that it will run, and returns what the caller is told.
pub(super) async fn submit<P: Platform>(
    outside: &Outside<P>,
    id: JobId,
    queue: &QueueName,
    job: Job,
    patience: Option<Span>,
) -> Reply {
    let accepted = Accepted { queue: queue.clone(), at_ms: clock::wall_ms(), job };
    let place = layout::accepted(id);
    let change = Transaction {
        expected: vec![(place.clone(), Version(0))],
        writes: vec![
            (place, encode(&accepted)),
            (layout::queued(id), encode(&Queued { queue: queue.clone() })),
        ],
        removes: Vec::new(),
    };
    match persist(outside, &change, patience).await {
        Ok(_) => Reply::Accepted,
        // An earlier attempt of ours or of the caller was stored.
        Err(Error::Conflict(rows)) => same_job(&rows, &accepted),
        Err(Error::Unknown | Error::Malformed(_)) => Reply::Unknown,
        Err(Error::Refused(_) | Error::NotSent | Error::HistoryGone) => Reply::NotDone(RETRY_AFTER),
    }
}

fn same_job(rows: &[Row], accepted: &Accepted) -> Reply {
    match rows.iter().find_map(decode::<Accepted>) {
        Some(stored) if stored.job != accepted.job => Reply::Taken,
        _ => Reply::Accepted,
    }
}

/// Makes a change, again and again where it is not known whether it was made: the
/// change must be one that takes effect once.
async fn persist<P: Platform>(
    outside: &Outside<P>,
    change: &Transaction,
    patience: Option<Span>,
) -> Result<Version, Error> {
    let until = deadline(patience);
    let mut unknown = false;
    let mut refused = 0;
    loop {
        let left = until.since(clock::now());
        let heard = outside.platform.transact(change, left.min(ATTEMPT)).await;
        match heard {
            Ok(_) | Err(Error::Conflict(_)) => return heard,
            Err(Error::Unknown | Error::Malformed(_)) => unknown = true,
            Err(_) => {
                refused += 1;
                Timer::after(REFUSED_PAUSE).await;
            }
        }
        let over = clock::now() >= until || refused >= REFUSALS;
        match heard {
            Err(error) if over && !unknown => return Err(error),
            Err(_) if over => return Err(Error::Unknown),
            _ => {}
        }
    }
}

fn deadline(patience: Option<Span>) -> Time {
    clock::now() + patience.map_or(PATIENCE, |span| span.scale(0.8).min(PATIENCE))
}

/// Stores that a job is cancelled, and returns what the caller is told.
pub(super) async fn cancel<P: Platform>(
    outside: &Outside<P>,
    id: JobId,
    stored: bool,
    patience: Option<Span>,
) -> Reply {
    // Also where no such job is known: its row may still come, and must not run then.
    let change = Transaction {
        writes: vec![(layout::cancelled(id), encode(&true))],
        ..Transaction::default()
    };
    match persist(outside, &change, patience).await {
        Ok(_) | Err(Error::Conflict(_)) if stored => Reply::Cancelled,
        Ok(_) | Err(Error::Conflict(_)) => match known(outside, id, patience).await {
            Ok(None) => Reply::NoJob,
            Ok(Some(_)) | Err(_) => Reply::Cancelled,
        },
        Err(Error::Unknown | Error::Malformed(_)) => Reply::Unknown,
        Err(_) => Reply::NotDone(RETRY_AFTER),
    }
}

/// Returns the row that says that a job was accepted, if it was.
pub(super) async fn known<P: Platform>(
    outside: &Outside<P>,
    id: JobId,
    patience: Option<Span>,
) -> Result<Option<Row>, Error> {
    let until = deadline(patience);
    let place = layout::queued(id);
    loop {
        let heard = outside.platform.read(place.table, &place.part, &place.name, 1).await;
        match heard {
            Ok(page) => {
                let found = page.rows.into_iter().next();
                return Ok(found.filter(|row| row.name == place.name));
            }
            Err(error) if clock::now() >= until => return Err(error),
            Err(_) => {
                Timer::after(REFUSED_PAUSE).await;
            }
        }
    }
}
