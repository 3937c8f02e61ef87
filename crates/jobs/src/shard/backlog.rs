//! Counts of waiting and throttled work, for logs.

use sycamorerill_core::data;

use super::Shard;

data! {
    /// Work of a shard that waits or runs slower than it could.
    #[derive(Copy, Default)]
    pub struct Backlog {
        /// Steps with tasks that wait for an executor.
        pub waiting_steps: u64,
        /// Steps with tasks that wait although no listed executor could run them.
        pub unschedulable_steps: u64,
        /// Runs on executors whose failure domain is evacuated.
        pub evacuated_runs: u64,
        /// Best-effort runs on executors.
        pub best_effort_runs: u64,
        /// Mean limit of these runs, in percent; 100 if there are none.
        pub mean_limit_percent: u64,
    }
}

impl Shard {
    /// Returns the work that waits or is throttled, in time linear in the number of runs.
    pub fn backlog(&self) -> Backlog {
        let runs = self.executors.values().flat_map(|executor| self.runs_on(executor));
        let (mut count, mut sum) = (0, 0);
        for placed in runs.filter(|placed| placed.step.best_effort) {
            count += 1;
            sum += u64::from(placed.open.limit.percent());
        }
        Backlog {
            waiting_steps: self.waiting.len() as u64,
            unschedulable_steps: self.unschedulable.len() as u64,
            evacuated_runs: self.evacuated().runs as u64,
            best_effort_runs: count,
            mean_limit_percent: sum.checked_div(count).unwrap_or(100),
        }
    }
}
