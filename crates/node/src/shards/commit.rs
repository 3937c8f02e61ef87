//! Writes under the claim on a shard, repeated until their outcome is known.

use std::time::Duration;

use async_io::Timer;
use serde::{Deserialize, Serialize};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_jobs::id::ShardId;
use sycamorerill_jobs::tenure::Claim;

use crate::clock;
use crate::frontend::{decode, encode};
use crate::instance::Context;
use crate::layout::{self, CLAIM, SEQUENCE};
use crate::platform::{Error, Platform, Row, Table, Transaction, Version};

/// Time that the store has for the first attempt: ten of its usual answers, and short
/// enough for two lost ones between the renewals of a claim.
const INITIAL_TIMEOUT: Span = Span::from_ms(150);
/// Factor on the time of each further attempt.
const TIMEOUT_FACTOR: f64 = 1.5;
/// Time that the store has for a later attempt at the most: it may be slow for long.
const MAX_TIMEOUT: Span = Span::from_ms(1_200);
/// Pause after the store refused.
const REFUSED_DELAY: Duration = Duration::from_millis(60);
/// Attempts at a claim.
const MAX_CLAIM_ATTEMPTS: u32 = 5;

data! {
    /// The row that each transaction of an owner rewrites: it tells whether a
    /// transaction whose answer was lost took effect.
    #[derive(Copy, Serialize, Deserialize)]
    pub(super) struct Sequence {
        /// Epoch of the owner.
        #[serde(rename = "e")]
        pub(super) epoch: u64,
        /// Number of the transaction under this epoch.
        #[serde(rename = "n")]
        pub(super) number: u64,
    }
}

data! {
    /// The outcome of a transaction of an owner.
    pub(crate) enum Committed {
        /// It took effect.
        Done {
            /// When it was first sent.
            sent: Time,
            /// Version of the sequence row.
            sequence: Version,
            /// Version of the claim, where it was rewritten.
            claim: Option<Version>,
        },
        /// Another owns the shard.
        Lost(Option<Row>),
    }
}

/// Writes a claim on condition that the row has `version`; returns the row that is
/// there instead where it has another.
pub(super) async fn write_claim<P: Platform>(
    context: &Context<P>,
    shard: ShardId,
    claim: Claim,
    version: Version,
) -> Result<(Claim, Version), Option<Row>> {
    let key = layout::shard_key(Table::Claims, shard, CLAIM);
    let first = Sequence { epoch: claim.epoch, number: 0 };
    let sequence = layout::shard_key(Table::Progress, shard, SEQUENCE);
    let change = Transaction {
        expected: vec![(key.clone(), version)],
        writes: vec![(key, encode(&claim)), (sequence, encode(&first))],
        removes: Vec::new(),
    };
    let mut timeout = INITIAL_TIMEOUT;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        match attempt(context, &change, &mut timeout).await {
            None => {}
            Some(Ok(version)) => return Ok((claim, version)),
            Some(Err(rows)) => {
                let row = rows.into_iter().find(|row| row.name == CLAIM);
                let is_own = row.as_ref().and_then(decode) == Some(claim.clone());
                return match row {
                    Some(row) if is_own => Ok((claim, row.version)),
                    row => Err(row),
                };
            }
        }
    }
    Err(None)
}

/// Reads the claim on a shard; none where there is no row.
pub(super) async fn read_claim<P: Platform>(
    context: &Context<P>,
    shard: ShardId,
) -> Result<Option<Row>, Error> {
    let key = layout::shard_key(Table::Claims, shard, CLAIM);
    let page = context.platform.read(key.table, &key.part, &key.name, 1).await?;
    Ok(page.rows.into_iter().find(|row| row.name == key.name))
}

/// Makes one attempt at a change that takes effect once; returns the version or the rows
/// that stand against it, and nothing where the outcome is not known.
async fn attempt<P: Platform>(
    context: &Context<P>,
    change: &Transaction,
    timeout: &mut Span,
) -> Option<Result<Version, Vec<Row>>> {
    match context.platform.transact(change, *timeout).await {
        Ok(version) => return Some(Ok(version)),
        Err(Error::Conflict(rows)) => return Some(Err(rows)),
        Err(Error::Unknown) => *timeout = timeout.scale(TIMEOUT_FACTOR).min(MAX_TIMEOUT),
        Err(_) => {
            Timer::after(REFUSED_DELAY).await;
        }
    }
    None
}

/// Makes a change of an owner, again and again until its outcome is known.
pub(super) async fn commit<P: Platform>(
    context: &Context<P>,
    change: Transaction,
    own: Sequence,
    renews: bool,
) -> Committed {
    let sent = clock::now();
    let mut timeout = INITIAL_TIMEOUT;
    loop {
        match attempt(context, &change, &mut timeout).await {
            None => {}
            Some(Ok(version)) => {
                let claim = renews.then_some(version);
                return Committed::Done { sent, sequence: version, claim };
            }
            Some(Err(rows)) => return resolve_conflict(sent, &rows, own, renews),
        }
    }
}

/// Tells from the rows whether an earlier attempt took effect.
fn resolve_conflict(sent: Time, rows: &[Row], own: Sequence, renews: bool) -> Committed {
    let sequence = rows.iter().find(|row| row.name == SEQUENCE);
    match sequence {
        Some(row) if decode(row) == Some(own) => {
            let claim = renews.then_some(row.version);
            Committed::Done { sent, sequence: row.version, claim }
        }
        _ => Committed::Lost(rows.iter().find(|row| row.name == CLAIM).cloned()),
    }
}
