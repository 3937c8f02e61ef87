//! A simulated worker that follows the protocol and runs tasks in virtual time.

use std::collections::BTreeMap;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, ClassName, Epoch, Incarnation, TaskName, WorkerName};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::Size;
use sycamorerill_tasks::worker::{
    Checkpoint, Command, Exchange, Fault, Instant, Phase, Report, TaskReport, Token, Usage,
};

use super::Profiles;

/// Duration of writing a checkpoint.
const CHECKPOINT_TIME: Span = Span::from_secs(2);
/// Age of the measurements in a report.
const USAGE_AGE: Span = Span::from_secs(3);
/// Time for which a worker is down after a crash.
const DOWN_TIME: Span = Span::from_secs(3);
/// Run time after which a broken worker fails a task.
const BROKEN_FAILURE_TIME: Span = Span::from_ms(300);

/// A task on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskName,
    pub(crate) attempt: Attempt,
    pub(crate) class: ClassName,
    pub(crate) size: Size,
    pub(crate) phase: Phase,
    /// End of the lease, on the worker's clock.
    pub(crate) until: Time,
    pub(crate) started: Time,
    /// Work done, as run time alone on a worker.
    pub(crate) done: Span,
    checkpoint_at: Option<Time>,
    /// Recent slowdowns with the instants at which they began.
    slowdowns: Vec<(Time, f64)>,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: WorkerName,
    pub(crate) rack: String,
    pub(crate) size: Size,
    pub(crate) runs: BTreeMap<Token, Run>,
    pub(crate) incarnation: Incarnation,
    /// Offset of the worker's clock ahead of the virtual time.
    pub(crate) clock_offset: Span,
    /// Whether the worker fails every task that it starts.
    pub(crate) broken: bool,
    /// Tasks that were acknowledged since the simulation last took this list.
    pub(crate) acknowledged: Vec<(Token, Run)>,
    /// Tasks that have crashed the worker since the simulation last took this list.
    pub(crate) crashed_by: Vec<TaskName>,
    epoch: Epoch,
    number: u64,
    now: Time,
    down_until: Time,
}

impl Worker {
    pub(crate) fn new(name: &str, rack: &str, size: Size) -> Self {
        Self {
            name: name.parse().unwrap(),
            rack: rack.to_owned(),
            size,
            runs: BTreeMap::new(),
            incarnation: Incarnation(1),
            clock_offset: Span::ZERO,
            broken: false,
            acknowledged: Vec::new(),
            crashed_by: Vec::new(),
            epoch: Epoch(0),
            number: 0,
            now: Time::ZERO,
            down_until: Time::ZERO,
        }
    }

    /// Restarts the worker under a new incarnation that has no tasks and has received no epoch.
    pub(crate) fn restart(&mut self) {
        self.runs.clear();
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        (self.epoch, self.number) = (Epoch(0), 0);
    }

    /// Returns whether the worker is down after a crash.
    pub(crate) fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Crashes the worker if a task on it does so by now.
    fn crash_if_due(&mut self, profiles: &Profiles) {
        let due = |run: &&Run| {
            let after = profiles.of(&run.class).crashes_after;
            after.is_some_and(|after| self.now.since(run.started) >= after)
        };
        let Some(task) = self.active().map(|(_, run)| run).find(due).map(|run| run.task.clone())
        else {
            return;
        };
        self.crashed_by.push(task);
        self.restart();
        self.down_until = self.now + DOWN_TIME;
    }

    fn clock(&self) -> Time {
        self.now + self.clock_offset
    }

    /// Returns the active tasks.
    pub(crate) fn active(&self) -> impl Iterator<Item = (&Token, &Run)> {
        self.runs.iter().filter(|(_, run)| !run.phase.is_inactive())
    }

    /// Returns the size reserved by active tasks.
    pub(crate) fn reserved(&self) -> Size {
        self.active().fold(Size::ZERO, |sum, (_, run)| sum + run.size)
    }

