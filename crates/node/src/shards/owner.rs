//! Drives one owned shard: reads its tables, passes events to it, executes its commands
//! and commits its records.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Task;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::config::Config;
use sycamorerill_jobs::id::{ExecutorId, ShardId};
use sycamorerill_jobs::ownership::{Claim, Ownership};
use sycamorerill_jobs::record::RecordId;
use sycamorerill_jobs::shard::{Backlog, Batch, Command, Event, Settings, Shard};
use sycamorerill_jobs::spec::AcceptedJob;

use super::commit::{Sequence, commit};
use super::lease_row::LeaseRow;
use super::recovery::{Recovered, recover};
use super::writes::{Change, Writes, record_id};
use super::{Message, execute, logging};
use crate::clock;
use crate::frontend::{OutlookRow, StateRow, decode, encode};
use crate::instance::{self, Context};
use crate::layout::{self, AcceptedRow, CLAIM, LEASES, Layout, MODEL, OUTLOOK, SEQUENCE};
use crate::log::{Code, Line};
use crate::platform::{Error, Key, Platform, Row, Table, Transaction, Version};
use crate::watch::{Subscription, Update};

/// Delay in which updates of executors accumulate: each reports about once a second.
const EXECUTORS_BATCH_DELAY: Duration = Duration::from_millis(150);

/// Identifies the owned shard and the claim under which it is owned.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnedShard {
    pub(super) shard: ShardId,
    pub(super) epoch: u64,
    pub(super) layout: Layout,
    /// Version of the claim's row as written when the ownership began.
    pub(super) claim_version: Version,
    /// Time after the last confirmed write in which no successor can act.
    pub(super) predecessor_grace: Span,
}

/// Drives one shard while this instance owns it.
pub(super) struct Owner<P: Platform> {
    context: Context<P>,
    owned: OwnedShard,
    shard: Shard,
    restored: bool,
    executors: BTreeSet<ExecutorId>,
    claim_version: Version,
    sequence: (Version, u64),
    /// Whether the next transaction must renew the claim.
    pub(super) renew_due: bool,
    /// Claim that yields the shard; it is written once no transaction is in progress.
    pub(super) yielded_claim: Option<Claim>,
    /// Whether the claim that yields or releases the shard is being written.
    pub(super) releasing: bool,
    written_claim: Option<Claim>,
    transaction_task: Option<Task<()>>,
    /// Changes of the shard's latest batch that are not all committed.
    writes: Option<Writes>,
    /// Records of the latest batch that the store rejects.
    rejected: Vec<RecordId>,
    max_row_bytes: usize,
    /// Futures that are cancelled when the ownership ends.
    tasks: Vec<Task<()>>,
}

impl<P: Platform> Owner<P> {
    /// Starts the ownership of a shard by reading its recorded state.
    pub(super) fn start(
        context: Context<P>,
        owned: OwnedShard,
        settings: Settings,
        config: Arc<Config>,
    ) -> Self {
        let reader = context.clone();
        let reading = context.spawner.spawn_cancellable(async move {
            let recovered = recover(&reader, owned.shard, owned.layout).await;
            let message = Message::Recovered(owned.shard, owned.epoch, Box::new(recovered));
            reader.send(instance::Message::Manager(message));
        });
        Self {
            context,
            owned,
            shard: Shard::new(settings, config),
            restored: false,
            executors: BTreeSet::new(),
            claim_version: owned.claim_version,
            sequence: (owned.claim_version, 0),
            renew_due: false,
            yielded_claim: None,
            releasing: false,
            written_claim: None,
            transaction_task: None,
            writes: None,
            rejected: Vec::new(),
            max_row_bytes: settings.max_row_bytes,
            tasks: vec![reading],
        }
    }

    /// Returns the epoch of the claim under which the shard is owned.
    pub(super) const fn epoch(&self) -> u64 {
        self.owned.epoch
    }

    /// Returns whether an executor has seen a higher epoch, so that another instance owns
    /// the shard.
    pub(super) const fn is_superseded(&self) -> bool {
        self.shard.is_superseded()
    }

    /// Returns the executor that has seen a higher epoch, if one has.
    pub(super) const fn superseded_by(&self) -> Option<&ExecutorId> {
        self.shard.superseded_by()
    }

    /// Returns the work of the shard that waits or is throttled.
    pub(super) fn backlog(&self) -> Backlog {
        self.shard.backlog()
    }

    /// Returns whether no transaction is in progress.
    pub(super) const fn is_idle(&self) -> bool {
        self.transaction_task.is_none()
    }

