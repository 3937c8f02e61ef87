//! The table of workers of a cell.

use std::collections::BTreeMap;

use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Incarnation, RackName, WorkerName};
use sycamorerill_core::size::Size;

use super::{Assignment, Command, Index, Intent, Session, Token};
use crate::cell::key;
use crate::learn::{self, FaultEvidence, Mix};

/// Progress of the record that admits the current incarnation of a worker.
///
/// A worker is assigned tasks only once the record is durable, for two reasons. A
/// successor finds the worker in the journal and knows that it may hold tasks. And a
/// worker that restarts loses the epochs that it has received: a record that becomes
/// durable after the first report of the new incarnation proves that no successor had
/// taken over before that report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Not requested yet.
    None,
    /// The record was requested and is not durable yet.
    Pending,
    /// The record is durable.
    Durable,
}

/// The state kept for one worker.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) name: WorkerName,
    pub(crate) rack: key::Rack,
    pub(crate) size: Size,
    pub(crate) leaving: bool,
    pub(crate) listed: bool,
    pub(crate) admission: Admission,
    /// Incarnation of the last report received under the epoch of the cell.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether a durable record names the worker.
    pub(crate) recorded: bool,
    /// Whether the worker has reported under the epoch of the cell.
    pub(crate) fenced: bool,
    /// Whether every lease lapsed since the last report, so that no task runs.
    pub(crate) leases_lapsed: bool,
    pub(crate) session: Session,
    pub(crate) assignments: BTreeMap<Token, Assignment>,
    pub(crate) reserved: Size,
    /// Size of running tasks without an assignment, which are being stopped.
    pub(crate) stale_reserved: Size,
    /// Commands for tasks that are unknown to the cell or whose token is superseded.
    pub(crate) stale_commands: Vec<Command>,
    pub(crate) fault_evidence: FaultEvidence,
    /// When a task was last placed on the worker.
    pub(crate) last_placed_at: Time,
    /// Instant before which the worker gets no further task, as a new one may crash it.
    pub(crate) isolated_until: Time,
    /// Tasks whose leases lapsed shortly after they had started. They may have crashed the worker.
    pub(crate) lapsed_starts: Vec<key::Task>,
    /// Free size under which the index lists the worker, if it does.
    indexed: Option<Size>,
    /// Instant before which no further step against interference is taken on the worker.
    pub(crate) next_interference_step_at: Time,
    /// Number of consecutive reports with a service above the throttle threshold.
    pub(crate) consecutive_slow_reports: u32,
    /// When a service on the worker was last above the release threshold.
    pub(crate) last_slow_at: Time,
}

impl Entry {
    pub(crate) fn free(&self) -> Size {
        self.size.saturating_sub(self.reserved)
    }

    /// Returns whether the worker may be assigned a task at `now`.
    pub(crate) fn accepts_tasks(&self, now: Time, max_report_age: Span) -> bool {
        let handle_report =
            self.session.last_report_at().is_some_and(|at| now.since(at) <= max_report_age);
        let admitted = self.admission == Admission::Durable;
        let in_service = self.listed && !self.leaving;
        handle_report
            && admitted
            && in_service
            && self.fenced
            && !self.fault_evidence.is_quarantined(now)
    }

    /// Recomputes the reserved size from the assignments.
    pub(crate) fn recompute_reserved(&mut self) {
        let is_reserved = self.assignments.values().filter(|assignment| assignment.is_reserved);
        self.reserved =
            is_reserved.fold(self.stale_reserved, |sum, assignment| sum + assignment.size);
    }

    /// Returns the fraction of the worker's cores that each class uses at the current shares.
    pub(crate) fn mix(&self) -> Mix {
        let mut mix = Mix::new();
        for assignment in self.assignments.values().filter(|assignment| assignment.is_reserved) {
            let share = match assignment.intent {
                Intent::Run(share) => share.as_f64(),
                Intent::Checkpoint | Intent::Stop => 0.0,
            };
            learn::add_to_mix(
                &mut mix,
                assignment.class,
                share * learn::core_fraction(assignment.cpu, self.size.cpu()),
            );
        }
        mix
    }

