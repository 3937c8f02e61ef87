//! Filling tasks beside serving ones: how far they are let work.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::fleet::{Executor, There};
use super::message::{Command, Note, Order};
use super::model::{Model, Sample, Shares};
use crate::executor::{Answer, Running};
use crate::id::{ExecutorId, Image, JobId, Run, TaskId};
use crate::spec::Step;

/// Room below the busy share at the objective that pacing leaves.
const AIM_BELOW: f64 = 0.07;
/// How far beyond what pacing leaves images that press lightly may go: slowing them
/// costs more than they do.
const LIGHT_ABOVE: f64 = 0.16;
/// Room below the busy share at the objective up to which filling tasks are placed.
const PLACED_BELOW: f64 = 0.08;
/// Weight below which a filling image is placed wherever there is room.
const HARMLESS: f64 = 0.5;
/// Weight below which a filling image is not paced.
const UNFELT: f64 = 0.05;
/// Tail over objective from which a task counts as over it: the figure is rough.
const OVER: f64 = 0.95;
/// Tail over objective down to which it goes on to count so.
const OVER_UNTIL: f64 = 0.85;
/// Time between two paces at an executor: the tail is over the last half second.
const PACE_EVERY: Span = Span::from_ms(500);
/// Smallest change of pace worth an order, in percent.
const LEAST_CHANGE: u32 = 15;
/// Largest step up, in percent.
const STEP_UP: u32 = 35;
/// Part of the longest harm after which all filling tasks are slowed, whatever is
/// learned.
const ALARM: f64 = 0.25;
/// Part of the longest harm after which all filling tasks stand still.
const HALT: f64 = 0.42;
/// Pace of all filling tasks after the alarm, in percent.
const ALARM_PERCENT: u32 = 30;
/// What making a serving task busier costs a placement.
const PRESSURE_COST: f64 = 1.5;
/// Busy share below which a serving task is at ease.
const AT_EASE: f64 = 0.45;
/// How far ahead a placement looks: most filling tasks run for a few seconds.
const PLACE_AHEAD: Span = Span::from_ms(1_000);
/// Time for which it stands how busy serving tasks are expected to be.
const STRAINS_LAST: Span = Span::from_ms(50);
/// How far ahead a pace looks: until the next report.
const PACE_AHEAD: Span = Span::from_ms(400);

/// The latest tail of the tasks of a serving job at an executor.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    /// Image of the tasks.
    pub(super) image: Image,
    /// Tail over objective.
    pub(super) ratio: f64,
    /// Since when it is over its objective.
    pub(super) over: Option<Time>,
}

/// What is learned of images.
#[derive(Clone, Debug, Default)]
pub(super) struct Learned {
    pub(super) model: Model,
    /// When what is learned was last recorded.
    pub(super) recorded: Time,
}

/// A filling run at an executor.
struct Filling {
    task: TaskId,
    run: Run,
    image: Image,
    /// Share of the executor's processors that it would use at full pace.
    share: f64,
    percent: u32,
}

