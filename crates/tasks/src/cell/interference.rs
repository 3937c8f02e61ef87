//! Detection of services slowed down by batch tasks on the same worker, and the
//! throttling and eviction of those tasks.
//!
//! Measurements arrive late. Each is attributed to the mix of classes at the time of
//! the measurement, and the current slowdown is estimated from it by the change of
//! the mix since. A step whose effect isn't measured yet is therefore not repeated.

use sycamorerill_core::clock::Time;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::rate::Share;

use super::{Cause, Cell, Command, Decision, Settings, key};
use crate::learn;
use crate::worker::{Assignment, Intent, Phase, Token};

/// Capacity of the eviction budget's token bucket, in minutes of the budget.
const EVICTION_BURST_MINUTES: f64 = 2.0;

/// Expected reduction of a slowdown below which no further step follows in the same pass.
const MIN_SLOWDOWN_REDUCTION: f64 = 0.01;

/// A batch task that runs beside services and could be throttled.
#[derive(Clone, Copy, Debug)]
struct Neighbour {
    token: Token,
    effect: f64,
    share: f64,
}

impl Cell {
    /// Updates the models by the measurements of a worker and acts if a service is too slow.
    pub(super) fn handle_measurements(
        &mut self,
        now: Time,
        key: key::Worker,
        out: &mut Vec<Command>,
    ) {
        self.record_usage(key);
        self.record_slowdowns(now, key);
        self.refresh_worker(now, key);
        self.evict_for_memory(now, key, out);
        if !self.settings.interference.enabled {
            return;
        }
        let Some(slowdown) = self.worst_service_slowdown(now, key) else { return };
        let Settings { interference, .. } = &self.settings;
        let (high, low, confirming_reports) = (
            interference.throttle_threshold(),
            interference.release_threshold(),
            interference.confirming_reports,
        );
        let Some(entry) = self.workers.entry_mut(key) else { return };
        if slowdown > low {
            entry.last_slow_at = now;
        }
        entry.consecutive_slow_reports =
            if slowdown > high { entry.consecutive_slow_reports + 1 } else { 0 };
        let slow = entry.consecutive_slow_reports >= confirming_reports;
        if now < entry.next_interference_step_at {
            return;
        }
        if slow {
            self.throttle_neighbours(now, key, slowdown, out);
        } else if now.since(entry.last_slow_at) >= self.settings.interference.release_delay {
            self.lift_throttle(now, key, out);
        }
    }

    fn record_usage(&mut self, key: key::Worker) {
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let mut exceeding = Vec::new();
        for (token, assignment) in &mut entry.assignments {
            let (Some(usage), true) = (&assignment.usage, assignment.is_reserved) else { continue };
            if assignment.phase != Some(Phase::Running) {
                continue;
            }
            assignment.cpu = usage.cpu;
            if let Some(job) = self.jobs.entry(assignment.task.job()) {
                self.estimates.observe(assignment.class, job.size, usage);
            }
            let measured = sycamorerill_core::size::Size::new(
                usage.cpu,
                usage.memory,
                assignment.size.accel(),
            );
            if !measured.fits(assignment.size) {
                exceeding.push((*token, assignment.size.componentwise_max(measured)));
            }
        }
        if self.settings.placement != super::Placement::Learned {
            return;
        }
        for (token, size) in exceeding {
            self.resize(key, token, size);
        }
    }

    fn record_slowdowns(&mut self, now: Time, key: key::Worker) {
        let Some(entry) = self.workers.entry(key) else { return };
        let Some(mix_history) = self.mix_history.get(&key) else { return };
        for assignment in
            entry.assignments.values().filter(|assignment| assignment.phase == Some(Phase::Running))
        {
            let Some(usage) = &assignment.usage else { continue };
            let at = now - usage.age;
            if at < assignment.placed_at {
                continue;
            }
            if let Some(mix) = mix_history.at(at) {
                self.interference.observe(assignment.class, mix, usage.slowdown, at);
            }
        }
    }

    /// Returns the largest current slowdown of a service on the worker, as estimated.
    fn worst_service_slowdown(&self, now: Time, key: key::Worker) -> Option<f64> {
        let entry = self.workers.entry(key)?;
        let mix_history = self.mix_history.get(&key)?;
        let services = entry
            .assignments
            .values()
            .filter(|assignment| assignment.is_reserved && self.is_service(assignment.class));
        let slowdowns = services.filter_map(|assignment| {
            let usage = assignment.usage.as_ref()?;
            let past = mix_history.at(now - usage.age)?;
            let (then, _) = self.interference.expected_slowdown(assignment.class, past, now);
            let (present, _) =
                self.interference.expected_slowdown(assignment.class, mix_history.current()?, now);
            Some(usage.slowdown + present - then)
        });
        slowdowns
            .fold(None, |most: Option<f64>, next| Some(most.map_or(next, |most| most.max(next))))
    }

