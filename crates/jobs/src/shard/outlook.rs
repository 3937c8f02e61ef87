//! Expected time until a job accepted now would begin, by queue.
//!
//! Load pattern: jobs of a better priority have a backlog of many seconds, or capacity is lost or
//! occupied by long-running tasks meanwhile, and jobs with short objectives go on arriving. Instances
//! refuse what can't be completed in time by these waits, so each choice here favours the shorter
//! wait: late work does not count, gaps between tasks are taken to be usable, and the lowest of
//! several consecutive samples is published.
//!
//! Work of the same priority does not count either. Jobs that can't meet their objective any more go
//! behind those that can, so a new job comes first among its equals within its own objective.

use std::collections::{BTreeMap, VecDeque};

use sycamorerill_core::clock::{Span, Time};

use super::Shard;
use super::rank::Rank;
use crate::admission::{EXPIRY_FACTOR, Outlook};
use crate::id::{QueueName, ServiceName, StepId};
use crate::record::json_field_bytes;
use crate::spec::Step;

/// Number of consecutive samples of which the lowest wait is published. A short silence of many
/// executors is no lack of capacity.
const WAIT_SAMPLES: usize = 3;
/// Number of samples of which the highest rate of starts counts.
const RATE_SAMPLES: usize = 5;
/// Time after a takeover in which no outlook is made: executors count once they have answered.
const TAKEOVER_GRACE: Span = Span::from_ms(5_000);
/// Upper bound on a published wait.
const MAX_WAIT: Span = Span::from_ms(600_000);
/// Shortest wait that is published.
const MIN_WAIT: Span = Span::from_ms(1_000);

/// Amounts of processor time and memory, or of both times run time in ms.
#[derive(Clone, Copy, Debug, Default)]
struct Amount {
    /// Thousandths of a core.
    cpu: f64,
    /// MiB.
    memory: f64,
}

/// Outlooks of a shard, and the samples that they follow from.
#[derive(Debug, Default)]
pub(super) struct Outlooks {
    next_sample: Time,
    sampled_at: Time,
    /// Work started since the latest sample, by service and whether it is best-effort.
    started: BTreeMap<(ServiceName, bool), Amount>,
    /// Work started per ms in the latest samples.
    rates: VecDeque<BTreeMap<(ServiceName, bool), Amount>>,
    waits: VecDeque<BTreeMap<QueueName, Span>>,
    /// Whether the latest outlook, which may be recorded, names a queue.
    names_queues: bool,
    /// Outlook for the next batch.
    due: Option<Outlook>,
}

/// Capacity and work of one service.
#[derive(Debug, Default)]
struct Load {
    capacity: Amount,
    /// Amounts that long-running tasks occupy.
    occupied: Amount,
    /// Remaining work of the other running tasks that are not best-effort.
    running: Amount,
    /// Amounts that running best-effort tasks request.
    best_effort: Amount,
    /// Waiting work that is not late, by priority and whether it is best-effort.
    waiting: BTreeMap<(u32, bool), Amount>,
    /// Longest run time left of a task that runs, or that waits and is not late, in ms.
    longest_ms: u64,
}

/// Kinds of the steps that wait in a queue.
#[derive(Clone, Copy, Debug, Default)]
struct Kinds {
    best_effort: bool,
    reserving: bool,
}

impl Amount {
    fn add(&mut self, step: &Step, factor: f64) {
        self.cpu += step.resources.cpu as f64 * factor;
        self.memory += step.resources.memory as f64 * factor;
    }

    fn plus(self, other: Self) -> Self {
        Self { cpu: self.cpu + other.cpu, memory: self.memory + other.memory }
    }

    fn minus(self, other: Self) -> Self {
        Self { cpu: (self.cpu - other.cpu).max(0.0), memory: (self.memory - other.memory).max(0.0) }
    }

    fn max(self, other: Self) -> Self {
        Self { cpu: self.cpu.max(other.cpu), memory: self.memory.max(other.memory) }
    }

    /// Returns the time for this much work at a rate.
    fn at_rate(self, rate: Self) -> Span {
        let time_ms = |work: f64, rate: f64| if work > 0.0 { work / rate } else { 0.0 };
        let slower = time_ms(self.cpu, rate.cpu).max(time_ms(self.memory, rate.memory));
        // A rate of 0 gives an infinite time.
        Span::from_ms_f64(slower.min(MAX_WAIT.as_ms_f64()))
    }
}

