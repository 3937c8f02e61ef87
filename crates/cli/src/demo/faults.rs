//! Timeline of the faults in the demonstration.

use std::thread;
use std::time::{Duration, Instant};

use sycamorerill_fakes::Platform;
use sycamorerill_fakes::faults::{Fault, Selector, ServiceFaults, WorkerFaults};

use super::Error;
use super::fleet::Fleet;
use super::plan::{FLOOD_BEGINS, FLOOD_ENDS, Plan};
use super::progress::Progress;

/// Index of the instance that is stopped abruptly.
const KILLED_INSTANCE: usize = 1;
/// Interval at which fenced instances are restarted and the progress is updated.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A step of the timeline, such as the start or the end of a fault.
#[derive(Clone, Copy, Debug)]
enum Step {
    WorkerFails,
    WorkerRecovers,
    Kill,
    Restart,
    TableDown,
    TableUp,
    FloodBegins,
    FloodEnds,
    End,
}

/// Steps with their times, as fractions of the length of the run.
const STEPS: [(f64, Step); 9] = [
    (0.10, Step::WorkerFails),
    (0.25, Step::Kill),
    (0.35, Step::Restart),
    (0.45, Step::TableDown),
    (0.58, Step::TableUp),
    (FLOOD_BEGINS, Step::FloodBegins),
    (FLOOD_ENDS, Step::FloodEnds),
    (0.85, Step::WorkerRecovers),
    (1.0, Step::End),
];

/// Steps with their times since the start of the run.
pub(super) struct Timeline {
    steps: Vec<(Duration, Step)>,
    worker: String,
}

impl Timeline {
    /// Returns the timeline of a plan.
    pub(super) fn new(plan: &Plan) -> Self {
        let steps = STEPS.iter().map(|(fraction, step)| (plan.offset(*fraction), *step)).collect();
        Self { steps, worker: format!("w-{}-01", plan.domains[0]) }
    }

    /// Applies each step at its time, and restarts fenced instances meanwhile.
    pub(super) fn run(
        &self,
        platform: &Platform,
        fleet: &Fleet,
        started_at: Instant,
        progress: &Progress,
    ) -> Result<(), Error> {
        for (at, step) in &self.steps {
            let at = started_at + *at;
            while Instant::now() < at {
                let remaining = at.saturating_duration_since(Instant::now());
                thread::sleep(remaining.min(POLL_INTERVAL));
                fleet.restart_fenced()?;
                progress.set_elapsed(started_at.elapsed());
            }
            self.apply(*step, platform, fleet, progress)?;
        }
        Ok(())
    }

    fn apply(
        &self,
        step: Step,
        platform: &Platform,
        fleet: &Fleet,
        progress: &Progress,
    ) -> Result<(), Error> {
        match step {
            Step::WorkerFails => {
                progress.set_message("a worker fails every task that it starts");
                platform.set_fault(self.worker_faults(true));
            }
            Step::WorkerRecovers => platform.set_fault(self.worker_faults(false)),
            Step::Kill => {
                progress.set_message("an entry instance is stopped abruptly");
                fleet.kill(KILLED_INSTANCE);
            }
            Step::Restart => {
                progress.set_message("the platform starts it anew");
                fleet.restart(KILLED_INSTANCE)?;
            }
            Step::TableDown => {
                progress.set_message("the table is down");
                platform.set_fault(table_fault(true));
            }
            Step::TableUp => {
                progress.set_message("the table is up again");
                platform.set_fault(table_fault(false));
            }
            Step::FloodBegins => progress.set_message("a flood of calls of low urgency"),
            Step::FloodEnds => progress.set_message("the flood is over"),
            Step::End => {}
        }
        Ok(())
    }

    fn worker_faults(&self, fails_everything: bool) -> Fault {
        let faults = WorkerFaults { fails_everything, ..WorkerFaults::default() };
        Fault::Workers { select: Selector::Name(self.worker.clone()), faults }
    }
}

fn table_fault(down: bool) -> Fault {
    Fault::Table(ServiceFaults { down, ..ServiceFaults::default() })
}
