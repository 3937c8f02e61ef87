//! Submitters of jobs, and what becomes of the jobs.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;
use sycamorerill_core::api::{JOBS_PATH, Submission};
use sycamorerill_fakes::Platform;

use super::Error;
use super::fleet::Fleet;
use super::plan::{Plan, Work};

/// Longest wait for the answer to one submission.
const ANSWER_TIME: Duration = Duration::from_secs(6);
/// Pause before a submission is repeated.
const PAUSE: Duration = Duration::from_millis(250);
/// Largest number of sendings of one submission.
const SENDINGS: u32 = 60;
/// Part of the run in which jobs are submitted.
const SUBMIT_PART: f64 = 0.8;
/// Every so many jobs, one has a deadline that no task can meet.
const HOPELESS_EVERY: u32 = 10;
/// Deadline of such a job in milliseconds.
const HOPELESS_MS: u64 = 100;
/// Deadline of all other jobs in milliseconds.
const LAX_MS: u64 = 600_000;
/// Time between two looks at the stand-ins.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// What was submitted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Submitted {
    /// Tasks of accepted jobs.
    pub(super) tasks: u64,
    /// Accepted jobs whose deadline cannot be met and is counted by a target.
    pub(super) hopeless: u64,
    /// Jobs whose submitters were told that nothing ran.
    pub(super) refused: u64,
    /// Jobs whose submitters were told nothing.
    pub(super) untold: u64,
}

/// The submitter.
pub(super) struct Jobs {
    thread: JoinHandle<Submitted>,
}

struct Submitter {
    plan: Arc<Plan>,
    fleet: Arc<Fleet>,
    agent: ureq::Agent,
    rng: Rng,
    done: Submitted,
}

/// What came of one sending of a submission.
enum Sent {
    Accepted,
    NotRun,
    Again,
}

impl Jobs {
    /// Starts the submitter.
    pub(super) fn start(
        plan: &Arc<Plan>,
        fleet: &Arc<Fleet>,
        begun: Instant,
    ) -> Result<Self, Error> {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(ANSWER_TIME))
            .build();
        let submitter = Submitter {
            plan: Arc::clone(plan),
            fleet: Arc::clone(fleet),
            agent: config.into(),
            rng: Rng::with_seed(plan.seed),
            done: Submitted::default(),
        };
        let builder = thread::Builder::new().name("submitter".to_owned());
        Ok(Self { thread: builder.spawn(move || submitter.run(begun))? })
    }

    /// Waits until every accepted task has finished, or for `most`.
    pub(super) fn finish(self, platform: &Platform, most: Duration) -> Submitted {
        let submitted = self.thread.join().unwrap_or_default();
        let end = Instant::now() + most;
        while Instant::now() < end && finished(platform) < submitted.tasks {
            thread::sleep(LOOK_INTERVAL);
        }
        submitted
    }
}

/// Returns the number of tasks that have finished at the stand-ins, each once.
pub(super) fn finished(platform: &Platform) -> u64 {
    let workers = platform.counts().workers;
    workers.finished.saturating_sub(workers.finished_twice)
}

impl Submitter {
    fn run(mut self, begun: Instant) -> Submitted {
        let interval = self.plan.at(SUBMIT_PART) / self.plan.jobs;
        for number in 0..self.plan.jobs {
            let at = begun + interval * number;
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.submit(number);
        }
        self.done
    }

    fn submit(&mut self, number: u32) {
        let plan = Arc::clone(&self.plan);
        let work = plan.work[number as usize % plan.work.len()];
        let hopeless = number % HOPELESS_EVERY == HOPELESS_EVERY - 1;
        let submission = Submission {
            name: Some(format!("demo-{}-{number}", plan.seed)),
            class: work.class.to_owned(),
            team: work.team.to_owned(),
            tasks: work.tasks,
            deadline_ms: Some(if hopeless { HOPELESS_MS } else { LAX_MS }),
            ..Submission::default()
        };
        for _ in 0..SENDINGS {
            match self.send(&submission) {
                Sent::Accepted => return self.accepted(work, hopeless),
                // Nothing ran, so the same name may be submitted again.
                Sent::NotRun => self.done.refused += 1,
                Sent::Again => {}
            }
            thread::sleep(PAUSE);
        }
        self.done.untold += 1;
    }

    fn accepted(&mut self, work: Work, hopeless: bool) {
        self.done.tasks += u64::from(work.tasks);
        self.done.hopeless += u64::from(hopeless && work.target);
    }

    fn send(&mut self, submission: &Submission) -> Sent {
        let instances = self.fleet.operators();
        let instance = instances[self.rng.usize(..instances.len())];
        let url = format!("http://{instance}{JOBS_PATH}");
        match self.agent.post(&url).send_json(submission) {
            Ok(reply) => match reply.status().as_u16() {
                200 | 201 => Sent::Accepted,
                503 => Sent::NotRun,
                _ => Sent::Again,
            },
            Err(_) => Sent::Again,
        }
    }
}
