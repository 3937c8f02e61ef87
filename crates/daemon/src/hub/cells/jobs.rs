//! Submission, listing, cancellation and handover of jobs.

use bytes::Bytes;
use crossbeam_channel::Sender;
use stakker::CX;
use sycamorerill_core::api::{self, JobState, Kind, Submission, Submitted};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{DomainName, JobName};
use sycamorerill_core::size::Size;
use sycamorerill_tasks::cell::{self, Event, JobSummary, Reply};
use sycamorerill_tasks::job::{self, Job, Outcome, Reason, Spread};
use sycamorerill_tasks::journal::Transfer;

use super::Cells;
use crate::http::{Request, Response};
use crate::hub::message::Message;
use crate::hub::response::{parse_body, send_response};
use crate::peer;

/// Timeout of a request that is forwarded to a peer.
const PEER_TIMEOUT: Span = Span::from_secs(5);
/// Hint to a submitter whose job may be submitted again.
const NOT_RUN_HINT: &str = "nothing of the job ran; submit it again later";
/// Hint to a submitter whose job is not valid.
const REFUSED_HINT: &str = "correct the job and submit it again";

/// Converts a submission to a job named `name`.
///
/// # Errors
///
/// Returns the failure response if a field is not valid.
fn parse_job(submission: Submission, name: JobName, now: Time) -> Result<Job, Response> {
    Ok(Job {
        name,
        class: parse_field("class", &submission.class)?,
        team: parse_field("team", &submission.team)?,
        urgency: match &submission.urgency {
            Some(urgency) => parse_field("urgency", urgency)?,
            None => Default::default(),
        },
        tasks: submission.tasks,
        size: submission.size.as_ref().map(parse_size).transpose()?,
        run_time_ms: submission.run_ms,
        deadline: submission.deadline_ms.map(|ms| now + Span::from_ms(ms)),
        spread: Spread::None,
        never: Vec::new(),
    })
}

fn parse_field<T: std::str::FromStr<Err: std::fmt::Display>>(
    field: &str,
    text: &str,
) -> Result<T, Response> {
    text.parse().map_err(|error| {
        let message = format!("field `{field}` cannot be read: {error}");
        Response::failure(Kind::Malformed, message, REFUSED_HINT)
    })
}

fn parse_size(size: &api::TaskSize) -> Result<Size, Response> {
    let cpu = parse_field("size.cpu", &size.cpu)?;
    let memory = parse_field("size.memory", &size.memory)?;
    Ok(Size::new(cpu, memory, parse_field("size.accel", &size.accel)?))
}

impl Cells {
    /// Submits a job to the cell of `domain`, which this instance owns.
    pub(crate) fn submit(
        &mut self,
        cx: CX![],
        domain: DomainName,
        name: JobName,
        request: Request,
        respond: Sender<Response>,
    ) {
        let now = self.deps.shared.clock.now();
        let submission = parse_body::<Submission>(&request);
        let job = submission.and_then(|submission| self.job_of(submission, name, now));
        match job {
            Ok(job) if self.is_started(&domain) => {
                let request = self.register_request(&job.name, respond);
                self.handle_event(cx, &domain, Event::Submit { job, request });
            }
            Ok(_) => send_response(&respond, no_owner_response(&domain)),
            Err(response) => send_response(&respond, response),
        }
    }

    /// Converts a submission to a job. The default urgency is that of the job's class.
    fn job_of(&self, submission: Submission, name: JobName, now: Time) -> Result<Job, Response> {
        let stated = submission.urgency.is_some();
        let mut job = parse_job(submission, name, now)?;
        if let (false, Some(class)) = (stated, self.config.classes.get(&job.class)) {
            job.urgency = class.urgency;
        }
        Ok(job)
    }

    /// Cancels a job of the cell of `domain`.
    pub(crate) fn cancel(
        &mut self,
        cx: CX![],
        domain: DomainName,
        job: JobName,
        respond: Sender<Response>,
    ) {
        if !self.is_started(&domain) {
            send_response(&respond, no_owner_response(&domain));
            return;
        }
        let request = self.register_request(&job, respond);
        self.handle_event(cx, &domain, Event::Cancel { job, request });
    }

    /// Lists the jobs of all cells of this instance.
    pub(crate) fn list(&mut self, _: CX![], respond: Sender<Response>) {
        let now = self.deps.shared.clock.now();
        let listed = self.owned_cells.values().flat_map(|owned| owned.cell.jobs());
        let mut jobs: Vec<api::Job> = listed.map(|job| describe_job(job, now)).collect();
        jobs.sort_by(|one, other| one.name.cmp(&other.name));
        send_response(&respond, Response::json(200, &api::Jobs { jobs }));
    }

