//! Answers callers: accepts jobs, cancels them and returns their state.

mod admission;
mod cache;
mod state;
mod submit;

use std::sync::Arc;

use bytes::Bytes;
use futures::channel::oneshot;
use serde::{Deserialize, Serialize};
use stakker::CX;
use sycamorerill_core::clock::Span;
use sycamorerill_core::data;
use sycamorerill_jobs::admission::assess;
use sycamorerill_jobs::config::{Config, Limits, Queue};
use sycamorerill_jobs::id::{JobId, QueueName};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::Job;

pub(crate) use self::admission::OutlookRow;
use self::admission::{Doubt, Outlooks};
use self::cache::Cache;
use crate::clock;
use crate::instance::Context;
use crate::layout::Layout;
use crate::log::{Code, Line};
use crate::metrics::Hop;
use crate::platform::{Platform, Row};
use crate::shards;
use crate::watch::Update;

data! {
    /// The operation that a caller requests.
    pub enum Action {
        /// Accept a job; the error is the reason why the body can't be read.
        Submit(Result<Job, String>),
        /// Return the state of a job, or the number of waiting jobs where the path names a
        /// queue only.
        Query,
        /// Cancel a job; a later submission of the same job does not run either.
        Cancel,
    }
}

data! {
    /// A request from a caller.
    pub struct Request {
        /// Host from the request, without a port.
        pub host: String,
        /// Path from the request, without its query.
        pub path: String,
        /// The requested operation.
        pub action: Action,
        /// Time for which the caller waits for a response.
        pub timeout: Option<Span>,
    }
}

data! {
    /// The reply to a caller.
    #[derive(Copy)]
    pub enum Reply {
        /// The job is stored and will run.
        Accepted,
        /// The current state of the job.
        State(State),
        /// The job is cancelled, or had already ended.
        Cancelled,
        /// Number of jobs in the queue that wait for their first start.
        Waiting(u64),
        /// No queue matches the host and the path.
        NoQueue,
        /// No job with this identifier was accepted.
        NoJob,
        /// The path does not end in a job identifier.
        NotAJob,
        /// The job can't be read or is invalid.
        Malformed,
        /// The job is too large for a row of the store, so it can't be accepted.
        TooLarge,
        /// A different job is stored under the same identifier.
        Taken,
        /// Nothing was done and nothing will be; the caller may retry after the span.
        NotDone(Span),
        /// The job can't be completed in time, so it is not accepted; the caller may retry after
        /// the span.
        Overloaded(Span),
        /// The outcome is unknown; the caller may retry.
        Unknown,
    }
}

/// A message to the [`Frontend`] actor.
pub(crate) enum Message {
    Request(Request, oneshot::Sender<Reply>),
    Configured(Arc<Config>),
    States(Update),
    Stored(JobId, QueuedRow),
    LayoutAgreed(Layout),
}

/// The stored value of the row that marks a job as accepted.
#[derive(Serialize, Deserialize)]
pub(crate) struct QueuedRow {
    #[serde(rename = "q")]
    pub(crate) queue: QueueName,
    /// Where the queue is reached; `None` in rows of earlier versions.
    #[serde(rename = "at", default, skip_serializing_if = "Option::is_none")]
    pub(crate) place: Option<Place>,
}

/// Host and path prefix of the requests to a queue. They stay when an operator renames the queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Place(String, String);

impl Place {
    fn of(queue: &Queue) -> Self {
        Self(queue.host.clone(), queue.prefix.clone())
    }
}

impl QueuedRow {
    fn of(queue: &Queue) -> Self {
        Self { queue: queue.name.clone(), place: Some(Place::of(queue)) }
    }
}

/// The stored value of the row that holds a job's state.
#[derive(Serialize, Deserialize)]
pub(crate) struct StateRow {
    #[serde(rename = "s")]
    pub(crate) state: State,
}

/// The actor that answers callers; slow work runs in futures beside it.
pub(crate) struct Frontend<P: Platform> {
    context: Context<P>,
    config: Option<Arc<Config>>,
    layout: Option<Layout>,
    cache: Cache,
    outlooks: Outlooks,
    settings: shards::Settings,
}

impl<P: Platform> Frontend<P> {
    pub(crate) fn start(
        _cx: CX![],
        context: Context<P>,
        settings: shards::Settings,
    ) -> Option<Self> {
        let (cache, outlooks) = (Cache::default(), Outlooks::default());
        Some(Self { context, config: None, layout: None, cache, outlooks, settings })
    }

    /// Handles one message.
    pub(crate) fn handle(&mut self, _cx: CX![], message: Message) {
        match message {
            Message::Request(request, sender) => self.handle_request(request, sender),
            Message::Configured(config) => self.config = Some(config),
            Message::States(update) => self.apply_states(update),
            Message::LayoutAgreed(layout) => self.layout = Some(layout),
            Message::Stored(job, row) => self.cache.insert(job, row),
        }
    }

    fn apply_states(&mut self, update: Update) {
        match update {
            Update::Snapshot(rows) | Update::Changed(rows) => {
                for row in rows {
                    self.cache.apply(&row);
                    self.apply_outlook(&row);
                }
            }
            Update::Unavailable => {}
        }
        let max_age = self.settings.admission.max_age;
        let wait = self.outlooks.longest_wait(max_age, clock::now());
        self.context.metrics.set_expected_wait(wait);
    }