    /// Advances the worker to `now`.
    pub(crate) fn advance(&mut self, now: Time, profiles: &Profiles) {
        let passed = now.since(self.now);
        let clock = now + self.clock_offset;
        let mix = self.mix(profiles);
        self.now = now.max(self.now);
        for (token, run) in &mut self.runs {
            if run.phase.is_inactive() {
                continue;
            }
            run.advance(*token, now, clock, passed, &mix, self.broken, profiles);
        }
        self.fail_newest_for_memory(profiles);
        self.crash_if_due(profiles);
    }

    /// Fails the newest batch tasks while the tasks use more memory than the worker has.
    fn fail_newest_for_memory(&mut self, profiles: &Profiles) {
        let memory = |run: &Run| {
            let declared = profiles.declared.get(&run.class).copied().unwrap_or(run.size);
            profiles.of(&run.class).uses(declared).memory().0
        };
        let mut used: u64 = self.active().map(|(_, run)| memory(run)).sum();
        while used > self.size.memory().0 {
            let active = self.runs.values_mut().filter(|run| !run.phase.is_inactive());
            let batch = active.filter(|run| profiles.of(&run.class).run.is_some());
            let Some(newest) = batch.max_by_key(|run| run.started) else { return };
            used -= memory(newest);
            newest.phase = Phase::Failed(Fault::Memory);
        }
    }

    /// Returns the fraction of the worker's cores and the noise of each class.
    fn mix(&self, profiles: &Profiles) -> BTreeMap<ClassName, (f64, f64)> {
        let mut mix: BTreeMap<ClassName, (f64, f64)> = BTreeMap::new();
        for (_, run) in self.active() {
            let profile = profiles.of(&run.class);
            let share = match run.phase {
                Phase::Throttled(share) => share.as_f64(),
                _ => 1.0,
            };
            let declared = profiles.declared.get(&run.class).copied().unwrap_or(run.size);
            let part = profile.uses(declared).cpu().0 as f64 / self.size.cpu().0 as f64;
            let entry = mix.entry(run.class.clone()).or_default();
            entry.0 += part * share;
            entry.1 = profile.noise_at(self.now);
        }
        mix
    }

    /// Executes an exchange and returns the report.
    pub(crate) fn exchange(&mut self, exchange: &Exchange, profiles: &Profiles) -> Report {
        let newer = (exchange.epoch, exchange.number) > (self.epoch, self.number);
        if newer {
            (self.epoch, self.number) = (exchange.epoch, exchange.number);
            for command in &exchange.commands {
                self.command(exchange.lease_base, command);
            }
        }
        let tasks = self.runs.iter().map(|(token, run)| run.report(*token, self.now, profiles));
        Report {
            epoch: self.epoch,
            answers: self.number,
            at: Instant::new(self.incarnation, self.clock()),
            size: self.size,
            tasks: tasks.collect(),
        }
    }

    fn command(&mut self, lease_base: Option<Instant>, command: &Command) {
        let based = lease_base.filter(|at| at.incarnation() == self.incarnation);
        match command {
            Command::Start { token, lease, .. } => {
                let until = based.map(|at| at.time() + *lease);
                let late = until.is_none_or(|until| until <= self.clock());
                if !late && !self.runs.contains_key(token) {
                    self.start(command, until.unwrap_or(Time::ZERO));
                }
            }
            Command::Renew { token, lease, .. } => {
                if let (Some(at), Some(run)) = (based, self.runs.get_mut(token)) {
                    run.until = run.until.max(at.time() + *lease);
                }
            }
            Command::Throttle { token, share, .. } => self.throttle(*token, *share),
            Command::Checkpoint { token, .. } | Command::Stop { token, checkpoint: true, .. } => {
                let at = self.now + CHECKPOINT_TIME;
                if let Some(run) = self.runs.get_mut(token).filter(|run| !run.phase.is_inactive()) {
                    run.phase = Phase::Checkpointing;
                    run.checkpoint_at.get_or_insert(at);
                }
            }
            Command::Stop { token, .. } => {
                if let Some(run) = self.runs.get_mut(token).filter(|run| !run.phase.is_inactive()) {
                    run.phase = Phase::Stopped;
                }
            }
            Command::Acknowledge { token, .. } => {
                if self.runs.get(token).is_some_and(|run| run.phase.is_inactive()) {
                    self.acknowledged.extend(self.runs.remove_entry(token));
                }
            }
        }
    }

