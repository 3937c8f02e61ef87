//! A shard that this instance owns, with what it reads and writes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use sycamorerill_core::clock::Time;
use sycamorerill_jobs::config::Config;
use sycamorerill_jobs::id::{ExecutorId, ShardId};
use sycamorerill_jobs::shard::{Batch, Command, Event, Settings, Shard};
use sycamorerill_jobs::spec::Accepted;
use sycamorerill_jobs::tenure::{Claim, Tenure};

use super::commit::{Sequence, commit};
use super::recovery::{Recovered, recover};
use super::{Message, execute, logging};
use crate::clock;
use crate::frontend::{StateRow, decode, encode};
use crate::instance::{self, Context};
use crate::layout::{self, AcceptedRow, CLAIM, LEARNED, Layout, SEQUENCE};
use crate::platform::{Platform, Row, Table, Transaction, Version};
use crate::watch::{Subscription, Update};

/// Pause in which news of executors gather: each reports about once a second.
const EXECUTORS_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Which shard is owned, and since which version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ownership {
    pub(super) shard: ShardId,
    pub(super) epoch: u64,
    pub(super) layout: Layout,
    /// Version of the claim as it was written.
    pub(super) claimed: Version,
}

/// A shard that this instance owns.
pub(super) struct Owner<P: Platform> {
    context: Context<P>,
    ownership: Ownership,
    shard: Shard,
    restored: bool,
    executors: BTreeSet<ExecutorId>,
    claim_version: Version,
    sequence: (Version, u64),
    /// Whether the claim is to be renewed with the next transaction.
    pub(super) renew_due: bool,
    /// Claim by which the shard is given up once nothing of it is being recorded.
    pub(super) yielding: Option<Claim>,
    /// Whether that claim, or one that hands the shard over, is being written.
    pub(super) releasing: bool,
    written_claim: Option<Claim>,
    committing: Option<Task<()>>,
    /// Whether a batch of the shard is in the transaction under way.
    batch_in_flight: bool,
    batch: Option<Batch>,
    /// Futures that end with the ownership.
    tasks: Vec<Task<()>>,
}

impl<P: Platform> Owner<P> {
    /// Begins to own a shard: what is recorded of it is read.
    pub(super) fn start(
        context: Context<P>,
        ownership: Ownership,
        settings: Settings,
        config: Arc<Config>,
    ) -> Self {
        let reader = context.clone();
        let reading = context.spawner.spawn_cancellable(async move {
            let recovered = recover(&reader, ownership.shard, ownership.layout).await;
            let message = Message::Recovered(ownership.shard, ownership.epoch, Box::new(recovered));
            reader.send(instance::Message::Manager(message));
        });
        Self {
            context,
            ownership,
            shard: Shard::new(settings, config),
            restored: false,
            executors: BTreeSet::new(),
            claim_version: ownership.claimed,
            sequence: (ownership.claimed, 0),
            renew_due: false,
            yielding: None,
            releasing: false,
            written_claim: None,
            committing: None,
            batch_in_flight: false,
            batch: None,
            tasks: vec![reading],
        }
    }

    /// Returns the epoch under which the shard is owned.
    pub(super) const fn epoch(&self) -> u64 {
        self.ownership.epoch
    }

    /// Reports whether the shard has turned out to be another's.
    pub(super) const fn is_superseded(&self) -> bool {
        self.shard.is_superseded()
    }

    /// Reports whether nothing is being recorded.
    pub(super) const fn is_idle(&self) -> bool {
        self.committing.is_none()
    }

    /// Takes what is recorded of the shard.
    pub(super) fn restore(&mut self, now: Time, recovered: Recovered) {
        let wall_ms = clock::wall_ms();
        for listed in recovered.executors {
            self.executors.insert(listed.id.clone());
            self.shard.handle(now, wall_ms, Event::Listed(Box::new(listed)));
        }
        self.shard.restore(now, wall_ms, recovered.restored);
        self.restored = true;
        self.tasks.clear();
        self.watch(Table::Accepted, recovered.accepted_after, Duration::ZERO);
        self.watch(Table::Executors, recovered.executors_after, EXECUTORS_BATCH_DELAY);
    }

    fn watch(&mut self, table: Table, after: Version, batch_delay: Duration) {
        let ownership = self.ownership;
        let parts = ownership.layout.parts(table);
        let subject = Subscription { table, parts, after: Some(after), batch_delay };
        self.tasks.push(self.context.watch(subject, move |update| {
            instance::Message::Manager(Message::Rows(
                ownership.shard,
                ownership.epoch,
                table,
                update,
            ))
        }));
    }

    /// Takes rows that were read of a table.
    pub(super) fn apply_update(&mut self, now: Time, table: Table, update: Update) {
        let is_snapshot = matches!(update, Update::Snapshot(_));
        let (Update::Snapshot(rows) | Update::Changed(rows)) = update else {
            return;
        };
        if table == Table::Executors {
            self.executor_rows(now, &rows, is_snapshot);
        } else {
            for row in &rows {
                self.accepted_row(now, row);
            }
        }
    }

