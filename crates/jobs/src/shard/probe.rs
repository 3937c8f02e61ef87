//! Probes of executors: they report runs and run ends, and extend leases.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use super::entry::{Stage, Stop};
use super::executors::{Executor, PlacedRun};
use super::message::{Closing, Command, Decision, Order, Probe};
use super::{Settings, Shard, witness};
use crate::executor::{Outcome, Refusal, Registration, Report, RunReport, Steady};
use crate::id::{ExecutorId, Run, TaskId};

/// Maximum number of run ends in one report. A report with that many may omit others, so runs
/// that it does not list may still have ended.
const MAX_ENDS_PER_REPORT: usize = 500;
/// Maximum number of times that the time until the next probe doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Wait of a probe whose answer is needed at once.
const NO_WAIT: Span = Span::ZERO;

impl Executor {
    /// Returns the time until the next probe after one that failed.
    ///
    /// It doubles with each failure at an executor that has never answered and of which no run is
    /// known: its entry may be that of another writer.
    fn probe_backoff(&self, first: Span) -> Span {
        if self.last_answer > Time::ZERO || !self.open_tasks.is_empty() {
            return first;
        }
        first.saturating_mul(1 << self.failed_probes.min(MAX_BACKOFF_DOUBLINGS))
    }
}

impl Shard {
    /// Sends the probes that are due.
    pub(super) fn send_due_probes(&mut self, now: Time) {
        let due: Vec<ExecutorId> = self.probe_candidates.iter().cloned().collect();
        let may_renew = self.may_renew_leases(now);
        for id in due {
            if self.send_probe(now, &id, may_renew) {
                self.probe_candidates.remove(&id);
            }
        }
    }

    /// Sends a probe to an executor if one is due. Returns whether the executor can be removed
    /// from the candidates: a probe is in flight or none is needed.
    fn send_probe(&mut self, now: Time, id: &ExecutorId, may_renew: bool) -> bool {
        let settings = self.settings;
        let is_witness = self.witnesses.contains(id);
        let Some(executor) = self.executors.get_mut(id) else {
            return true;
        };
        if executor.probe_sent.is_some() || !executor.has_address() {
            return true;
        }
        if now < executor.probe_after {
            return false;
        }
        // Ends that are not acknowledged are reported at once, so a probe waits until all
        // processed ends are recorded, unless leases must be renewed meanwhile.
        let unrecorded = executor.ends_recorded < executor.ends_processed;
        if unrecorded && !executor.lease_ends_within(now, settings.renewal_lead) {
            return false;
        }
        let unacknowledged = executor.ends_acknowledged < executor.ends_recorded;
        // An executor that did not report gets no work, so it is probed until it reports or is
        // no longer listed.
        let unconfirmed = executor.present
            && (executor.unreachable_since.is_some()
                || executor.probe_failed
                || !executor.confirmed);
        if executor.open_tasks.is_empty() && !unacknowledged && !unconfirmed && !is_witness {
            return true;
        }
        executor.latest_probe += 1;
        executor.probe_sent = Some(now);
        let verify = std::mem::take(&mut executor.verify);
        let settled = executor.fenced && executor.confirmed && !verify;
        let wait = match executor.unreachable_since {
            // The leases are renewed as soon as their recorded end is removed.
            None if !executor.may_extend_lease() => settings.probe_retry,
            None if !executor.open_tasks.is_empty() && settled && !unrecorded => {
                match executor.best_effort_cpu.is_empty()
                    || executor.latency_critical_cpu.is_empty()
                {
                    true => settings.probe_wait,
                    false if Self::is_over_objective(executor) => settings.probe_wait_over,
                    false => settings.probe_wait_mixed,
                }
            }
            None if is_witness && settled => witness::PROBE_WAIT,
            _ => NO_WAIT,
        };
        let wait = if is_witness { wait.min(witness::PROBE_WAIT) } else { wait };
        // An unanswered probe may extend leases all the same. Probes of executors that do not
        // report therefore extend none, or their leases would never expire.
        let reports = executor.unreachable_since.is_none() && !executor.probe_failed;
        let extends = reports && executor.confirmed && executor.may_extend_lease() && may_renew;
        let deadline = extends.then(|| executor.extend_lease(now, settings.lease));
        let probe = Probe { executor: id.clone(), number: executor.latest_probe };
        executor.probe_acknowledges = executor.ends_recorded;
        // An executor that has restarted unnoticed would discard ends of its new numbering, so a
        // probe acknowledges nothing that was acknowledged before.
        let acknowledged = if unacknowledged { executor.ends_recorded } else { 0 };
        let Registration { address, incarnation, .. } = executor.registration;
        self.out.push(Command::Probe { probe, address, incarnation, acknowledged, deadline, wait });
        true
    }

