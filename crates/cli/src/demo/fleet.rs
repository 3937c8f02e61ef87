//! The entry instances of the demonstration.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use sycamorerill_clients::instances::{Change, Instance, Role, State};
use sycamorerill_config::{Folder, encode_text};
use sycamorerill_core::api;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::InstanceName;
use sycamorerill_daemon::settings::{LogFormat, Settings};
use sycamorerill_daemon::{Addresses, Daemon, End};
use sycamorerill_fakes::Platform;

use super::Error;
use super::plan::Plan;

/// Number of entry instances.
const INSTANCES: usize = 3;
/// Longest wait for the instances to share what is owned.
const READY_TIME: Duration = Duration::from_secs(40);
/// Time between two looks at the instances.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an answer to an operator's request.
const OPERATOR_TIME: Duration = Duration::from_secs(10);
/// Longest wait for the ports of an instance that was stopped.
const PORTS_TIME: Duration = Duration::from_secs(5);
/// Tries to settle the period.
const SETTLE_TRIES: u32 = 40;

/// One entry instance, or the place of one that was stopped.
struct Seat {
    settings: Settings,
    addresses: Addresses,
    daemon: Option<Daemon>,
}

/// The entry instances.
pub(super) struct Fleet {
    seats: Mutex<Vec<Seat>>,
    agent: ureq::Agent,
}