impl Shard {
    /// Takes what the tasks at an executor use and how their users fare.
    pub(super) fn observe(&mut self, now: Time, id: &ExecutorId, running: &[Running]) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let capacity = executor.listed.capacity.cpu.max(1) as f64;
        let mut shares = Shares::new();
        let mut others = 0.0;
        let mut samples: BTreeMap<JobId, Sample> = BTreeMap::new();
        for row in running {
            let (Some(step), Some(load)) = (self.spec(&row.task), row.load) else {
                continue;
            };
            let load = load as f64;
            match (step.objective_ms, step.filling) {
                (Some(objective), _) if load > 0.0 => {
                    let ratio = load / objective.max(1) as f64;
                    let job = row.task.step.job;
                    let sample = Sample { job, image: image(step), ratio };
                    let kept = samples.entry(job).or_insert(sample);
                    kept.ratio = kept.ratio.max(ratio);
                }
                (Some(_), _) => {}
                (None, true) => *shares.entry(image(step)).or_default() += load / capacity,
                (None, false) => others += load / capacity,
            }
        }
        for sample in samples.values() {
            self.learned.model.learn(now, sample, &shares, others);
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.note_tails(now, samples);
        }
        self.pace(now, id);
    }

    /// Returns the step of a task.
    fn spec(&self, task: &TaskId) -> Option<&Step> {
        self.jobs.get(&task.step.job)?.job.steps.get(task.step.step as usize)
    }

    /// Slows filling tasks beside serving ones near their objective, or lets them on.
    fn pace(&mut self, now: Time, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let lately = executor.paced.is_some_and(|at| now.since(at) < PACE_EVERY);
        if executor.fills.is_empty() || lately {
            return;
        }
        let fillings = self.fillings(executor);
        let wanted = self.paces(now, executor, &fillings);
        let orders: Vec<(TaskId, Run, u32)> = fillings
            .iter()
            .zip(wanted)
            .map(|(filling, percent)| (filling, percent.min(filling.percent + STEP_UP)))
            .filter(|(filling, percent)| {
                let change = percent.abs_diff(filling.percent);
                change >= LEAST_CHANGE || (change > 0 && (*percent == 0 || *percent == 100))
            })
            .map(|(filling, percent)| (filling.task, filling.run, percent))
            .collect();
        if !orders.is_empty()
            && let Some(executor) = self.executors.get_mut(id)
        {
            executor.paced = Some(now);
        }
        for (task, run, percent) in orders {
            self.order_pace(now, id, task, run, percent);
        }
    }

    /// Returns the filling runs at an executor.
    fn fillings(&self, executor: &Executor) -> Vec<Filling> {
        let capacity = executor.listed.capacity.cpu.max(1) as f64;
        let fillings = self.runs_at(executor).filter(|there| there.step.filling);
        let filling = |There { task, step, open, .. }| Filling {
            task,
            run: open.run,
            image: image(step),
            share: step.room.cpu as f64 / capacity,
            percent: open.percent,
        };
        fillings.map(filling).collect()
    }

    /// Returns the pace of each filling run at which all serving tasks keep their
    /// objective.
    fn paces(&self, now: Time, executor: &Executor, fillings: &[Filling]) -> Vec<u32> {
        let mut paces = vec![100; fillings.len()];
        for (job, tail) in &executor.tails {
            let mine = self.paces_for(now, *job, tail, fillings);
            for (pace, mine) in paces.iter_mut().zip(mine) {
                *pace = (*pace).min(mine);
            }
        }
        paces
    }

    fn paces_for(&self, now: Time, job: JobId, tail: &Tail, fillings: &[Filling]) -> Vec<u32> {
        let harm = self.settings.harm;
        let model = &self.learned.model;
        let over = tail.over.map_or(Span::ZERO, |since| now.since(since));
        if over >= harm.scale(HALT) {
            return vec![0; fillings.len()];
        }
        let most = if over >= harm.scale(ALARM) { ALARM_PERCENT } else { 100 };
        let weights: Vec<f64> =
            fillings.iter().map(|filling| model.weight(&tail.image, &filling.image)).collect();
        let pressure = |(filling, weight): (&Filling, &f64)| filling.share * weight;
        let now_pressing: f64 = fillings
            .iter()
            .zip(&weights)
            .map(|pair| pressure(pair) * f64::from(pair.0.percent) / 100.0)
            .sum();
        // What the filling tasks may press in all, by what is learned and, where the
        // tail is long all the same, by what is seen.
        let aim = model.busy(&tail.image, 1.0) - AIM_BELOW;
        let learned = aim - model.load(now, job, PACE_AHEAD);
        let seen = if tail.ratio > 1.0 {
            now_pressing + aim - model.busy(&tail.image, tail.ratio)
        } else {
            f64::MAX
        };
        let mut budget = learned.min(seen);
        let mut order: Vec<usize> = (0..fillings.len()).collect();
        order.sort_by(|a, b| weights[*a].total_cmp(&weights[*b]));
        let mut paces = vec![most; fillings.len()];
        for index in order {
            let weight = weights[index];
            if weight < UNFELT {
                continue;
            }
            let full = fillings[index].share * weight;
            let spare = if weight < HARMLESS { budget + LIGHT_ABOVE } else { budget };
            let part = (spare.max(0.0) / full.max(f64::MIN_POSITIVE)).min(1.0);
            paces[index] = most.min((part * 100.0) as u32);
            budget -= part * full;
        }
        paces
    }

    fn order_pace(&mut self, now: Time, id: &ExecutorId, task: TaskId, run: Run, percent: u32) {
        let order = Order { executor: id.clone(), task, run };
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let address = executor.listed.address;
        let (tail_percent, over) = executor.worst(now);
        let Some(open) = self.open_mut(&order) else {
            return;
        };
        open.set_pace(now, percent);
        let note = Note::Paced { order: order.clone(), percent, tail_percent, over };
        self.out.push(Command::Log(note));
        self.out.push(Command::Pace { order, address, percent });
    }

    /// Takes the outcome of an order to pace.
    pub(super) fn was_paced(&mut self, now: Time, order: &Order, percent: u32, answer: Answer) {
        self.heard_answer(now, &order.executor, answer);
        if matches!(answer, Answer::Done(_)) {
            return;
        }
        // Not known to be in force: what is wanted next differs from it, and is ordered.
        if let Some(open) = self.open_mut(order)
            && open.percent == percent
        {
            open.percent = if percent == 100 { 0 } else { 100 };
            if let Some(executor) = self.executors.get_mut(&order.executor) {
                executor.paced = None;
            }
        }
    }

    /// Reports whether a serving task at an executor is over its objective.
    pub(super) fn is_over(executor: &Executor) -> bool {
        executor.tails.values().any(|tail| tail.over.is_some())
    }

    /// Works out how busy the serving tasks at each executor are, where that has changed.
    pub(super) fn reckon_strains(&mut self, now: Time) {
        let model = &self.learned.model;
        let alarm = self.settings.harm.scale(ALARM);
        for executor in self.executors.values_mut() {
            let fresh = executor
                .strains
                .as_ref()
                .is_some_and(|strains| now.since(strains.at) < STRAINS_LAST);
            if !fresh {
                executor.strains = Some(strains(now, model, executor, alarm));
            }
        }
    }

    /// Returns what a filling task of the step would press on serving tasks at an
    /// executor; none where it would push one over its objective.
    ///
    /// `image` is the place of the step's image in what is learned.
    pub(super) fn pressure(
        &self,
        step: &Step,
        image: Option<usize>,
        executor: &Executor,
    ) -> Option<f64> {
        let capacity = executor.listed.capacity.cpu.max(1) as f64;
        let strains = executor.strains.as_ref().map_or(&[][..], |strains| &strains.each);
        let mut cost = 0.0;
        for strain in strains {
            let weight = self.learned.model.weight_at(strain.image, image);
            let expected = strain.busy + weight * step.room.cpu as f64 / capacity;
            if strain.alarm || (weight > HARMLESS && (expected > strain.most || strain.over)) {
                return None;
            }
            cost = f64::max(cost, PRESSURE_COST * (expected - AT_EASE).max(0.0));
        }
        Some(cost)
    }
}

