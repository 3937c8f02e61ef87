//! Executors as the shard believes them to be.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::{Span, Time};

use super::entry::{Entry, Open, Stop};
use super::message::Note;
use super::{Command, Shard};
use crate::executor::{Born, Listed, Standing, Steady};
use crate::id::{ExecutorId, Image, JobId, TaskId};
use crate::spec::{Room, Step};

/// Slowest rate of an executor's clock against ours.
pub(super) const SLOWEST_CLOCK: f64 = 0.98;

/// Time after a takeover in which entries that an outage took from the list are back:
/// two seconds by the platform's page, and one for the list to be read.
const UNLISTED: Span = Span::from_ms(3_000);

/// An executor.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) listed: Listed,
    /// Whether its entry is in the list.
    pub(super) present: bool,
    /// When its entry was last found to be there or to be gone.
    pub(super) since: Time,
    /// When it may leave, where it drains.
    pub(super) leaves: Option<Time>,
    /// A lower bound of its clock and when that held.
    clock: (Steady, Time),
    /// Latest deadline that it may have been given.
    pub(super) deadline: Steady,
    /// Whether no order of a predecessor can take effect there any more.
    pub(super) fenced: bool,
    /// Whether its present life has answered a look, where it had another before.
    pub(super) greeted: bool,
    /// When orders and leases of predecessors are over, whatever happens.
    pub(super) inherited_until: Time,
    /// Open runs there.
    pub(super) open: BTreeSet<TaskId>,
    /// Room that open runs take.
    pub(super) used: Room,
    /// Processor time that filling runs there ask for, by image.
    pub(super) fills: BTreeMap<Image, u64>,
    /// Processor time that serving runs there ask for, by image.
    pub(super) servings: BTreeMap<Image, u64>,
    /// Highest number of an end that was taken in.
    pub(super) taken: u64,
    /// Highest number of an end whose record lasts.
    pub(super) recorded: u64,
    /// Highest number of an end that the executor was told is recorded.
    pub(super) told: u64,
    /// Number of the latest look.
    pub(super) looks: u64,
    /// When the look in flight was sent.
    pub(super) looking: Option<Time>,
    /// Not looked at before.
    pub(super) look_after: Time,
    /// Whether a look is to tell at once that a stopped run is not there.
    pub(super) verify: bool,
    /// Since when it does not answer.
    pub(super) silent: Option<Time>,
    pub(super) health: super::health::Health,
    /// When filling runs there were last paced.
    pub(super) paced: Option<Time>,
    /// Latest tails of the serving jobs there.
    pub(super) tails: BTreeMap<JobId, super::pace::Tail>,
    /// How busy the serving tasks there are, where that has been worked out.
    pub(super) strains: Option<super::pace::Strains>,
}

impl Executor {
    pub(super) fn new(now: Time, listed: Listed) -> Self {
        let clock = (listed.clock, now);
        let mut executor = Self {
            listed,
            present: true,
            since: now,
            leaves: None,
            clock,
            deadline: Steady(0),
            fenced: true,
            greeted: true,
            inherited_until: Time::ZERO,
            open: BTreeSet::new(),
            used: Room::default(),
            fills: BTreeMap::new(),
            servings: BTreeMap::new(),
            taken: 0,
            recorded: 0,
            told: 0,
            looks: 0,
            looking: None,
            look_after: Time::ZERO,
            verify: false,
            silent: None,
            health: super::health::Health::default(),
            paced: None,
            tails: BTreeMap::new(),
            strains: None,
        };
        executor.note_leave(now);
        executor
    }

    /// Returns a lower bound of the executor's clock at `now`.
    pub(super) fn clock(&self, now: Time) -> Steady {
        let passed = now.since(self.clock.1).scale(SLOWEST_CLOCK).as_ms();
        Steady(self.clock.0.0 + passed)
    }

    /// Takes its clock as heard at `now`.
    pub(super) fn heard(&mut self, now: Time, clock: Steady) {
        if clock > self.clock(now) {
            self.clock = (clock, now);
        }
    }

