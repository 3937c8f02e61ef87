//! Looks at executors: what runs, what has ended, and the leases they extend.

use std::collections::BTreeSet;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::entry::{Stage, Stop};
use super::fleet::There;
use super::message::{Closing, Command, Glance, Note, Order};
use crate::executor::{Answer, Refusal, Report, Running, Steady};
use crate::id::{ExecutorId, Run, TaskId};

/// Most ends in one report; a report with so many may hold back others.
const ENDS_PER_REPORT: usize = 500;
/// Wait of a look that only tells what is recorded.
const NO_WAIT: Span = Span::ZERO;

impl Shard {
    /// Sends the looks that are due.
    pub(super) fn look_around(&mut self, now: Time) {
        let due: Vec<ExecutorId> = self.idle.iter().cloned().collect();
        for id in due {
            if self.look_at(now, &id) {
                self.idle.remove(&id);
            }
        }
    }

    /// Looks at an executor if it is due; returns whether nothing remains to be done.
    fn look_at(&mut self, now: Time, id: &ExecutorId) -> bool {
        let settings = self.settings;
        let Some(executor) = self.executors.get_mut(id) else {
            return true;
        };
        if executor.looking.is_some() || !executor.has_address() {
            return true;
        }
        // Ends that are taken in are told as recorded by the next look, so it waits
        // for the record.
        if now < executor.look_after || executor.recorded < executor.taken {
            return false;
        }
        let untold = executor.told < executor.recorded;
        // One that did not answer is asked until it does, or is no longer listed: it takes
        // no work before.
        let unsure = executor.present && (executor.silent.is_some() || !executor.greeted);
        if executor.open.is_empty() && !untold && !unsure {
            return true;
        }
        executor.looks += 1;
        executor.looking = Some(now);
        let verify = std::mem::take(&mut executor.verify);
        let known = executor.fenced && executor.greeted && !verify;
        let wait = match executor.silent {
            None if !executor.open.is_empty() && known => {
                match executor.fills.is_empty() || executor.servings.is_empty() {
                    true => settings.look_wait,
                    false if Self::is_over(executor) => settings.look_wait_over,
                    false => settings.look_wait_mixed,
                }
            }
            _ => NO_WAIT,
        };
        // A look that is not answered may extend leases all the same, so that the silent
        // ones would never lapse.
        let deadline = match executor.silent {
            None => Some(executor.extend(now, settings.lease)),
            Some(_) => None,
        };
        let glance = Glance { executor: id.clone(), number: executor.looks };
        let seen = executor.recorded;
        let address = executor.listed.address;
        self.out.push(Command::Look { glance, address, seen, deadline, wait });
        true
    }

    /// Takes what an executor holds.
    pub(super) fn looked(&mut self, now: Time, glance: &Glance, report: Report) {
        let id = &glance.executor;
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.looks != glance.number {
            return;
        }
        executor.looking = None;
        if let Some(born) = report.born
            && born > executor.listed.born
        {
            self.note_rebirth(now, id, born, report.clock);
        }
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.heard(now, report.clock);
        executor.look_after = now;
        executor.greeted = true;
        if executor.silent.take().is_some() {
            self.out.push(Command::Log(Note::Reachable(id.clone())));
        }
        executor.told = executor.told.max(executor.recorded);
        let complete = report.ended.len() < ENDS_PER_REPORT;
        let mut listed: BTreeSet<(TaskId, Run)> =
            report.ended.iter().map(|end| (end.task, end.run)).collect();
        for ended in &report.ended {
            let Some(executor) = self.executors.get_mut(id) else {
                return;
            };
            if ended.number > executor.taken {
                executor.taken = ended.number;
                self.taken_anew = true;
                self.end(now, id, ended);
            }
        }
        listed.extend(report.running.iter().map(|row| (row.task, row.run)));
        for row in &report.running {
            self.runs(now, id, row);
        }
        if complete {
            self.close_unlisted(now, glance, &listed);
        }
        if let Some(executor) = self.executors.get_mut(id)
            && !executor.fenced
        {
            executor.fenced = true;
            // Leases that predecessors gave go on; none of them can be longer.
            let longest = Steady(report.clock.0 + self.settings.lease.as_ms());
            executor.deadline = executor.deadline.max(longest);
        }
        self.observe(now, id, &report.running);
        self.idle.insert(id.clone());
    }

    /// Takes that an executor lists a run.
    fn runs(&mut self, now: Time, id: &ExecutorId, row: &Running) {
        let order = Order { executor: id.clone(), task: row.task, run: row.run };
        let number = self.executors.get(id).map_or(0, |executor| executor.looks);
        let found = self.jobs.get_mut(&row.task.step.job).and_then(|e| e.task_mut(&row.task));
        let open = found.and_then(|task| {
            if !row.saved.is_empty() {
                task.saved.clone_from(&row.saved);
            }
            task.open.iter_mut().find(|open| open.run == row.run && open.executor == *id)
        });
        let Some(open) = open else {
            // Nobody records this run, so nobody would hear of its end.
            let address = self.executors.get(id).map(|executor| executor.listed.address);
            if let Some(address) = address {
                self.out.push(Command::Stop { order, address });
            }
            return;
        };
        if !matches!(open.stage, Stage::Running { .. }) {
            open.stage = Stage::Running { since_look: number };
            open.progress = (row.percent, now);
        }
        if open.progress.0 != row.percent {
            open.progress = (row.percent, now);
        }
    }

    /// Closes runs that a look should have listed and did not.
    fn close_unlisted(&mut self, now: Time, glance: &Glance, listed: &BTreeSet<(TaskId, Run)>) {
        let id = &glance.executor;
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let first_under_epoch = !executor.fenced;
        let mut unlisted = Vec::new();
        for There { task, open, .. } in self.runs_at(executor) {
            if listed.contains(&(task, open.run)) {
                continue;
            }
            let known = match open.stage {
                Stage::Running { since_look } => glance.number >= since_look,
                Stage::Inherited => first_under_epoch,
                Stage::Writing | Stage::Sent | Stage::Unknown => false,
            };
            let stopped = matches!(open.stop, Stop::Answered { since_look }
                if glance.number >= since_look);
            if known || stopped {
                unlisted.push((task, open.run));
            }
        }
        for (task, run) in unlisted {
            self.close(now, &task, run, Closing::NotListed);
        }
    }

    /// Takes that a look was refused or not answered.
    pub(super) fn not_looked(&mut self, now: Time, glance: &Glance, answer: Answer) {
        let id = &glance.executor;
        self.heard_answer(now, id, answer);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.looks != glance.number {
            return;
        }
        executor.looking = None;
        executor.look_after = now + self.settings.look_retry;
        self.idle.insert(id.clone());
        if let Answer::Refused(refusal, _) = answer {
            if refusal == Refusal::Incarnation {
                self.note_replaced(now, id);
                return;
            }
            if refusal == Refusal::Unhealthy {
                return;
            }
        }
        self.doubt(now, id);
    }
}
