//! Starts the actors and carries messages to them.

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
use sycamorerill_jobs::id::InstanceName;

use crate::clock;
use crate::frontend::{self, Frontend, Reply, Request};
use crate::log::{Code, Line};
use crate::metrics::Metrics;
use crate::platform::{Platform, Table};
use crate::shards::{self, Manager};
use crate::watch::{Subscription, Update, watch};

/// Time between ticks of an instance that owns a shard.
pub(crate) const OWNER_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between ticks of an instance that owns none.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Most messages taken before what follows from them is decided.
const MAX_MESSAGES_PER_TURN: usize = 256;

data! {
    /// What an instance is told at its start.
    pub struct Settings {
        /// Its name.
        pub name: InstanceName,
        /// Settings of the keeper of shards.
        pub manager: shards::Settings,
    }
}

/// Runs futures on the thread of the instance.
#[derive(Clone, Debug, Default)]
pub struct Spawner(Rc<LocalExecutor<'static>>);

impl Spawner {
    /// Runs a future until it ends.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.0.spawn(future).detach();
    }

    /// Runs a future until it ends or the task is dropped.
    pub fn spawn_cancellable(&self, future: impl Future<Output = ()> + 'static) -> Task<()> {
        self.0.spawn(future)
    }

    /// Runs spawned futures until `future` ends, and returns its output.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        self.0.run(future).await
    }
}

/// A message to an actor.
pub(crate) enum Message {
    Frontend(frontend::Message),
    Manager(shards::Message),
    Configured(Arc<Config>),
    Tick,
}

/// The way to the platform and back to the actors.
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
    /// Follows a table and sends what is heard, until the task is dropped.
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
        self.spawner.spawn_cancellable(watch(platform, subscription, move |update| {
            context.send(message(update))
        }))
    }

    /// Sends a message to an actor.
    pub(crate) fn send(&self, message: Message) {
        // The inbox is closed only when the instance ends.
        let _ = self.inbox.try_send(message);
    }
}

/// What of an instance others may see at any time.
#[derive(Debug, Default)]
pub(crate) struct Status {
    /// Whether a configuration is in force.
    pub(crate) configured: Cell<bool>,
    /// Whether the store answers.
    pub(crate) store_available: Cell<bool>,
    /// Whether the instance is leaving.
    pub(crate) draining: Cell<bool>,
    /// Number of shards that it owns or is taking over.
    pub(crate) owned_shards: Cell<usize>,
}

/// A running instance.
#[derive(Clone, Debug)]
pub struct Instance {
    inbox: Sender<Message>,
    status: Rc<Status>,
    metrics: Rc<Metrics>,
    config: Rc<std::cell::RefCell<Option<Arc<Config>>>>,
}

impl std::fmt::Debug for Message {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Message")
    }
}

impl Instance {
    /// Asks what a caller asks, and returns what it is told.
    pub async fn handle(&self, request: Request) -> Reply {
        let (sender, receiver) = oneshot::channel();
        let message = frontend::Message::Request(request, sender);
        // A closed inbox drops the sender, which is told below.
        let _ = self.inbox.try_send(Message::Frontend(message));
        receiver.await.unwrap_or(Reply::Unknown)
    }

    /// Reports whether callers are better off here than elsewhere.
    pub fn is_ready(&self) -> bool {
        self.status.configured.get()
            && self.status.store_available.get()
            && !self.status.draining.get()
    }

    /// Reports whether the instance is leaving.
    pub fn is_draining(&self) -> bool {
        self.status.draining.get()
    }

    /// Reports whether the instance owns no shard.
    pub fn owns_no_shard(&self) -> bool {
        self.status.owned_shards.get() == 0
    }

    /// Returns counters, gauges and latency histograms as text.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Begins a graceful shutdown: shards are handed over, callers are still answered.
    pub fn drain(&self) {
        if self.status.draining.replace(true) {
            return;
        }
        Line::new(Code::Draining).write();
        // The inbox is closed only when the instance ends.
        let _ = self.inbox.try_send(Message::Manager(shards::Message::Drain));
    }
}

/// Starts an instance on `spawner`, which must be run by the caller.
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
    let instance =
        Instance { inbox, status: Rc::clone(&status), metrics, config: Rc::clone(&config) };
    spawner.spawn(watch_config(context.clone(), Rc::clone(&status)));
    let reach = settings.manager.tenure.reach;
    spawner.spawn(shards::agree(context.clone(), reach));
    spawner.spawn(send_ticks(context.clone(), Rc::clone(&status)));
    Line::new(Code::Started).text("instance", &settings.name).write();
    spawner.spawn(dispatch(context, messages, settings, status, config));
    instance
}

/// Follows what operators declare.
async fn watch_config<P: Platform>(context: Context<P>, status: Rc<Status>) {
    let platform = Rc::clone(&context.platform);
    let on_update = move |update: Update| {
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
        let pause =
            if status.owned_shards.get() > 0 { OWNER_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        Timer::after(pause).await;
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
    let front: ActorOwn<Frontend<P>> =
        actor!(s, <Frontend<P>>::start(frontend_context), ret_nop!());
    let manager: ActorOwn<Manager<P>> = actor!(
        s,
        <Manager<P>>::start(context, settings.name, settings.manager, Rc::clone(&status)),
        ret_nop!()
    );
    stakker.run(Instant::now(), false);
    while let Ok(first) = messages.recv().await {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(message) = next.take() {
            match message {
                Message::Frontend(message) => call!([front], handle(message)),
                Message::Manager(message) => call!([manager], handle(message)),
                Message::Tick => call!([manager], handle(shards::Message::Tick)),
                Message::Configured(version) => {
                    if is_newer(config.borrow().as_deref(), &version) {
                        *config.borrow_mut() = Some(Arc::clone(&version));
                        status.configured.set(true);
                        metrics.set_config_version(version.version);
                        Line::new(Code::Config)
                            .number("version", version.version)
                            .number("queues", version.queues.len() as u64)
                            .write();
                        let for_manager = Arc::clone(&version);
                        call!([front], handle(frontend::Message::Configured(version)));
                        call!([manager], handle(shards::Message::Configured(for_manager)));
                    }
                }
            }
            taken += 1;
            if taken < MAX_MESSAGES_PER_TURN {
                next = messages.try_recv().ok();
            }
        }
        call!([manager], turn(clock::now()));
        stakker.run(Instant::now(), false);
    }
}

fn is_newer(current: Option<&Config>, version: &Config) -> bool {
    current.is_none_or(|current| version.version > current.version)
}
