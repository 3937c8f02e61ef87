//! A platform of stand-ins with entry instances, in the test's own process.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use sycamorerill_config::{Folder, encode_text};
use sycamorerill_core::api::{CONFIG_PATH, Proposal};
use sycamorerill_core::clock::Span;
use sycamorerill_daemon::Daemon;
use sycamorerill_daemon::settings::{Limits, LogFormat, Settings};
use sycamorerill_fakes::{Deployment, Platform};

/// Longest wait for something that must come.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/ropes");

/// Starts small stand-ins: 4 workers and 4 executors.
pub(crate) fn platform() -> Platform {
    Platform::start(sycamorerill_fakes::Settings {
        deployment: Deployment::ropes().scaled(4, 4),
        list_lag: Span::ZERO,
        speedup: 100.0,
        ..sycamorerill_fakes::Settings::default()
    })
    .unwrap()
}

/// Starts an entry instance and puts the configuration of the rope kits in force.
pub(crate) fn instance(platform: &Platform, limits: Limits) -> Daemon {
    let mut settings =
        Settings::new("e1".parse().unwrap(), "vejle-a".parse().unwrap(), platform.address());
    settings.domains = ["vejle-a", "vejle-b", "horsens", "fredericia"]
        .map(|domain| domain.parse().unwrap())
        .to_vec();
    settings.log = LogFormat::Off;
    settings.limits = limits;
    let daemon = Daemon::start(settings).unwrap();
    configure(daemon.addresses().operators);
    wait_until("callers are welcome", || {
        ureq::get(&format!("http://{}/readyz", daemon.addresses().callers)).call().is_ok()
    });
    daemon
}

fn configure(operators: SocketAddr) {
    let config = Folder::read(FOLDER).unwrap().check().unwrap();
    let config = encode_text(&config);
    let proposal = Proposal { base_version: 0, config, author: "test".to_owned() };
    let url = format!("http://{operators}{CONFIG_PATH}");
    wait_until("the configuration is accepted", || ureq::post(&url).send_json(&proposal).is_ok());
}

/// Waits until `reached` holds, for at most [`PATIENCE`].
pub(crate) fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !reached() {
        assert!(Instant::now() < end, "in vain: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A client that hands out answers of every status.
pub(crate) fn client() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .new_agent()
}