    fn accepted_row(&mut self, now: Time, row: &Row) {
        match AcceptedRow::parse(&row.name) {
            Some(AcceptedRow::Job(id)) => {
                let Some(job) = decode::<Accepted>(row) else {
                    return;
                };
                if self.ownership.layout.shard_of_job(id) == self.ownership.shard {
                    self.handle_event(now, Event::Accepted(id, Box::new(job)));
                }
            }
            Some(AcceptedRow::Cancel(id)) => {
                let own = self.ownership.layout.shard_of_job(id) == self.ownership.shard;
                if own && row.value.is_some() {
                    self.handle_event(now, Event::Cancelled(id));
                }
            }
            None => {}
        }
    }

    fn executor_rows(&mut self, now: Time, rows: &[Row], is_snapshot: bool) {
        let mut seen = BTreeSet::new();
        for row in rows {
            let id = ExecutorId::from(row.name.as_str());
            match self.context.platform.parse_executor(row) {
                Some(listed) => {
                    if self.ownership.layout.shard_of_rack(listed.rack()) != self.ownership.shard {
                        continue;
                    }
                    seen.insert(id.clone());
                    self.executors.insert(id);
                    self.handle_event(now, Event::Listed(Box::new(listed)));
                }
                None if self.executors.remove(&id) => self.handle_event(now, Event::Unlisted(id)),
                None => {}
            }
        }
        if is_snapshot {
            let gone: Vec<ExecutorId> = self.executors.difference(&seen).cloned().collect();
            for id in gone {
                self.executors.remove(&id);
                self.handle_event(now, Event::Unlisted(id));
            }
        }
    }

    /// Passes an event to the shard.
    pub(super) fn handle_event(&mut self, now: Time, event: Event) {
        logging::event(self.ownership.shard, &event);
        self.shard.handle(now, clock::wall_ms(), event);
    }

    /// Decides what is to be done, and does it.
    pub(super) fn turn(&mut self, now: Time, tenure: &Tenure) {
        if self.restored {
            for command in self.shard.turn(now, clock::wall_ms()) {
                match command {
                    Command::Record(batch) => self.batch = Some(batch),
                    Command::Log(logged) => {
                        self.context.metrics.record_decision(&logged);
                        logging::decision(self.ownership.shard, &logged);
                    }
                    order => {
                        let confirmed = tenure.confirmed();
                        execute::execute(&self.context, self.ownership, confirmed, order);
                    }
                }
            }
        }
        self.commit(tenure);
    }

    /// Records what is to be recorded, one transaction at a time.
    fn commit(&mut self, tenure: &Tenure) {
        if self.committing.is_some() || (self.batch.is_none() && !self.renew_due) {
            return;
        }
        let ownership = self.ownership;
        let key = |table, name: &str| layout::shard_key(table, ownership.shard, name);
        let own = Sequence { epoch: ownership.epoch, number: self.sequence.1 + 1 };
        let mut change = Transaction {
            expected: vec![
                (key(Table::Claims, CLAIM), self.claim_version),
                (key(Table::Progress, SEQUENCE), self.sequence.0),
            ],
            writes: vec![(key(Table::Progress, SEQUENCE), encode(&own))],
            removes: Vec::new(),
        };
        let batch = self.batch.take();
        self.batch_in_flight = batch.is_some();
        for (job, progress) in batch.iter().flat_map(|batch| &batch.progress) {
            change.writes.push((key(Table::Progress, &job.to_string()), encode(progress)));
        }
        for (job, state) in batch.iter().flat_map(|batch| &batch.states) {
            let shown = StateRow { state: *state };
            change.writes.push((key(Table::States, &job.to_string()), encode(&shown)));
        }
        if let Some(learned) = batch.as_ref().and_then(|batch| batch.learned.as_ref()) {
            change.writes.push((key(Table::Progress, LEARNED), encode(learned)));
        }
        let renews = std::mem::take(&mut self.renew_due);
        if renews {
            let claim = tenure.next_claim();
            change.writes.push((key(Table::Claims, CLAIM), encode(&claim)));
            self.written_claim = Some(claim);
        }
        let context = self.context.clone();
        self.committing = Some(self.context.spawner.spawn_cancellable(async move {
            let committed = commit(&context, change, own, renews).await;
            let message = Message::Committed(ownership.shard, ownership.epoch, committed);
            context.send(instance::Message::Manager(message));
        }));
    }

    /// Takes that the transaction under way took effect.
    pub(super) fn committed(&mut self, now: Time, sequence: Version) {
        self.committing = None;
        self.sequence = (sequence, self.sequence.1 + 1);
        if std::mem::take(&mut self.batch_in_flight) {
            self.handle_event(now, Event::Recorded);
        }
    }

    /// Returns the claim that was written with it, if one was.
    pub(super) fn renewed(&mut self, version: Option<Version>) -> Option<(Claim, Version)> {
        let version = version?;
        self.claim_version = version;
        Some((self.written_claim.take()?, version))
    }
}
