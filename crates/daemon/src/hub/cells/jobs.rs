//! Submits, lists and cancels jobs.

use bytes::Bytes;
use crossbeam_channel::Sender;
use stakker::CX;
use sycamorerill_core::api::{self, JobState, Kind, Submission, Submitted};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, JobName};
use sycamorerill_core::size::Size;
use sycamorerill_tasks::cell::{Event, Listed, Reply, Standing};
use sycamorerill_tasks::job::{self, Job, Outcome, Reason, Spread};
use sycamorerill_tasks::journal::Transfer;

use super::Cells;
use crate::http::{Request, Response};
use crate::hub::answer::{body, give};
use crate::hub::message::Message;
use crate::peer;

/// Longest wait for a peer's reply.
const PEER_TIME: Span = Span::from_secs(5);
/// Advice to a submitter whose job was not accepted.
const NOT_RUN_HINT: &str = "nothing of the job ran; submit it again later";
/// Advice to a submitter whose job cannot be accepted.
const REFUSED_HINT: &str = "correct the job and submit it again";

/// Reads a submission as a job named `name`.
///
/// # Errors
///
/// Fails with the response that says what is wrong.
fn read(submission: Submission, name: JobName, now: Time) -> Result<Job, Response> {
    Ok(Job {
        name,
        class: parse("class", &submission.class)?,
        team: parse("team", &submission.team)?,
        urgency: match &submission.urgency {
            Some(urgency) => parse("urgency", urgency)?,
            None => Default::default(),
        },
        tasks: submission.tasks,
        size: submission.size.as_ref().map(size).transpose()?,
        run_time_ms: submission.run_ms,
        deadline: submission.deadline_ms.map(|ms| now + Span::from_ms(ms)),
        spread: Spread::None,
        never: Vec::new(),
    })
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(
    field: &str,
    text: &str,
) -> Result<T, Response> {
    text.parse().map_err(|error| {
        let message = format!("field `{field}` cannot be read: {error}");
        Response::failure(Kind::Malformed, message, REFUSED_HINT)
    })
}

fn size(size: &api::TaskSize) -> Result<Size, Response> {
    let cpu = parse("size.cpu", &size.cpu)?;
    let memory = parse("size.memory", &size.memory)?;
    Ok(Size::new(cpu, memory, parse("size.accel", &size.accel)?))
}

impl Cells {
    /// Takes a submission for the cell of `domain`, which is owned here.
    pub(crate) fn submit(
        &mut self,
        cx: CX![],
        domain: DomainName,
        name: JobName,
        request: Request,
        respond: Sender<Response>,
    ) {
        let now = self.parts.shared.clock.now();
        let submission = body::<Submission>(&request);
        let job = submission.and_then(|submission| self.with_urgency(submission, name, now));
        match job {
            Ok(job) if self.is_restored(&domain) => {
                let request = self.wait(&job.name, respond);
                self.drive(cx, &domain, Event::Submit { job, request });
            }
            Ok(_) => give(&respond, not_owned(&domain)),
            Err(response) => give(&respond, response),
        }
    }

    fn with_urgency(
        &self,
        submission: Submission,
        name: JobName,
        now: Time,
    ) -> Result<Job, Response> {
        let stated = submission.urgency.is_some();
        let mut job = read(submission, name, now)?;
        if let (false, Some(class)) = (stated, self.config.classes.get(&job.class)) {
            job.urgency = class.urgency;
        }
        Ok(job)
    }

    /// Takes a cancellation for the cell of `domain`.
    pub(crate) fn cancel(
        &mut self,
        cx: CX![],
        domain: DomainName,
        job: JobName,
        respond: Sender<Response>,
    ) {
        if !self.is_restored(&domain) {
            give(&respond, not_owned(&domain));
            return;
        }
        let request = self.wait(&job, respond);
        self.drive(cx, &domain, Event::Cancel { job, request });
    }

    /// Returns the jobs of all cells owned here.
    pub(crate) fn list(&mut self, _: CX![], respond: Sender<Response>) {
        let now = self.parts.shared.clock.now();
        let listed = self.hosted.values().flat_map(|hosted| hosted.cell.jobs());
        let mut jobs: Vec<api::Job> = listed.map(|job| describe(job, now)).collect();
        jobs.sort_by(|one, other| one.name.cmp(&other.name));
        give(&respond, Response::json(200, &api::Jobs { jobs }));
    }

    fn wait(&mut self, name: &JobName, respond: Sender<Response>) -> job::Request {
        let id = Bytes::copy_from_slice(&self.next_request.to_be_bytes());
        self.next_request += 1;
        self.waiting.insert(id.clone(), (name.clone(), respond));
        job::Request { id }
    }

    /// Tells a submitter or operator what a cell answers.
    pub(super) fn reply(&mut self, request: &job::Request, reply: Reply) {
        if let Some((job, respond)) = self.waiting.remove(&request.id) {
            give(&respond, answer(&job, reply));
        }
    }

    /// Offers a job to the cell of another failure domain.
    pub(super) fn offer(&self, from: &DomainName, to: &DomainName, transfer: Transfer) {
        let message = Message::Offered { from: from.clone(), to: to.clone(), transfer };
        self.parts.inbox.send(message);
    }

    /// Tells the sender of a job that it is durable here.
    pub(super) fn tell_taken(&self, to: &DomainName, job: JobName) {
        self.parts.inbox.send(Message::Taken { to: to.clone(), job });
    }

    /// Takes a job that another cell hands over, if the receiving cell is owned here.
    pub(crate) fn offered(
        &mut self,
        cx: CX![],
        from: DomainName,
        to: DomainName,
        transfer: Transfer,
    ) {
        let transfer = Box::new(transfer);
        self.drive(cx, &to, Event::Offered { from, transfer });
    }

    /// Takes word that a job that was handed over is durable at its receiver.
    pub(crate) fn taken(&mut self, cx: CX![], at: DomainName, job: JobName) {
        self.drive(cx, &at, Event::Taken { job });
    }

    /// Passes a request for a cell to the owner of the cell.
    pub(crate) fn pass(
        &mut self,
        _: CX![],
        owner: std::net::SocketAddr,
        request: Request,
        hops: u8,
        respond: Sender<Response>,
    ) {
        let head = request.head;
        let request = peer::Request::Operate {
            method: head.method,
            path: head.path,
            query: head.query,
            body: request.body,
            hops,
        };
        self.parts.shared.metrics.sent("operate");
        self.parts.peers.send(owner, request, PEER_TIME, move |reply| {
            give(&respond, passed(reply));
        });
    }
}

fn passed(reply: Result<peer::Reply, peer::Error>) -> Response {
    match reply {
        Ok(peer::Reply::Operate { status, media, body }) => {
            Response { media, ..Response::text(status, body) }
        }
        Err(error @ (peer::Error::Refused | peer::Error::NotSent(_))) => {
            Response::failure(Kind::NotRun, error, NOT_RUN_HINT)
        }
        Err(error) => {
            let hint = "ask for the job with `sycamorerill jobs`, or send it again by its name";
            Response::failure(Kind::Unknown, error, hint)
        }
        Ok(_) => Response::failure(Kind::Internal, "the peer's reply is of another kind", ""),
    }
}

/// Returns the answer while no owner of the cell is at work.
pub(crate) fn not_owned(domain: &DomainName) -> Response {
    let message = format!("the cell of failure domain `{domain}` has no owner at work just now");
    Response::failure(Kind::NotRun, message, NOT_RUN_HINT)
}

fn answer(job: &JobName, reply: Reply) -> Response {
    let submitted =
        |status, state| Response::json(status, &Submitted { job: job.to_string(), state });
    match reply {
        Reply::Accepted => submitted(201, JobState::Accepted),
        Reply::Parked(_) => submitted(201, JobState::Parked),
        Reply::Cancelled => submitted(200, JobState::Cancelled),
        Reply::Ended(outcome) => submitted(200, ended(outcome)),
        Reply::NotRun(reason) | Reply::NotCancelled(reason) => refusal(&reason),
        Reply::Unknown => {
            Response::failure(Kind::NotFound, "no such job is known", "see `sycamorerill jobs`")
        }
    }
}

fn refusal(reason: &Reason) -> Response {
    match reason {
        Reason::StoreDown | Reason::NotWritten | Reason::Superseded => {
            Response::failure(Kind::NotRun, reason, NOT_RUN_HINT)
        }
        Reason::QueueFull { .. } => Response::failure(Kind::NotRun, reason, NOT_RUN_HINT),
        Reason::Conflict(_) => Response::failure(Kind::Exists, reason, REFUSED_HINT),
        Reason::Class(_)
        | Reason::Team(_)
        | Reason::Tasks { .. }
        | Reason::TooLarge { .. }
        | Reason::Quota { .. }
        | Reason::Spread { .. }
        | Reason::Domain(_) => Response::failure(Kind::Refused, reason, REFUSED_HINT),
    }
}

fn ended(outcome: Outcome) -> JobState {
    match outcome {
        Outcome::Finished => JobState::Finished,
        Outcome::Failed => JobState::Failed,
        Outcome::Cancelled => JobState::Cancelled,
        Outcome::Moved => JobState::Accepted,
    }
}

fn describe(listed: Listed, now: Time) -> api::Job {
    let state = match &listed.standing {
        Standing::Accepted => JobState::Accepted,
        Standing::Running => JobState::Running,
        Standing::Parked(_) => JobState::Parked,
        Standing::Ended(outcome) => ended(*outcome),
    };
    let reason = match listed.standing {
        Standing::Parked(reason) => reason.to_string(),
        _ => String::new(),
    };
    api::Job {
        name: listed.name.to_string(),
        class: listed.class.map(|class| class.to_string()).unwrap_or_default(),
        team: listed.team.map(|team| team.to_string()).unwrap_or_default(),
        state,
        tasks: listed.tasks,
        finished: listed.finished,
        deadline_ms: listed.deadline.map(|deadline| left(deadline, now)),
        reason,
    }
}

/// Returns the milliseconds from `now` to `deadline`, negative when it has passed.
fn left(deadline: Time, now: Time) -> i64 {
    let ahead = i64::try_from(deadline.since(now).as_ms()).unwrap_or(i64::MAX);
    let behind = i64::try_from(now.since(deadline).as_ms()).unwrap_or(i64::MAX);
    ahead - behind
}