    fn apply_outlook(&mut self, row: &Row) {
        if let Some(layout) = self.layout {
            let clock = self.context.platform.store_clock();
            self.outlooks.apply(layout, row, clock, clock::now());
        }
    }

    fn handle_request(&mut self, request: Request, sender: oneshot::Sender<Reply>) {
        let Some(config) = self.config.clone() else {
            return send_reply(sender, Reply::NotDone(submit::RETRY_AFTER));
        };
        let Some(queue) = config.route(&request.host, &request.path) else {
            return send_reply(sender, Reply::NoQueue);
        };
        let name = &request.path[queue.prefix.len()..];
        if name.is_empty() && request.action == Action::Query {
            return send_reply(sender, Reply::Waiting(self.cache.waiting(&config, queue)));
        }
        let Ok(id) = name.parse::<JobId>() else {
            return send_reply(sender, Reply::NotAJob);
        };
        match request.action {
            Action::Submit(Ok(job)) => self.submit(queue, id, job, request.timeout, sender),
            Action::Submit(Err(_)) => send_reply(sender, Reply::Malformed),
            Action::Query => self.query_state(id, request.timeout, sender),
            Action::Cancel => self.cancel(id, request.timeout, sender),
        }
    }

    fn submit(
        &mut self,
        queue: &Queue,
        id: JobId,
        job: Job,
        timeout: Option<Span>,
        sender: oneshot::Sender<Reply>,
    ) {
        if job.validate().is_err() {
            send_reply(sender, Reply::Malformed);
            return;
        }
        let doubt = self.doubt(queue, id, &job);
        let queue = queue.clone();
        let context = self.context.clone();
        let max_row_bytes = self.settings.shard.max_row_bytes;
        self.context.spawner.spawn(async move {
            let received = clock::now();
            let submission =
                submit::Submission { id, queue: &queue, timeout, max_row_bytes, doubt };
            let reply = submit::submit(&context, submission, job).await;
            context.metrics.observe_hop(Hop::Accepted, clock::now().since(received));
            context.metrics.count_submission(reply);
            if reply == Reply::Accepted {
                let stored = Message::Stored(id, QueuedRow::of(&queue));
                context.send(crate::instance::Message::Frontend(stored));
            }
            if let (Reply::Overloaded(after), Some(doubt)) = (reply, doubt) {
                doubt.log_refusal(id, &queue.name, after);
            }
            Line::new(Code::Submitted)
                .text("job", id)
                .text("queue", &queue.name)
                .text("reply", format_args!("{reply:?}"))
                .write();
            send_reply(sender, reply);
        });
    }

    /// Returns what speaks against the acceptance of a job.
    fn doubt(&self, queue: &Queue, id: JobId, job: &Job) -> Option<Doubt> {
        let shard = self.layout?.shard_of_job(id);
        let forecast = self.outlooks.forecast(shard, &queue.name, clock::now());
        let settings = self.settings.admission;
        let assessment = assess(&settings, queue, job, forecast)?;
        Some(Doubt::new(id, assessment, settings))
    }

    fn query_state(&self, id: JobId, timeout: Option<Span>, sender: oneshot::Sender<Reply>) {
        let cached = self.cache.state(id);
        if let Some(state) = cached.filter(|state| state.is_terminal()) {
            send_reply(sender, Reply::State(state));
            return;
        }
        let context = self.context.clone();
        let shard = self.layout.map(|layout| layout.shard_of_job(id));
        self.context.spawner.spawn(async move {
            let reply = state::read_state(&context, id, shard, cached, timeout).await;
            send_reply(sender, reply);
        });
    }

    fn cancel(&self, id: JobId, timeout: Option<Span>, sender: oneshot::Sender<Reply>) {
        let cached = self.cache.state(id);
        if cached.is_some_and(State::is_terminal) {
            send_reply(sender, Reply::Cancelled);
            return;
        }
        let context = self.context.clone();
        let stored = cached.is_some();
        self.context.spawner.spawn(async move {
            let reply = submit::cancel(&context, id, stored, timeout).await;
            Line::new(Code::CancelTaken)
                .text("job", id)
                .text("reply", format_args!("{reply:?}"))
                .write();
            send_reply(sender, reply);
        });
    }
}

/// Sends a reply; a caller that has disconnected needs none.
fn send_reply(sender: oneshot::Sender<Reply>, reply: Reply) {
    let _ = sender.send(reply);
}

/// Returns the limits of a configuration, or the defaults where there is none yet.
pub fn limits(config: Option<&Config>) -> Limits {
    config.map(|config| config.limits).unwrap_or_default()
}

/// Returns whether a job can be submitted to `host` and `path`, so that its body need be read.
///
/// # Errors
///
/// Returns the reply to a submission that can't be accepted, whatever its body is.
pub fn check_submission(config: Option<&Config>, host: &str, path: &str) -> Result<(), Reply> {
    let config = config.ok_or(Reply::NotDone(submit::RETRY_AFTER))?;
    let queue = config.route(host, path).ok_or(Reply::NoQueue)?;
    path[queue.prefix.len()..].parse::<JobId>().map(drop).map_err(|_| Reply::NotAJob)
}

/// Decodes the value of a row; returns none if the row is removed or can't be decoded.
pub(crate) fn decode<'a, T: Deserialize<'a>>(row: &'a Row) -> Option<T> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

/// Encodes a value for a row.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    // Encoding fails only for maps whose keys are not text, and none is encoded here.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
