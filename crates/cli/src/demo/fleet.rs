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
use sycamorerill_daemon::{Addresses, Daemon, EndReason};
use sycamorerill_fakes::Platform;

use super::Error;
use super::plan::Plan;

/// Number of entry instances.
const INSTANCE_COUNT: usize = 3;
/// Timeout for all instances to run the configuration and to have free slots.
const READY_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two attempts to configure, query or restart an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of an operator's request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the ports of a stopped instance to become free.
const PORTS_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of attempts to get two equal totals in a row.
const MAX_SETTLE_ATTEMPTS: u32 = 40;

/// An entry instance, running or stopped.
struct ManagedInstance {
    settings: Settings,
    addresses: Addresses,
    daemon: Option<Daemon>,
}

/// Runs the entry instances.
pub(super) struct Fleet {
    instances: Mutex<Vec<ManagedInstance>>,
    agent: ureq::Agent,
}

impl Fleet {
    /// Starts the entry instances and adds them to the platform's instance list.
    pub(super) fn start(plan: &Plan, platform: &Platform) -> Result<Self, Error> {
        let mut instances: Vec<ManagedInstance> = Vec::with_capacity(INSTANCE_COUNT);
        for index in 0..INSTANCE_COUNT {
            let domain = &plan.domains[index % plan.domains.len()];
            let name: InstanceName = format!("e{}", index + 1).parse()?;
            let mut settings = Settings::new(name, domain.parse()?, platform.address());
            settings.domains =
                plan.domains.iter().map(|name| name.parse()).collect::<Result<_, _>>()?;
            settings.peers = instances.iter().map(|instance| instance.addresses.peers).collect();
            settings.log = LogFormat::Off;
            settings.seed = plan.seed + index as u64;
            settings.drain_time = Span::from_secs(15);
            let daemon = Daemon::start(settings.clone())?;
            let addresses = daemon.addresses();
            register(platform, &settings, addresses)?;
            settings.listen = addresses.callers;
            settings.operator_listen = addresses.operators;
            settings.peer_listen = addresses.peers;
            instances.push(ManagedInstance { settings, addresses, daemon: Some(daemon) });
        }
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(OPERATOR_TIMEOUT))
            .build();
        Ok(Self { instances: Mutex::new(instances), agent: config.into() })
    }

    fn instances(&self) -> MutexGuard<'_, Vec<ManagedInstance>> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the caller addresses of all instances, running or not.
    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.instances().iter().map(|instance| instance.addresses.callers).collect()
    }

    /// Returns the operator addresses of all instances, running or not.
    pub(super) fn operators(&self) -> Vec<SocketAddr> {
        self.instances().iter().map(|instance| instance.addresses.operators).collect()
    }

    /// Applies the built-in configuration and waits until every instance is ready.
    pub(super) fn configure(&self, plan: &Plan) -> Result<(), Error> {
        let folder = Folder::from_files(plan.files());
        let config = folder.check().map_err(|report| Error::Config(report.to_string()))?;
        let proposal = api::Proposal {
            base_version: 0,
            config: encode_text(&config),
            author: "demo".to_owned(),
        };
        let end = Instant::now() + READY_TIMEOUT;
        let mut last = String::from("no answer");
        while Instant::now() < end {
            match self.post(&proposal) {
                Ok(200 | 409) => return self.wait_until_ready(end),
                Ok(status) => last = format!("status {status}"),
                Err(error) => last = error.to_string(),
            }
            thread::sleep(POLL_INTERVAL);
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
    fn wait_until_ready(&self, end: Instant) -> Result<(), Error> {
        let mut last = String::from("no status");
        while Instant::now() < end {
            match self.status() {
                Ok(status) if is_ready(&status) => return Ok(()),
                Ok(status) => last = format!("{:?}", status.instances),
                Err(error) => last = error.to_string(),
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(Error::NotReady(last))
    }

    fn status(&self) -> Result<api::Status, ureq::Error> {
        let address = self.operators()[0];
        let url = format!("http://{address}{}", api::STATUS_PATH);
        self.agent.get(&url).call()?.body_mut().read_json()
    }

    /// Stops an instance abruptly.
    pub(super) fn kill(&self, index: usize) {
        let daemon = self.instances().get_mut(index).and_then(|instance| instance.daemon.take());
        if let Some(daemon) = daemon {
            daemon.kill();
        }
    }

    /// Starts a stopped instance again with the same settings and ports.
    pub(super) fn restart(&self, index: usize) -> Result<(), Error> {
        let settings = self.instances().get(index).map(|instance| instance.settings.clone());
        if let Some(settings) = settings {
            let daemon = start_with_retry(&settings)?;
            if let Some(instance) = self.instances().get_mut(index) {
                instance.daemon = Some(daemon);
            }
        }
        Ok(())
    }

    /// Restarts instances whose sessions were fenced.
    pub(super) fn restart_fenced(&self) -> Result<(), Error> {
        for index in 0..INSTANCE_COUNT {
            let fenced = self.instances().get(index).is_some_and(|instance| {
                let end_reasons =
                    instance.daemon.as_ref().map(|daemon| daemon.end_reasons().try_iter());
                end_reasons.into_iter().flatten().any(|reason| reason == EndReason::Fenced)
            });
            if fenced {
                self.kill(index);
                self.restart(index)?;
            }
        }
        Ok(())
    }

    /// Returns the number of missed targets that the entry instances settle for the whole run.
    ///
    /// Returns the last total if no two successive ones agree, or none if it could not be fetched.
    pub(super) fn settle(&self) -> Option<u64> {
        let mut last = None;
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            let settled = self.settle_once();
            // Two equal totals in a row: no missed target is still being recorded.
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

    /// Drains all instances and reports whether each finished in time.
    pub(super) fn drain(&self) -> bool {
        let daemons: Vec<Daemon> =
            self.instances().iter_mut().filter_map(|instance| instance.daemon.take()).collect();
        let drains: Vec<_> =
            daemons.into_iter().map(|daemon| thread::spawn(move || daemon.drain())).collect();
        drains.into_iter().all(|drain| drain.join().unwrap_or(false))
    }
}

/// Starts an instance, with retries until the system has freed the ports of its predecessor.
fn start_with_retry(settings: &Settings) -> Result<Daemon, Error> {
    let end = Instant::now() + PORTS_TIMEOUT;
    loop {
        match Daemon::start(settings.clone()) {
            Ok(daemon) => return Ok(daemon),
            Err(error) if Instant::now() >= end => return Err(error.into()),
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Returns whether all instances run a configuration and have free slots.
fn is_ready(status: &api::Status) -> bool {
    let ready = |instance: &api::Instance| instance.version > 0 && instance.free_slots > 0;
    status.instances.len() == INSTANCE_COUNT && status.instances.iter().all(ready)
}

/// Adds an entry instance to the platform's instance list.
fn register(platform: &Platform, settings: &Settings, addresses: Addresses) -> Result<(), Error> {
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
    platform.change_instance(Change::Add(Box::new(instance)));
    Ok(())
}