    /// Handles the answer to a probe.
    ///
    /// The first one shows that the executor can be reached, so that it is used from then on.
    pub(super) fn handle_report(&mut self, now: Time, probe: &Probe, report: Report) {
        let id = &probe.executor;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.latest_probe != probe.number {
            return;
        }
        let sent = executor.probe_sent.take().unwrap_or(now);
        let current = executor.registration.incarnation;
        let reported = report.incarnation.unwrap_or(current);
        if reported > current {
            self.handle_restart(now, id, reported, report.clock);
        } else {
            // An answer to a probe that was sent before a restart was known is ignored above. So
            // a lower incarnation shows that the entry was not that of the executor.
            executor.registration.incarnation = reported;
            self.correct_clock(now, id, sent, report.clock);
        }
        if let Some(incarnation) = report.incarnation {
            self.forget_lapsed(id, incarnation);
        }
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.update_clock(now, report.clock);
        executor.last_answer = now;
        executor.answered_sent = sent;
        executor.probe_after = now;
        if !std::mem::replace(&mut executor.confirmed, true) {
            self.released.insert(id.clone());
            self.placement_due = true;
        }
        executor.probe_failed = false;
        executor.failed_probes = 0;
        if executor.unreachable_since.take().is_some() {
            self.released.insert(id.clone());
            self.out.push(Command::Log(Decision::Reachable(id.clone())));
        }
        executor.ends_acknowledged = executor.ends_acknowledged.max(executor.probe_acknowledges);
        let complete = report.ended.len() < MAX_ENDS_PER_REPORT;
        let mut listed: BTreeSet<(TaskId, Run)> =
            report.ended.iter().map(|end| (end.task, end.run)).collect();
        listed.extend(report.running.iter().map(|row| (row.task, row.run)));
        self.log_first_report(id, &report, &listed);
        for ended in &report.ended {
            let Some(executor) = self.executors.get_mut(id) else {
                return;
            };
            if ended.number > executor.ends_processed {
                executor.ends_processed = ended.number;
                self.has_new_ends = true;
                self.handle_end(now, id, ended);
            }
        }
        if let Some(executor) = self.executors.get_mut(id)
            && report.latest_end > executor.ends_processed
        {
            // Unless they are acknowledged, ends of runs that are no task's are reported at once.
            executor.ends_processed = report.latest_end;
            self.has_new_ends = true;
        }
        for row in &report.running {
            self.handle_listed_run(now, id, row);
        }
        if complete {
            self.close_unlisted(now, probe, &listed);
        }
        let Settings { lease, max_lease, .. } = self.settings;
        if let Some(executor) = self.executors.get_mut(id)
            && !executor.fenced
        {
            let longest = if executor.inherited_restart { max_lease } else { lease };
            executor.fenced = true;
            self.released.insert(id.clone());
            // Leases granted by predecessors remain in force; none of them can end later than
            // this.
            let longest = Steady(report.clock.0.saturating_add(longest.as_ms()));
            executor.deadline = executor.deadline.max(longest);
        }
        self.observe(now, id, &report.running);
        self.probe_candidates.insert(id.clone());
    }

    /// Handles a run that an executor reports as running.
    fn handle_listed_run(&mut self, now: Time, id: &ExecutorId, row: &RunReport) {
        let order = Order { executor: id.clone(), task: row.task, run: row.run };
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let probe = executor.latest_probe;
        let incarnation = executor.registration.incarnation;
        let address = executor.registration.address;
        let requested = self.step_of(&row.task).map_or(0, |step| step.resources.cpu);
        let found = self.jobs.get_mut(&row.task.step.job).and_then(|e| e.task_mut(&row.task));
        let open = found.and_then(|task| {
            task.set_checkpoint(&row.checkpoint);
            task.open_runs.iter_mut().find(|open| open.run == row.run && open.executor == *id)
        });
        let Some(open) = open else {
            // No record has this run as open, so its end would be ignored: it is stopped.
            self.out.push(Command::Log(Decision::Unknown { order: order.clone(), incarnation }));
            self.out.push(Command::Stop { order, address });
            return;
        };
        open.limit.note_use(row.load.unwrap_or(0), requested);
        open.incarnation = incarnation;
        open.address = Some(address);
        if !matches!(open.stage, Stage::Running { .. }) {
            open.confirm(now, probe);
            open.progress = (row.percent, now);
        }
        if open.progress.0 != row.percent {
            open.progress = (row.percent, now);
        }
    }

    /// Closes runs that a probe must have listed and did not.
    fn close_unlisted(&mut self, now: Time, probe: &Probe, listed: &BTreeSet<(TaskId, Run)>) {
        let id = &probe.executor;
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let current = executor.registration.incarnation;
        let mut unlisted = Vec::new();
        for PlacedRun { task, open, .. } in self.runs_on(executor) {
            if listed.contains(&(task, open.run)) {
                continue;
            }
            let missing = match open.stage {
                Stage::Running { since_probe } => probe.number >= since_probe,
                // The executor has seen the epoch, so an order of a predecessor has no effect there.
                Stage::Inherited => true,
                Stage::Recording | Stage::Sent | Stage::Unknown => false,
            };
            let stopped = matches!(open.stop, Stop::Answered { since_probe }
                if probe.number >= since_probe);
            if missing || stopped {
                let ended_with_incarnation = missing && open.incarnation < current;
                let by = if ended_with_incarnation { Closing::Gone } else { Closing::NotListed };
                unlisted.push((task, open.run, by));
            }
        }
        for (task, run, by) in unlisted {
            self.close(now, &task, run, by);
        }
    }

    /// Handles a probe that was refused or not answered.
    pub(super) fn handle_probe_failure(&mut self, now: Time, probe: &Probe, outcome: Outcome) {
        let id = &probe.executor;
        let settings = self.settings;
        self.record_outcome(now, id, outcome);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.latest_probe != probe.number {
            return;
        }
        if let Some(sent) = executor.probe_sent.take()
            && outcome == Outcome::Unknown
        {
            executor.record_unanswered(now, sent, &settings);
        }
        executor.probe_failed = true;
        executor.probe_after = now + executor.probe_backoff(settings.probe_retry);
        executor.failed_probes = executor.failed_probes.saturating_add(1);
        self.probe_candidates.insert(id.clone());
        if let Outcome::Refused(refusal, _) = outcome {
            if refusal == Refusal::Incarnation {
                let address = executor.registration.address;
                self.handle_replacement(now, id, address);
                return;
            }
            if refusal == Refusal::Unhealthy {
                return;
            }
        }
        self.mark_unreachable(now, id);
    }
}
