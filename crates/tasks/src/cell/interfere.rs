//! Services that are slowed down by their neighbours, and steps against that.
//!
//! A measurement is set against the mix of classes that was in force when it was
//! taken, and the slowdown of now is reckoned from it by what has changed since.
//! So a step that was taken but isn't yet seen isn't taken twice.

use sycamorerill_core::clock::Time;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::rate::Share;

use super::{Cause, Cell, Command, Decision, Settings, key};
use crate::learn;
use crate::worker::{Hold, Intent, Phase, Token};

/// Evictions that may be made at once after a quiet time, as minutes of the budget.
const BUDGET_MINUTES: f64 = 2.0;

/// Change of a slowdown below which a step is not followed by another one at once.
const LEAST_EASE: f64 = 0.01;

/// A neighbour that could be restricted.
#[derive(Clone, Copy, Debug)]
struct Neighbour {
    token: Token,
    effect: f64,
    share: f64,
}

impl Cell {
    /// Learns from what a worker measured and acts where a service is too slow.
    pub(super) fn watch(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        self.learn_sizes(key);
        self.learn_pairs(now, key);
        self.after_change(now, key);
        self.make_fit(now, key, out);
        if !self.settings.interference.act {
            return;
        }
        let Some(slowdown) = self.worst_service(now, key) else { return };
        let Settings { interference, .. } = &self.settings;
        let (high, low, confirm) = (interference.high(), interference.low(), interference.confirm);
        let Some(entry) = self.workers.entry_mut(key) else { return };
        if slowdown > low {
            entry.slow_at = now;
        }
        entry.slow_reports = if slowdown > high { entry.slow_reports + 1 } else { 0 };
        let slow = entry.slow_reports >= confirm;
        if now < entry.settle_at {
            return;
        }
        if slow {
            self.restrict(now, key, slowdown, out);
        } else if now.since(entry.slow_at) >= self.settings.interference.calm {
            self.relieve(now, key, out);
        }
    }

    fn learn_sizes(&mut self, key: key::Worker) {
        let Some(entry) = self.workers.entry_mut(key) else { return };
        let mut grown = Vec::new();
        for (token, hold) in &mut entry.holds {
            let (Some(usage), true) = (&hold.usage, hold.counted) else { continue };
            if hold.phase != Some(Phase::Running) {
                continue;
            }
            hold.cpu = usage.cpu;
            if let Some(job) = self.jobs.entry(hold.task.job()) {
                self.sizes.observe(hold.class, job.size, usage);
            }
            let seen =
                sycamorerill_core::size::Size::new(usage.cpu, usage.memory, hold.size.accel());
            if !seen.fits(hold.size) {
                grown.push((*token, hold.size.max(seen)));
            }
        }
        if self.settings.placement != super::Placement::Learned {
            return;
        }
        for (token, size) in grown {
            self.resize(key, token, size);
        }
    }

    fn learn_pairs(&mut self, now: Time, key: key::Worker) {
        let Some(entry) = self.workers.entry(key) else { return };
        let Some(mixes) = self.mixes.get(&key) else { return };
        for hold in entry.holds.values().filter(|hold| hold.phase == Some(Phase::Running)) {
            let Some(usage) = &hold.usage else { continue };
            let at = now - usage.age;
            if at < hold.since {
                continue;
            }
            if let Some(mix) = mixes.at(at) {
                self.pairs.observe(hold.class, mix, usage.slowdown, at);
            }
        }
    }

    /// Returns the largest slowdown of a service on the worker, reckoned for now.
    fn worst_service(&self, now: Time, key: key::Worker) -> Option<f64> {
        let entry = self.workers.entry(key)?;
        let mixes = self.mixes.get(&key)?;
        let services =
            entry.holds.values().filter(|hold| hold.counted && self.is_service(hold.class));
        let slowdowns = services.filter_map(|hold| {
            let usage = hold.usage.as_ref()?;
            let past = mixes.at(now - usage.age)?;
            let (then, _) = self.pairs.expect(hold.class, past, now);
            let (present, _) = self.pairs.expect(hold.class, mixes.last()?, now);
            Some(usage.slowdown + present - then)
        });
        slowdowns
            .fold(None, |most: Option<f64>, next| Some(most.map_or(next, |most| most.max(next))))
    }

