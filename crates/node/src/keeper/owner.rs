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
use super::gather::{Gathered, gather};
use super::{Message, execute, note};
use crate::clock;
use crate::follow::{News, Subject};
use crate::front::{Shown, decode, encode};
use crate::layout::{self, AcceptedRow, CLAIM, LESSON, Layout, SEQUENCE};
use crate::port::{Platform, Row, Table, Transaction, Version};
use crate::run::{self, Outside};

/// Pause in which news of executors gather: each reports about once a second.
const EXECUTORS_GATHER: Duration = Duration::from_millis(150);
/// Which shard is owned, and since which version.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) shard: ShardId,
    pub(super) epoch: u64,
    pub(super) layout: Layout,
    /// Version of the claim as it was written.
    pub(super) claimed: Version,
}

/// A shard that this instance owns.
pub(super) struct Owner<P: Platform> {
    outside: Outside<P>,
    place: Place,
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
    renewing: Option<Claim>,
    committing: Option<Task<()>>,
    /// Whether a batch of the shard is in the transaction under way.
    has_batch: bool,
    batch: Option<Batch>,
    /// Futures that end with the ownership.
    tasks: Vec<Task<()>>,
}

impl<P: Platform> Owner<P> {
    /// Begins to own a shard: what is recorded of it is read.
    pub(super) fn start(
        outside: Outside<P>,
        place: Place,
        settings: Settings,
        config: Arc<Config>,
    ) -> Self {
        let reader = outside.clone();
        let reading = outside.spawner.task(async move {
            let gathered = gather(&reader, place.shard, place.layout).await;
            let message = Message::Gathered(place.shard, place.epoch, Box::new(gathered));
            reader.tell(run::Message::Keeper(message));
        });
        Self {
            outside,
            place,
            shard: Shard::new(settings, config),
            restored: false,
            executors: BTreeSet::new(),
            claim_version: place.claimed,
            sequence: (place.claimed, 0),
            renew_due: false,
            yielding: None,
            releasing: false,
            renewing: None,
            committing: None,
            has_batch: false,
            batch: None,
            tasks: vec![reading],
        }
    }

    /// Returns the epoch under which the shard is owned.
    pub(super) const fn epoch(&self) -> u64 {
        self.place.epoch
    }

    /// Reports whether the shard has turned out to be another's.
    pub(super) const fn is_superseded(&self) -> bool {
        self.shard.is_superseded()
    }

    /// Reports whether nothing is being recorded.
    pub(super) const fn is_settled(&self) -> bool {
        self.committing.is_none()
    }

    /// Takes what is recorded of the shard.
    pub(super) fn gathered(&mut self, now: Time, gathered: Gathered) {
        let wall_ms = clock::wall_ms();
        for listed in gathered.executors {
            self.executors.insert(listed.id.clone());
            self.shard.handle(now, wall_ms, Event::Listed(Box::new(listed)));
        }
        self.shard.restore(now, wall_ms, gathered.restored);
        self.restored = true;
        self.tasks.clear();
        self.follow(Table::Accepted, gathered.accepted_after, Duration::ZERO);
        self.follow(Table::Executors, gathered.executors_after, EXECUTORS_GATHER);
    }

    fn follow(&mut self, table: Table, after: Version, gather: Duration) {
        let place = self.place;
        let parts = place.layout.parts(table);
        let subject = Subject { table, parts, after: Some(after), gather };
        self.tasks.push(self.outside.follow(subject, move |news| {
            run::Message::Keeper(Message::Rows(place.shard, place.epoch, table, news))
        }));
    }

