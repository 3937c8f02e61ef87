//! Reads what is recorded of a shard, and agrees on the number of shards.

use std::time::Duration;

use async_io::Timer;
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::Listed;
use sycamorerill_jobs::id::{JobId, ShardId};
use sycamorerill_jobs::progress::Progress;
use sycamorerill_jobs::shard::Restored;
use sycamorerill_jobs::spec::Accepted;

use super::Message;
use crate::follow::read_all;
use crate::front::{decode, encode};
use crate::layout::{self, AcceptedRow, Layout};
use crate::log::{Code, Line};
use crate::port::{Error, Platform, Row, Table, Transaction, Version};
use crate::run::{self, Outside};

/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(80);
/// Time that the store has to take the layout.
const ATTEMPT: Span = Span::from_ms(800);

/// Time in which no further executor may come before they are counted: at a first start
/// all of them register within one interval of their heartbeats.
const SETTLE: Duration = Duration::from_millis(300);
/// Head start of instances that can steer all executors in agreeing on the shards.
const HEAD_START: Duration = Duration::from_millis(1_000);

/// What is recorded of a shard, and the versions from which to follow.
#[derive(Debug)]
pub(crate) struct Gathered {
    pub(crate) restored: Restored,
    pub(crate) executors: Vec<Listed>,
    pub(crate) accepted_after: Version,
    pub(crate) executors_after: Version,
}

/// Reads a shard until it succeeds.
pub(super) async fn gather<P: Platform>(
    outside: &Outside<P>,
    shard: ShardId,
    layout: Layout,
) -> Gathered {
    loop {
        match try_gather(&*outside.platform, shard, layout).await {
            Ok(gathered) => return gathered,
            Err(_) => {
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn try_gather<P: Platform>(
    platform: &P,
    shard: ShardId,
    layout: Layout,
) -> Result<Gathered, Error> {
    let shard_parts = [layout::shard_part(shard)];
    let accepted_parts = layout.parts(Table::Accepted);
    let executor_parts = layout.parts(Table::Executors);
    let (progress, accepted, executors) = futures::try_join!(
        read_all(platform, Table::Progress, &shard_parts),
        read_all(platform, Table::Accepted, &accepted_parts),
        read_all(platform, Table::Executors, &executor_parts),
    )?;
    let mut restored = Restored::default();
    for row in &accepted.0 {
        match AcceptedRow::parse(&row.name) {
            Some(AcceptedRow::Job(id)) => {
                let job: Option<Accepted> = decode(row);
                let job = job.filter(|_| layout.of_job(id) == shard);
                restored.jobs.extend(job.map(|job| (id, job)));
            }
            Some(AcceptedRow::Cancel(id)) if layout.of_job(id) == shard => {
                restored.cancelled.push(id);
            }
            _ => {}
        }
    }
    restored.progress = progress.0.iter().filter_map(read_progress).collect();
    let (accepted_after, executors_after) = (accepted.1, executors.1);
    let lesson = progress.0.iter().find(|row| row.name == layout::LESSON);
    restored.learned = lesson.and_then(decode);
    let executors = executors_of(platform, &executors.0, shard, layout);
    Ok(Gathered { restored, executors, accepted_after, executors_after })
}

fn executors_of<P: Platform>(
    platform: &P,
    rows: &[Row],
    shard: ShardId,
    layout: Layout,
) -> Vec<Listed> {
    rows.iter()
        .filter_map(|row| platform.executor(row))
        .filter(|listed| layout.of_rack(listed.rack()) == shard)
        .collect()
}

fn read_progress(row: &Row) -> Option<(JobId, Progress)> {
    Some((row.name.parse().ok()?, decode(row)?))
}

/// Agrees with the other instances on the number of shards, and tells it.
///
/// `reach` is the number of executors that this instance can steer.
pub(crate) async fn agree<P: Platform>(outside: Outside<P>, reach: u32) {
    loop {
        match layout_of(&*outside.platform, reach).await {
            Ok(layout) => {
                Line::new(Code::Layout)
                    .number("shards", u64::from(layout.shards))
                    .number("executors", u64::from(layout.each * layout.shards))
                    .write();
                let agreed = Message::Agreed(layout);
                outside.tell(run::Message::Keeper(agreed));
                return;
            }
            Err(_) => {
                Timer::after(PAUSE).await;
            }
        }
    }
}

async fn layout_of<P: Platform>(platform: &P, reach: u32) -> Result<Layout, Error> {
    if let Some(layout) = agreed(platform).await? {
        return Ok(layout);
    }
    let executors = settled(platform).await?;
    if executors > reach {
        // An instance that needs fewer shards for them comes first.
        Timer::after(HEAD_START).await;
    }
    if let Some(layout) = agreed(platform).await? {
        return Ok(layout);
    }
    let place = layout::layout();
    let layout = Layout::for_executors(executors, reach);
    let change = Transaction {
        expected: vec![(place.clone(), Version(0))],
        writes: vec![(place, encode(&layout))],
        removes: Vec::new(),
    };
    match platform.transact(&change, ATTEMPT).await {
        Ok(_) => Ok(layout),
        Err(Error::Conflict(rows)) => rows.iter().find_map(decode).ok_or(Error::Unknown),
        Err(error) => Err(error),
    }
}

async fn agreed<P: Platform>(platform: &P) -> Result<Option<Layout>, Error> {
    let place = layout::layout();
    let page = platform.read(place.table, &place.part, &place.name, 1).await?;
    Ok(page.rows.iter().find(|row| row.name == place.name).and_then(decode))
}

/// Counts the executors once no more of them come.
async fn settled<P: Platform>(platform: &P) -> Result<u32, Error> {
    let mut before = 0;
    loop {
        let (rows, _) = read_all(platform, Table::Executors, &[String::new()]).await?;
        let count = rows.iter().filter(|row| platform.executor(row).is_some()).count() as u32;
        if count > 0 && count == before {
            return Ok(count);
        }
        before = count;
        Timer::after(SETTLE).await;
    }
}