    /// Returns the deadline `lease` from `now`, and notes that it may be given.
    pub(super) fn extend(&mut self, now: Time, lease: Span) -> Steady {
        let deadline = Steady(self.clock(now).0 + lease.as_ms());
        self.deadline = self.deadline.max(deadline);
        deadline
    }

    /// Reports whether all leases there have lapsed by its own clock.
    pub(super) fn has_lapsed(&self, now: Time) -> bool {
        if !self.fenced {
            // Not listed all the while, and no answer: gone, as the platform has it.
            let gone = !self.present && now.since(self.since) >= UNLISTED;
            return gone || now >= self.inherited_until;
        }
        self.clock(now) > self.deadline
    }

    /// Begins a new life: nothing runs there and its counts start anew.
    pub(super) fn reborn(&mut self, now: Time, born: Born, clock: Steady) {
        self.listed.born = born;
        self.clock = (clock, now);
        self.greeted = false;
        self.taken = 0;
        self.recorded = 0;
        self.told = 0;
        self.looking = None;
        self.look_after = now;
        self.silent = None;
        self.since = now;
        self.tails.clear();
    }

    /// Takes room for a run of a step.
    pub(super) fn take_room(&mut self, task: TaskId, step: &Step) {
        self.used = self.used.plus(&step.taken());
        self.strains = None;
        let cpu = step.room.cpu;
        if step.filling {
            *self.fills.entry(super::pace::image(step)).or_default() += cpu;
        }
        if step.objective_ms.is_some() {
            *self.servings.entry(super::pace::image(step)).or_default() += cpu;
        }
        self.open.insert(task);
    }

    /// Gives back the room of a run of a step.
    pub(super) fn give_room(&mut self, step: &Step) {
        self.used = self.used.less(&step.taken());
        self.strains = None;
        if step.filling {
            give(&mut self.fills, step);
        }
        if step.objective_ms.is_some() {
            give(&mut self.servings, step);
        }
    }

    /// Returns the processor time that serving runs there ask for.
    pub(super) fn serving(&self) -> u64 {
        self.servings.values().sum()
    }

    fn note_leave(&mut self, now: Time) {
        self.leaves = match (self.listed.standing, self.listed.remaining) {
            (Standing::Draining, Some(remaining)) => Some(now + remaining),
            (Standing::Draining, None) => Some(now),
            (Standing::Ready, _) => None,
        };
    }

    /// Reports whether new work may go there.
    pub(super) fn takes_work(&self) -> bool {
        self.present
            && self.listed.standing == Standing::Ready
            && self.silent.is_none()
            && self.greeted
            && (self.fenced || self.open.is_empty())
    }
}

fn give(from: &mut BTreeMap<Image, u64>, step: &Step) {
    let image = super::pace::image(step);
    let Some(cpu) = from.get_mut(&image) else {
        return;
    };
    *cpu = cpu.saturating_sub(step.room.cpu);
    if *cpu == 0 {
        from.remove(&image);
    }
}

/// A run that is open at an executor.
pub(super) struct There<'a> {
    pub(super) task: TaskId,
    pub(super) entry: &'a Entry,
    pub(super) step: &'a Step,
    pub(super) open: &'a Open,
}

