//! Submits the jobs of the demonstration and waits for their tasks.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;
use sycamorerill_core::api::{JOBS_PATH, Submission};
use sycamorerill_fakes::Platform;

use super::Error;
use super::fleet::Fleet;
use super::plan::{JobTemplate, Plan};

/// Timeout of one attempt to submit a job.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before a submission is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Largest number of attempts to submit one job.
const MAX_ATTEMPTS: u32 = 60;
/// Fraction of the run during which jobs are submitted.
const SUBMIT_FRACTION: f64 = 0.8;
/// One job out of this many has a deadline that no job can meet.
const UNMEETABLE_EVERY: u32 = 10;
/// Deadline that no job can meet, in milliseconds.
const UNMEETABLE_DEADLINE_MS: u64 = 100;
/// Deadline of all other jobs, in milliseconds.
const NORMAL_DEADLINE_MS: u64 = 600_000;
/// Interval at which the finished tasks are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Counters of the submitter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Submitted {
    /// Tasks of accepted jobs.
    pub(super) tasks: u64,
    /// Accepted jobs whose deadline cannot be met and belongs to a target.
    pub(super) unmeetable: u64,
    /// Attempts that were answered with 503: the job was not accepted.
    pub(super) refused: u64,
    /// Jobs that were not accepted in [`MAX_ATTEMPTS`] attempts.
    pub(super) unanswered: u64,
}

/// Handle of the thread that submits the jobs.
pub(super) struct Jobs {
    thread: JoinHandle<Submitted>,
}

struct Submitter {
    plan: Arc<Plan>,
    fleet: Arc<Fleet>,
    agent: ureq::Agent,
    rng: Rng,
    submitted: Submitted,
}

/// Result of one attempt to submit a job.
enum SendResult {
    Accepted,
    NotRun,
    Retry,
}

impl Jobs {
    /// Starts the submitter on a thread of its own.
    pub(super) fn start(
        plan: &Arc<Plan>,
        fleet: &Arc<Fleet>,
        started_at: Instant,
    ) -> Result<Self, Error> {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .build();
        let submitter = Submitter {
            plan: Arc::clone(plan),
            fleet: Arc::clone(fleet),
            agent: config.into(),
            rng: Rng::with_seed(plan.seed),
            submitted: Submitted::default(),
        };
        let builder = thread::Builder::new().name("submitter".to_owned());
        Ok(Self { thread: builder.spawn(move || submitter.run(started_at))? })
    }

    /// Waits for the submitter, and then until all accepted tasks have finished, at most for
    /// `timeout`.
    pub(super) fn finish(self, platform: &Platform, timeout: Duration) -> Submitted {
        let submitted = self.thread.join().unwrap_or_default();
        let end = Instant::now() + timeout;
        while Instant::now() < end && finished(platform) < submitted.tasks {
            thread::sleep(POLL_INTERVAL);
        }
        submitted
    }
}

/// Returns the number of distinct tasks that have finished on the workers.
pub(super) fn finished(platform: &Platform) -> u64 {
    let workers = platform.counts().workers;
    workers.finished.saturating_sub(workers.finished_twice)
}

impl Submitter {
    fn run(mut self, started_at: Instant) -> Submitted {
        let interval = self.plan.offset(SUBMIT_FRACTION) / self.plan.jobs;
        for number in 0..self.plan.jobs {
            let at = started_at + interval * number;
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.submit(number);
        }
        self.submitted
    }

    fn submit(&mut self, number: u32) {
        let plan = Arc::clone(&self.plan);
        let template = plan.templates[number as usize % plan.templates.len()];
        let unmeetable = number % UNMEETABLE_EVERY == UNMEETABLE_EVERY - 1;
        let submission = Submission {
            name: Some(format!("demo-{}-{number}", plan.seed)),
            class: template.class.to_owned(),
            team: template.team.to_owned(),
            tasks: template.tasks,
            deadline_ms: Some(if unmeetable { UNMEETABLE_DEADLINE_MS } else { NORMAL_DEADLINE_MS }),
            ..Submission::default()
        };
        for _ in 0..MAX_ATTEMPTS {
            match self.send(&submission) {
                SendResult::Accepted => return self.accepted(template, unmeetable),
                // The job was not accepted, so the same name may be submitted again.
                SendResult::NotRun => self.submitted.refused += 1,
                SendResult::Retry => {}
            }
            thread::sleep(RETRY_DELAY);
        }
        self.submitted.unanswered += 1;
    }

    fn accepted(&mut self, template: JobTemplate, unmeetable: bool) {
        self.submitted.tasks += u64::from(template.tasks);
        self.submitted.unmeetable += u64::from(unmeetable && template.has_target);
    }

    fn send(&mut self, submission: &Submission) -> SendResult {
        let instances = self.fleet.operators();
        let instance = instances[self.rng.usize(..instances.len())];
        let url = format!("http://{instance}{JOBS_PATH}");
        match self.agent.post(&url).send_json(submission) {
            Ok(reply) => match reply.status().as_u16() {
                200 | 201 => SendResult::Accepted,
                503 => SendResult::NotRun,
                _ => SendResult::Retry,
            },
            Err(_) => SendResult::Retry,
        }
    }
}
