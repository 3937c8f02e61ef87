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
use crate::follow::{News, Subject, follow};
use crate::front::{self, Front, Reply, Request};
use crate::keeper::{self, Keeper};
use crate::log::{Code, Line};
use crate::metrics::Metrics;
use crate::port::{Platform, Table};

/// Time between ticks of an instance that owns a shard.
pub(crate) const OWNER_TICK: Duration = Duration::from_millis(50);
/// Time between ticks of an instance that owns none.
const IDLE_TICK: Duration = Duration::from_millis(150);
/// Most messages taken before what follows from them is decided.
const MESSAGES_PER_TURN: usize = 256;

data! {
    /// What an instance is told at its start.
    pub struct Settings {
        /// Its name.
        pub name: InstanceName,
        /// Settings of the keeper of shards.
        pub keeper: keeper::Settings,
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
    pub fn task(&self, future: impl Future<Output = ()> + 'static) -> Task<()> {
        self.0.spawn(future)
    }

    /// Runs spawned futures until `future` ends, and returns its output.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        self.0.run(future).await
    }
}

/// A message to an actor.
pub(crate) enum Message {
    Front(front::Message),
    Keeper(keeper::Message),
    Configured(Arc<Config>),
    Tick,
}

/// The way to the platform and back to the actors.
pub(crate) struct Outside<P> {
    pub(crate) platform: Rc<P>,
    pub(crate) spawner: Spawner,
    pub(crate) metrics: Rc<Metrics>,
    inbox: Sender<Message>,
}

impl<P> Clone for Outside<P> {
    fn clone(&self) -> Self {
        Self {
            platform: Rc::clone(&self.platform),
            spawner: self.spawner.clone(),
            metrics: Rc::clone(&self.metrics),
            inbox: self.inbox.clone(),
        }
    }
}

impl<P> Outside<P> {
    /// Follows a table and sends what is heard, until the task is dropped.
    pub(crate) fn follow(
        &self,
        subject: Subject,
        message: impl Fn(News) -> Message + 'static,
    ) -> Task<()>
    where
        P: Platform,
    {
        let outside = self.clone();
        let platform = Rc::clone(&self.platform);
        self.spawner.task(follow(platform, subject, move |news| outside.tell(message(news))))
    }

    /// Sends a message to an actor.
    pub(crate) fn tell(&self, message: Message) {
        // The inbox is closed only when the instance ends.
        let _ = self.inbox.try_send(message);
    }
}

/// What of an instance others may see at any time.
#[derive(Debug, Default)]
pub(crate) struct Signs {
    /// Whether a configuration is in force.
    pub(crate) configured: Cell<bool>,
    /// Whether the store answers.
    pub(crate) store: Cell<bool>,
    /// Whether the instance is leaving.
    pub(crate) draining: Cell<bool>,
    /// Number of shards that it owns or is taking over.
    pub(crate) shards: Cell<usize>,
}

/// A running instance.
#[derive(Clone, Debug)]
pub struct Instance {
    inbox: Sender<Message>,
    signs: Rc<Signs>,
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
    pub async fn ask(&self, request: Request) -> Reply {
        let (reply, told) = oneshot::channel();
        let ask = front::Message::Ask(request, reply);
        // A closed inbox drops the sender, which is told below.
        let _ = self.inbox.try_send(Message::Front(ask));
        told.await.unwrap_or(Reply::Unknown)
    }

    /// Reports whether callers are better off here than elsewhere.
    pub fn is_ready(&self) -> bool {
        self.signs.configured.get() && self.signs.store.get() && !self.signs.draining.get()
    }

    /// Reports whether the instance is leaving.
    pub fn is_draining(&self) -> bool {
        self.signs.draining.get()
    }

    /// Reports whether the instance owns no shard.
    pub fn has_handed_over(&self) -> bool {
        self.signs.shards.get() == 0
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
        if self.signs.draining.replace(true) {
            return;
        }
        Line::new(Code::Draining).write();
        // The inbox is closed only when the instance ends.
        let _ = self.inbox.try_send(Message::Keeper(keeper::Message::Drain));
    }
}