impl Outlooks {
    /// Returns whether the next batch holds an outlook.
    pub(super) const fn is_due(&self) -> bool {
        self.due.is_some()
    }

    /// Removes and returns the outlook for the next batch.
    pub(super) const fn take(&mut self) -> Option<Outlook> {
        self.due.take()
    }

    /// Notes that a task was placed on an executor of a service.
    pub(super) fn note_start(&mut self, service: &ServiceName, step: &Step) {
        if !step.long_running {
            let started = self.started.entry((service.clone(), step.best_effort)).or_default();
            started.add(step, step.estimate_ms as f64);
        }
    }

    /// Ends a sample of the rates at which work is started.
    fn sample_rates(&mut self, now: Time) {
        let elapsed_ms = now.since(self.sampled_at).as_ms_f64().max(1.0);
        self.sampled_at = now;
        let mut rates = std::mem::take(&mut self.started);
        for rate in rates.values_mut() {
            *rate = Amount { cpu: rate.cpu / elapsed_ms, memory: rate.memory / elapsed_ms };
        }
        push_bounded(&mut self.rates, rates, RATE_SAMPLES);
    }

    /// Returns the highest rate at which work was started lately.
    fn rate(&self, service: &ServiceName, best_effort: bool) -> Amount {
        let key = (service.clone(), best_effort);
        let rates = self.rates.iter().filter_map(|sample| sample.get(&key));
        rates.fold(Amount::default(), |highest, rate| highest.max(*rate))
    }

    /// Returns the lowest wait for a queue in the latest samples.
    fn lowest_wait(&self, queue: &QueueName) -> Span {
        if self.waits.len() < WAIT_SAMPLES {
            return Span::ZERO;
        }
        let waits = self.waits.iter().map(|sample| sample.get(queue).copied().unwrap_or_default());
        waits.min().unwrap_or_default()
    }
}

impl Shard {
    /// Makes an outlook if one is due. It is recorded if it names a queue, or if the previous one
    /// did.
    pub(super) fn update_outlook(&mut self, now: Time) {
        if now < self.outlooks.next_sample {
            return;
        }
        self.outlooks.next_sample = now + self.settings.outlook_interval;
        self.outlooks.sample_rates(now);
        let is_settled = now.since(self.restored_at) >= TAKEOVER_GRACE;
        let waits = if is_settled { self.queue_waits(now) } else { BTreeMap::new() };
        let queues: Vec<QueueName> = waits.keys().cloned().collect();
        push_bounded(&mut self.outlooks.waits, waits, WAIT_SAMPLES);
        let outlook = Outlook { at_ms: self.wall_ms, wait_ms: self.published_waits(&queues) };
        let names_queues = !outlook.wait_ms.is_empty();
        if names_queues || self.outlooks.names_queues {
            self.outlooks.due = Some(outlook);
        }
        self.outlooks.names_queues = names_queues;
    }

    /// Returns the waits that can make a job late beyond its value, the longest ones if not all
    /// fit into a row.
    fn published_waits(&self, queues: &[QueueName]) -> BTreeMap<QueueName, u64> {
        let mut waits: Vec<(Span, &QueueName)> = queues
            .iter()
            .filter_map(|name| {
                let objective = self.config.queues.get(name)?.objective;
                let wait = self.outlooks.lowest_wait(name);
                let threshold = objective.saturating_mul(EXPIRY_FACTOR).max(MIN_WAIT);
                (wait >= threshold).then_some((wait, name))
            })
            .collect();
        waits.sort_by(|left, right| right.cmp(left));
        let mut left = self.settings.max_row_bytes / 2;
        let fits = |(_, name): &(Span, &QueueName)| {
            let bytes = json_field_bytes(name.as_str());
            left = left.saturating_sub(bytes);
            left > 0
        };
        let longest = waits.into_iter().take_while(fits);
        longest.map(|(wait, name)| (name.clone(), wait.as_ms())).collect()
    }

