//! Recovers the recorded state of a shard, and agrees on the number of shards.

use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::evacuation;
use sycamorerill_jobs::executor::Registration;
use sycamorerill_jobs::id::ShardId;
use sycamorerill_jobs::record::RecordId;
use sycamorerill_jobs::shard::Records;
use sycamorerill_jobs::spec::AcceptedJob;

use super::lease_row::LeaseRow;
use super::{Message, evacuations};
use crate::frontend::{decode, encode};
use crate::instance::{self, Context};
use crate::layout::{self, AcceptedRow, Layout};
use crate::log::{Code, Line};
use crate::platform::{Error, Platform, Row, Table, Transaction, Version};
use crate::watch::{UNAVAILABLE_AFTER, read_all};

/// Delay before a retry after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// Number of failures in a row from one log line to the next.
const FAILURES_PER_LINE: u32 = 50;
/// Timeout of the transaction that stores the layout.
const LAYOUT_TIMEOUT: Span = Span::from_ms(800);

/// Time for which the number of executors must stay the same before it is used.
///
/// When a deployment starts for the first time, all executors register within one
/// heartbeat interval.
const SETTLE_DELAY: Duration = Duration::from_millis(300);
/// Delay before an instance that can't manage all executors stores a layout.
///
/// An instance that can manage all of them stores its layout first, as it needs fewer
/// shards.
const CREATION_DELAY: Duration = Duration::from_millis(1_000);

/// The recorded state of a shard, and the versions after which to watch its tables.
#[derive(Debug)]
pub(crate) struct Recovered {
    pub(crate) records: Records,
    pub(super) leases: LeaseRow,
    pub(crate) executors: Vec<Registration>,
    /// Evacuated failure domains. The watch may know them later than this read.
    pub(super) evacuations: evacuation::Update,
    pub(crate) accepted_after: Version,
    pub(crate) executors_after: Version,
}

