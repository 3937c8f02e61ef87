//! Scheduling decisions of the owner of a shard: a set of executors and the jobs placed on
//! them.
//!
//! A run is recorded before the order to start it is sent, so that a successor knows on which
//! executor each task may be running. A run is closed only on evidence: its end is reported; a
//! probe under the current epoch, or after an answered stop, does not list it; the lease has
//! expired by the executor's own clock; or the executor's incarnation is over.

mod advice;
mod backlog;
mod clock;
mod crash;
mod drain;
mod effort;
mod ends;
mod entry;
mod evacuate;
mod evidence;
mod executors;
mod fit;
mod gang;
mod health;
mod lease_ends;
mod lifecycle;
mod limit;
mod locality;
mod message;
mod model;
mod order;
mod outlook;
mod pass;
mod place;
mod probe;
mod queues;
mod ranges;
mod rank;
mod ranking;
mod rejections;
mod relocate;
mod reservation;
mod restart;
mod restore;
mod score;
mod settings;
mod share;
mod split;
mod task_list;
mod throttle;
mod unschedulable;
mod witness;
mod write;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorerill_core::clock::Time;

use self::entry::Entry;
use self::executors::Executor;
use self::rank::Rank;
use crate::config::Config;
use crate::id::{ExecutorId, JobId, Run, StepId, TaskId};
use crate::progress::State;
use crate::record::RecordId;

pub use self::backlog::Backlog;
pub use self::evacuate::Evacuated;
pub use self::evidence::{FirstReport, Inherited, Knowledge, LeaseBound};
pub use self::fit::FitReport;
pub use self::lease_ends::LeaseEnd;
pub use self::locality::{LocalityWait, WaitChoice, WaitInputs, WaitState, decide_wait};
pub use self::message::{Batch, Closing, Command, Decision, Event, Order, Probe};
pub use self::model::{ImageSnapshot, Snapshot};
pub use self::restore::Records;
pub use self::settings::Settings;
pub use self::unschedulable::Obstacle;

