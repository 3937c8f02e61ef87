//! Measures the latency that one entry instance adds to a call on loopback, by the wall
//! clock.
//!
//! Prints one JSON object per line: for calls sent directly to an executor and for the
//! same calls through one entry instance, each with 1 and with 8 callers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sycamorerill_config::{Folder, encode_text};
use sycamorerill_core::api::{CONFIG_PATH, Proposal};
use sycamorerill_core::clock::Span;
use sycamorerill_daemon::Daemon;
use sycamorerill_daemon::settings::{LogFormat, Settings};
use sycamorerill_fakes::{Platform, ServiceTime};

/// Folder of the configuration that is applied.
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/ropes");
/// Number of unmeasured calls before each run.
const WARM_UP: u64 = 500;
/// Number of measured calls in each run.
const CALLS: u64 = 20_000;

fn main() {
    let platform = Platform::start(sycamorerill_fakes::Settings {
        service_times: [(
            "orders".parse().unwrap(),
            ServiceTime { median: Span::ZERO, p99_ratio: 1.0 },
        )]
        .into(),
        list_lag: Span::ZERO,
        ..sycamorerill_fakes::Settings::default()
    })
    .unwrap();
    let daemon = start(platform.address());
    let direct = format!("http://{}/executors/x-vejle-a-01/bench", platform.address());
    let through = format!("http://{}/call/orders/bench", daemon.addresses().callers);
    for callers in [1, 8] {
        for (path, url) in [("direct", &direct), ("entry", &through)] {
            measure(path, callers, url, true);
            measure(path, callers, url, false);
        }
    }
    daemon.kill();
    platform.stop();
}

fn start(platform: SocketAddr) -> Daemon {
    let domain = "vejle-a".parse().unwrap();
    let mut settings = Settings::new("e1".parse().unwrap(), domain, platform);
    settings.domains = ["vejle-a", "vejle-b", "horsens", "fredericia"]
        .map(|domain| domain.parse().unwrap())
        .to_vec();
    settings.log = LogFormat::Off;
    let daemon = Daemon::start(settings).unwrap();
    let config = Folder::read(FOLDER).unwrap().check().unwrap();
    let proposal =
        Proposal { base_version: 0, config: encode_text(&config), author: "bench".to_owned() };
    let url = format!("http://{}{CONFIG_PATH}", daemon.addresses().operators);
    let end = Instant::now() + Duration::from_secs(30);
    while ureq::post(&url).send_json(&proposal).is_err() {
        assert!(Instant::now() < end, "the configuration was not accepted");
        thread::sleep(Duration::from_millis(100));
    }
    // Waits until the instance owns all shards and the router uses all slots of the
    // executors.
    thread::sleep(Duration::from_secs(8));
    daemon
}

fn measure(path: &str, callers: u64, url: &str, warm_up: bool) {
    let calls = if warm_up { WARM_UP } else { CALLS };
    let next = AtomicU64::new(0);
    let begun = Instant::now();
    let histograms: Vec<Histogram<u64>> = thread::scope(|scope| {
        let callers: Vec<_> =
            (0..callers).map(|_| scope.spawn(|| call(url, &next, calls))).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    let took = begun.elapsed().as_secs_f64();
    if warm_up {
        return;
    }
    let mut all = Histogram::<u64>::new(3).unwrap();
    histograms.iter().for_each(|one| all.add(one).unwrap());
    let ms = |quantile: f64| all.value_at_quantile(quantile) as f64 / 1_000_000.0;
    println!(
        "{{\"wall\":true,\"path\":\"{path}\",\"callers\":{callers},\"calls\":{calls},\
         \"p50_ms\":{:.4},\"p99_ms\":{:.4},\"calls_a_second\":{:.0}}}",
        ms(0.5),
        ms(0.99),
        calls as f64 / took
    );
}

fn call(url: &str, next: &AtomicU64, calls: u64) -> Histogram<u64> {
    let agent = ureq::Agent::config_builder().http_status_as_error(false).build().new_agent();
    let mut histogram = Histogram::new(3).unwrap();
    while next.fetch_add(1, Ordering::Relaxed) < calls {
        let begun = Instant::now();
        let mut reply = agent.get(url).header("x-request-id", "bench").call().unwrap();
        let status = reply.status();
        let body = reply.body_mut().read_to_string().unwrap();
        assert!(status == 200, "status {status}: {body}");
        histogram.record(u64::try_from(begun.elapsed().as_nanos()).unwrap()).unwrap();
    }
    histogram
}