/// Starts an instance on `spawner`, which must be run by the caller.
pub fn start<P: Platform>(platform: Rc<P>, spawner: &Spawner, settings: Settings) -> Instance {
    let (inbox, messages) = async_channel::unbounded();
    let signs = Rc::new(Signs::default());
    let config = Rc::default();
    let metrics = Rc::new(Metrics::default());
    let outside = Outside {
        platform,
        spawner: spawner.clone(),
        metrics: Rc::clone(&metrics),
        inbox: inbox.clone(),
    };
    let instance =
        Instance { inbox, signs: Rc::clone(&signs), metrics, config: Rc::clone(&config) };
    spawner.spawn(declared(outside.clone(), Rc::clone(&signs)));
    let reach = settings.keeper.tenure.reach;
    spawner.spawn(keeper::agree(outside.clone(), reach));
    spawner.spawn(ticks(outside.clone(), Rc::clone(&signs)));
    Line::new(Code::Started).text("instance", &settings.name).write();
    spawner.spawn(carry(outside, messages, settings, signs, config));
    instance
}

/// Follows what operators declare.
async fn declared<P: Platform>(outside: Outside<P>, signs: Rc<Signs>) {
    let platform = Rc::clone(&outside.platform);
    let tell = move |news: News| {
        let (News::Whole(rows) | News::Changed(rows)) = news else {
            outside.metrics.set_store(false);
            if signs.store.replace(false) {
                Line::new(Code::Store).text("state", "away").write();
            }
            return;
        };
        outside.metrics.set_store(true);
        if !signs.store.replace(true) {
            Line::new(Code::Store).text("state", "back").write();
        }
        for row in rows {
            match outside.platform.config(&row) {
                Ok(Some(config)) => outside.tell(Message::Configured(Arc::new(config))),
                Ok(None) => {}
                Err(error) => Line::new(Code::Config).text("error", error).write(),
            }
        }
    };
    let subject = Subject {
        table: Table::Declared,
        parts: vec![String::new()],
        after: None,
        gather: Duration::ZERO,
    };
    follow(platform, subject, tell).await;
}

async fn ticks<P: Platform>(outside: Outside<P>, signs: Rc<Signs>) {
    loop {
        let pause = if signs.shards.get() > 0 { OWNER_TICK } else { IDLE_TICK };
        Timer::after(pause).await;
        outside.tell(Message::Tick);
    }
}

async fn carry<P: Platform>(
    outside: Outside<P>,
    messages: Receiver<Message>,
    settings: Settings,
    signs: Rc<Signs>,
    config: Rc<std::cell::RefCell<Option<Arc<Config>>>>,
) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let metrics = Rc::clone(&outside.metrics);
    let fronted = outside.clone();
    let front: ActorOwn<Front<P>> = actor!(s, <Front<P>>::start(fronted), ret_nop!());
    let keeper: ActorOwn<Keeper<P>> = actor!(
        s,
        <Keeper<P>>::start(outside, settings.name, settings.keeper, Rc::clone(&signs)),
        ret_nop!()
    );
    stakker.run(Instant::now(), false);
    while let Ok(first) = messages.recv().await {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(message) = next.take() {
            match message {
                Message::Front(message) => call!([front], take(message)),
                Message::Keeper(message) => call!([keeper], take(message)),
                Message::Tick => call!([keeper], take(keeper::Message::Tick)),
                Message::Configured(version) => {
                    if is_newer(config.borrow().as_deref(), &version) {
                        *config.borrow_mut() = Some(Arc::clone(&version));
                        signs.configured.set(true);
                        metrics.set_version(version.version);
                        Line::new(Code::Config)
                            .number("version", version.version)
                            .number("queues", version.queues.len() as u64)
                            .write();
                        let kept = Arc::clone(&version);
                        call!([front], take(front::Message::Configured(version)));
                        call!([keeper], take(keeper::Message::Configured(kept)));
                    }
                }
            }
            taken += 1;
            if taken < MESSAGES_PER_TURN {
                next = messages.try_recv().ok();
            }
        }
        call!([keeper], turn(clock::now()));
        stakker.run(Instant::now(), false);
    }
}

fn is_newer(now: Option<&Config>, version: &Config) -> bool {
    now.is_none_or(|now| version.version > now.version)
}
