//! Reads the state of a job that has not ended according to the cache.

use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{JobId, ShardId};
use sycamorerill_jobs::progress::State;

use super::{Reply, StateRow, decode, submit};
use crate::instance::Context;
use crate::layout;
use crate::platform::{Error, Platform, Table};

/// Returns the recorded state of a job, or `cached` where the store can't be read.
pub(super) async fn read_state<P: Platform>(
    context: &Context<P>,
    id: JobId,
    shard: Option<ShardId>,
    cached: Option<State>,
    timeout: Option<Span>,
) -> Reply {
    if let Some(shard) = shard {
        match read_recorded(context, id, shard).await {
            Ok(Some(state)) => return Reply::State(state),
            Ok(None) => {}
            Err(_) => {
                return cached.map_or(Reply::NotDone(submit::RETRY_AFTER), Reply::State);
            }
        }
    }
    if let Some(state) = cached {
        return Reply::State(state);
    }
    match submit::read_queued(context, id, timeout).await {
        Ok(Some(_)) => Reply::State(State::Queued),
        Ok(None) => Reply::NoJob,
        Err(_) => Reply::NotDone(submit::RETRY_AFTER),
    }
}

async fn read_recorded<P: Platform>(
    context: &Context<P>,
    id: JobId,
    shard: ShardId,
) -> Result<Option<State>, Error> {
    let key = layout::shard_key(Table::States, shard, &id.to_string());
    let page = context.platform.read(key.table, &key.part, &key.name, 1).await?;
    let row = page.rows.first().filter(|row| row.name == key.name);
    Ok(row.and_then(decode::<StateRow>).map(|row| row.state))
}
