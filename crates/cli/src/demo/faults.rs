//! The faults of the demonstration and their instants.

use std::thread;
use std::time::{Duration, Instant};

use sycamorerill_fakes::Platform;
use sycamorerill_fakes::faults::{Fault, Selector, Service, WorkerFaults};

use super::Error;
use super::fleet::Fleet;
use super::plan::{FLOOD_BEGINS, FLOOD_ENDS, Plan};
use super::progress::Progress;

/// Instance that is stopped abruptly.
const VICTIM: usize = 1;
/// Time between two looks at the instances.
const TEND_INTERVAL: Duration = Duration::from_millis(50);

/// A fault that comes or goes.
#[derive(Clone, Copy, Debug)]
enum Step {
    WorkerFails,
    WorkerWorks,
    Kill,
    Restart,
    TableDown,
    TableUp,
    FloodBegins,
    FloodEnds,
    End,
}

/// Parts of the run at which the steps are taken.
const STEPS: [(f64, Step); 9] = [
    (0.10, Step::WorkerFails),
    (0.25, Step::Kill),
    (0.35, Step::Restart),
    (0.45, Step::TableDown),
    (0.58, Step::TableUp),
    (FLOOD_BEGINS, Step::FloodBegins),
    (FLOOD_ENDS, Step::FloodEnds),
    (0.85, Step::WorkerWorks),
    (1.0, Step::End),
];

/// The steps with their instants.
pub(super) struct Timeline {
    steps: Vec<(Duration, Step)>,
    worker: String,
}

impl Timeline {
    /// Returns the timeline of a plan.
    pub(super) fn new(plan: &Plan) -> Self {
        let steps = STEPS.iter().map(|(part, step)| (plan.at(*part), *step)).collect();
        Self { steps, worker: format!("w-{}-01", plan.domains[0]) }
    }

    /// Takes each step at its instant.
    pub(super) fn play(
        &self,
        platform: &Platform,
        fleet: &Fleet,
        begun: Instant,
        progress: &Progress,
    ) -> Result<(), Error> {
        for (at, step) in &self.steps {
            let at = begun + *at;
            while Instant::now() < at {
                let left = at.saturating_duration_since(Instant::now());
                thread::sleep(left.min(TEND_INTERVAL));
                fleet.tend()?;
                progress.at(begun.elapsed());
            }
            self.take(*step, platform, fleet, progress)?;
        }
        Ok(())
    }

    fn take(
        &self,
        step: Step,
        platform: &Platform,
        fleet: &Fleet,
        progress: &Progress,
    ) -> Result<(), Error> {
        match step {
            Step::WorkerFails => {
                progress.say("a worker fails every task that it starts");
                platform.switch(self.work(true));
            }
            Step::WorkerWorks => platform.switch(self.work(false)),
            Step::Kill => {
                progress.say("an entry instance is stopped abruptly");
                fleet.kill(VICTIM);
            }
            Step::Restart => {
                progress.say("the platform starts it anew");
                fleet.restart(VICTIM)?;
            }
            Step::TableDown => {
                progress.say("the table is down");
                platform.switch(table(true));
            }
            Step::TableUp => {
                progress.say("the table is up again");
                platform.switch(table(false));
            }
            Step::FloodBegins => progress.say("a flood of calls of low urgency"),
            Step::FloodEnds => progress.say("the flood is over"),
            Step::End => {}
        }
        Ok(())
    }

    fn work(&self, fails_everything: bool) -> Fault {
        let faults = WorkerFaults { fails_everything, ..WorkerFaults::default() };
        Fault::Workers { select: Selector::Name(self.worker.clone()), faults }
    }
}

fn table(down: bool) -> Fault {
    Fault::Table(Service { down, ..Service::default() })
}
