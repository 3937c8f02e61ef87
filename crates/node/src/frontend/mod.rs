//! Answers callers: takes jobs in, cancels them and tells their state.

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
use sycamorerill_jobs::config::{Config, Limits, Queue};
use sycamorerill_jobs::id::{JobId, QueueName};
use sycamorerill_jobs::progress::State;
use sycamorerill_jobs::spec::Job;

use self::cache::Cache;
use crate::clock;
use crate::instance::Context;
use crate::layout::Layout;
use crate::log::{Code, Line};
use crate::metrics::Hop;
use crate::platform::{Platform, Row};
use crate::watch::Update;

data! {
    /// What a caller asks for.
    pub enum Action {
        /// Take in a job.
        Submit(Result<Job, String>),
        /// Tell the state of a job, or how many of a queue's jobs wait.
        Query,
        /// Cancel a job.
        Cancel,
    }
}

data! {
    /// A request of a caller.
    pub struct Request {
        /// Host that the caller named.
        pub host: String,
        /// Path that the caller named, without a query.
        pub path: String,
        /// What it asks for.
        pub action: Action,
        /// How long the caller waits for a response.
        pub timeout: Option<Span>,
    }
}

data! {
    /// What a caller is told.
    #[derive(Copy)]
    pub enum Reply {
        /// The job is stored; it will run.
        Accepted,
        /// State of the job.
        State(State),
        /// The job is cancelled or had ended.
        Cancelled,
        /// Number of the queue's jobs that wait for a first start.
        Waiting(u64),
        /// There is no such queue.
        NoQueue,
        /// There is no such job.
        NoJob,
        /// The path names no job.
        NotAJob,
        /// The request can't be read.
        Malformed,
        /// Another job has the same name.
        Taken,
        /// Nothing was done and nothing will be; ask again after the span.
        NotDone(Span),
        /// Whether it was done is not known; ask again.
        Unknown,
    }
}

/// A message to the actor that answers callers.
pub(crate) enum Message {
    Request(Request, oneshot::Sender<Reply>),
    Configured(Arc<Config>),
    States(Update),
    Stored(JobId, QueueName),
    LayoutAgreed(Layout),
}

/// What is kept in the row that says that a job was accepted.
#[derive(Serialize, Deserialize)]
pub(crate) struct QueuedRow {
    /// Its queue.
    #[serde(rename = "q")]
    pub(crate) queue: QueueName,
}

/// What is kept in the row with a job's state.
#[derive(Serialize, Deserialize)]
pub(crate) struct StateRow {
    /// Its state.
    #[serde(rename = "s")]
    pub(crate) state: State,
}

/// The actor that answers callers.
pub(crate) struct Frontend<P: Platform> {
    context: Context<P>,
    config: Option<Arc<Config>>,
    layout: Option<Layout>,
    cache: Cache,
}

impl<P: Platform> Frontend<P> {
    pub(crate) fn start(_cx: CX![], context: Context<P>) -> Option<Self> {
        Some(Self { context, config: None, layout: None, cache: Cache::default() })
    }

    /// Takes a message.
    pub(crate) fn handle(&mut self, _cx: CX![], message: Message) {
        match message {
            Message::Request(request, sender) => self.handle_request(request, sender),
            Message::Configured(config) => self.config = Some(config),
            Message::States(update) => self.apply_states(update),
            Message::LayoutAgreed(layout) => self.layout = Some(layout),
            Message::Stored(job, queue) => self.cache.insert(job, queue),
        }
    }

    fn apply_states(&mut self, update: Update) {
        match update {
            Update::Snapshot(rows) | Update::Changed(rows) => {
                for row in rows {
                    self.cache.apply(&row);
                }
            }
            Update::Unavailable => {}
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
            return send_reply(sender, Reply::Waiting(self.cache.waiting(&queue.name)));
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
        if job.check().is_err() {
            send_reply(sender, Reply::Malformed);
            return;
        }
        let queue = queue.name.clone();
        let context = self.context.clone();
        self.context.spawner.spawn(async move {
            let received = clock::now();
            let reply = submit::submit(&context, id, &queue, job, timeout).await;
            context.metrics.observe_hop(Hop::Accepted, clock::now().since(received));
            context.metrics.count_submission(reply);
            if reply == Reply::Accepted {
                context
                    .send(crate::instance::Message::Frontend(Message::Stored(id, queue.clone())));
            }
            Line::new(Code::Submitted)
                .text("job", id)
                .text("queue", &queue)
                .text("reply", format_args!("{reply:?}"))
                .write();
            send_reply(sender, reply);
        });
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

/// Tells a caller; one that has gone needs no reply.
fn send_reply(sender: oneshot::Sender<Reply>, reply: Reply) {
    let _ = sender.send(reply);
}

/// Returns the limits of a configuration, or those before there is one.
pub fn limits(config: Option<&Config>) -> Limits {
    config.map(|config| config.limits).unwrap_or_default()
}

/// Reads the value of a row.
pub(crate) fn decode<'a, T: Deserialize<'a>>(row: &'a Row) -> Option<T> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

/// Writes the value of a row.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    // The types that are encoded here have no map with keys that are not text.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