    /// Takes rows that were read of a table.
    pub(super) fn rows(&mut self, now: Time, table: Table, news: News) {
        let whole = matches!(news, News::Whole(_));
        let (News::Whole(rows) | News::Changed(rows)) = news else {
            return;
        };
        if table == Table::Executors {
            self.executor_rows(now, &rows, whole);
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
                if self.place.layout.of_job(id) == self.place.shard {
                    self.event(now, Event::Accepted(id, Box::new(job)));
                }
            }
            Some(AcceptedRow::Cancel(id)) => {
                let mine = self.place.layout.of_job(id) == self.place.shard;
                if mine && row.value.is_some() {
                    self.event(now, Event::Cancelled(id));
                }
            }
            None => {}
        }
    }

    fn executor_rows(&mut self, now: Time, rows: &[Row], whole: bool) {
        let mut seen = BTreeSet::new();
        for row in rows {
            let id = ExecutorId::from(row.name.as_str());
            match self.outside.platform.executor(row) {
                Some(listed) => {
                    if self.place.layout.of_rack(listed.rack()) != self.place.shard {
                        continue;
                    }
                    seen.insert(id.clone());
                    self.executors.insert(id);
                    self.event(now, Event::Listed(Box::new(listed)));
                }
                None if self.executors.remove(&id) => self.event(now, Event::Unlisted(id)),
                None => {}
            }
        }
        if whole {
            let gone: Vec<ExecutorId> = self.executors.difference(&seen).cloned().collect();
            for id in gone {
                self.executors.remove(&id);
                self.event(now, Event::Unlisted(id));
            }
        }
    }

    /// Passes an event to the shard.
    pub(super) fn event(&mut self, now: Time, event: Event) {
        note::event(self.place.shard, &event);
        self.shard.handle(now, clock::wall_ms(), event);
    }

    /// Decides what is to be done, and does it.
    pub(super) fn turn(&mut self, now: Time, tenure: &Tenure) {
        if self.restored {
            for command in self.shard.turn(now, clock::wall_ms()) {
                match command {
                    Command::Record(batch) => self.batch = Some(batch),
                    Command::Log(logged) => {
                        self.outside.metrics.noted(&logged);
                        note::write(self.place.shard, &logged);
                    }
                    order => {
                        let confirmed = tenure.confirmed();
                        execute::execute(&self.outside, self.place, confirmed, order);
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
        let place = self.place;
        let at = |table, name: &str| layout::of_shard(table, place.shard, name);
        let mine = Sequence { epoch: place.epoch, number: self.sequence.1 + 1 };
        let mut change = Transaction {
            expected: vec![
                (at(Table::Claims, CLAIM), self.claim_version),
                (at(Table::Progress, SEQUENCE), self.sequence.0),
            ],
            writes: vec![(at(Table::Progress, SEQUENCE), encode(&mine))],
            removes: Vec::new(),
        };
        let batch = self.batch.take();
        self.has_batch = batch.is_some();
        for (job, progress) in batch.iter().flat_map(|batch| &batch.progress) {
            change.writes.push((at(Table::Progress, &job.to_string()), encode(progress)));
        }
        for (job, state) in batch.iter().flat_map(|batch| &batch.states) {
            let shown = Shown { state: *state };
            change.writes.push((at(Table::States, &job.to_string()), encode(&shown)));
        }
        if let Some(lesson) = batch.as_ref().and_then(|batch| batch.learned.as_ref()) {
            change.writes.push((at(Table::Progress, LESSON), encode(lesson)));
        }
        let renews = std::mem::take(&mut self.renew_due);
        if renews {
            let claim = tenure.next_claim();
            change.writes.push((at(Table::Claims, CLAIM), encode(&claim)));
            self.renewing = Some(claim);
        }
        let outside = self.outside.clone();
        self.committing = Some(self.outside.spawner.task(async move {
            let committed = commit(&outside, change, mine, renews).await;
            let message = Message::Committed(place.shard, place.epoch, committed);
            outside.tell(run::Message::Keeper(message));
        }));
    }

    /// Takes that the transaction under way took effect.
    pub(super) fn committed(&mut self, now: Time, sequence: Version) {
        self.committing = None;
        self.sequence = (sequence, self.sequence.1 + 1);
        if std::mem::take(&mut self.has_batch) {
            self.event(now, Event::Recorded);
        }
    }

    /// Returns the claim that was written with it, if one was.
    pub(super) fn renewed(&mut self, version: Option<Version>) -> Option<(Claim, Version)> {
        let version = version?;
        self.claim_version = version;
        Some((self.renewing.take()?, version))
    }
}
