//! Starts the actors of an instance and dispatches messages to them.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures::channel::oneshot;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use sycamorerill_core::data;
use sycamorerill_jobs::config::Config;
use sycamorerill_jobs::evacuation;
use sycamorerill_jobs::id::InstanceName;

use crate::clock;
use crate::frontend::{self, Frontend, Reply, Request};
use crate::listener::{Kind, Reason, Reports};
use crate::log::{Code, Line};
use crate::metrics::Metrics;
use crate::platform::{Platform, Table, Version};
use crate::shards::{self, Manager};
use crate::watch::{Subscription, Update, watch};

/// Time between ticks of an instance that owns a shard.
pub(crate) const OWNER_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between ticks of an instance that owns no shard.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of messages handled before the [`Manager`] takes its turn.
const MAX_MESSAGES_PER_TURN: usize = 256;

data! {
    /// Settings of an instance.
    pub struct Settings {
        /// Name of the instance; claims on shards carry it.
        pub name: InstanceName,
        /// Settings of the actor that manages shards.
        pub manager: shards::Settings,
    }
}

/// Runs futures on the thread of the instance.
#[derive(Clone, Debug, Default)]
pub struct Spawner(Rc<LocalExecutor<'static>>);

impl Spawner {
    /// Runs a future to completion.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.0.spawn(future).detach();
    }

    /// Runs a future until it completes or the returned handle is dropped.
    pub fn spawn_cancellable(&self, future: impl Future<Output = ()> + 'static) -> Task<()> {
        self.0.spawn(future)
    }

    /// Runs all spawned futures until `future` completes, and returns its output.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        self.0.run(future).await
    }
}

/// A message to the actors of an instance.
pub(crate) enum Message {
    Frontend(frontend::Message),
    Manager(shards::Message),
    Configured(Arc<Config>),
    Evacuations(evacuation::Update),
    Tick,
}

/// Gives actors and futures access to the platform, the metrics and the inbox of the
/// instance.
pub(crate) struct Context<P> {
    pub(crate) platform: Rc<P>,
    pub(crate) spawner: Spawner,
    pub(crate) metrics: Rc<Metrics>,
    inbox: Sender<Message>,
}

impl<P> Clone for Context<P> {
    fn clone(&self) -> Self {
        Self {
            platform: Rc::clone(&self.platform),
            spawner: self.spawner.clone(),
            metrics: Rc::clone(&self.metrics),
            inbox: self.inbox.clone(),
        }
    }
}

impl<P> Context<P> {
    /// Watches a table and sends each update as a message, until the returned handle is
    /// dropped.
    pub(crate) fn watch(
        &self,
        subscription: Subscription,
        message: impl Fn(Update) -> Message + 'static,
    ) -> Task<()>
    where
        P: Platform,
    {
        let context = self.clone();
        let platform = Rc::clone(&self.platform);
        self.spawner.spawn_cancellable(watch(platform, subscription, move |update, _| {
            context.send(message(update))
        }))
    }

    /// Returns the number of messages that wait for the actors.
    pub(crate) fn inbox_len(&self) -> usize {
        self.inbox.len()
    }

    /// Sends a message to the actors.
    pub(crate) fn send(&self, message: Message) {
        // The inbox is closed only when the instance ends.
        let _ = self.inbox.try_send(message);
    }
}

/// The status of an instance, which can be read without a message to its actors.
#[derive(Debug, Default)]
pub(crate) struct Status {
    /// Whether a configuration has been received.
    pub(crate) configured: Cell<bool>,
    /// Whether the store is available, as seen by the watch on configurations.
    pub(crate) store_available: Cell<bool>,
    /// Whether a graceful shutdown has begun.
    pub(crate) draining: Cell<bool>,
    /// Number of shards that the instance owns, including those still being recovered.
    pub(crate) owned_shards: Cell<usize>,
}

/// A handle to a running instance.
#[derive(Clone, Debug)]
pub struct Instance {
    inbox: Sender<Message>,
    status: Rc<Status>,
    metrics: Rc<Metrics>,
    reports: Rc<Reports>,
    config: Rc<std::cell::RefCell<Option<Arc<Config>>>>,
}

impl std::fmt::Debug for Message {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Message")
    }
}

impl Instance {
    /// Handles a request from a caller and returns the reply.
    pub async fn handle(&self, request: Request) -> Reply {
        let (sender, receiver) = oneshot::channel();
        let message = frontend::Message::Request(request, sender);
        // A closed inbox drops the sender, and the receiver below then returns an error.
        let _ = self.inbox.try_send(Message::Frontend(message));
        receiver.await.unwrap_or(Reply::Unknown)
    }

