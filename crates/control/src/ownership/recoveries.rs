//! Recoveries of the shards that this instance has gained.

use std::collections::{BTreeMap, BTreeSet};

use super::machine::{Machine, Purpose};
use super::owned::State;
use super::{Gained, Row, Shard};
use crate::agent::{Command, Decision, Outbox};
use crate::journal::{Failure, Recovered, Recovery, Step};
use crate::session;
use crate::store::{Priority, Response};

type Results = BTreeMap<Shard, Result<Recovered, Failure>>;

/// Queued and running recoveries.
#[derive(Debug, Default)]
pub(super) struct Recoveries {
    next: u64,
    waiting: BTreeMap<Shard, Row>,
    active: BTreeMap<u64, Recovery>,
    /// Shards that this session has owned before, so that its own journal may hold
    /// records of them.
    previously_owned: BTreeSet<Shard>,
}

impl Recoveries {
    /// Queues the recovery of a shard.
    pub(super) fn enqueue(&mut self, shard: Shard, mut row: Row, own: &session::Name) {
        if self.previously_owned.insert(shard) {
            row.journals.retain(|session| session != own);
        }
        self.waiting.insert(shard, row);
    }

    /// Starts one recovery for all queued shards.
    fn start(&mut self, out: &mut Outbox<'_>) -> Results {
        if self.waiting.is_empty() {
            return Results::new();
        }
        let id = self.next;
        self.next += 1;
        let recovery = Recovery::new(std::mem::take(&mut self.waiting));
        self.advance(id, recovery, out)
    }

    pub(super) fn handle(&mut self, id: u64, response: Response, out: &mut Outbox<'_>) -> Results {
        let Some(mut recovery) = self.active.remove(&id) else { return Results::new() };
        recovery.handle(response);
        self.advance(id, recovery, out)
    }

    fn advance(&mut self, id: u64, mut recovery: Recovery, out: &mut Outbox<'_>) -> Results {
        match recovery.next() {
            Step::Done(results) => results,
            Step::Read(request) => {
                self.active.insert(id, recovery);
                out.store(Priority::Journal, Purpose::Recovery(id), request);
                Results::new()
            }
        }
    }
}

impl Machine {
    pub(super) fn start_recoveries(&mut self, out: &mut Outbox<'_>) {
        let results = self.recoveries.start(out);
        self.handle_recovered(results, out);
    }

    pub(super) fn handle_recovered(&mut self, results: Results, out: &mut Outbox<'_>) {
        for (shard, result) in results {
            let Some(owned) = self.owned.get_mut(&shard) else { continue };
            if owned.state != State::Recovering {
                continue;
            }
            match result {
                Ok(recovered) => {
                    owned.state = State::Serving;
                    let (epoch, acquisition) = (owned.epoch, owned.acquisition);
                    let state_with_epoch = self.handover_states.remove(&shard);
                    let handover_state = state_with_epoch
                        .filter(|(at, _)| *at == epoch)
                        .map(|(_, handover_state)| handover_state);
                    // After a snapshot the journals of earlier owners can be deleted.
                    let journals =
                        self.rows.get(&shard).map_or(0, |entry| entry.row.journals.len());
                    if journals > 1 {
                        self.snapshots.request(shard);
                    }
                    out.emit(Command::StartServing(Gained {
                        shard,
                        epoch,
                        acquisition,
                        handover_state,
                        recovered,
                    }));
                }
                Err(failure) => {
                    owned.state = State::Damaged;
                    out.log(Decision::Damaged(failure));
                }
            }
        }
    }
}
