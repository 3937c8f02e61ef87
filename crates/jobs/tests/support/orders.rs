//! Delivery of orders to simulated executors.

use std::net::SocketAddr;

use sycamorerill_jobs::executor::{EndReason, Outcome, Refusal};
use sycamorerill_jobs::id::ExecutorId;
use sycamorerill_jobs::shard::{Command, Order};

use super::Simulation;
use super::executor::ActiveRun;

impl Simulation {
    pub(super) fn deliver(
        &mut self,
        id: &ExecutorId,
        address: SocketAddr,
        command: Command,
    ) -> Outcome {
        let epoch = self.epoch;
        let Some(executor) = self.executors.get(id).filter(|found| found.address == address) else {
            return Outcome::NotSent;
        };
        if executor.replaced {
            return Outcome::Refused(Refusal::Incarnation, None);
        }
        if !executor.is_reached_by(epoch) {
            return Outcome::Unknown;
        }
        if let Some(outcome) = self.identify(id, &command) {
            return outcome;
        }
        let executor = &self.executors[id];
        let loses_answer = executor.loses_answers;
        if executor.delays_orders {
            self.delayed_orders.push((epoch, command));
            return Outcome::Unknown;
        }
        let outcome = self.apply_order(epoch, &command);
        if loses_answer { Outcome::Unknown } else { outcome }
    }

    /// Returns why a start is not sent, if the executor is not in the incarnation that it names.
    /// The executor is asked first, under the epoch of the owner.
    fn identify(&mut self, id: &ExecutorId, command: &Command) -> Option<Outcome> {
        let now = self.now;
        let is_right = self.reaches(id, command);
        let executor = self.executors.get_mut(id).expect("known executor");
        if is_right {
            return None;
        }
        if self.epoch < executor.fence && !executor.loses_answers {
            return Some(Outcome::Refused(Refusal::Fence, Some(executor.clock(now))));
        }
        executor.fence = executor.fence.max(self.epoch);
        Some(Outcome::NotSent)
    }

    /// Returns whether a command can reach the present incarnation of an executor.
    fn reaches(&self, id: &ExecutorId, command: &Command) -> bool {
        let Command::Start { incarnation, .. } = command else {
            return true;
        };
        !self.binds_orders || self.executors[id].incarnation == incarnation.0
    }

    /// Delivers the orders that were delayed.
    pub(crate) fn deliver_delayed_orders(&mut self) {
        self.delivers_late = true;
        for (epoch, command) in std::mem::take(&mut self.delayed_orders) {
            if let Command::Start { order, .. } = &command
                && !self.reaches(&order.executor, &command)
            {
                continue;
            }
            self.apply_order(epoch, &command);
        }
        self.delivers_late = false;
    }

    /// Drops the delayed orders to an executor, as a crash of the executor does.
    pub(crate) fn drop_delayed_orders(&mut self, id: &ExecutorId) {
        self.delayed_orders.retain(|(_, command)| match command {
            Command::Start { order, .. }
            | Command::Stop { order, .. }
            | Command::Throttle { order, .. } => order.executor != *id,
            _ => true,
        });
    }

    fn apply_limit(&mut self, epoch: u64, order: &Order, percent: u32) -> Outcome {
        let now = self.now;
        let executor = self.executors.get_mut(&order.executor).expect("known executor");
        if epoch < executor.fence {
            return Outcome::Refused(Refusal::Fence, Some(executor.clock(now)));
        }
        executor.fence = epoch;
        if let Some(active) = executor.running.get_mut(&order.task)
            && active.run == order.run
        {
            active.limit_percent = percent;
        }
        Outcome::Done(executor.clock(now))
    }

    fn apply_order(&mut self, epoch: u64, command: &Command) -> Outcome {
        let now = self.now;
        let (order, deadline) = match command {
            Command::Start { order, deadline, .. } => (order, Some(deadline.0)),
            Command::Stop { order, .. } => (order, None),
            Command::Throttle { order, percent, .. } => {
                return self.apply_limit(epoch, order, *percent);
            }
            _ => return Outcome::Unknown,
        };
        let has_ticket = match command {
            Command::Start { order, ticket, .. } => self.has_ticket(order, ticket.as_ref()),
            _ => true,
        };
        let runs_elsewhere = self.checks_all_executors
            && self.executors.values().any(|executor| {
                let found = executor.running.get(&order.task);
                found.is_some_and(|active| executor.id != order.executor || active.run != order.run)
            });
        let executor = self.executors.get_mut(&order.executor).expect("known executor");
        let clock = executor.clock(now);
        if epoch < executor.fence {
            return Outcome::Refused(Refusal::Fence, Some(clock));
        }
        executor.fence = epoch;
        let Some(deadline) = deadline else {
            let highest_run = executor.highest_runs.entry(order.task).or_default();
            *highest_run = (*highest_run).max(order.run);
            if executor.running.get(&order.task).is_some_and(|active| active.run == order.run) {
                executor.end_run(&order.task, EndReason::Stopped);
            }
            return Outcome::Done(clock);
        };
        if clock.0 > deadline {
            return Outcome::Refused(Refusal::Late, Some(clock));
        }
        executor.extend_lease(now, deadline);
        if executor.running.get(&order.task).is_some_and(|active| active.run == order.run) {
            return Outcome::Done(clock);
        }
        if executor
            .highest_runs
            .get(&order.task)
            .is_some_and(|highest_run| *highest_run >= order.run)
        {
            return Outcome::Refused(Refusal::Old, Some(clock));
        }
        if !has_ticket {
            self.tickets_refused += 1;
            return Outcome::Refused(Refusal::Ticket, Some(clock));
        }
        if runs_elsewhere {
            self.violations.push(format!("{} {} runs twice at once", now.as_ms(), order.task));
        }
        if self.noted_ends.contains(&order.task) {
            self.violations.push(format!("{} runs after it was done", order.task));
        }
        self.latest_runs.insert(order.task, order.run);
        // An order that an executor carries out late may come after the cancellation; the run is then
        // stopped.
        if self.cancelled.contains(&order.task.step.job)
            && !self.delivers_late
            && !self.acts_as_former
        {
            self.violations.push(format!("{} starts after its job was cancelled", order.task));
        }
        let executor = self.executors.get_mut(&order.executor).expect("known executor");
        executor.highest_runs.insert(order.task, order.run);
        let long_running = self.accepted[&order.task.step.job].job.steps
            [order.task.step.step as usize]
            .long_running;
        let step = &self.accepted[&order.task.step.job].job.steps[order.task.step.step as usize];
        let near = self.run_times.get(&order.task.step.job).copied().unwrap_or(executor.run_time);
        let is_remote = step.data_rack.as_ref().is_some_and(|rack| *rack != executor.rack);
        let factor = if is_remote { self.settings.remote_penalty } else { 1.0 };
        let ends_at = (!long_running).then(|| now + near.scale(factor));
        let active = ActiveRun {
            run: order.run,
            ends_at,
            limit_percent: 100,
            best_effort_cpu: step.best_effort.then_some(step.resources.cpu),
            is_latency_critical: step.objective_ms.is_some(),
        };
        executor.running.insert(order.task, active);
        let (id, task, end) = (&executor.id, order.task, executor.deadline);
        let line = format!(
            "{} {id} runs {task} under epoch {epoch}: clock {}, lease end {end}",
            now.as_ms(),
            clock.0
        );
        self.log.push(line);
        Outcome::Done(clock)
    }
}