/// Decides for a shard under one epoch what is placed, recorded, sent and stopped.
///
/// The shard performs no I/O: [`Shard::handle`] takes events and [`Shard::turn`] returns
/// commands.
#[derive(Debug)]
pub struct Shard {
    settings: Settings,
    config: Arc<Config>,
    jobs: BTreeMap<JobId, Entry>,
    executors: BTreeMap<ExecutorId, Executor>,
    /// Steps with tasks that wait for placement, in placement order.
    waiting: BTreeSet<(Rank, StepId)>,
    /// Steps with tasks that wait although no listed executor could run them.
    unschedulable: unschedulable::Unschedulable,
    /// Steps with restarts of long-running tasks, by the time from which on these are placed before
    /// new work.
    promotions: BTreeSet<(Time, StepId)>,
    /// Use of executors by queue.
    shares: share::Shares,
    /// Executors that are reserved for waiting steps.
    reservations: BTreeMap<StepId, ExecutorId>,
    /// Records of which the tasks or the job have changed since they were last written.
    dirty: BTreeSet<RecordId>,
    /// Records and run ends that the next batches hold.
    round: write::Round,
    /// Jobs whose records of earlier versions are not split yet.
    unsplit: split::Unsplit,
    /// Lease ends that are recorded for a successor.
    lease_ends: lease_ends::Recorded,
    /// Batch that was sent to the store and is not confirmed yet.
    pending_batch: Option<write::PendingBatch>,
    /// Waits for racks, and what they are decided by.
    locality: locality::State,
    /// Executors permitted by the advice service, for steps of queues with a policy.
    advice: BTreeMap<StepId, advice::StepAdvice>,
    /// Executors that may be due for a probe.
    probe_candidates: BTreeSet<ExecutorId>,
    /// Failure domains in which nothing starts.
    evacuation: evacuate::State,
    /// Jobs whose cancellation arrived before their acceptance.
    cancelled_early: BTreeSet<JobId>,
    /// Scheduled jobs with occurrences that have not begun.
    scheduled: BTreeSet<JobId>,
    /// Whether waiting tasks are to be tried: at each tick, and after a change that may let
    /// them be placed.
    placement_due: bool,
    /// Earliest time of the next placement pass.
    place_after: Time,
    /// How much the owner lacks processor time, from 0 to 1; the more, the more of the work that
    /// is not urgent is put off.
    shortage: f64,
    /// Earliest time of the next placement of best-effort tasks while the owner lacks processor
    /// time.
    best_effort_after: Time,
    /// Earliest time of the next placement pass that tries blocked steps on all executors.
    full_pass_after: Time,
    /// Step behind which the next full pass goes on, once it has tried those of the highest rank.
    resume_after: Option<(Rank, StepId)>,
    /// Executors on which resources were released since the last placement pass.
    released: BTreeSet<ExecutorId>,
    /// Runs that lapsed soon after their start.
    lapsed_starts: Vec<crash::LapsedStart>,
    /// Earliest time of the next batch, unless it is full.
    write_after: Time,
    /// Placed runs that are started once they are recorded.
    placed: Vec<(TaskId, Run)>,
    /// Whether run ends were processed since the last round of batches began.
    has_new_ends: bool,
    /// Wall-clock time of the latest event or turn, in milliseconds since 1970.
    wall_ms: u64,
    /// When the last confirmed write under the claim was sent.
    confirmed_at: Time,
    /// When the owner last had no write confirmed for a second.
    unconfirmed_at: Time,
    /// Executors that show whether there is a successor, while the claim is not confirmed.
    witnesses: BTreeSet<ExecutorId>,
    /// Executor that has refused an order or a probe because it has seen a higher epoch.
    superseded_by: Option<ExecutorId>,
    /// When this owner restored the records of its predecessors.
    restored_at: Time,
    /// Executors that were listed, or had recorded runs, at the takeover.
    known: BTreeSet<ExecutorId>,
    /// When this owner had reached half of those.
    reached_at: Option<Time>,
    next_tick: Time,
    /// Expected waits of new jobs.
    outlooks: outlook::Outlooks,
    /// Time of the next pass over all open runs.
    next_sweep: Time,
    estimator: throttle::Estimator,
    out: Vec<Command>,
}

impl Shard {
    /// Returns a shard without jobs or executors.
    pub fn new(settings: Settings, config: Arc<Config>) -> Self {
        Self {
            settings,
            config,
            jobs: BTreeMap::new(),
            executors: BTreeMap::new(),
            waiting: BTreeSet::new(),
            unschedulable: unschedulable::Unschedulable::default(),
            promotions: BTreeSet::new(),
            shares: share::Shares::default(),
            reservations: BTreeMap::new(),
            dirty: BTreeSet::new(),
            round: write::Round::default(),
            unsplit: split::Unsplit::default(),
            lease_ends: lease_ends::Recorded::default(),
            pending_batch: None,
            locality: locality::State::default(),
            advice: BTreeMap::new(),
            probe_candidates: BTreeSet::new(),
            evacuation: evacuate::State::default(),
            cancelled_early: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            placement_due: false,
            place_after: Time::ZERO,
            shortage: 0.0,
            best_effort_after: Time::ZERO,
            full_pass_after: Time::ZERO,
            resume_after: None,
            released: BTreeSet::new(),
            lapsed_starts: Vec::new(),
            write_after: Time::ZERO,
            next_sweep: Time::ZERO,
            placed: Vec::new(),
            has_new_ends: false,
            wall_ms: 0,
            confirmed_at: Time::MAX,
            unconfirmed_at: Time::ZERO,
            witnesses: BTreeSet::new(),
            superseded_by: None,
            restored_at: Time::ZERO,
            known: BTreeSet::new(),
            reached_at: None,
            next_tick: Time::ZERO,
            outlooks: outlook::Outlooks::default(),
            estimator: throttle::Estimator::default(),
            out: Vec::new(),
        }
    }

