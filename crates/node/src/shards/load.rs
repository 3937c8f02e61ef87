//! How well this instance keeps up with the shards that it owns.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::id::ShardId;
use sycamorerill_jobs::overload::TickMonitor;

use super::Manager;
use crate::log::{Code, Line};
use crate::platform::Platform;
use crate::{clock, instance};

/// Time between two log lines on how well an owner keeps up.
const LOAD_LOG_INTERVAL: Span = Span::from_ms(2_000);

impl<P: Platform> Manager<P> {
    /// Records a tick of an instance that owns shards.
    pub(super) fn tick(&mut self, now: Time) {
        if self.owned_count() == 0 {
            if self.tick_monitor.take().is_some() {
                self.context.metrics.clear_load();
            }
            return;
        }
        let interval = Span::from_ms(instance::OWNER_TICK_INTERVAL.as_millis() as u64);
        self.tick_monitor.get_or_insert_with(|| TickMonitor::new(now, interval)).tick(now);
        self.log_load(now);
    }

    /// Logs and publishes how well this instance keeps up, at most once in
    /// [`LOAD_LOG_INTERVAL`].
    fn log_load(&mut self, now: Time) {
        if now < self.next_load_log {
            return;
        }
        self.next_load_log = now + LOAD_LOG_INTERVAL;
        let (ticks, inbox) = (self.ticks_percent(now), self.context.inbox_len());
        self.context.metrics.set_load(ticks, inbox);
        let (mut evacuated_runs, mut unschedulable_steps) = (0, 0);
        for (shard, state) in &self.shards {
            let Some(owner) = &state.owner else { continue };
            let backlog = owner.backlog();
            evacuated_runs += backlog.evacuated_runs;
            unschedulable_steps += backlog.unschedulable_steps;
            Line::new(Code::Load)
                .text("shard", shard)
                .number("ticks_percent", ticks)
                .number("inbox", inbox as u64)
                .number("waiting_steps", backlog.waiting_steps)
                .number("unschedulable_steps", backlog.unschedulable_steps)
                .number("evacuated_runs", backlog.evacuated_runs)
                .number("best_effort_runs", backlog.best_effort_runs)
                .number("mean_limit_percent", backlog.mean_limit_percent)
                .write();
        }
        self.context.metrics.set_evacuated_runs(evacuated_runs);
        self.context.metrics.set_unschedulable_steps(unschedulable_steps);
    }

    /// Returns the percentage of the expected ticks that arrived recently.
    fn ticks_percent(&self, now: Time) -> u64 {
        let ratio = self.tick_monitor.as_ref().map_or(1.0, |monitor| monitor.tick_ratio(now));
        (ratio * 100.0) as u64
    }

    /// Returns how much this instance lacks processor time, from 0 to 1.
    pub(super) fn shortage(&self, now: Time) -> f64 {
        self.tick_monitor.as_ref().map_or(0.0, |monitor| monitor.shortage(now))
    }

    /// Yields a shard if the ticks of this instance come too late.
    pub(super) fn yield_if_overloaded(&mut self, now: Time, shard: ShardId) {
        if !self.tick_monitor.as_ref().is_some_and(|monitor| monitor.is_overloaded(now)) {
            return;
        }
        let ticks = self.ticks_percent(now);
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let claim = state.ownership.yielded_claim(clock::wall_ms());
        if let (Some(owner), Some(claim)) = (&mut state.owner, claim)
            && owner.yielded_claim.is_none()
        {
            Line::new(Code::Yielded).text("shard", shard).number("ticks_percent", ticks).write();
            owner.yielded_claim = Some(claim);
        }
    }
}
