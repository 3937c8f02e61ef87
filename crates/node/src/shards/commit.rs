//! Commits transactions that require the claim on a shard.
//!
//! A transaction is repeated until its outcome is known.

use std::time::Duration;

use async_io::Timer;
use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_jobs::id::ShardId;
use sycamorerill_jobs::ownership::Claim;

use crate::clock;
use crate::frontend::{decode, encode};
use crate::instance::Context;
use crate::layout::{self, CLAIM, SEQUENCE};
use crate::platform::{Error, Platform, Row, Table, Transaction, Version};

/// Least timeout of the first attempt.
///
/// It is ten times the usual response time of the store, and short enough that two
/// answers can be lost between two renewals of a claim.
const MIN_INITIAL_TIMEOUT: Span = Span::from_ms(150);
/// Multiple of the time in which the store has responded lately that the first attempt waits. An
/// attempt that is repeated while the store still performs it holds up those behind it.
const LATENCY_FACTOR: f64 = 3.0;
/// Factor by which the timeout grows after an attempt with an unknown outcome.
const TIMEOUT_FACTOR: f64 = 1.5;
/// Upper bound on the timeout: the store may stay slow for a long time.
const MAX_TIMEOUT: Span = Span::from_ms(1_200);
/// Delay before a retry after the store refused a transaction.
const REFUSED_DELAY: Duration = Duration::from_millis(60);
/// Number of attempts at writing a claim.
const MAX_CLAIM_ATTEMPTS: u32 = 5;

data! {
    /// The row that each transaction of an owner rewrites.
    ///
    /// It shows whether a transaction whose answer was lost took effect.
    #[derive(Copy, Serialize, Deserialize)]
    pub(super) struct Sequence {
        /// Epoch of the owner.
        #[serde(rename = "e")]
        pub(super) epoch: u64,
        /// Number of the transaction within this epoch; the claim itself has 0.
        #[serde(rename = "n")]
        pub(super) number: u64,
    }
}

data! {
    /// The outcome of an owner's transaction.
    pub(crate) enum Committed {
        /// The transaction took effect.
        Done {
            /// Time at which it was first sent.
            sent: Time,
            /// Latest time at which the claim is known to have been in force.
            confirmed: Time,
            /// New version of the sequence row.
            sequence: Version,
            /// New version of the claim, if the transaction renewed it.
            claim: Option<Version>,
        },
        /// The store rejects the transaction for good.
        Rejected(Error),
        /// Another instance or epoch owns the shard; holds the claim's row where it is known.
        Lost(Option<Row>),
    }
}

/// Writes a claim on a shard if the claim's row still has `version`.
///
/// # Errors
///
/// Returns the row that is stored instead, if the version differs; returns none if the
/// outcome is unknown after the last attempt.
pub(super) async fn write_claim<P: Platform>(
    context: &Context<P>,
    shard: ShardId,
    claim: Claim,
    version: Version,
) -> Result<(Claim, Version), Option<Row>> {
    let key = layout::shard_key(Table::Claims, shard, CLAIM);
    let initial = Sequence { epoch: claim.epoch, number: 0 };
    let sequence = layout::shard_key(Table::Progress, shard, SEQUENCE);
    let transaction = Transaction {
        expected: vec![(key.clone(), version)],
        writes: vec![(key, encode(&claim)), (sequence, encode(&initial))],
        removes: Vec::new(),
    };
    let mut timeout = initial_timeout(context);
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        match attempt(context, &transaction, &mut timeout).await {
            // Reads do not wait for the transactions of a part, so the row may tell the outcome.
            None => match read_claim(context, shard).await {
                Ok(Some(row)) if row.version != version => return resolve_claim(claim, Some(row)),
                _ => {}
            },
            Some(Ok(version)) => return Ok((claim, version)),
            Some(Err(Error::Conflict(rows))) => {
                let row = rows.into_iter().find(|row| row.name == CLAIM);
                return resolve_claim(claim, row);
            }
            Some(Err(_)) => return Err(None),
        }
    }
    Err(None)
}

