//! Router of the calls that arrive at one entry instance.
//!
//! The slots of each executor are owned by one entry instance at a time, and only the
//! owner sends requests to the executor. A call that arrives at another instance is
//! forwarded to an owner with a free slot. The router counts every slot that is or may be
//! occupied. It treats a slot as free again only when its request has ended or the longest
//! run of the service has passed.
//!
//! The router relies on the daemon for the following:
//!
//! - The daemon reports the end of each [`Command::Send`] with exactly one
//!   [`Event::Answered`], and of each [`Command::Forward`] with exactly one
//!   [`Event::PeerAnswered`], even if the caller already received a reply. It reports
//!   [`SendOutcome::Unknown`] only after the connection is closed.
//! - It stores the answer of a call with a key, including a late answer, until
//!   [`Command::DropAnswer`], and returns it for [`Outcome::Repeat`].
//! - It appends each record of [`Command::Journal`] at most once, and only if its session
//!   still holds the shard.
//! - It sends [`Event::ExecutorOwned`] with [`InProgress::Unknown`] only with proof that the process
//!   of the former owner has ended.
//! - It sends [`Router::status`] to the peers every 100 to 200 ms and on
//!   [`Command::Announce`]. It should also send [`Router::load`] with each forwarded call
//!   and with its answer, which the receiver handles as [`Event::PeerLoad`].

mod answer;
mod arrival;
mod command;
mod end;
mod entry;
mod event;
mod forward;
mod hedge;
mod key_owner;
mod keyed;
mod ownership;
mod service;
mod settings;
mod status;
mod text;
mod timer;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, InstanceName, ServiceName};
use sycamorerill_core::model::Config;

pub use command::{Cause, Choice, Command, Decision, Outcome, Reason};
pub use event::{Call, Event, Executor, InProgress, KeyRecordError, PeerAnswer, SendOutcome};
pub use settings::Settings;
pub use status::{Load, Status};
pub use text::ReasonError;

use crate::{fleet, keys, peers};
use entry::{Entry, Request};
use service::Service;
use timer::Timer;

/// Largest delay of a timer; a longer one means that the process was paused.
const MAX_LATE: Span = Span::from_ms(250);

/// Routes the calls of one entry instance and decides the outcome reported to each caller.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: fastrand::Rng,
    config: Arc<Config>,
    fleet: fleet::Table,
    services: BTreeMap<ServiceName, Service>,
    calls: BTreeMap<CallId, Entry>,
    requests: BTreeMap<(CallId, Attempt), Request>,
    peers: peers::Table,
    ledger: keys::Ledger,
    key_owners: BTreeMap<keys::Shard, InstanceName>,
    timers: BTreeSet<(Time, Timer)>,
    timer_serial: u64,
    /// Largest value of `longest_run` that was ever declared, by service.
    longest_runs: BTreeMap<ServiceName, Span>,
    /// Time at which the last pause of this process was detected.
    last_pause_end: Time,
    draining: bool,
    finished: bool,
}

impl Router {
    /// Returns a router without executors, services or key shards; `seed` makes its random
    /// choices reproducible.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let fleet = fleet::Table::new(
            settings.health,
            settings.domain.clone(),
            settings.cross_domain_delay.as_ms_f64(),
        );
        Self {
            rng: fastrand::Rng::with_seed(seed),
            config: Arc::new(Config::default()),
            fleet,
            services: BTreeMap::new(),
            calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            peers: peers::Table::new(settings.domain.clone(), settings.peer_timeout),
            ledger: keys::Ledger::new(settings.keys),
            key_owners: BTreeMap::new(),
            timers: BTreeSet::new(),
            timer_serial: 0,
            longest_runs: BTreeMap::new(),
            last_pause_end: Time::ZERO,
            draining: false,
            finished: false,
            settings,
        }
    }

    /// Handles one event and appends the resulting commands to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Command>) {
        self.detect_pause(now);
        self.run_due_timers(now, out);
        match event {
            Event::Configured(config) => self.configured(config),
            Event::ExecutorsListed(executors) => self.executors_listed(now, executors, out),
            Event::ExecutorOwned { executor, epoch, in_progress } => {
                self.executor_owned(now, &executor, epoch, in_progress, out);
            }
            Event::ReleaseRequested { executor } => self.release_requested(now, &executor, out),
            Event::KeyShardOwned { shard, records } => self.key_shard_owned(now, shard, records),
            Event::KeyOwnerChanged { shard, owner } => self.key_owner_changed(shard, owner, out),
            Event::Arrived(call) => self.arrived(now, call, out),
            Event::Answered { call, attempt, answer } => {
                self.answered(now, call, attempt, answer, out);
            }
            Event::PeerAnswered { call, attempt, answer } => {
                self.peer_answered(now, call, attempt, answer, out);
            }
            Event::PeerHeartbeat { name, domain, status } => {
                let peers = self.peers.len();
                self.peers.record_heartbeat(now, name, domain, status);
                self.update_profiles_if_changed(peers);
                self.forward_waiting(now, out);
            }
            Event::PeerLoad { name, service, load } => {
                self.peers.record_load(now, &name, &service, load);
                self.forward_waiting_of(now, &service, out);
            }
            Event::PeerLost { name } => {
                let peers = self.peers.len();
                self.peers.remove(&name);
                self.update_profiles_if_changed(peers);
            }
            Event::KeyDurable { call } => self.key_durable(now, call, out),
            Event::KeyNotDurable { call, error } => {
                self.key_not_durable(now, call, error, out);
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

    /// Detects a pause of this process from a timer that is long overdue.
    ///
    /// Latencies measured across a pause are not evidence about executors.
    fn detect_pause(&mut self, now: Time) {
        if self.next_wake().is_some_and(|due| now.since(due) > MAX_LATE) {
            self.last_pause_end = now;
        }
    }

    fn update_profiles_if_changed(&mut self, before: u32) {
        if self.peers.len() != before {
            self.update_profiles();
        }
    }

    /// Returns the load of this instance, for heartbeats to peers and for metrics.
    pub fn status(&self) -> Status {
        let loads = self.fleet.services().map(|name| (name.clone(), self.load(name)));
        Status { draining: self.draining, services: loads.collect() }
    }

    /// Returns the load of one service, to be sent with forwarded calls and their answers.
    pub fn load(&self, name: &ServiceName) -> Load {
        let total = self.fleet.total(name);
        Load {
            free: total.free,
            usable: total.usable,
            waiting: self.services.get(name).map_or(0, |service| service.queue.len()),
            in_flight: total.in_flight,
            ejected_executors: total.ejected,
        }
    }

    /// Returns records from which a shard of keys can be restored instead of from its journal.
    pub fn key_records(&self, now: Time, shard: keys::Shard) -> Vec<keys::Record> {
        self.ledger.records(now, shard)
    }

    /// Returns the number of calls that have not ended.
    pub fn in_progress(&self) -> usize {
        self.calls.len()
    }
}