    /// Restores the recorded state of the shard and starts watching its tables.
    pub(super) fn restore(&mut self, now: Time, mut recovered: Recovered) {
        let wall_ms = clock::wall_ms();
        for registration in recovered.executors {
            self.executors.insert(registration.id.clone());
            self.shard.handle(now, wall_ms, Event::Listed(Box::new(registration)));
        }
        let store_clock = self.context.platform.store_clock();
        recovered.records.lease_ends = recovered.leases.lease_ends(store_clock, now);
        self.shard.restore(now, wall_ms, recovered.records);
        self.restored = true;
        self.tasks.clear();
        self.watch(Table::Accepted, recovered.accepted_after, Duration::ZERO);
        self.watch(Table::Executors, recovered.executors_after, EXECUTORS_BATCH_DELAY);
    }

    fn watch(&mut self, table: Table, after: Version, batch_delay: Duration) {
        let owned = self.owned;
        let parts = owned.layout.parts(table);
        let subscription = Subscription { table, parts, after: Some(after), batch_delay };
        self.tasks.push(self.context.watch(subscription, move |update| {
            instance::Message::Manager(Message::Rows(owned.shard, owned.epoch, table, update))
        }));
    }

    /// Applies an update of a watched table; it does nothing if the store is unavailable.
    pub(super) fn apply_update(&mut self, now: Time, table: Table, update: Update) {
        let is_snapshot = matches!(update, Update::Snapshot(_));
        let (Update::Snapshot(rows) | Update::Changed(rows)) = update else {
            return;
        };
        if table == Table::Executors {
            self.apply_executor_rows(now, &rows, is_snapshot);
        } else {
            for row in &rows {
                self.apply_accepted_row(now, row);
            }
        }
    }

    fn apply_accepted_row(&mut self, now: Time, row: &Row) {
        match AcceptedRow::parse(&row.name) {
            Some(AcceptedRow::Job(id)) => {
                let Some(job) = decode::<AcceptedJob>(row) else {
                    return;
                };
                if self.owned.layout.shard_of_job(id) == self.owned.shard {
                    self.handle_event(now, Event::Accepted(id, Box::new(job)));
                }
            }
            Some(AcceptedRow::Cancel(id)) => {
                let is_own = self.owned.layout.shard_of_job(id) == self.owned.shard;
                if is_own && row.value.is_some() {
                    self.handle_event(now, Event::Cancelled(id));
                }
            }
            None => {}
        }
    }

    fn apply_executor_rows(&mut self, now: Time, rows: &[Row], is_snapshot: bool) {
        let mut present = BTreeSet::new();
        for row in rows {
            let id = ExecutorId::from(row.name.as_str());
            match self.context.platform.parse_executor(row) {
                Some(registration) => {
                    if self.owned.layout.shard_of_rack(registration.rack()) != self.owned.shard {
                        continue;
                    }
                    present.insert(id.clone());
                    self.executors.insert(id);
                    self.handle_event(now, Event::Listed(Box::new(registration)));
                }
                None if self.executors.remove(&id) => self.handle_event(now, Event::Unlisted(id)),
                None => {}
            }
        }
        if is_snapshot {
            let gone: Vec<ExecutorId> = self.executors.difference(&present).cloned().collect();
            for id in gone {
                self.executors.remove(&id);
                self.handle_event(now, Event::Unlisted(id));
            }
        }
    }

    /// Logs an event and passes it to the shard.
    pub(super) fn handle_event(&mut self, now: Time, event: Event) {
        logging::event(self.owned, &event);
        self.shard.handle(now, clock::wall_ms(), event);
    }

    /// Executes the commands that the shard decides on, and commits its records.
    ///
    /// `shortage` tells how much this instance lacks processor time, from 0 to 1.
    pub(super) fn turn(&mut self, now: Time, ownership: &Ownership, shortage: f64) {
        if self.restored {
            let last_confirmed = ownership.last_confirmed();
            self.shard.set_shortage(shortage);
            self.shard.set_confirmed(last_confirmed);
            for command in self.shard.turn(now, clock::wall_ms()) {
                match command {
                    Command::Record(batch) => {
                        let changes = self.changes(&batch);
                        self.writes = Some(Writes::new(changes, self.max_row_bytes));
                    }
                    Command::Log(decision) => {
                        self.context.metrics.record_decision(&decision);
                        logging::decision(self.owned, &decision);
                    }
                    order => {
                        execute::execute(&self.context, self.owned, last_confirmed, order);
                    }
                }
            }
        }
        self.commit(ownership);
    }

