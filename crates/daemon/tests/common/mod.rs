//! Fixtures: a fake platform and entry instances in the process of the test.

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

/// Maximum wait for an expected condition or response.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(60);

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/ropes");

/// Starts a fake platform with 4 workers and 4 executors.
pub(crate) fn platform() -> Platform {
    Platform::start(sycamorerill_fakes::Settings {
        deployment: Deployment::ropes().scaled(4, 4),
        list_lag: Span::ZERO,
        speedup: 100.0,
        ..sycamorerill_fakes::Settings::default()
    })
    .unwrap()
}

/// Starts an entry instance, applies the configuration in `examples/ropes` and waits until
/// the instance is ready.
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
    wait_until("the instance is ready", || {
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

/// Waits until `reached` returns true.
///
/// # Panics
///
/// Panics after [`MAX_WAIT`]; `what` names the condition in the message.
pub(crate) fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let end = Instant::now() + MAX_WAIT;
    while !reached() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns a client that does not treat error statuses as errors.
pub(crate) fn client() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(MAX_WAIT))
        .build()
        .new_agent()
}
