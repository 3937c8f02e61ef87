//! Simulated executors.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_jobs::executor::{EndReason, Incarnation, Report, RunEnd, RunReport, Steady};
use sycamorerill_jobs::id::{ExecutorId, Label, Run, TaskId};
use sycamorerill_jobs::spec::Resources;

/// Longest lease that executors grant.
const MAX_LEASE: Span = Span::from_ms(10_000);

/// Maximum number of run ends in one report.
const MAX_ENDS_PER_REPORT: usize = 500;

/// A run at a simulated executor.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) run: Run,
    pub(crate) ends_at: Option<Time>,
    /// Processor limit in percent of the requested processor time.
    pub(crate) limit_percent: u32,
    /// Processor time without a limit, in thousandths of a core, for best-effort runs.
    pub(crate) best_effort_cpu: Option<u64>,
    pub(crate) is_latency_critical: bool,
}

/// A simulated executor.
#[derive(Clone, Debug)]
pub(crate) struct FakeExecutor {
    pub(crate) id: ExecutorId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) started: Time,
    /// Reading of the clock at the start, in milliseconds.
    pub(crate) clock_at_start: u64,
    /// Rate of the clock in percent.
    pub(crate) clock_percent: u64,
    pub(crate) fence: u64,
    pub(crate) deadline: u64,
    pub(crate) running: BTreeMap<TaskId, ActiveRun>,
    pub(crate) ended: Vec<RunEnd>,
    pub(crate) end_count: u64,
    /// Number of the last end after which the leases have ended.
    pub(crate) lapsed_end: u64,
    pub(crate) highest_runs: BTreeMap<TaskId, Run>,
    pub(crate) capacity: Resources,
    pub(crate) domain: &'static str,
    /// Time until which the entry says that the executor is slow.
    pub(crate) warm_at: Time,
    /// Whether the executor receives orders and answers them.
    pub(crate) reachable: bool,
    /// Epochs of the owners that do not reach the executor.
    pub(crate) unreached_by: BTreeSet<u64>,
    /// Whether calls are carried out but their answers are lost.
    pub(crate) loses_answers: bool,
    /// Whether orders get no answer and are kept for later delivery.
    pub(crate) delays_orders: bool,
    /// Whether the executor's entry is gone from the list.
    pub(crate) unlisted: bool,
    /// Whether the executor refuses probes as unhealthy.
    pub(crate) refuses_probes: bool,
    /// Whether another executor has taken over the address.
    pub(crate) replaced: bool,
    pub(crate) run_time: Span,
    pub(crate) rack: Label,
    /// Number of an end that is kept of a run that is no task's; 0 if there is none.
    pub(crate) foreign_end: u64,
    /// Checkpoint that runs have saved.
    pub(crate) checkpoint: String,
    /// Tail latency that latency-critical tasks report, in milliseconds.
    pub(crate) tail_ms: u64,
    /// Age of the executor's entry in the list.
    pub(crate) list_age: Span,
}

impl FakeExecutor {
    pub(crate) fn clock(&self, now: Time) -> Steady {
        let elapsed = now.since(self.started).as_ms() * self.clock_percent / 100;
        Steady(self.clock_at_start + elapsed)
    }

    /// Returns whether calls of an owner arrive.
    pub(crate) fn is_reached_by(&self, epoch: u64) -> bool {
        self.reachable && !self.unreached_by.contains(&epoch)
    }

    /// Extends the lease, which is at most [`MAX_LEASE`].
    pub(crate) fn extend_lease(&mut self, now: Time, deadline: u64) {
        let longest = (self.clock(now).0).saturating_add(MAX_LEASE.as_ms());
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    pub(crate) fn end_run(&mut self, task: &TaskId, reason: EndReason) {
        if let Some(active) = self.running.remove(task) {
            self.end_count += 1;
            self.ended.push(RunEnd {
                number: self.end_count,
                task: *task,
                run: active.run,
                reason,
                checkpoint: self.checkpoint.clone(),
            });
        }
    }

    /// Delays the ends of best-effort runs that together want more processor time than there is.
    pub(crate) fn share_processor(&mut self, elapsed: Span) {
        let wanted: u64 = self.running.values().filter_map(|active| active.best_effort_cpu).sum();
        let share = (self.capacity.cpu as f64 / wanted.max(1) as f64).min(1.0);
        for active in self.running.values_mut().filter(|active| active.best_effort_cpu.is_some()) {
            active.ends_at = active.ends_at.map(|at| at + elapsed.scale(1.0 - share));
        }
    }

    /// Simulates a crash and a restart under the same name, with a clock that starts at 0.
    pub(crate) fn restart(&mut self, now: Time, incarnation: u64) {
        self.incarnation = incarnation;
        self.started = now;
        self.clock_at_start = 0;
        self.fence = 0;
        self.deadline = 0;
        self.running.clear();
        self.ended.clear();
        self.end_count = 0;
        self.lapsed_end = 0;
        self.highest_runs.clear();
    }

    pub(crate) fn report(&self, now: Time) -> Report {
        let running = self.running.iter().map(|(task, active)| RunReport {
            task: *task,
            run: active.run,
            checkpoint: self.checkpoint.clone(),
            percent: 0,
            load: match (active.is_latency_critical, active.best_effort_cpu) {
                (true, _) => Some(self.tail_ms),
                (_, Some(cpu)) => Some(cpu * u64::from(active.limit_percent) / 100),
                _ => None,
            },
        });
        let ended: Vec<RunEnd> = self.ended.iter().take(MAX_ENDS_PER_REPORT).cloned().collect();
        Report {
            incarnation: Some(Incarnation(self.incarnation)),
            clock: self.clock(now),
            running: running.collect(),
            latest_end: ended.last().map_or(0, |end| end.number).max(self.foreign_end),
            ended,
        }
    }
}