    /// Registers a pending request under a new identity.
    fn register_request(&mut self, name: &JobName, respond: Sender<Response>) -> job::RequestId {
        let id = Bytes::copy_from_slice(&self.next_request.to_be_bytes());
        self.next_request += 1;
        self.pending_requests.insert(id.clone(), (name.clone(), respond));
        job::RequestId { id }
    }

    /// Sends a cell's reply to the submitter or operator that waits for it.
    pub(super) fn reply(&mut self, request: &job::RequestId, reply: Reply) {
        if let Some((job, respond)) = self.pending_requests.remove(&request.id) {
            send_response(&respond, reply_response(&job, reply));
        }
    }

    /// Offers to hand a job over to the cell of another failure domain.
    pub(super) fn offer_handover(&self, from: &DomainName, to: &DomainName, transfer: Transfer) {
        let message = Message::HandoverOffered { from: from.clone(), to: to.clone(), transfer };
        self.deps.inbox.send(message);
    }

    /// Confirms to the sending cell that a job that it handed over is durable.
    pub(super) fn confirm_handover(&self, to: &DomainName, job: JobName) {
        self.deps.inbox.send(Message::HandoverConfirmed { to: to.clone(), job });
    }

    /// Handles the offer of a job to a cell.
    ///
    /// The offer is ignored if this instance does not own the cell.
    pub(crate) fn handover_offered(
        &mut self,
        cx: CX![],
        from: DomainName,
        to: DomainName,
        transfer: Transfer,
    ) {
        let transfer = Box::new(transfer);
        self.handle_event(cx, &to, Event::HandoverOffered { from, transfer });
    }

    /// Handles the confirmation that a job that was handed over is durable at its receiver.
    pub(crate) fn handover_confirmed(&mut self, cx: CX![], at: DomainName, job: JobName) {
        self.handle_event(cx, &at, Event::HandoverConfirmed { job });
    }

    /// Forwards an operator's request to the instance at `owner`.
    pub(crate) fn forward_operator_request(
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
        self.deps.shared.metrics.message_sent("operate");
        self.deps.peers.send(owner, request, PEER_TIMEOUT, move |reply| {
            send_response(&respond, forwarded_response(reply));
        });
    }
}

fn forwarded_response(reply: Result<peer::Reply, peer::Error>) -> Response {
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

/// Returns the response for a cell that has no active owner.
pub(crate) fn no_owner_response(domain: &DomainName) -> Response {
    let message = format!("the cell of failure domain `{domain}` has no owner at work just now");
    Response::failure(Kind::NotRun, message, NOT_RUN_HINT)
}

fn reply_response(job: &JobName, reply: Reply) -> Response {
    let submitted =
        |status, state| Response::json(status, &Submitted { job: job.to_string(), state });
    match reply {
        Reply::Accepted => submitted(201, JobState::Accepted),
        Reply::Parked(_) => submitted(201, JobState::Parked),
        Reply::Cancelled => submitted(200, JobState::Cancelled),
        Reply::Ended(outcome) => submitted(200, ended_state(outcome)),
        Reply::NotRun(reason) | Reply::NotCancelled(reason) => refusal_response(&reason),
        Reply::Unknown => {
            Response::failure(Kind::NotFound, "no such job is known", "see `sycamorerill jobs`")
        }
    }
}

fn refusal_response(reason: &Reason) -> Response {
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

fn ended_state(outcome: Outcome) -> JobState {
    match outcome {
        Outcome::Finished => JobState::Finished,
        Outcome::Failed => JobState::Failed,
        Outcome::Cancelled => JobState::Cancelled,
        Outcome::Moved => JobState::Accepted,
    }
}

fn describe_job(summary: JobSummary, now: Time) -> api::Job {
    let state = match &summary.state {
        cell::JobState::Accepted => JobState::Accepted,
        cell::JobState::Running => JobState::Running,
        cell::JobState::Parked(_) => JobState::Parked,
        cell::JobState::Ended(outcome) => ended_state(*outcome),
    };
    let reason = match summary.state {
        cell::JobState::Parked(reason) => reason.to_string(),
        _ => String::new(),
    };
    api::Job {
        name: summary.name.to_string(),
        class: summary.class.map(|class| class.to_string()).unwrap_or_default(),
        team: summary.team.map(|team| team.to_string()).unwrap_or_default(),
        state,
        tasks: summary.tasks,
        finished: summary.finished,
        deadline_ms: summary.deadline.map(|deadline| remaining_ms(deadline, now)),
        reason,
    }
}

/// Returns the milliseconds from `now` to `deadline`; negative if the deadline has passed.
fn remaining_ms(deadline: Time, now: Time) -> i64 {
    let ahead = i64::try_from(deadline.since(now).as_ms()).unwrap_or(i64::MAX);
    let behind = i64::try_from(now.since(deadline).as_ms()).unwrap_or(i64::MAX);
    ahead - behind
}
