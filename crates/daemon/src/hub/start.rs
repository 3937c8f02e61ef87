//! Starts the hub.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use crossbeam_channel::{Receiver, Sender};
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use sycamorerill_calls::keys;
use sycamorerill_calls::router::{self, Router};
use sycamorerill_clients::{instances, object, table};
use sycamorerill_control::agent::{self, Agent};
use sycamorerill_control::{ownership, penalties};
use sycamorerill_core::clock::Time;

use super::calls::{self, Calls};
use super::cells::{self, Cells};
use super::control::{self, Control};
use super::directory;
use super::shards::Shards;
use super::{End, Hub, Inbox, Message};
use crate::io::{Pool, Store};
use crate::peer::{Hello, Peers};
use crate::settings::Settings;
use crate::shared::Shared;

/// Shards of executors' slots, the same in every entry instance.
const SLOT_SHARDS: u32 = 64;
/// Shards of idempotency keys, the same in every entry instance.
const KEY_SHARDS: u16 = 64;
/// Idle connections kept to the store.
const STORE_IDLE: usize = 8;
/// Threads that read the list and wait for actors on behalf of peers.
const LISTERS: usize = 16;

/// What the hub is made of.
pub(crate) struct Parts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) connections: Arc<AtomicUsize>,
    pub(crate) settings: Settings,
    pub(crate) hello: Hello,
    pub(crate) done: Sender<End>,
}

/// Starts the thread of the hub.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub(crate) fn start(
    parts: Parts,
    messages: Receiver<Message>,
) -> Result<JoinHandle<()>, std::io::Error> {
    thread::Builder::new().name("hub".to_owned()).spawn(move || {
        let mut stakker = Stakker::new(Instant::now());
        let hub = build(&mut stakker, parts);
        hub.run(&mut stakker, &messages);
    })
}

fn build(stakker: &mut Stakker, parts: Parts) -> Hub {
    let Parts { shared, inbox, peers, connections, settings, hello, done } = parts;
    let prefix = format!("{}-{}", hello.instance, hello.incarnation.0);
    let shards = Shards { slots: SLOT_SHARDS, keys: KEY_SHARDS, cells: settings.domains.clone() };
    let control: ActorOwn<Control> = actor!(
        stakker,
        Control::init(control::Parts {
            shared: Arc::clone(&shared),
            inbox: inbox.clone(),
            peers: Arc::clone(&peers),
            agent: new_agent(&settings, &hello, &shards),
            store: new_store(&settings, &prefix),
            hello: hello.clone(),
            shards: shards.clone(),
            done: done.clone(),
        }),
        ret_nop!()
    );
    let calls: ActorOwn<Calls> = actor!(
        stakker,
        Calls::init(calls::Parts {
            shared: Arc::clone(&shared),
            inbox: inbox.clone(),
            peers: Arc::clone(&peers),
            control: control.clone(),
            shards: shards.clone(),
            hello: hello.clone(),
            router: new_router(&settings, &shards),
            prefix: prefix.clone(),
        }),
        ret_nop!()
    );
    let cells: ActorOwn<Cells> = actor!(
        stakker,
        Cells::init(cells::Parts {
            shared: Arc::clone(&shared),
            inbox: inbox.clone(),
            peers: Arc::clone(&peers),
            control: control.clone(),
            calls: calls.clone(),
            shards: shards.clone(),
            name: settings.name.clone(),
            seed: settings.seed,
        }),
        ret_nop!()
    );
    call!([control], wire(calls.clone(), cells.clone()));
    let platform = directory::settings(&settings.name, STORE_IDLE, settings.platform_time);
    Hub {
        list: instances::Client::new(settings.platform, platform),
        lister: Pool::new("lister", LISTERS),
        static_peers: others(&settings.peers, hello.address),
        name: settings.name,
        calls: calls.clone(),
        cells: cells.clone(),
        control: control.clone(),
        _owned: (calls, cells, control),
        listed: Time::ZERO,
        beaten: Time::ZERO,
        looked: Time::ZERO,
        shared,
        inbox,
        peers,
        shards,
        prefix,
        connections,
        done,
    }
}

fn others(peers: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    peers.iter().copied().filter(|peer| *peer != own).collect()
}

fn new_agent(settings: &Settings, hello: &Hello, shards: &Shards) -> Agent {
    let defaults =
        agent::Settings::new(hello.instance.clone(), hello.incarnation, hello.domain.clone());
    // The clock of the process counts from 1970, so its minutes are wall-clock minutes.
    let start = penalties::Minute(0);
    Agent::new(agent::Settings {
        seed: settings.seed,
        ownership: ownership::Settings {
            slots: shards.slots,
            keys: u32::from(shards.keys),
            cells: shards.cells.clone(),
            ..ownership::Settings::default()
        },
        penalties: penalties::Settings { start, ..penalties::Settings::default() },
        ..defaults
    })
}

fn new_store(settings: &Settings, prefix: &str) -> Store {
    let platform = directory::settings(&settings.name, STORE_IDLE, settings.platform_time);
    let table = table::Client::new(settings.platform, platform.clone());
    let objects = object::Client::new(settings.platform, platform);
    Store::new(table, objects, prefix.to_owned())
}

fn new_router(settings: &Settings, shards: &Shards) -> Router {
    let router = router::Settings {
        instance: Some(settings.name.clone()),
        domain: Some(settings.domain.clone()),
        keys: keys::Settings { shards: shards.keys, ..keys::Settings::default() },
        ..router::Settings::default()
    };
    Router::new(router, settings.seed)
}
