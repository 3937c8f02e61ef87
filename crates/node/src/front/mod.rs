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
use crate::follow::News;
use crate::layout::Layout;
use crate::log::{Code, Line};
use crate::metrics::Hop;
use crate::port::{Platform, Row};
use crate::run::Outside;

data! {
    /// What a caller asks for.
    pub enum Ask {
        /// Take in a job.
        Submit(Result<Job, String>),
        /// Tell the state of a job, or how many of a queue's jobs wait.
        State,
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
        pub ask: Ask,
        /// How long the caller waits for a response.
        pub patience: Option<Span>,
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
    Ask(Request, oneshot::Sender<Reply>),
    Configured(Arc<Config>),
    States(News),
    Stored(JobId, QueueName),
    Agreed(Layout),
}

/// What is kept in the row that says that a job was accepted.
#[derive(Serialize, Deserialize)]
pub(crate) struct Queued {
    /// Its queue.
    #[serde(rename = "q")]
    pub(crate) queue: QueueName,
}

/// What is kept in the row with a job's state.
#[derive(Serialize, Deserialize)]
pub(crate) struct Shown {
    /// Its state.
    #[serde(rename = "s")]
    pub(crate) state: State,
}

/// The actor that answers callers.
pub(crate) struct Front<P: Platform> {
    outside: Outside<P>,
    config: Option<Arc<Config>>,
    layout: Option<Layout>,
    cache: Cache,
}

impl<P: Platform> Front<P> {
    pub(crate) fn start(_cx: CX![], outside: Outside<P>) -> Option<Self> {
        Some(Self { outside, config: None, layout: None, cache: Cache::default() })
    }

    /// Takes a message.
    pub(crate) fn take(&mut self, _cx: CX![], message: Message) {
        match message {
            Message::Ask(request, reply) => self.ask(request, reply),
            Message::Configured(config) => self.config = Some(config),
            Message::States(news) => self.states(news),
            Message::Agreed(layout) => self.layout = Some(layout),
            Message::Stored(job, queue) => self.cache.queued(job, queue),
        }
    }

    fn states(&mut self, news: News) {
        match news {
            News::Whole(rows) | News::Changed(rows) => {
                for row in rows {
                    self.cache.take(&row);
                }
            }
            News::Away => {}
        }
    }

    fn ask(&mut self, request: Request, reply: oneshot::Sender<Reply>) {
        let Some(config) = self.config.clone() else {
            return tell(reply, Reply::NotDone(submit::RETRY_AFTER));
        };
        let Some(queue) = config.route(&request.host, &request.path) else {
            return tell(reply, Reply::NoQueue);
        };
        let name = &request.path[queue.prefix.len()..];
        if name.is_empty() && request.ask == Ask::State {
            return tell(reply, Reply::Waiting(self.cache.waiting(&queue.name)));
        }
        let Ok(id) = name.parse::<JobId>() else {
            return tell(reply, Reply::NotAJob);
        };
        match request.ask {
            Ask::Submit(Ok(job)) => self.submit(queue, id, job, request.patience, reply),
            Ask::Submit(Err(_)) => tell(reply, Reply::Malformed),
            Ask::State => self.tell_state(id, request.patience, reply),
            Ask::Cancel => self.cancel(id, request.patience, reply),
        }
    }

    fn submit(
        &mut self,
        queue: &Queue,
        id: JobId,
        job: Job,
        patience: Option<Span>,
        reply: oneshot::Sender<Reply>,
    ) {
        if job.check().is_err() {
            tell(reply, Reply::Malformed);
            return;
        }
        let queue = queue.name.clone();
        let outside = self.outside.clone();
        self.outside.spawner.spawn(async move {
            let asked = clock::now();
            let told = submit::submit(&outside, id, &queue, job, patience).await;
            outside.metrics.passed(Hop::Accepted, clock::now().since(asked));
            outside.metrics.submitted(told);
            if told == Reply::Accepted {
                outside.tell(crate::run::Message::Front(Message::Stored(id, queue.clone())));
            }
            Line::new(Code::Submitted)
                .text("job", id)
                .text("queue", &queue)
                .text("reply", format_args!("{told:?}"))
                .write();
            tell(reply, told);
        });
    }

    fn tell_state(&self, id: JobId, patience: Option<Span>, reply: oneshot::Sender<Reply>) {
        let cached = self.cache.state(id);
        if let Some(state) = cached.filter(|state| state.is_terminal()) {
            tell(reply, Reply::State(state));
            return;
        }
        let outside = self.outside.clone();
        let shard = self.layout.map(|layout| layout.of_job(id));
        self.outside.spawner.spawn(async move {
            let told = state::look_up(&outside, id, shard, cached, patience).await;
            tell(reply, told);
        });
    }

    fn cancel(&self, id: JobId, patience: Option<Span>, reply: oneshot::Sender<Reply>) {
        let known = self.cache.state(id);
        if known.is_some_and(State::is_terminal) {
            tell(reply, Reply::Cancelled);
            return;
        }
        let outside = self.outside.clone();
        let stored = known.is_some();
        self.outside.spawner.spawn(async move {
            let told = submit::cancel(&outside, id, stored, patience).await;
            Line::new(Code::CancelTaken)
                .text("job", id)
                .text("reply", format_args!("{told:?}"))
                .write();
            tell(reply, told);
        });
    }
}

/// Tells a caller; one that has gone needs no reply.
fn tell(reply: oneshot::Sender<Reply>, told: Reply) {
    let _ = reply.send(told);
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