    /// Throttles the batch tasks that slow services most until the expected slowdown is below
    /// the threshold; evicts one that is already at its smallest share.
    fn throttle_neighbours(
        &mut self,
        now: Time,
        key: key::Worker,
        slowdown: f64,
        out: &mut Vec<Command>,
    ) {
        let mut neighbours = self.neighbours(now, key);
        let mut excess = slowdown - self.settings.interference.throttle_threshold();
        while excess > 0.0 {
            let heavier = |a: &&mut Neighbour, b: &&mut Neighbour| {
                (a.effect * a.share).total_cmp(&(b.effect * b.share)).then(a.token.cmp(&b.token))
            };
            let Some(worst) = neighbours.iter_mut().max_by(heavier) else { return };
            let shares = &self.settings.interference.throttle_shares;
            let next = shares.iter().copied().find(|share| *share < worst.share - 0.01);
            let Some(next) = next else {
                let worst = *worst;
                return self.evict_for_service(now, key, worst, slowdown, out);
            };
            let reduction = worst.effect * (worst.share - next);
            worst.share = next;
            let token = worst.token;
            self.throttle(now, key, token, Share::new(next), out);
            if reduction < MIN_SLOWDOWN_REDUCTION {
                return;
            }
            excess -= reduction;
        }
    }

    fn throttle(
        &mut self,
        now: Time,
        key: key::Worker,
        token: Token,
        share: Share,
        out: &mut Vec<Command>,
    ) {
        self.counts.throttled += 1;
        self.set_intent(key, token, Intent::Run(share));
        self.delay_next_step(now, key);
        let Some(entry) = self.workers.entry(key) else { return };
        let Some(assignment) = entry.assignments.get(&token) else { return };
        let (task, worker) = (assignment.name.clone(), entry.name.clone());
        out.push(Command::Decision(Decision::Throttled { task, worker, share }));
        self.refresh_worker(now, key);
    }

    fn delay_next_step(&mut self, now: Time, key: key::Worker) {
        let interval = self.settings.interference.step_interval;
        if let Some(entry) = self.workers.entry_mut(key) {
            entry.next_interference_step_at = now + interval;
        }
    }

    fn evict_for_service(
        &mut self,
        now: Time,
        key: key::Worker,
        worst: Neighbour,
        slowdown: f64,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.workers.entry(key) else { return };
        let Some(assignment) = entry.assignments.get(&worst.token) else { return };
        let checkpoint = self.can_checkpoint(assignment.class);
        if !checkpoint && slowdown < self.settings.interference.stop_slowdown {
            return;
        }
        if self.settings.interference.eviction_budget_enabled && !self.take_eviction_token(now) {
            return;
        }
        self.delay_next_step(now, key);
        self.evict(now, key, worst.token, checkpoint, Cause::Interference, out);
    }

    /// Evicts a task from its worker.
    pub(super) fn evict(
        &mut self,
        now: Time,
        key: key::Worker,
        token: Token,
        checkpoint: bool,
        cause: Cause,
        out: &mut Vec<Command>,
    ) {
        self.counts.evicted += 1;
        self.set_intent(key, token, if checkpoint { Intent::Checkpoint } else { Intent::Stop });
        let Some(entry) = self.workers.entry(key) else { return };
        let Some(assignment) = entry.assignments.get(&token) else { return };
        let (task, worker) = (assignment.name.clone(), entry.name.clone());
        out.push(Command::Decision(Decision::Evicted { task, worker, checkpoint, cause }));
        self.refresh_worker(now, key);
    }

    /// Takes a token from the eviction budget; returns whether one was available.
    pub(super) fn take_eviction_token(&mut self, now: Time) -> bool {
        let running: u64 = crate::life::State::ALL
            .iter()
            .filter(|state| state.is_on_worker())
            .filter_map(|state| self.counts.states.get(state))
            .sum();
        let per_minute = self.config.policy.eviction_budget.as_f64() * running as f64;
        let minutes = now.since(self.evictions_refilled_at).as_ms_f64() / 60_000.0;
        let most = (per_minute * EVICTION_BURST_MINUTES).max(1.0);
        self.eviction_tokens = (self.eviction_tokens + minutes * per_minute).min(most);
        self.evictions_refilled_at = now;
        let granted = self.eviction_tokens >= 1.0;
        if granted {
            self.eviction_tokens -= 1.0;
        }
        granted
    }