    /// Commits changes that wait and a renewal of the claim that is due.
    ///
    /// At most one transaction is in progress at a time.
    fn commit(&mut self, ownership: &Ownership) {
        if self.transaction_task.is_some() || (self.writes.is_none() && !self.renew_due) {
            return;
        }
        let owned = self.owned;
        let own = Sequence { epoch: owned.epoch, number: self.sequence.1 + 1 };
        let mut transaction = Transaction {
            expected: vec![
                (self.key(Table::Claims, CLAIM), self.claim_version),
                (self.key(Table::Progress, SEQUENCE), self.sequence.0),
            ],
            writes: vec![(self.key(Table::Progress, SEQUENCE), encode(&own))],
            removes: Vec::new(),
        };
        if let Some(writes) = &mut self.writes {
            writes.add_to(&mut transaction);
        }
        let renews = std::mem::take(&mut self.renew_due);
        if renews {
            let claim = ownership.next_claim();
            transaction.writes.push((self.key(Table::Claims, CLAIM), encode(&claim)));
            self.written_claim = Some(claim);
        }
        let context = self.context.clone();
        self.transaction_task = Some(self.context.spawner.spawn_cancellable(async move {
            let committed = commit(&context, transaction, own, renews).await;
            let message = Message::Committed(owned.shard, owned.epoch, committed);
            context.send(instance::Message::Manager(message));
        }));
    }

    fn key(&self, table: Table, name: &str) -> Key {
        layout::shard_key(table, self.owned.shard, name)
    }

    /// Returns the changes of rows that a batch makes. The states that callers see come after the
    /// records.
    fn changes(&self, batch: &Batch) -> Vec<Change> {
        let mut changes = Vec::new();
        for (record, progress) in &batch.progress {
            let value = progress.as_ref().map(encode);
            changes.push((self.key(Table::Progress, &record.to_string()), value));
        }
        for (job, state) in &batch.states {
            let row = StateRow { state: *state };
            changes.push((self.key(Table::States, &job.to_string()), Some(encode(&row))));
        }
        if let Some(model) = &batch.model {
            changes.push((self.key(Table::Progress, MODEL), Some(encode(model))));
        }
        if let Some(ends) = &batch.lease_ends {
            let row = LeaseRow::new(ends, self.context.platform.store_clock(), clock::now());
            changes.push((self.key(Table::Progress, LEASES), Some(encode(&row))));
        }
        if let Some(outlook) = &batch.outlook {
            let clock = self.context.platform.store_clock();
            let row = OutlookRow::new(outlook.clone(), clock, clock::now());
            changes.push((self.key(Table::States, OUTLOOK), Some(encode(&row))));
        }
        changes
    }

    /// Handles the success of the transaction in progress.
    pub(super) fn committed(&mut self, now: Time, sequence: Version) {
        self.transaction_task = None;
        self.sequence = (sequence, self.sequence.1 + 1);
        if let Some(writes) = &mut self.writes {
            writes.committed();
        }
        self.finish_batch(now);
    }

    /// Handles that the store rejects the transaction in progress for good.
    ///
    /// The rows that it rejects are given up, so that they do not hold up the others.
    pub(super) fn rejected(&mut self, now: Time, error: &Error) {
        self.transaction_task = None;
        self.renew_due |= self.written_claim.take().is_some();
        if let Some(writes) = &mut self.writes {
            writes.refused();
        }
        Line::new(Code::Store).text("state", "rejects").text("error", error).write();
        self.finish_batch(now);
    }

    /// Reports the batch to the shard as recorded once all of its changes are committed or given
    /// up.
    fn finish_batch(&mut self, now: Time) {
        let Some(writes) = &mut self.writes else {
            return;
        };
        for key in writes.take_rejected() {
            Line::new(Code::Rejected)
                .text("shard", self.owned.shard)
                .text("row", &key.name)
                .write();
            self.rejected.extend(record_id(&key));
        }
        if writes.is_done() {
            self.writes = None;
            let rejected = std::mem::take(&mut self.rejected);
            self.handle_event(now, Event::Recorded(rejected));
        }
    }

    /// Returns the claim that the last transaction renewed, if it did, with its version.
    pub(super) fn renewed(&mut self, version: Option<Version>) -> Option<(Claim, Version)> {
        let version = version?;
        self.claim_version = version;
        Some((self.written_claim.take()?, version))
    }
}