impl Shard {
    /// Returns the runs that are open at an executor.
    pub(super) fn runs_at<'a>(
        &'a self,
        executor: &'a Executor,
    ) -> impl Iterator<Item = There<'a>> + 'a {
        let tasks = executor.open.iter().filter_map(|task| {
            let entry = self.jobs.get(&task.step.job)?;
            let step = entry.job.steps.get(task.step.step as usize)?;
            Some((*task, entry, step, entry.task(task)?))
        });
        tasks.flat_map(move |(task, entry, step, found)| {
            let here = found.open.iter().filter(move |open| open.executor == executor.listed.id);
            here.map(move |open| There { task, entry, step, open })
        })
    }

    /// Takes the entry of an executor.
    pub(super) fn list(&mut self, now: Time, listed: Listed) {
        self.fresh = true;
        let id = listed.id.clone();
        let Some(executor) = self.executors.get_mut(&id) else {
            self.executors.insert(id, Executor::new(now, listed));
            return;
        };
        if listed.born < executor.listed.born {
            return;
        }
        if listed.born > executor.listed.born {
            self.note_rebirth(now, &id, listed.born, listed.clock);
        }
        let Some(executor) = self.executors.get_mut(&id) else {
            return;
        };
        executor.heard(now, listed.clock);
        executor.listed = listed;
        executor.present = true;
        executor.note_leave(now);
    }

    /// Takes that an executor's entry is gone.
    pub(super) fn unlist(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.present = false;
        executor.since = now;
        if executor.open.is_empty() && executor.told >= executor.taken {
            self.executors.remove(id);
        } else if executor.looking.is_none() {
            executor.look_after = now;
            self.idle.insert(id.clone());
        }
    }

    /// Takes that an executor has begun a new life: what ran there is over.
    ///
    /// An order that was not answered may still reach the new life, so its run stays
    /// open until a stop is answered there.
    pub(super) fn note_rebirth(&mut self, now: Time, id: &ExecutorId, born: Born, clock: Steady) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let old = executor.listed.born;
        let was_fenced = executor.fenced;
        executor.reborn(now, born, clock);
        self.out.push(Command::Log(Note::Reborn(id.clone(), born)));
        let open: Vec<TaskId> = executor.open.iter().copied().collect();
        let mut pending = false;
        for task in open {
            pending |= self.outlive(now, id, &task, old, was_fenced);
        }
        if !pending && let Some(executor) = self.executors.get_mut(id) {
            executor.deadline = Steady(0);
        }
        self.idle.insert(id.clone());
        self.fresh = true;
    }

    /// Returns whether an order of the task may still be carried out by the new life.
    fn outlive(
        &mut self,
        now: Time,
        id: &ExecutorId,
        task: &TaskId,
        old: Born,
        fenced: bool,
    ) -> bool {
        let Some(found) = self.jobs.get_mut(&task.step.job).and_then(|e| e.task_mut(task)) else {
            return false;
        };
        let mut pending = false;
        let mut over = Vec::new();
        for open in &mut found.open {
            if open.executor != *id || open.born != old {
                continue;
            }
            let may_come = matches!(
                open.stage,
                super::entry::Stage::Sent
                    | super::entry::Stage::Unknown
                    | super::entry::Stage::Inherited
            );
            if may_come || !fenced {
                open.stop = Stop::Wanted;
                pending = true;
            } else if open.stage != super::entry::Stage::Writing {
                over.push(open.run);
            }
        }
        for run in over {
            self.close(now, task, run, super::message::Closing::Gone);
        }
        pending
    }

    /// Takes that another executor answers at an executor's address: what was ordered
    /// there is over, and orders that come late are refused by the other.
    pub(super) fn note_replaced(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.present = false;
        let open: Vec<TaskId> = executor.open.iter().copied().collect();
        for task in open {
            self.close_at(now, id, &task, super::message::Closing::Gone);
        }
    }

    /// Closes the runs on executors whose leases have lapsed, and forgets executors
    /// that are gone.
    pub(super) fn close_lapsed(&mut self, now: Time) {
        let lapsed: Vec<ExecutorId> = self
            .executors
            .iter()
            .filter(|(_, e)| !e.open.is_empty() && e.has_lapsed(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            let Some(executor) = self.executors.get_mut(&id) else {
                continue;
            };
            executor.fenced = true;
            let open: Vec<TaskId> = executor.open.iter().copied().collect();
            for task in open {
                self.close_at(now, &id, &task, super::message::Closing::Lapsed);
            }
        }
        self.executors.retain(|_, e| e.present || !e.open.is_empty() || e.looking.is_some());
    }

    /// Closes the runs of `task` at executor `id`, but for those that are not yet sent.
    fn close_at(&mut self, now: Time, id: &ExecutorId, task: &TaskId, by: super::message::Closing) {
        let Some(found) = self.jobs.get(&task.step.job).and_then(|entry| entry.task(task)) else {
            return;
        };
        let runs: Vec<_> = found
            .open
            .iter()
            .filter(|o| o.executor == *id && o.stage != super::entry::Stage::Writing)
            .map(|open| open.run)
            .collect();
        for run in runs {
            self.close(now, task, run, by);
        }
    }
}
