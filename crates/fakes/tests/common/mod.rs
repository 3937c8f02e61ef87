//! Settings, clients and waiting that the tests share.

#![allow(dead_code, unreachable_pub)]

use sycamorerill_clients::{endpoint, table, worker};
use sycamorerill_core::clock::{Clock, Span};
use sycamorerill_core::rate::PerSecond;
use sycamorerill_fakes::{Platform, Settings};

/// Timeout of requests and waits, long enough for a loaded machine.
pub const TEST_TIMEOUT: Span = Span::from_secs(30);

/// Returns settings without lag, latency, rate limits, size errors and interference.
pub fn undelayed() -> Settings {
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

pub fn long_timeout() -> sycamorerill_clients::Settings {
    sycamorerill_clients::Settings { timeout: TEST_TIMEOUT, ..Default::default() }
}

pub fn executor(platform: &Platform, name: &str) -> endpoint::Client {
    endpoint::Client::new(platform.address(), &format!("/executors/{name}"), long_timeout())
}

pub fn worker(platform: &Platform, name: &str) -> worker::Client {
    worker::Client::new(platform.address(), &format!("/workers/{name}"), long_timeout())
}

pub fn table(platform: &Platform) -> table::Client {
    table::Client::new(platform.address(), long_timeout())
}

/// Waits until `reached` returns true; panics after [`TEST_TIMEOUT`].
pub fn wait_until(reached: impl Fn() -> bool) {
    let clock = Clock::start();
    let started = clock.now();
    while !reached() {
        assert!(
            clock.now().since(started) < TEST_TIMEOUT,
            "the condition did not hold within {TEST_TIMEOUT}"
        );
        std::thread::sleep(Span::from_ms(1).into());
    }
}
