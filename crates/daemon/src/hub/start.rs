//! Construction of the hub and its actors.

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
use super::shards::ShardLayout;
use super::{EndReason, Hub, Inbox, Message};
use crate::io::{Pool, Store};
use crate::peer::{Hello, Peers};
use crate::settings::Settings;
use crate::shared::Shared;

/// Number of slot shards, which must be equal in all entry instances.
const SLOT_SHARDS: u32 = 64;
/// Number of shards of idempotency keys, which must be equal in all entry instances.
const KEY_SHARDS: u16 = 64;
/// Maximum number of idle connections to the store.
const MAX_IDLE_STORE_CONNECTIONS: usize = 8;
/// Maximum number of threads that read the instance list or wait for responses to
/// peers' operator requests.
const MAX_BLOCKING_THREADS: usize = 16;

/// Everything that the hub needs at its start.
pub(crate) struct Dependencies {
    pub(crate) shared: Arc<Shared>,
    pub(crate) inbox: Inbox,
    pub(crate) peers: Arc<Peers>,
    pub(crate) connections: Arc<AtomicUsize>,
    pub(crate) settings: Settings,
    pub(crate) hello: Hello,
    pub(crate) end_reason_sender: Sender<EndReason>,
}

/// Starts the hub's thread.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub(crate) fn start(
    deps: Dependencies,
    messages: Receiver<Message>,
) -> Result<JoinHandle<()>, std::io::Error> {
    thread::Builder::new().name("hub".to_owned()).spawn(move || {
        let mut stakker = Stakker::new(Instant::now());
        let hub = build(&mut stakker, deps);
        hub.run(&mut stakker, &messages);
    })
}

fn build(stakker: &mut Stakker, deps: Dependencies) -> Hub {
    let Dependencies { shared, inbox, peers, connections, settings, hello, end_reason_sender } =
        deps;
    let prefix = format!("{}-{}", hello.instance, hello.incarnation.0);
    let shards = ShardLayout {
        slot_shards: SLOT_SHARDS,
        key_shards: KEY_SHARDS,
        domains: settings.domains.clone(),
    };
    let control: ActorOwn<Control> = actor!(
        stakker,
        Control::init(control::Dependencies {
            shared: Arc::clone(&shared),
            inbox: inbox.clone(),
            peers: Arc::clone(&peers),
            agent: new_agent(&settings, &hello, &shards),
            store: new_store(&settings, &prefix),
            hello: hello.clone(),
            shards: shards.clone(),
            end_reason_sender: end_reason_sender.clone(),
        }),
        ret_nop!()
    );
    let calls: ActorOwn<Calls> = actor!(
        stakker,
        Calls::init(calls::Dependencies {
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
        Cells::init(cells::Dependencies {
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
    call!([control], connect_actors(calls.clone(), cells.clone()));
    let platform = directory::client_settings(
        &settings.name,
        MAX_IDLE_STORE_CONNECTIONS,
        settings.platform_time,
    );
    Hub {
        instance_list: instances::Client::new(settings.platform, platform),
        blocking_pool: Pool::new("lister", MAX_BLOCKING_THREADS),
        static_peers: without_own(&settings.peers, hello.address),
        name: settings.name,
        calls: calls.clone(),
        cells: cells.clone(),
        control: control.clone(),
        _owned: (calls, cells, control),
        last_listed: Time::ZERO,
        last_load_check: Time::ZERO,
        last_owner_check: Time::ZERO,
        shared,
        inbox,
        peers,
        shards,
        prefix,
        connections,
        end_reason_sender,
    }
}

fn without_own(peers: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    peers.iter().copied().filter(|peer| *peer != own).collect()
}

fn new_agent(settings: &Settings, hello: &Hello, shards: &ShardLayout) -> Agent {
    let defaults =
        agent::Settings::new(hello.instance.clone(), hello.incarnation, hello.domain.clone());
    // The process clock counts from the Unix epoch, so its minutes are wall-clock minutes.
    let start = penalties::Minute(0);
    Agent::new(agent::Settings {
        seed: settings.seed,
        ownership: ownership::Settings {
            slots: shards.slot_shards,
            keys: u32::from(shards.key_shards),
            cells: shards.domains.clone(),
            ..ownership::Settings::default()
        },
        penalties: penalties::Settings { start, ..penalties::Settings::default() },
        ..defaults
    })
}

fn new_store(settings: &Settings, prefix: &str) -> Store {
    let platform = directory::client_settings(
        &settings.name,
        MAX_IDLE_STORE_CONNECTIONS,
        settings.platform_time,
    );
    let table = table::Client::new(settings.platform, platform.clone());
    let objects = object::Client::new(settings.platform, platform);
    Store::new(table, objects, prefix.to_owned())
}

fn new_router(settings: &Settings, shards: &ShardLayout) -> Router {
    let router = router::Settings {
        instance: Some(settings.name.clone()),
        domain: Some(settings.domain.clone()),
        keys: keys::Settings { shards: shards.key_shards, ..keys::Settings::default() },
        ..router::Settings::default()
    };
    Router::new(router, settings.seed)
}