    fn throttle(&mut self, token: Token, share: Share) {
        let Some(run) = self.runs.get_mut(&token) else { return };
        if matches!(run.phase, Phase::Running | Phase::Throttled(_)) {
            let full = share.as_f64() >= 1.0;
            run.phase = if full { Phase::Running } else { Phase::Throttled(share) };
        }
    }

    fn start(&mut self, command: &Command, until: Time) {
        let Command::Start { task, token, attempt, size, class, resume_from, .. } = command else {
            return;
        };
        let done = resume_from.as_ref().map_or(Span::ZERO, work_done);
        let run = Run {
            task: task.clone(),
            attempt: *attempt,
            class: class.clone(),
            size: *size,
            phase: Phase::Running,
            until,
            started: self.now,
            done,
            checkpoint_at: None,
            slowdowns: Vec::new(),
        };
        self.runs.insert(*token, run);
    }

    /// Returns the current slowdown of the tasks of `class`.
    pub(crate) fn slowdown_of(&self, class: &ClassName, profiles: &Profiles) -> f64 {
        slowdown(class, &self.mix(profiles))
    }
}

/// Returns the slowdown of a class in a mix.
fn slowdown(class: &ClassName, mix: &BTreeMap<ClassName, (f64, f64)>) -> f64 {
    let others = mix.iter().filter(|(other, _)| *other != class);
    let noise: f64 = others.map(|(_, (part, noise))| part * noise).sum();
    let total: f64 = mix.values().map(|(part, _)| part).sum();
    (1.0 + noise) * total.max(1.0)
}

impl Run {
    #[allow(clippy::too_many_arguments)]
    fn advance(
        &mut self,
        token: Token,
        now: Time,
        clock: Time,
        passed: Span,
        mix: &BTreeMap<ClassName, (f64, f64)>,
        broken: bool,
        profiles: &Profiles,
    ) {
        let profile = profiles.of(&self.class);
        let slowdown = slowdown(&self.class, mix);
        self.slowdowns.push((now, slowdown));
        if self.slowdowns.len() > 64 {
            self.slowdowns.drain(..32);
        }
        let share = match self.phase {
            Phase::Throttled(share) => share.as_f64(),
            Phase::Checkpointing => 0.0,
            _ => 1.0,
        };
        let ran = passed.saturating_sub(self.started.since(now - passed));
        self.done = self.done + ran.scale(share / slowdown);
        let finished = profile.run.is_some_and(|run| self.done >= run);
        let failed = broken && now.since(self.started) >= BROKEN_FAILURE_TIME;
        if clock >= self.until {
            self.phase = Phase::Lapsed;
        } else if failed || (finished && profile.fails) {
            self.phase = Phase::Failed(Fault::Exit);
        } else if finished {
            self.phase = Phase::Finished;
        } else if self.checkpoint_at.is_some_and(|at| now >= at) {
            let text = format!("{}:{}:{}", self.task, token, self.done.as_ms());
            self.phase = Phase::Checkpointed(Checkpoint(Bytes::from(text)));
        }
    }

    fn report(&self, token: Token, now: Time, profiles: &Profiles) -> TaskReport {
        let at = now - USAGE_AGE;
        let past = self.slowdowns.iter().rev().find(|(since, _)| *since <= at);
        let declared = profiles.declared.get(&self.class).copied().unwrap_or(self.size);
        let uses = profiles.of(&self.class).uses(declared);
        let usage = past.map(|(_, slowdown)| Usage {
            cpu: uses.cpu(),
            memory: uses.memory(),
            slowdown: *slowdown,
            age: USAGE_AGE,
        });
        TaskReport {
            task: self.task.clone(),
            token,
            attempt: self.attempt,
            size: self.size,
            class: self.class.clone(),
            phase: self.phase.clone(),
            usage,
        }
    }
}

/// Returns the work done up to a checkpoint.
pub(crate) fn work_done(checkpoint: &Checkpoint) -> Span {
    let text = std::str::from_utf8(&checkpoint.0).unwrap();
    let (_, done) = text.rsplit_once(':').unwrap();
    Span::from_ms(done.parse().unwrap())
}
