//! Measures how slow clients and clients with many connections affect `tiny_http` and `hyper`.
//!
//! Prints one JSON object per line. Run with
//! `cargo bench -p sycamorerill-fakes --bench http_limits`.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::service::service_fn;
use serde_json::json;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::{Domain, Socket, Type};
use sycamorerill_fakes::{Platform, Settings};

/// Threads that handle requests of the `tiny_http` server.
const HANDLERS: usize = 4;
/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 4_096;
/// Connections that send nothing.
const IDLE_CONNECTIONS: usize = 2_000;
/// Connections that send their headers at one byte per second.
const SLOW_CONNECTIONS: usize = 100;
/// Time for which the slow headers are sent.
const SLOW_DURATION: Duration = Duration::from_secs(6);
/// Length of the long header line, in bytes.
const LONG_LINE_BYTES: usize = 10 << 20;
/// Connections that are opened at once.
const BURST_CONNECTIONS: usize = 600;
/// Header timeout of the server that has one.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between scenarios, longer than `tiny_http` keeps an idle thread.
const SCENARIO_PAUSE: Duration = Duration::from_secs(6);
/// Read timeout of a normal request.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

const REQUEST: &[u8] = b"GET /counts HTTP/1.1\r\nhost: x\r\n\r\n";

/// Starts a `tiny_http` server that reads each body and answers.
fn start_tiny_http() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(BACKLOG).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let server = Arc::new(tiny_http::Server::from_listener(listener, None).unwrap());
    for _ in 0..HANDLERS {
        let server = Arc::clone(&server);
        thread::spawn(move || {
            while let Ok(mut request) = server.recv() {
                let _ = request.as_reader().read_to_end(&mut Vec::new());
                let _ = request.respond(tiny_http::Response::from_string("ok"));
            }
        });
    }
    address
}

/// Starts a `hyper` server that closes a connection whose header takes longer than
/// [`HEADER_TIMEOUT`].
fn start_hyper_with_header_timeout() -> SocketAddr {
    let listener = async_io::Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    thread::spawn(move || {
        let executor = async_executor::LocalExecutor::new();
        async_io::block_on(executor.run(async {
            while let Ok((stream, _)) = listener.accept().await {
                executor.spawn(serve(stream)).detach();
            }
        }));
    });
    address
}

async fn serve(stream: async_io::Async<TcpStream>) {
    let service = service_fn(|request: hyper::Request<hyper::body::Incoming>| async {
        let _ = request.collect().await;
        Ok::<_, std::convert::Infallible>(hyper::Response::new("ok".to_owned()))
    });
    let mut server = hyper::server::conn::http1::Builder::new();
    server.timer(SmolTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let _ = server.serve_connection(FuturesIo::new(stream), service).await;
}

/// Returns a numeric field of `/proc/self/status`.
fn status(name: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim_start_matches(':').split_whitespace().next().unwrap().parse().unwrap()
}

fn rss_mib() -> f64 {
    (status("VmRSS") as f64 / 1024.0).round()
}

/// Sends a normal request and returns the time to the first bytes of the answer, in milliseconds,
/// or none if there was no answer.
fn normal_request_ms(address: SocketAddr) -> Option<f64> {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.write_all(REQUEST).ok()?;
    let read = stream.read(&mut [0; 64]).ok()?;
    (read > 0).then(|| (started_at.elapsed().as_secs_f64() * 1e5).round() / 1e2)
}

/// Returns whether the server has closed the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    !matches!(stream.read(&mut [0; 512]), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

fn connect(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| TcpStream::connect(address).unwrap()).collect()
}

fn idle(server: &str, address: SocketAddr) {
    let (threads, rss) = (status("Threads"), rss_mib());
    let mut streams = connect(address, IDLE_CONNECTIONS);
    let rest = HEADER_TIMEOUT + Duration::from_secs(1);
    thread::sleep(rest);
    let closed = streams.iter_mut().filter_map(|stream| is_closed(stream).then_some(())).count();
    let line = json!({
        "bench": "http_limits", "server": server, "scenario": "idle", "connections": streams.len(),
        "wall": true, "closed_by_server": closed, "threads_added": status("Threads") - threads,
        "rss_added_mib": rss_mib() - rss, "honest_ms": normal_request_ms(address),
    });
    println!("{line}");
}

