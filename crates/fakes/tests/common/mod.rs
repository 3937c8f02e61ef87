//! What the tests share.

#![allow(dead_code, unreachable_pub)]

use sycamorerill_clients::{endpoint, table, worker};
use sycamorerill_core::clock::{Clock, Span};
use sycamorerill_core::rate::PerSecond;
use sycamorerill_fakes::{Platform, Settings};

/// Long enough that a loaded machine answers within it.
pub const PATIENCE: Span = Span::from_secs(30);

/// Settings without any lag or latency.
pub fn quick() -> Settings {
    Settings {
        list_lag: Span::ZERO,
        report_lag: Span::ZERO,
        store_latency: Span::ZERO,
        store_reads: PerSecond(0.0),
        store_writes: PerSecond(0.0),
        checkpoint_time: Span::ZERO,
        size_error: 1.0,
        time_error: 1.0,
        interference: 0.0,
        ..Settings::default()
    }
}

pub fn platform(settings: Settings) -> Platform {
    Platform::start(settings).expect("the stand-ins start on a free port")
}

pub fn patient() -> sycamorerill_clients::Settings {
    sycamorerill_clients::Settings { timeout: PATIENCE, ..Default::default() }
}

pub fn executor(platform: &Platform, name: &str) -> endpoint::Client {
    endpoint::Client::new(platform.address(), &format!("/executors/{name}"), patient())
}

pub fn worker(platform: &Platform, name: &str) -> worker::Client {
    worker::Client::new(platform.address(), &format!("/workers/{name}"), patient())
}

pub fn table(platform: &Platform) -> table::Client {
    table::Client::new(platform.address(), patient())
}

/// Waits until `reached` holds, for at most [`PATIENCE`].
pub fn wait_until(reached: impl Fn() -> bool) {
    let clock = Clock::start();
    let started = clock.now();
    while !reached() {
        assert!(clock.now().since(started) < PATIENCE, "nothing happened in {PATIENCE}");
        std::thread::sleep(Span::from_ms(1).into());
    }
}