impl Fleet {
    /// Starts the entry instances and makes them known to the platform.
    pub(super) fn start(plan: &Plan, platform: &Platform) -> Result<Self, Error> {
        let mut seats: Vec<Seat> = Vec::with_capacity(INSTANCES);
        for index in 0..INSTANCES {
            let domain = &plan.domains[index % plan.domains.len()];
            let name: InstanceName = format!("e{}", index + 1).parse()?;
            let mut settings = Settings::new(name, domain.parse()?, platform.address());
            settings.domains =
                plan.domains.iter().map(|name| name.parse()).collect::<Result<_, _>>()?;
            settings.peers = seats.iter().map(|seat| seat.addresses.peers).collect();
            settings.log = LogFormat::Off;
            settings.seed = plan.seed + index as u64;
            settings.drain_time = Span::from_secs(15);
            let daemon = Daemon::start(settings.clone())?;
            let addresses = daemon.addresses();
            announce(platform, &settings, addresses)?;
            settings.listen = addresses.callers;
            settings.operator_listen = addresses.operators;
            settings.peer_listen = addresses.peers;
            seats.push(Seat { settings, addresses, daemon: Some(daemon) });
        }
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(OPERATOR_TIME))
            .build();
        Ok(Self { seats: Mutex::new(seats), agent: config.into() })
    }

    fn seats(&self) -> MutexGuard<'_, Vec<Seat>> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the callers' addresses of all instances, running or not.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.seats().iter().map(|seat| seat.addresses.callers).collect()
    }

    /// Returns the operators' addresses of all instances, running or not.
    pub(super) fn operators(&self) -> Vec<SocketAddr> {
        self.seats().iter().map(|seat| seat.addresses.operators).collect()
    }

    /// Applies the built-in configuration and waits until the work is shared out.
    pub(super) fn configure(&self, plan: &Plan) -> Result<(), Error> {
        let folder = Folder::from_files(plan.files());
        let config = folder.check().map_err(|report| Error::Config(report.to_string()))?;
        let proposal = api::Proposal {
            base_version: 0,
            config: encode_text(&config),
            author: "demo".to_owned(),
        };
        let end = Instant::now() + READY_TIME;
        let mut last = String::from("no answer");
        while Instant::now() < end {
            match self.post(&proposal) {
                Ok(200 | 409) => return self.wait_shared(end),
                Ok(status) => last = format!("status {status}"),
                Err(error) => last = error.to_string(),
            }
            thread::sleep(LOOK_INTERVAL);
        }
        Err(Error::NotReady(last))
    }

    fn post(&self, proposal: &api::Proposal) -> Result<u16, ureq::Error> {
        let address = self.operators()[0];
        let url = format!("http://{address}{}", api::CONFIG_PATH);
        let reply = self.agent.post(&url).send_json(proposal)?;
        Ok(reply.status().as_u16())
    }

    /// Waits until every instance runs the configuration and has free slots.
    fn wait_shared(&self, end: Instant) -> Result<(), Error> {
        let mut last = String::from("no status");
        while Instant::now() < end {
            match self.status() {
                Ok(status) if is_shared(&status) => return Ok(()),
                Ok(status) => last = format!("{:?}", status.instances),
                Err(error) => last = error.to_string(),
            }
            thread::sleep(LOOK_INTERVAL);
        }
        Err(Error::NotReady(last))
    }

    fn status(&self) -> Result<api::Status, ureq::Error> {
        let address = self.operators()[0];
        let url = format!("http://{address}{}", api::STATUS_PATH);
        self.agent.get(&url).call()?.body_mut().read_json()
    }

    /// Ends an instance abruptly.
    pub(super) fn kill(&self, index: usize) {
        let daemon = self.seats().get_mut(index).and_then(|seat| seat.daemon.take());
        if let Some(daemon) = daemon {
            daemon.kill();
        }
    }

    /// Starts an instance in the place of one that was ended.
    pub(super) fn restart(&self, index: usize) -> Result<(), Error> {
        let settings = self.seats().get(index).map(|seat| seat.settings.clone());
        if let Some(settings) = settings {
            let daemon = start_again(&settings)?;
            if let Some(seat) = self.seats().get_mut(index) {
                seat.daemon = Some(daemon);
            }
        }
        Ok(())
    }

    /// Starts instances anew whose sessions were fenced.
    pub(super) fn tend(&self) -> Result<(), Error> {
        for index in 0..INSTANCES {
            let fenced = self.seats().get(index).is_some_and(|seat| {
                let ends = seat.daemon.as_ref().map(|daemon| daemon.ends().try_iter());
                ends.into_iter().flatten().any(|end| end == End::Fenced)
            });
            if fenced {
                self.kill(index);
                self.restart(index)?;
            }
        }
        Ok(())
    }

    /// Returns the misses that the entry instances settle for the whole period.
    pub(super) fn settle(&self) -> Option<u64> {
        let mut last = None;
        for _ in 0..SETTLE_TRIES {
            let settled = self.settle_once();
            // Equal answers in a row: nothing is on its way any more.
            if settled.is_some() && settled == last {
                return settled;
            }
            last = settled;
            thread::sleep(Duration::from_millis(2_500));
        }
        last
    }

    fn settle_once(&self) -> Option<u64> {
        let address = self.operators()[0];
        let url = format!("http://{address}{}?by=target", api::PENALTIES_PATH);
        let mut reply = self.agent.get(&url).call().ok()?;
        let penalties: api::Penalties = reply.body_mut().read_json().ok()?;
        Some(penalties.total.missed)
    }

    /// Ends all instances gracefully; returns whether each finished in time.
    pub(super) fn drain(&self) -> bool {
        let daemons: Vec<Daemon> =
            self.seats().iter_mut().filter_map(|seat| seat.daemon.take()).collect();
        let drains: Vec<_> =
            daemons.into_iter().map(|daemon| thread::spawn(move || daemon.drain())).collect();
        drains.into_iter().all(|drain| drain.join().unwrap_or(false))
    }
}

/// Starts an instance, waiting for the system to free the ports of the last one.
fn start_again(settings: &Settings) -> Result<Daemon, Error> {
    let end = Instant::now() + PORTS_TIME;
    loop {
        match Daemon::start(settings.clone()) {
            Ok(daemon) => return Ok(daemon),
            Err(error) if Instant::now() >= end => return Err(error.into()),
            Err(_) => thread::sleep(LOOK_INTERVAL),
        }
    }
}

fn is_shared(status: &api::Status) -> bool {
    let ready = |instance: &api::Instance| instance.version > 0 && instance.free_slots > 0;
    status.instances.len() == INSTANCES && status.instances.iter().all(ready)
}

fn announce(platform: &Platform, settings: &Settings, addresses: Addresses) -> Result<(), Error> {
    let instance = Instance {
        name: settings.name.to_string(),
        address: addresses.peers,
        path: String::new(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        rack: "entry".parse()?,
        state: State::Live,
        role: Role::Entry,
    };
    platform.change(Change::Add(Box::new(instance)));
    Ok(())
}
