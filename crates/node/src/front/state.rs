//! Looks up the state of a job that is not known to have ended.

use sycamorerill_core::clock::Span;
use sycamorerill_jobs::id::{JobId, ShardId};
use sycamorerill_jobs::progress::State;

use super::{Reply, Shown, decode, submit};
use crate::layout;
use crate::port::{Error, Platform, Table};
use crate::run::Outside;

/// Returns the state of a job as recorded; where the store can't be read, as `cached`.
pub(super) async fn look_up<P: Platform>(
    outside: &Outside<P>,
    id: JobId,
    shard: Option<ShardId>,
    cached: Option<State>,
    patience: Option<Span>,
) -> Reply {
    if let Some(shard) = shard {
        match shown(outside, id, shard).await {
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
    match submit::known(outside, id, patience).await {
        Ok(Some(_)) => Reply::State(State::Queued),
        Ok(None) => Reply::NoJob,
        Err(_) => Reply::NotDone(submit::RETRY_AFTER),
    }
}

async fn shown<P: Platform>(
    outside: &Outside<P>,
    id: JobId,
    shard: ShardId,
) -> Result<Option<State>, Error> {
    let place = layout::of_shard(Table::States, shard, &id.to_string());
    let page = outside.platform.read(place.table, &place.part, &place.name, 1).await?;
    let row = page.rows.first().filter(|row| row.name == place.name);
    Ok(row.and_then(decode::<Shown>).map(|shown| shown.state))
}
