//! Recoveries of shards that this instance has gained.

use std::collections::{BTreeMap, BTreeSet};

use super::held::State;
use super::machine::{Machine, Purpose};
use super::{Gained, Row, Shard};
use crate::agent::{Command, Decision, Out};
use crate::journal::{Failure, Job, Recovered, Step};
use crate::session;
use crate::store::{Priority, Response};

type Results = BTreeMap<Shard, Result<Recovered, Failure>>;

/// Recoveries that wait and those under way.
#[derive(Debug, Default)]
pub(super) struct Recoveries {
    next: u64,
    waiting: BTreeMap<Shard, Row>,
    jobs: BTreeMap<u64, Job>,
    /// Shards that this session has owned before.
    known: BTreeSet<Shard>,
}

impl Recoveries {
    /// Plans the recovery of a shard.
    pub(super) fn want(&mut self, shard: Shard, mut row: Row, own: &session::Name) {
        if self.known.insert(shard) {
            row.journals.retain(|session| session != own);
        }
        self.waiting.insert(shard, row);
    }

    /// Starts one job for all shards that wait.
    fn start(&mut self, out: &mut Out<'_>) -> Results {
        if self.waiting.is_empty() {
            return Results::new();
        }
        let id = self.next;
        self.next += 1;
        let job = Job::new(std::mem::take(&mut self.waiting));
        self.advance(id, job, out)
    }

    pub(super) fn handle(&mut self, id: u64, response: Response, out: &mut Out<'_>) -> Results {
        let Some(mut job) = self.jobs.remove(&id) else { return Results::new() };
        job.handle(response);
        self.advance(id, job, out)
    }

    fn advance(&mut self, id: u64, mut job: Job, out: &mut Out<'_>) -> Results {
        match job.next() {
            Step::Done(results) => results,
            Step::Read(request) => {
                self.jobs.insert(id, job);
                out.store(Priority::Journal, Purpose::Recovery(id), request);
                Results::new()
            }
        }
    }
}

impl Machine {
    pub(super) fn start_recoveries(&mut self, out: &mut Out<'_>) {
        let done = self.recoveries.start(out);
        self.recovered(done, out);
    }

    pub(super) fn recovered(&mut self, results: Results, out: &mut Out<'_>) {
        for (shard, result) in results {
            let Some(held) = self.held.get_mut(&shard) else { continue };
            if held.state != State::Recovering {
                continue;
            }
            match result {
                Ok(recovered) => {
                    held.state = State::Serving;
                    let (epoch, way) = (held.epoch, held.way);
                    let carried = self.carries.remove(&shard);
                    let carry = carried.filter(|(at, _)| *at == epoch).map(|(_, carry)| carry);
                    // A snapshot frees the journals of earlier owners for deletion.
                    let journals = self.rows.get(&shard).map_or(0, |it| it.row.journals.len());
                    if journals > 1 {
                        self.snapshots.want(shard);
                    }
                    out.emit(Command::Gained(Gained { shard, epoch, way, carry, recovered }));
                }
                Err(failure) => {
                    held.state = State::Damaged;
                    out.decide(Decision::Damaged(failure));
                }
            }
        }
    }
}
