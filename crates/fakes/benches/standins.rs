//! Measures the latency of the stand-ins and the clients on loopback, in wall-clock time.
//!
//! Prints one JSON object per line. Run with
//! `cargo bench -p sycamorerill-fakes --bench standins -- --seed 1`.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use serde_json::json;
use sycamorerill_clients::endpoint::{Call, Client, Outcome, headers};
use sycamorerill_clients::table::{self, Transaction, TransactionId};
use sycamorerill_clients::worker::{self, Command, Exchange, Start, Token};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{Attempt, Epoch};
use sycamorerill_core::rate::PerSecond;
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_fakes::{Platform, Settings};

/// Measured calls of each scenario.
const CALLS: u64 = 20_000;
/// Calls over each connection before the measured ones.
const WARM_UP: u64 = 500;
const NS_PER_US: f64 = 1_000.0;

fn call(identity: String, run_ms: u64) -> Call {
    Call {
        path: format!("/x?run_ms={run_ms}"),
        body: Bytes::from_static(b"{\"order\":1}"),
        identity,
        budget: Span::from_secs(30),
        ..Call::default()
    }
}

/// Calls from `clients` threads, each over one connection, and returns the latencies in
/// nanoseconds and the calls per second.
fn load(clients: u64, target: impl Fn(u64) -> Client + Sync) -> (Histogram<u64>, f64) {
    let started_at = Instant::now();
    let parts: Vec<Histogram<u64>> = thread::scope(|scope| {
        let threads: Vec<_> = (0..clients)
            .map(|thread| {
                let client = target(thread);
                scope.spawn(move || measure(&client, thread, CALLS / clients))
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let rate = CALLS as f64 / started_at.elapsed().as_secs_f64();
    let mut all = Histogram::new(3).unwrap();
    parts.iter().for_each(|part| all.add(part).unwrap());
    (all, rate)
}

fn measure(client: &Client, thread: u64, calls: u64) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).unwrap();
    for index in 0..WARM_UP + calls {
        let call = call(format!("{thread}-{index}"), 0);
        let started_at = Instant::now();
        let outcome = client.call(&call);
        let latency = started_at.elapsed();
        assert!(matches!(outcome, Outcome::Complete { status: 200, .. }), "{outcome:?}");
        if index >= WARM_UP {
            latencies.record(u64::try_from(latency.as_nanos()).unwrap()).unwrap();
        }
    }
    latencies
}

fn print(scenario: &str, clients: u64, (latencies, rate): (Histogram<u64>, f64)) {
    let us = |quantile| latencies.value_at_quantile(quantile) as f64 / NS_PER_US;
    let line = json!({
        "bench": "standins", "scenario": scenario, "clients": clients, "wall": true,
        "p50_us": us(0.5), "p99_us": us(0.99), "p999_us": us(0.999), "calls_per_s": rate.round(),
    });
    println!("{line}");
}

fn executor(address: SocketAddr, index: u64) -> Client {
    let path = format!("/executors/x-vejle-a-{:02}", index % 16 + 1);
    Client::new(address, &path, Default::default())
}

/// Starts a bare `tiny_http` server that echoes each body.
fn start_tiny_http() -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let server = std::sync::Arc::new(server);
    for _ in 0..8 {
        let server = std::sync::Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(mut request) = server.recv() {
                let mut body = Vec::new();
                request.as_reader().read_to_end(&mut body).unwrap();
                let identity = request.headers().iter().find(|h| h.field.equiv(headers::IDENTITY));
                let identity = identity.unwrap().clone();
                let response = tiny_http::Response::from_data(body).with_header(identity);
                request.respond(response).unwrap();
            }
        });
    }
    address
}

/// Sends `calls` at once, each of which runs for `run_ms`.
fn burst(platform: &Platform, calls: u64, run_ms: u64) {
    let address = platform.address();
    let started_at = Instant::now();
    let answered = thread::scope(|scope| {
        let threads: Vec<_> = (0..calls)
            .map(|index| {
                let client = executor(address, index);
                scope.spawn(move || client.call(&call(format!("burst-{index}"), run_ms)))
            })
            .collect();
        let outcomes = threads.into_iter().map(|thread| thread.join().unwrap());
        outcomes.filter(|outcome| matches!(outcome, Outcome::Complete { status: 200, .. })).count()
    });
    let took_ms = started_at.elapsed().as_secs_f64() * 1e3;
    let line = json!({
        "bench": "standins", "scenario": "burst", "calls": calls, "run_ms": run_ms, "wall": true,
        "whole": answered, "took_ms": took_ms.round(),
        "peak_on_one": platform.counts().executors.peak_running, "rss_mib": rss_mib(),
    });
    println!("{line}");
}

/// Returns the resident memory of this process, in MiB.
fn rss_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or_default() / 1024
}

fn time(scenario: &str, rounds: u32, mut round: impl FnMut(u32)) {
    let started_at = Instant::now();
    (0..rounds).for_each(&mut round);
    let each_us = started_at.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    let line = json!({
        "bench": "standins", "scenario": scenario, "rounds": rounds, "wall": true,
        "mean_us": (each_us * 10.0).round() / 10.0,
    });
    println!("{line}");
}

fn services(platform: &Platform) {
    let table = table::Client::new(platform.address(), Default::default());
    time("table_write", 2_000, |round| {
        let write = Transaction::new(TransactionId::new(format!("t{round}"))).put("row", "value");
        table.transact(&write).unwrap();
    });
    let worker =
        worker::Client::new(platform.address(), "/workers/w-vejle-a-01", Default::default());
    let size = Size::new(Cpu::from_cores(1), Memory::from_gib(1), Accel(0));
    let start = |index: u32| Start {
        task: format!("job/{index}").parse().unwrap(),
        attempt: Attempt(1),
        token: Token(1),
        size,
        lease: Span::from_secs(600),
        class: "cut-list".parse().unwrap(),
        declared: size,
        run_time: Span::from_secs(600),
        checkpoint: true,
        service: false,
        resume_from: None,
    };
    let exchange = |commands| Exchange {
        owner: "entry-1".parse().unwrap(),
        epoch: Epoch(1),
        not_after: None,
        commands,
    };
    let starts = (0..32).map(|index| Command::Start(start(index))).collect();
    worker.exchange(&exchange(starts)).unwrap();
    time("exchange_32_tasks", 2_000, |_| {
        let lease = Span::from_secs(600);
        worker.exchange(&exchange(vec![Command::RenewAll { lease }])).unwrap();
    });
}

fn main() {
    let mut args = std::env::args().skip_while(|arg| arg != "--seed").skip(1);
    let seed = args.next().map_or(1, |seed| seed.parse().expect("--seed takes a number"));
    let settings = Settings {
        seed,
        store_latency: Span::ZERO,
        store_reads: PerSecond(0.0),
        store_writes: PerSecond(0.0),
        ..Settings::default()
    };
    let platform = Platform::start(settings).unwrap();
    let address = platform.address();
    let tiny = start_tiny_http();
    for clients in [1, 8] {
        print("executor", clients, load(clients, |index| executor(address, index)));
        print(
            "bare_tiny_http",
            clients,
            load(clients, |_| Client::new(tiny, "", Default::default())),
        );
    }
    services(&platform);
    for calls in [64, 600, 2_000] {
        burst(&platform, calls, 500);
    }
}