    /// Raises the share of the throttled task with the smallest effect by one step.
    fn lift_throttle(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let neighbours = self.neighbours(now, key);
        let throttled = neighbours.iter().filter(|neighbour| neighbour.share < 1.0);
        let lighter = |a: &&Neighbour, b: &&Neighbour| {
            a.effect.total_cmp(&b.effect).then(a.token.cmp(&b.token))
        };
        let Some(least) = throttled.min_by(lighter).copied() else { return };
        let shares = &self.settings.interference.throttle_shares;
        let next = shares.iter().rev().copied().find(|share| *share > least.share + 0.01);
        self.throttle(now, key, least.token, Share::new(next.unwrap_or(1.0)), out);
    }

    /// Returns the running batch tasks of a worker with their effect on services at full share.
    fn neighbours(&self, now: Time, key: key::Worker) -> Vec<Neighbour> {
        let Some(entry) = self.workers.entry(key) else { return Vec::new() };
        let services: Vec<key::Class> = entry
            .assignments
            .values()
            .filter(|assignment| assignment.is_reserved && self.is_service(assignment.class))
            .map(|assignment| assignment.class)
            .collect();
        let batch =
            entry.assignments.iter().filter(|(_, assignment)| self.is_running_batch(assignment));
        let neighbours = batch.filter_map(|(token, assignment)| {
            let Intent::Run(share) = assignment.intent else { return None };
            let part = learn::core_fraction(assignment.cpu, entry.size.cpu());
            let effects =
                services.iter().map(|class| self.interference.mean(*class, assignment.class, now));
            let effect = effects.fold(0.0, f64::max) * part;
            Some(Neighbour { token: *token, effect, share: share.as_f64() })
        });
        neighbours.collect()
    }

    fn is_running_batch(&self, assignment: &Assignment) -> bool {
        let running = matches!(assignment.phase, Some(Phase::Running | Phase::Throttled(_)));
        assignment.is_reserved && running && !self.is_service(assignment.class)
    }

    /// Evicts batch tasks from a worker whose tasks use more memory than it has.
    ///
    /// Overcommitted processor time only slows tasks down and is handled as interference.
    fn evict_for_memory(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        if self.settings.placement != super::Placement::Learned {
            return;
        }
        let Some(entry) = self.workers.entry(key) else { return };
        let keeps_running = |assignment: &&Assignment| {
            assignment.is_reserved && matches!(assignment.intent, Intent::Run(_))
        };
        let used = entry.assignments.values().filter(keeps_running).map(Assignment::memory);
        let mut used = used.fold(0, |sum: u64, memory| sum.saturating_add(memory.0));
        let most = entry.size.memory().0;
        if used <= most {
            return;
        }
        let batch = entry.assignments.iter().filter(|(_, assignment)| {
            keeps_running(assignment) && self.is_running_batch(assignment)
        });
        let batch = batch.map(|(token, assignment)| {
            let checkpoint = self.can_checkpoint(assignment.class);
            (self.urgency_of(assignment.task.job()), !checkpoint, *token, assignment.memory().0)
        });
        let mut batch: Vec<_> = batch.collect();
        batch.sort_unstable();
        for (_, stop, token, memory) in batch {
            if used <= most {
                break;
            }
            used -= memory;
            self.evict(now, key, token, !stop, Cause::Room, out);
        }
    }

    pub(super) fn urgency_of(&self, job: key::Job) -> Urgency {
        self.jobs.entry(job).map_or(Urgency::Low, |job| job.job.urgency)
    }

    /// Evicts the services and the tasks that can be checkpointed from a leaving worker.
    pub(super) fn evict_from_leaving(
        &mut self,
        now: Time,
        key: key::Worker,
        out: &mut Vec<Command>,
    ) {
        let Some(entry) = self.workers.entry(key) else { return };
        let movable = entry.assignments.iter().filter(|(_, assignment)| {
            let runs = matches!(assignment.intent, Intent::Run(_)) && assignment.is_reserved;
            runs && (self.can_checkpoint(assignment.class) || self.is_service(assignment.class))
        });
        let movable =
            movable.map(|(token, assignment)| (*token, self.can_checkpoint(assignment.class)));
        let movable: Vec<(Token, bool)> = movable.collect();
        for (token, checkpoint) in movable {
            self.evict(now, key, token, checkpoint, Cause::Leaving, out);
        }
    }
}
