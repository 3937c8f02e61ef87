//! The router of one entry instance.
//!
//! Each executor's slots belong to one entry instance at a time, and only the
//! owner sends to it. A call that arrives elsewhere is forwarded to an owner
//! with a free slot. The router counts every slot that is or may be occupied,
//! and takes one for free only when its request has ended or the longest run of
//! the service has passed.
//!
//! What the daemon has to do for its part:
//!
//! - It reports the end of each [`Command::Send`] with one [`Event::Answered`], and of
//!   each [`Command::Forward`] with one [`Event::PeerAnswered`], also when the caller was
//!   told long ago. It says [`Answer::Unknown`] only after the connection is closed.
//! - It keeps the answer of a call with a key, also a late one, until
//!   [`Command::Forget`], and gives it out for [`Outcome::Repeat`].
//! - It appends each record of [`Command::Journal`] on the condition that its session
//!   still holds the shard, and at most once.
//! - It says [`Event::Owned`] with [`InProgress::Unknown`] only with proof that the
//!   process of the former owner is gone.
//! - It sends [`Router::status`] to the peers every 100 to 200 ms and at
//!   [`Command::Announce`], and should send [`Router::load`] along with each forwarded
//!   call and its answer, as [`Event::PeerLoad`].

mod answer;
mod arrive;
mod command;
mod end;
mod entry;
mod event;
mod forward;
mod hedge;
mod keyed;
mod own;
mod seek;
mod service;
mod settings;
mod status;
mod text;
mod wake;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, InstanceName, ServiceName};
use sycamorerill_core::model::Config;

pub use command::{Choice, Command, Decision, Outcome, Reason, Why};
pub use event::{Answer, Call, Event, Executor, InProgress, PeerAnswer, Refusal};
pub use settings::Settings;
pub use status::{Load, Status};
pub use text::ReasonError;

use crate::{fleet, keys, peers};
use entry::{Entry, Flight};
use service::Service;
use wake::Timer;

/// Time by which a timer may be late before the process is taken to have been paused.
const MAX_LATE: Span = Span::from_ms(250);

/// Decides where each call of one entry instance goes and what its caller is told.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    config: Arc<Config>,
    fleet: fleet::Table,
    services: BTreeMap<ServiceName, Service>,
    calls: BTreeMap<CallId, Entry>,
    flights: BTreeMap<(CallId, Attempt), Flight>,
    peers: peers::Table,
    ledger: keys::Ledger,
    key_owners: BTreeMap<keys::Shard, InstanceName>,
    timers: BTreeSet<(Time, Timer)>,
    serial: u64,
    /// Longest run that was ever declared, by service.
    longest_runs: BTreeMap<ServiceName, Span>,
    /// End of the last pause of this process.
    resumed: Time,
    draining: bool,
    finished: bool,
}

impl Router {
    /// Returns a router that owns nothing and knows no service.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let fleet =
            fleet::Table::new(settings.health, settings.domain.clone(), settings.far.as_ms_f64());
        Self {
            rng: fastrand::Rng::with_seed(seed),
            config: Arc::new(Config::default()),
            fleet,
            services: BTreeMap::new(),
            calls: BTreeMap::new(),
            flights: BTreeMap::new(),
            peers: peers::Table::new(settings.domain.clone(), settings.peer_silence),
            ledger: keys::Ledger::new(settings.keys),
            key_owners: BTreeMap::new(),
            timers: BTreeSet::new(),
            serial: 0,
            longest_runs: BTreeMap::new(),
            resumed: Time::ZERO,
            draining: false,
            finished: false,
            settings,
        }
    }

    /// Takes one event in and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        self.notice_pause(now);
        self.wake(now, out);
        match event {
            Event::Configured(config) => self.configured(config),
            Event::Listed(executors) => self.listed(now, executors, out),
            Event::Owned { executor, epoch, in_progress } => {
                self.owned(now, &executor, epoch, in_progress, out);
            }
            Event::Released { executor } => self.released(now, &executor, out),
            Event::KeysOwned { shard, records } => self.keys_owned(now, shard, records),
            Event::KeysMoved { shard, owner } => self.keys_moved(shard, owner, out),
            Event::Arrived(call) => self.arrived(now, call, out),
            Event::Answered { call, attempt, answer } => {
                self.answered(now, call, attempt, answer, out);
            }
            Event::PeerAnswered { call, attempt, answer } => {
                self.peer_answered(now, call, attempt, answer, out);
            }
            Event::Peer { name, domain, status } => {
                let peers = self.peers.len();
                self.peers.heard(now, name, domain, status);
                self.peers_changed(peers);
                self.forward_waiting(now, out);
            }
            Event::PeerLoad { name, service, load } => {
                self.peers.told(now, &name, &service, load);
                self.forward_waiting_of(now, &service, out);
            }
            Event::PeerGone { name } => {
                let peers = self.peers.len();
                self.peers.gone(&name);
                self.peers_changed(peers);
            }
            Event::KeyDurable { call } => self.key_durable(now, call, out),
            Event::KeyRefused { call, refusal } => {
                self.key_refused(now, call, refusal, out);
            }
            Event::Probed { executor, healthy, .. } => self.probed(now, &executor, healthy, out),
            Event::Abandoned { call } => self.abandoned(now, call, out),
            Event::Tick => {}
            Event::Drain => {
                self.draining = true;
                out.push(Command::Announce);
            }
        }
        if self.draining {
            self.drain(now, out);
        }
    }

    /// Notices that this process was paused: a timer is long overdue.
    ///
    /// What was measured across a pause says nothing about executors.
    fn notice_pause(&mut self, now: Time) {
        if self.next_wake().is_some_and(|due| now.since(due) > MAX_LATE) {
            self.resumed = now;
        }
    }

    fn peers_changed(&mut self, before: u32) {
        if self.peers.len() != before {
            self.declare();
        }
    }

    /// Returns the load for heartbeats to peers and for metrics.
    pub fn status(&self) -> Status {
        let loads = self.fleet.services().map(|name| (name.clone(), self.load(name)));
        Status { draining: self.draining, services: loads.collect() }
    }

    /// Returns the load of one service, to go along with calls and answers to peers.
    pub fn load(&self, name: &ServiceName) -> Load {
        let total = self.fleet.total(name);
        Load {
            free: total.free,
            usable: total.usable,
            waiting: self.services.get(name).map_or(0, |service| service.queue.len()),
            in_flight: total.in_flight,
            ejected: total.ejected,
        }
    }

    /// Returns records from which a shard of keys can be restored in place of its journal.
    pub fn key_records(&self, now: Time, shard: keys::Shard) -> Vec<keys::Record> {
        self.ledger.records(now, shard)
    }

    /// Returns the number of calls that have not come to an end.
    pub fn in_progress(&self) -> usize {
        self.calls.len()
    }
}