fn slow_headers(server: &str, address: SocketAddr) {
    let threads = status("Threads");
    let mut streams = connect(address, SLOW_CONNECTIONS);
    let started_at = Instant::now();
    let mut head = b"GET / HTTP/1.1\r\nx-slow: aaaaaaaaaaaa".iter();
    while started_at.elapsed() < SLOW_DURATION {
        let byte = [*head.next().unwrap()];
        streams.iter_mut().for_each(|stream| drop(stream.write_all(&byte)));
        thread::sleep(Duration::from_secs(1));
    }
    let threads = status("Threads") - threads;
    let closed = streams.iter_mut().filter_map(|stream| is_closed(stream).then_some(())).count();
    let line = json!({
        "bench": "http_limits", "server": server, "scenario": "slow_headers", "connections": SLOW_CONNECTIONS,
        "wall": true, "seconds": SLOW_DURATION.as_secs(), "closed_by_server": closed,
        "threads_added": threads, "honest_ms": normal_request_ms(address),
    });
    println!("{line}");
}

fn long_line(server: &str, address: SocketAddr) {
    let rss = rss_mib();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut sent = stream.write(b"GET /counts HTTP/1.1\r\nx-long: ").unwrap();
    let piece = [b'a'; 64 << 10];
    while sent < LONG_LINE_BYTES {
        match stream.write(&piece) {
            Ok(bytes) => sent += bytes,
            Err(_) => break,
        }
    }
    let grown = rss_mib() - rss;
    let _ = stream.write_all(b"\r\n\r\n");
    let mut answer = [0; 64];
    let read = stream.read(&mut answer).unwrap_or_default();
    let answer = String::from_utf8_lossy(&answer[..read]);
    let line = json!({
        "bench": "http_limits", "server": server, "scenario": "long_header_line", "wall": true,
        "sent_bytes": sent, "rss_added_mib": grown, "answer": answer.lines().next(),
    });
    println!("{line}");
}

fn slow_bodies(server: &str, address: SocketAddr) {
    let mut streams = connect(address, HANDLERS);
    let head = b"POST /counts HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\na";
    streams.iter_mut().for_each(|stream| stream.write_all(head).unwrap());
    thread::sleep(Duration::from_millis(500));
    let waited = normal_request_ms(address);
    let line = json!({
        "bench": "http_limits", "server": server, "scenario": "slow_bodies", "wall": true,
        "connections": HANDLERS, "honest_ms": waited,
    });
    println!("{line}");
}

/// Opens many connections at once and sends a request over each, in five rounds.
fn burst(server: &str, address: SocketAddr) {
    let rounds: Vec<usize> = (0..5).map(|_| burst_round(address)).collect();
    let line = json!({
        "bench": "http_limits", "server": server, "scenario": "burst", "wall": true,
        "connections": BURST_CONNECTIONS, "patience_ms": READ_TIMEOUT.as_millis() as u64,
        "unanswered_by_round": rounds,
    });
    println!("{line}");
}

fn burst_round(address: SocketAddr) -> usize {
    let mut streams = connect(address, BURST_CONNECTIONS);
    streams.iter_mut().for_each(|stream| stream.write_all(REQUEST).unwrap());
    let deadline = Instant::now() + READ_TIMEOUT;
    let mut unanswered = 0;
    for stream in &mut streams {
        let left = deadline.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
        unanswered += usize::from(stream.read(&mut [0; 512]).is_err());
    }
    unanswered
}

fn main() {
    let platform = Platform::start(Settings::default()).unwrap();
    let servers = [
        ("tiny_http", start_tiny_http()),
        ("hyper", platform.address()),
        ("hyper_with_header_timeout", start_hyper_with_header_timeout()),
    ];
    for (server, address) in servers {
        for scenario in [idle, slow_headers, long_line, burst, slow_bodies] {
            scenario(server, address);
            thread::sleep(SCENARIO_PAUSE);
        }
    }
}