    /// Takes a step against the neighbours that slow services most, as many as it takes.
    fn restrict(&mut self, now: Time, key: key::Worker, slowdown: f64, out: &mut Vec<Command>) {
        let mut neighbours = self.neighbours(now, key);
        let mut gap = slowdown - self.settings.interference.high();
        while gap > 0.0 {
            let heavier = |a: &&mut Neighbour, b: &&mut Neighbour| {
                (a.effect * a.share).total_cmp(&(b.effect * b.share)).then(a.token.cmp(&b.token))
            };
            let Some(worst) = neighbours.iter_mut().max_by(heavier) else { return };
            let shares = &self.settings.interference.shares;
            let next = shares.iter().copied().find(|share| *share < worst.share - 0.01);
            let Some(next) = next else {
                let worst = *worst;
                return self.evict_for_service(now, key, worst, slowdown, out);
            };
            let eased = worst.effect * (worst.share - next);
            worst.share = next;
            let token = worst.token;
            self.throttle(now, key, token, Share::new(next), out);
            if eased < LEAST_EASE {
                return;
            }
            gap -= eased;
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
        self.intend(key, token, Intent::Run(share));
        self.settle_later(now, key);
        let Some(entry) = self.workers.entry(key) else { return };
        let Some(hold) = entry.holds.get(&token) else { return };
        let (task, worker) = (hold.name.clone(), entry.name.clone());
        out.push(Command::Decision(Decision::Throttled { task, worker, share }));
        self.after_change(now, key);
    }

    fn settle_later(&mut self, now: Time, key: key::Worker) {
        let settle = self.settings.interference.settle;
        if let Some(entry) = self.workers.entry_mut(key) {
            entry.settle_at = now + settle;
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
        let Some(hold) = entry.holds.get(&worst.token) else { return };
        let checkpoint = self.can_checkpoint(hold.class);
        if !checkpoint && slowdown < self.settings.interference.stop {
            return;
        }
        if self.settings.interference.budget && !self.take_eviction(now) {
            return;
        }
        self.settle_later(now, key);
        self.evict(now, key, worst.token, checkpoint, Cause::Interference, out);
    }

    /// Takes a task off its worker.
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
        self.intend(key, token, if checkpoint { Intent::Checkpoint } else { Intent::Stop });
        let Some(entry) = self.workers.entry(key) else { return };
        let Some(hold) = entry.holds.get(&token) else { return };
        let (task, worker) = (hold.name.clone(), entry.name.clone());
        out.push(Command::Decision(Decision::Evicted { task, worker, checkpoint, cause }));
        self.after_change(now, key);
    }

    /// Takes one eviction from the budget, if there is one.
    pub(super) fn take_eviction(&mut self, now: Time) -> bool {
        let running: u64 = crate::life::State::ALL
            .iter()
            .filter(|state| state.is_on_worker())
            .filter_map(|state| self.counts.states.get(state))
            .sum();
        let per_minute = self.config.policy.eviction_budget.part() * running as f64;
        let minutes = now.since(self.eviction_filled).as_ms_f64() / 60_000.0;
        let most = (per_minute * BUDGET_MINUTES).max(1.0);
        self.eviction_tokens = (self.eviction_tokens + minutes * per_minute).min(most);
        self.eviction_filled = now;
        let granted = self.eviction_tokens >= 1.0;
        if granted {
            self.eviction_tokens -= 1.0;
        }
        granted
    }

    /// Lifts one restriction on a calm worker.
    fn relieve(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let neighbours = self.neighbours(now, key);
        let throttled = neighbours.iter().filter(|neighbour| neighbour.share < 1.0);
        let lighter = |a: &&Neighbour, b: &&Neighbour| {
            a.effect.total_cmp(&b.effect).then(a.token.cmp(&b.token))
        };
        let Some(least) = throttled.min_by(lighter).copied() else { return };
        let shares = &self.settings.interference.shares;
        let next = shares.iter().rev().copied().find(|share| *share > least.share + 0.01);
        self.throttle(now, key, least.token, Share::new(next.unwrap_or(1.0)), out);
    }

    /// Returns the batch tasks on a worker with their effect on its services at full share.
    fn neighbours(&self, now: Time, key: key::Worker) -> Vec<Neighbour> {
        let Some(entry) = self.workers.entry(key) else { return Vec::new() };
        let services: Vec<key::Class> = entry
            .holds
            .values()
            .filter(|hold| hold.counted && self.is_service(hold.class))
            .map(|hold| hold.class)
            .collect();
        let batch = entry.holds.iter().filter(|(_, hold)| self.may_restrict(hold));
        let neighbours = batch.filter_map(|(token, hold)| {
            let Intent::Run(share) = hold.intent else { return None };
            let part = learn::part(hold.cpu, entry.size.cpu());
            let effects = services.iter().map(|class| self.pairs.mean(*class, hold.class, now));
            let effect = effects.fold(0.0, f64::max) * part;
            Some(Neighbour { token: *token, effect, share: share.part() })
        });
        neighbours.collect()
    }

    fn may_restrict(&self, hold: &Hold) -> bool {
        let running = matches!(hold.phase, Some(Phase::Running | Phase::Throttled(_)));
        hold.counted && running && !self.is_service(hold.class)
    }

    /// Takes tasks off a worker whose tasks use more memory than it has.
    ///
    /// Too much processor time slows tasks down, which is acted on as interference.
    fn make_fit(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        if self.settings.placement != super::Placement::Learned {
            return;
        }
        let Some(entry) = self.workers.entry(key) else { return };
        let stays = |hold: &&Hold| hold.counted && matches!(hold.intent, Intent::Run(_));
        let used = entry.holds.values().filter(stays).map(Hold::memory);
        let mut used = used.fold(0, |sum: u64, memory| sum.saturating_add(memory.0));
        let most = entry.size.memory().0;
        if used <= most {
            return;
        }
        let batch = entry.holds.iter().filter(|(_, hold)| stays(hold) && self.may_restrict(hold));
        let batch = batch.map(|(token, hold)| {
            let checkpoint = self.can_checkpoint(hold.class);
            (self.urgency_of(hold.task.job()), !checkpoint, *token, hold.memory().0)
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

    /// Moves what can be moved off a leaving worker.
    pub(super) fn empty(&mut self, now: Time, key: key::Worker, out: &mut Vec<Command>) {
        let Some(entry) = self.workers.entry(key) else { return };
        let movable = entry.holds.iter().filter(|(_, hold)| {
            let runs = matches!(hold.intent, Intent::Run(_)) && hold.counted;
            runs && (self.can_checkpoint(hold.class) || self.is_service(hold.class))
        });
        let movable = movable.map(|(token, hold)| (*token, self.can_checkpoint(hold.class)));
        let movable: Vec<(Token, bool)> = movable.collect();
        for (token, checkpoint) in movable {
            self.evict(now, key, token, checkpoint, Cause::Leaving, out);
        }
    }
}