/// How busy the serving tasks at an executor are expected to be.
#[derive(Clone, Debug)]
pub(super) struct Strains {
    at: Time,
    each: Vec<Strain>,
}

/// How busy the tasks of a serving job at an executor are expected to be.
#[derive(Clone, Copy, Debug)]
struct Strain {
    /// Place of their image in what is learned.
    image: Option<usize>,
    /// Busy share with the filling tasks that are there.
    busy: f64,
    /// Busy share up to which filling tasks are placed.
    most: f64,
    /// Whether they are over their objective now.
    over: bool,
    /// Whether they have been so for too long.
    alarm: bool,
}

fn strains(now: Time, model: &Model, executor: &Executor, alarm: Span) -> Strains {
    let capacity = executor.listed.capacity.cpu.max(1) as f64;
    let fills: Vec<(Option<usize>, f64)> = executor
        .fills
        .iter()
        .map(|(image, cpu)| (model.filling_place(image), *cpu as f64 / capacity))
        .collect();
    let strain = |(job, tail): (&JobId, &Tail)| {
        let image = model.serving_place(&tail.image);
        let there: f64 =
            fills.iter().map(|(place, share)| model.weight_at(image, *place) * share).sum();
        Strain {
            image,
            busy: model.load(now, *job, PLACE_AHEAD) + there,
            most: model.busy(&tail.image, 1.0) - PLACED_BELOW,
            over: tail.ratio > 1.0,
            alarm: tail.over.is_some_and(|since| now.since(since) >= alarm),
        }
    };
    Strains { at: now, each: executor.tails.iter().map(strain).collect() }
}

impl Executor {
    /// Returns the longest tail there over its objective in percent, and the longest time
    /// for which one is over it.
    fn worst(&self, now: Time) -> (u32, Span) {
        let ratio = self.tails.values().map(|tail| tail.ratio).fold(0.0, f64::max);
        let over = self.tails.values().filter_map(|tail| tail.over).min();
        ((ratio * 100.0) as u32, over.map_or(Span::ZERO, |since| now.since(since)))
    }

    /// Takes the tails of the serving jobs there.
    fn note_tails(&mut self, now: Time, samples: BTreeMap<JobId, Sample>) {
        let before = std::mem::take(&mut self.tails);
        self.strains = None;
        self.tails = samples
            .into_iter()
            .map(|(job, Sample { image, ratio, .. })| {
                let since = before.get(&job).and_then(|tail| tail.over);
                let over = match ratio {
                    ratio if ratio > OVER => Some(since.unwrap_or(now)),
                    ratio if ratio > OVER_UNTIL => since,
                    _ => None,
                };
                (job, Tail { image, ratio, over })
            })
            .collect();
    }
}

/// Returns the image of a step; steps without one behave alike.
pub(super) fn image(step: &Step) -> Image {
    step.image.clone().unwrap_or_else(|| Image::from(""))
}