    /// Returns whether commands other than renewals are waiting to be sent.
    pub(crate) fn has_unsent_commands(&self) -> bool {
        let is_unsent = |(token, assignment): (&Token, &Assignment)| {
            !assignment.command_sent && assignment.command(*token, Span::ZERO).is_some()
        };
        self.assignments.iter().any(is_unsent)
    }

    /// Returns whether a task is being checkpointed or stopped.
    pub(crate) fn is_removing_task(&self) -> bool {
        let leaves = |assignment: &Assignment| {
            assignment.is_reserved && !matches!(assignment.intent, Intent::Run(_))
        };
        self.assignments.values().any(leaves)
    }

    /// Abandons the outstanding exchange and marks its commands unsent, as they may be lost.
    pub(crate) fn abandon(&mut self, until: Time) {
        self.session.abandon(until);
        for assignment in self.assignments.values_mut() {
            assignment.command_sent = false;
        }
    }

    /// Returns whether the index lists the worker as accepting tasks.
    pub(crate) const fn is_indexed(&self) -> bool {
        self.indexed.is_some()
    }
}

/// The workers of a cell by key, with an index of those that accept tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    names: key::Interner<WorkerName>,
    racks: key::Interner<RackName>,
    entries: BTreeMap<key::Worker, Entry>,
    pub(crate) index: Index,
}

impl Table {
    /// Returns the key of `name`; inserts an empty entry if there is none.
    pub(crate) fn add(&mut self, name: &WorkerName, now: Time) -> key::Worker {
        let key = key::Worker(self.names.intern(name));
        self.entries.entry(key).or_insert_with(|| Entry {
            name: name.clone(),
            rack: key::Rack(u32::MAX),
            size: Size::ZERO,
            leaving: false,
            listed: false,
            admission: Admission::None,
            incarnation: None,
            recorded: false,
            fenced: false,
            leases_lapsed: false,
            session: Session::new(now),
            assignments: BTreeMap::new(),
            reserved: Size::ZERO,
            stale_reserved: Size::ZERO,
            stale_commands: Vec::new(),
            fault_evidence: FaultEvidence::default(),
            last_placed_at: Time::ZERO,
            isolated_until: Time::ZERO,
            lapsed_starts: Vec::new(),
            indexed: None,
            next_interference_step_at: Time::ZERO,
            consecutive_slow_reports: 0,
            last_slow_at: Time::ZERO,
        });
        key
    }

    pub(crate) fn rack(&mut self, name: &RackName) -> key::Rack {
        key::Rack(self.racks.intern(name))
    }

    pub(crate) fn find(&self, name: &WorkerName) -> Option<key::Worker> {
        let key = key::Worker(self.names.find(name)?);
        self.entries.contains_key(&key).then_some(key)
    }

    pub(crate) fn entry(&self, key: key::Worker) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn entry_mut(&mut self, key: key::Worker) -> Option<&mut Entry> {
        self.entries.get_mut(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (key::Worker, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn keys(&self) -> Vec<key::Worker> {
        self.entries.keys().copied().collect()
    }

    /// Returns up to `limit` random keys, which may include removed workers, or all keys if
    /// there are no more than `limit`.
    pub(crate) fn sample_keys(&self, limit: usize, rng: &mut Rng) -> Vec<key::Worker> {
        let last = self.names.len() as u32;
        if self.entries.len() <= limit || last == 0 {
            return self.keys();
        }
        let mut drawn: Vec<key::Worker> =
            (0..limit).map(|_| key::Worker(rng.u32(0..last))).collect();
        drawn.sort_unstable();
        drawn.dedup();
        drawn
    }

    pub(crate) fn remove(&mut self, key: key::Worker) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        if let Some(free) = entry.indexed {
            self.index.remove(key, free);
        }
        Some(entry)
    }

    /// Updates the index after a change of the entry.
    pub(crate) fn reindex(&mut self, key: key::Worker, now: Time, max_report_age: Span) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let free = entry.accepts_tasks(now, max_report_age).then(|| entry.free());
        if free == entry.indexed {
            return;
        }
        if let Some(before) = entry.indexed.take() {
            self.index.remove(key, before);
        }
        if let Some(free) = free {
            self.index.insert(key, free);
        }
        entry.indexed = free;
    }
}