/// Reads the recorded state of a shard, retrying until it succeeds.
pub(super) async fn recover<P: Platform>(
    context: &Context<P>,
    shard: ShardId,
    layout: Layout,
) -> Recovered {
    loop {
        match try_recover(&*context.platform, shard, layout).await {
            Ok(recovered) => return recovered,
            Err(_) => {
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

async fn try_recover<P: Platform>(
    platform: &P,
    shard: ShardId,
    layout: Layout,
) -> Result<Recovered, Error> {
    let shard_parts = [layout::shard_part(shard)];
    let accepted_parts = layout.parts(Table::Accepted);
    let executor_parts = layout.parts(Table::Executors);
    let operator_parts = [String::new()];
    let (progress, accepted, executors, operator) = futures::try_join!(
        read_all(platform, Table::Progress, &shard_parts),
        read_all(platform, Table::Accepted, &accepted_parts),
        read_all(platform, Table::Executors, &executor_parts),
        read_all(platform, Table::Operator, &operator_parts),
    )?;
    let evacuated = evacuation::Update {
        is_complete: true,
        changes: evacuations::changes(platform, &operator.0),
        version: operator.1.0,
    };
    let mut records = Records::default();
    for row in &accepted.0 {
        match AcceptedRow::parse(&row.name) {
            Some(AcceptedRow::Job(id)) => {
                let job: Option<AcceptedJob> = decode(row);
                let job = job.filter(|_| layout.shard_of_job(id) == shard);
                records.jobs.extend(job.map(|job| (id, job)));
            }
            Some(AcceptedRow::Cancel(id)) if layout.shard_of_job(id) == shard => {
                records.cancelled.push(id);
            }
            _ => {}
        }
    }
    for row in &progress.0 {
        let Ok(id) = row.name.parse::<RecordId>() else {
            continue;
        };
        match decode(row) {
            Some(progress) => records.progress.push((id, progress)),
            None => records.unreadable.push(id),
        }
    }
    let (accepted_after, executors_after) = (accepted.1, executors.1);
    let model = progress.0.iter().find(|row| row.name == layout::MODEL);
    records.model = model.and_then(decode);
    let leases = progress.0.iter().find(|row| row.name == layout::LEASES);
    let leases = leases.and_then(decode).unwrap_or_default();
    let executors = executors_of(platform, &executors.0, shard, layout);
    Ok(Recovered {
        records,
        leases,
        executors,
        evacuations: evacuated,
        accepted_after,
        executors_after,
    })
}

fn executors_of<P: Platform>(
    platform: &P,
    rows: &[Row],
    shard: ShardId,
    layout: Layout,
) -> Vec<Registration> {
    rows.iter()
        .filter_map(|row| platform.parse_executor(row))
        .filter(|registration| layout.shard_of_rack(registration.rack()) == shard)
        .collect()
}

/// Agrees with the other instances on the number of shards and sends the layout to the
/// actors.
///
/// `max_executors` is the number of executors that this instance can manage, `max_row_bytes` the
/// size of a row of the store.
pub(crate) async fn agree_on_layout<P: Platform>(
    context: Context<P>,
    max_executors: u32,
    max_row_bytes: usize,
) {
    let mut failures = 0;
    loop {
        match read_or_create_layout(&*context.platform, max_executors, max_row_bytes).await {
            Ok(layout) => {
                Line::new(Code::Layout)
                    .number("shards", u64::from(layout.shards))
                    .number("executors", u64::from(layout.executors_per_shard * layout.shards))
                    .write();
                let message = Message::LayoutAgreed(layout, failures >= UNAVAILABLE_AFTER);
                context.send(instance::Message::Manager(message));
                return;
            }
            Err(error) => {
                if failures % FAILURES_PER_LINE == 0 {
                    Line::new(Code::Layout).text("error", &error).write();
                }
                failures += 1;
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the stored layout, or stores one for the registered executors.
async fn read_or_create_layout<P: Platform>(
    platform: &P,
    max_executors: u32,
    max_row_bytes: usize,
) -> Result<Layout, Error> {
    if let Some(layout) = read_layout(platform).await? {
        return Ok(layout);
    }
    let executors = count_executors(platform).await?;
    if executors > max_executors {
        // An instance that needs fewer shards stores its layout first.
        Timer::after(CREATION_DELAY).await;
    }
    if let Some(layout) = read_layout(platform).await? {
        return Ok(layout);
    }
    let key = layout::layout_key();
    let layout = Layout::for_executors(executors, max_executors, max_row_bytes);
    let transaction = Transaction {
        expected: vec![(key.clone(), Version(0))],
        writes: vec![(key, encode(&layout))],
        removes: Vec::new(),
    };
    match platform.transact(&transaction, LAYOUT_TIMEOUT).await {
        Ok(_) => Ok(layout),
        Err(Error::Conflict(rows)) => {
            rows.iter().find_map(decode).filter(Layout::is_valid).ok_or(Error::Unknown)
        }
        Err(error) => Err(error),
    }
}

/// Returns the stored layout; returns none if no layout is stored yet.
async fn read_layout<P: Platform>(platform: &P) -> Result<Option<Layout>, Error> {
    let key = layout::layout_key();
    let page = platform.read(key.table, &key.part, &key.name, 1).await?;
    let row = page.rows.iter().find(|row| row.name == key.name);
    match row.map(|row| decode::<Layout>(row).filter(Layout::is_valid)) {
        None => Ok(None),
        Some(Some(layout)) => Ok(Some(layout)),
        // The shards of running instances are not known, so no other layout is stored.
        Some(None) => Err(Error::Malformed("the layout cannot be read".to_owned())),
    }
}

/// Counts the executors once two counts in a row are equal and not 0.
async fn count_executors<P: Platform>(platform: &P) -> Result<u32, Error> {
    let mut previous = 0;
    loop {
        let (rows, _) = read_all(platform, Table::Executors, &[String::new()]).await?;
        let count = rows.iter().filter(|row| platform.parse_executor(row).is_some()).count() as u32;
        if count > 0 && count == previous {
            return Ok(count);
        }
        previous = count;
        Timer::after(SETTLE_DELAY).await;
    }
}