    /// Returns the expected waits of the queues in which steps wait.
    fn queue_waits(&self, now: Time) -> BTreeMap<QueueName, Span> {
        if self.waiting.is_empty() {
            return BTreeMap::new();
        }
        let mut loads = self.running_loads(now);
        let mut queues: BTreeMap<QueueName, Kinds> = BTreeMap::new();
        for (rank, id) in &self.waiting {
            self.add_waiting(*rank, *id, &mut loads, &mut queues);
        }
        let wait = |(name, kinds): (QueueName, Kinds)| {
            let queue = self.config.queues.get(&name)?;
            let load = loads.get(&queue.service)?;
            let of_kind =
                |best_effort| self.wait(&queue.service, load, queue.priority, best_effort);
            let best_effort = kinds.best_effort.then(|| of_kind(true));
            let reserving = kinds.reserving.then(|| of_kind(false));
            Some((name, best_effort.into_iter().chain(reserving).min()?))
        };
        queues.into_iter().filter_map(wait).collect()
    }

    /// Returns the capacity of the executors that take work, and what runs there, by service.
    fn running_loads(&self, now: Time) -> BTreeMap<ServiceName, Load> {
        let mut loads: BTreeMap<ServiceName, Load> = BTreeMap::new();
        for executor in self.executors.values().filter(|executor| executor.takes_work()) {
            let load = loads.entry(executor.registration.service.clone()).or_default();
            let capacity = executor.registration.capacity;
            load.capacity.cpu += capacity.cpu as f64;
            load.capacity.memory += capacity.memory as f64;
            for placed in self.runs_on(executor) {
                let elapsed = placed.open.started_at.map_or(0, |at| now.since(at).as_ms());
                let left_ms = placed.step.estimate_ms.saturating_sub(elapsed);
                if placed.step.best_effort {
                    load.best_effort.add(placed.step, 1.0);
                } else if placed.step.long_running {
                    load.occupied.add(placed.step, 1.0);
                } else {
                    load.running.add(placed.step, left_ms as f64);
                    load.longest_ms = load.longest_ms.max(left_ms);
                }
            }
        }
        loads
    }

    /// Adds the waiting tasks of a step, unless a new job would overtake them.
    fn add_waiting(
        &self,
        rank: Rank,
        id: StepId,
        loads: &mut BTreeMap<ServiceName, Load>,
        queues: &mut BTreeMap<QueueName, Kinds>,
    ) {
        let Some(entry) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(queue) = self.queue_of(entry) else {
            return;
        };
        let (Some(spec), Some(step)) = (entry.job.steps.get(id.step as usize), entry.step(id))
        else {
            return;
        };
        if entry.long_running {
            return;
        }
        let kinds = queues.entry(entry.queue.clone()).or_default();
        kinds.best_effort |= spec.best_effort;
        kinds.reserving |= !spec.best_effort;
        if rank.is_late() {
            return;
        }
        let load = loads.entry(queue.service.clone()).or_default();
        let waiting = load.waiting.entry((queue.priority, spec.best_effort)).or_default();
        waiting.add(spec, step.waiting.len() as f64 * spec.estimate_ms as f64);
        load.longest_ms = load.longest_ms.max(spec.estimate_ms);
    }

    /// Returns a lower bound on the wait of a job of a priority, zero if nothing is known.
    ///
    /// The job begins once all work of better priorities has begun. What then is still to be done
    /// of that is at most the longest run time on the whole capacity. Best-effort tasks get what
    /// others leave, so their rate is that of recent starts, or what the running ones request if
    /// that is more.
    fn wait(&self, service: &ServiceName, load: &Load, priority: u32, best_effort: bool) -> Span {
        let ahead = load
            .waiting
            .iter()
            .filter(|((other, kind), _)| *other < priority && *kind == best_effort);
        let ahead = ahead.fold(Amount::default(), |sum, (_, amount)| sum.plus(*amount));
        let started = self.outlooks.rate(service, best_effort);
        let (work, rate) = match best_effort {
            true => (Amount { memory: 0.0, ..ahead }, started.max(load.best_effort)),
            false => {
                let free = load.capacity.minus(load.occupied);
                (ahead.plus(load.running), started.max(free))
            }
        };
        if ahead.cpu <= 0.0 || rate.cpu <= 0.0 {
            return Span::ZERO;
        }
        work.at_rate(rate).saturating_sub(Span::from_ms(load.longest_ms))
    }
}

fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    if samples.len() >= most {
        samples.pop_front();
    }
    samples.push_back(sample);
}