/// Decides from the stored row whether an earlier attempt at writing `claim` took effect.
fn resolve_claim(claim: Claim, row: Option<Row>) -> Result<(Claim, Version), Option<Row>> {
    let is_own = row.as_ref().and_then(decode) == Some(claim.clone());
    match row {
        Some(row) if is_own => Ok((claim, row.version)),
        row => Err(row),
    }
}

/// Returns the timeout of the first attempt at a transaction.
fn initial_timeout<P: Platform>(context: &Context<P>) -> Span {
    let expected = context.platform.store_latency().scale(LATENCY_FACTOR);
    expected.max(MIN_INITIAL_TIMEOUT).min(MAX_TIMEOUT)
}

/// Reads the row with the claim on a shard; returns none if there is no such row.
pub(super) async fn read_claim<P: Platform>(
    context: &Context<P>,
    shard: ShardId,
) -> Result<Option<Row>, Error> {
    let key = layout::shard_key(Table::Claims, shard, CLAIM);
    let page = context.platform.read(key.table, &key.part, &key.name, 1).await?;
    Ok(page.rows.into_iter().find(|row| row.name == key.name))
}

/// Makes one attempt at an idempotent transaction.
///
/// Returns the new version, the rows that conflict with the transaction, or that the store rejects
/// it for good. Returns none if the attempt was refused for the moment or its outcome is unknown, so
/// that it must be repeated.
async fn attempt<P: Platform>(
    context: &Context<P>,
    transaction: &Transaction,
    timeout: &mut Span,
) -> Option<Result<Version, Error>> {
    match context.platform.transact(transaction, *timeout).await {
        Ok(version) => return Some(Ok(version)),
        Err(error @ Error::Conflict(_)) => return Some(Err(error)),
        Err(error) if error.is_permanent() => return Some(Err(error)),
        Err(Error::Unknown) => *timeout = timeout.scale(TIMEOUT_FACTOR).min(MAX_TIMEOUT),
        Err(_) => {
            Timer::after(REFUSED_DELAY).await;
        }
    }
    None
}

/// Commits a transaction of an owner, repeating it until its outcome is known.
///
/// `own` is the sequence row that the transaction writes; `renews` tells whether it also
/// writes the claim.
pub(super) async fn commit<P: Platform>(
    context: &Context<P>,
    transaction: Transaction,
    own: Sequence,
    renews: bool,
) -> Committed {
    let sent = clock::now();
    let mut timeout = initial_timeout(context);
    loop {
        let attempted = clock::now();
        match attempt(context, &transaction, &mut timeout).await {
            None => {}
            Some(Ok(version)) => {
                let claim = renews.then_some(version);
                return Committed::Done { sent, confirmed: attempted, sequence: version, claim };
            }
            Some(Err(Error::Conflict(rows))) => {
                let resolved = resolve_conflict(sent, &rows, own, renews);
                return match resolved {
                    Committed::Done { sequence, claim, .. }
                        if is_claim_unchanged(&transaction, &rows, claim) =>
                    {
                        Committed::Done { sent, confirmed: attempted, sequence, claim }
                    }
                    resolved => resolved,
                };
            }
            Some(Err(error)) => {
                // Nothing is tried in quick succession, whatever the store rejects.
                Timer::after(REFUSED_DELAY).await;
                return Committed::Rejected(error);
            }
        }
    }
}

/// Returns whether the claim's row is as the transaction expected it, or as it has renewed it.
fn is_claim_unchanged(transaction: &Transaction, rows: &[Row], renewed: Option<Version>) -> bool {
    let expected = transaction.expected.iter().find(|(key, _)| key.name == CLAIM);
    let expected = renewed.or(expected.map(|(_, version)| *version));
    let found = rows.iter().find(|row| row.name == CLAIM);
    found.is_some_and(|row| Some(row.version) == expected)
}

/// Decides from the conflicting rows whether an earlier attempt took effect.
fn resolve_conflict(sent: Time, rows: &[Row], own: Sequence, renews: bool) -> Committed {
    let sequence = rows.iter().find(|row| row.name == SEQUENCE);
    match sequence {
        Some(row) if decode(row) == Some(own) => {
            let claim = renews.then_some(row.version);
            Committed::Done { sent, confirmed: sent, sequence: row.version, claim }
        }
        _ => Committed::Lost(rows.iter().find(|row| row.name == CLAIM).cloned()),
    }
}