    /// Returns whether the instance should receive requests: it has a configuration, the
    /// store is available and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        self.status.configured.get()
            && self.status.store_available.get()
            && !self.status.draining.get()
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.status.draining.get()
    }

    /// Returns whether the instance owns no shard.
    pub fn owns_no_shard(&self) -> bool {
        self.status.owned_shards.get() == 0
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Counts and logs a request that a listener refused, or a connection that it closed.
    pub fn report(&self, listener: Kind, reason: Reason) {
        self.reports.add(&self.metrics, listener, reason, clock::now());
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Begins a graceful shutdown: shards are handed over while callers are still answered.
    pub fn drain(&self) {
        if self.status.draining.replace(true) {
            return;
        }
        Line::new(Code::Draining).write();
        // The inbox is closed only when the instance ends.
        let _ = self.inbox.try_send(Message::Manager(shards::Message::Drain));
    }
}

/// Starts an instance whose futures run on `spawner`; the calling code must run it with
/// [`Spawner::run`].
pub fn start<P: Platform>(platform: Rc<P>, spawner: &Spawner, settings: Settings) -> Instance {
    let (inbox, messages) = async_channel::unbounded();
    let status = Rc::new(Status::default());
    let config = Rc::default();
    let metrics = Rc::new(Metrics::default());
    let context = Context {
        platform,
        spawner: spawner.clone(),
        metrics: Rc::clone(&metrics),
        inbox: inbox.clone(),
    };
    let instance = Instance {
        inbox,
        status: Rc::clone(&status),
        metrics,
        reports: Rc::default(),
        config: Rc::clone(&config),
    };
    spawner.spawn(watch_config(context.clone(), Rc::clone(&status)));
    let max_executors = settings.manager.ownership.max_executors;
    let max_row_bytes = settings.manager.shard.max_row_bytes;
    spawner.spawn(shards::agree_on_layout(context.clone(), max_executors, max_row_bytes));
    spawner.spawn(send_ticks(context.clone(), Rc::clone(&status)));
    Line::new(Code::Started).text("instance", &settings.name).write();
    spawner.spawn(dispatch(context, messages, settings, status, config));
    instance
}

/// Watches the rows written by operators and forwards evacuations and configurations.
///
/// The evacuations of an update are sent before its configuration: no shard is claimed without a
/// configuration, so that each owner knows the evacuations.
async fn watch_config<P: Platform>(context: Context<P>, status: Rc<Status>) {
    let platform = Rc::clone(&context.platform);
    let on_update = move |update: Update, version: Version| {
        let is_complete = matches!(update, Update::Snapshot(_));
        let (Update::Snapshot(rows) | Update::Changed(rows)) = update else {
            context.metrics.set_store_up(false);
            if status.store_available.replace(false) {
                Line::new(Code::Store).text("state", "away").write();
            }
            return;
        };
        context.metrics.set_store_up(true);
        if !status.store_available.replace(true) {
            Line::new(Code::Store).text("state", "back").write();
        }
        let changes = shards::evacuation_changes(&*context.platform, &rows);
        if is_complete || !changes.is_empty() {
            let update = evacuation::Update { is_complete, changes, version: version.0 };
            context.send(Message::Evacuations(update));
        }
        for row in rows {
            match context.platform.parse_config(&row) {
                Ok(Some(config)) => context.send(Message::Configured(Arc::new(config))),
                Ok(None) => {}
                Err(error) => Line::new(Code::Config).text("error", error).write(),
            }
        }
    };
    let subscription = Subscription {
        table: Table::Operator,
        parts: vec![String::new()],
        after: None,
        batch_delay: Duration::ZERO,
    };
    watch(platform, subscription, on_update).await;
}

async fn send_ticks<P: Platform>(context: Context<P>, status: Rc<Status>) {
    loop {
        let interval =
            if status.owned_shards.get() > 0 { OWNER_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        Timer::after(interval).await;
        context.send(Message::Tick);
    }
}

async fn dispatch<P: Platform>(
    context: Context<P>,
    messages: Receiver<Message>,
    settings: Settings,
    status: Rc<Status>,
    config: Rc<std::cell::RefCell<Option<Arc<Config>>>>,
) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let metrics = Rc::clone(&context.metrics);
    let frontend_context = context.clone();
    let frontend: ActorOwn<Frontend<P>> =
        actor!(s, <Frontend<P>>::start(frontend_context, settings.manager), ret_nop!());
    let manager: ActorOwn<Manager<P>> = actor!(
        s,
        <Manager<P>>::start(context, settings.name, settings.manager, Rc::clone(&status)),
        ret_nop!()
    );
    stakker.run(Instant::now(), false);
    while let Ok(first) = messages.recv().await {
        let mut next = Some(first);
        let mut handled = 0;
        while let Some(message) = next.take() {
            match message {
                Message::Frontend(message) => call!([frontend], handle(message)),
                Message::Manager(message) => call!([manager], handle(message)),
                Message::Tick => call!([manager], handle(shards::Message::Tick)),
                Message::Evacuations(update) => {
                    call!([manager], handle(shards::Message::Evacuations(update)));
                }
                Message::Configured(received) => {
                    if is_newer(config.borrow().as_deref(), &received) {
                        *config.borrow_mut() = Some(Arc::clone(&received));
                        status.configured.set(true);
                        metrics.set_config_version(received.version);
                        Line::new(Code::Config)
                            .number("version", received.version)
                            .number("queues", received.queues.len() as u64)
                            .write();
                        let for_manager = Arc::clone(&received);
                        call!([frontend], handle(frontend::Message::Configured(received)));
                        call!([manager], handle(shards::Message::Configured(for_manager)));
                    }
                }
            }
            handled += 1;
            if handled < MAX_MESSAGES_PER_TURN {
                next = messages.try_recv().ok();
            }
        }
        call!([manager], turn(clock::now()));
        stakker.run(Instant::now(), false);
    }
}

fn is_newer(current: Option<&Config>, received: &Config) -> bool {
    current.is_none_or(|current| received.version > current.version)
}