    /// Applies an event that occurs at `now`; `wall_ms` is the wall-clock time in milliseconds
    /// since 1970.
    ///
    /// The resulting commands are returned by the next [`Shard::turn`].
    pub fn handle(&mut self, now: Time, wall_ms: u64, event: Event) {
        self.wall_ms = wall_ms;
        match event {
            Event::Configured(config) => self.configure(now, config),
            Event::Evacuated(domains) => self.set_evacuated(domains),
            Event::Accepted(job, accepted) => self.handle_accepted(now, job, *accepted),
            Event::Cancelled(job) => self.cancel(now, job),
            Event::Listed(registration) => self.handle_listed(now, *registration),
            Event::Unlisted(executor) => self.handle_unlisted(now, &executor),
            Event::Recorded(rejected) => self.handle_recorded(now, &rejected),
            Event::Started(order, outcome) => self.handle_start_outcome(now, &order, outcome),
            Event::Stopped(order, outcome) => self.handle_stop_outcome(now, &order, outcome),
            Event::ThrottleCompleted(order, percent, outcome) => {
                self.handle_throttle_outcome(now, &order, percent, outcome)
            }
            Event::Advised(step, queried, advice) => {
                self.handle_advice(now, step, &queried, advice)
            }
            Event::Probed(probe, report) => self.handle_report(now, &probe, report),
            Event::ProbeFailed(probe, outcome) => self.handle_probe_failure(now, &probe, outcome),
        }
    }

    /// Returns the commands that are due at `now`, after any number of events.
    ///
    /// Returns nothing once the shard is superseded.
    pub fn turn(&mut self, now: Time, wall_ms: u64) -> Vec<Command> {
        self.wall_ms = wall_ms;
        if self.is_superseded() {
            return Vec::new();
        }
        if now >= self.next_tick {
            self.next_tick = now + self.settings.tick;
            self.tick(now);
        }
        self.place_waiting(now);
        self.write_batch(now);
        self.send_due_probes(now);
        std::mem::take(&mut self.out)
    }

    /// Sets how much the owner lacks processor time for its work, from 0 to 1.
    ///
    /// Throttled runs and best-effort tasks that wait cost the owner more the more of them there
    /// are. The more it lacks, the fewer best-effort tasks it places and the more rarely it raises
    /// limits; it moves no runs meanwhile.
    pub const fn set_shortage(&mut self, shortage: f64) {
        self.shortage = shortage.clamp(0.0, 1.0);
    }

    /// Returns whether an executor has seen a higher epoch. The shard then belongs to another
    /// owner, and this one issues no further commands.
    pub const fn is_superseded(&self) -> bool {
        self.superseded_by.is_some()
    }

    /// Returns the executor that has seen a higher epoch, if one has.
    pub const fn superseded_by(&self) -> Option<&ExecutorId> {
        self.superseded_by.as_ref()
    }

    /// Returns the current state of a job, which may not be recorded yet.
    pub fn state(&self, job: JobId) -> Option<State> {
        self.jobs.get(&job).map(|entry| entry.state)
    }

    fn tick(&mut self, now: Time) {
        self.note_confirmation(now);
        self.forget_listed(now);
        self.ask_witnesses(now);
        self.note_reach(now);
        self.begin_due(now);
        self.close_expired(now);
        self.check_lease_ends(now);
        self.stop_on_draining(now);
        self.log_evacuated();
        self.update_outlook(now);
        if now >= self.next_sweep {
            self.next_sweep = now + self.settings.sweep;
            self.retry_orders(now);
            self.remove_finished_waits();
            if self.shortage == 0.0 {
                self.relocate(now);
            }
        }
        self.placement_due = true;
    }

    fn configure(&mut self, now: Time, config: Arc<Config>) {
        if config.version > self.config.version || self.config.version == 0 {
            self.keep_dropped(&config);
            self.config = config;
            self.requeue_unschedulable(now);
            self.placement_due = true;
        }
    }
}
