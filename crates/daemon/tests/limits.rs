//! Guards against malformed, oversized or slow requests that are not rejected with the
//! right status, or that hold a connection open.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use sycamorerill_core::api::{Failure, Kind};
use sycamorerill_core::clock::Span;
use sycamorerill_daemon::settings::Limits;

use common::{MAX_WAIT, client, instance, platform};

fn failure(url: &str, fields: &[(&str, &str)], body: &[u8]) -> (u16, Kind) {
    let mut request = client().post(url);
    for (name, value) in fields {
        request = request.header(*name, *value);
    }
    let mut reply = request.send(body).unwrap();
    let status = reply.status().as_u16();
    let failure: Failure = reply.body_mut().read_json().unwrap();
    assert!(!failure.error.message.is_empty() && !failure.error.hint.is_empty());
    (status, failure.error.kind)
}

/// Sends bytes and returns everything received until the instance closes the connection.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // A reset counts as a close.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn malformed_oversized_and_slow_requests_are_rejected() {
    let platform = platform();
    let limits = Limits {
        body_bytes: 1_000,
        head_bytes: 8 * 1_024,
        head_time: Span::from_ms(300),
        body_time: Span::from_ms(300),
        ..Limits::default()
    };
    let daemon = instance(&platform, limits);
    let callers = daemon.addresses().callers;
    let orders = format!("http://{callers}/call/orders/x");

    let unknown = format!("http://{callers}/call/nothing/x");
    assert_eq!(failure(&unknown, &[], b""), (404, Kind::NotFound));
    let elsewhere = format!("http://{callers}/elsewhere");
    assert_eq!(failure(&elsewhere, &[], b""), (404, Kind::NotFound));
    assert_eq!(failure(&orders, &[("x-urgency", "now")], b""), (400, Kind::Malformed));
    assert_eq!(failure(&orders, &[("x-deadline-ms", "-1")], b""), (400, Kind::Malformed));
    let long = "k".repeat(300);
    assert_eq!(failure(&orders, &[("idempotency-key", &long)], b""), (400, Kind::Malformed));
    assert_eq!(failure(&orders, &[], &[b'x'; 1_001]), (413, Kind::TooLarge));

    let jobs = format!("http://{}/v1/jobs", daemon.addresses().operators);
    assert_eq!(failure(&jobs, &[], b"{"), (400, Kind::Malformed));
    let status = format!("http://{}/v1/status", daemon.addresses().operators);
    assert_eq!(failure(&status, &[], b""), (405, Kind::Method));

    let nonsense = raw(callers, b"\x00\x01\x02 nonsense\r\n\r\n");
    assert!(nonsense.starts_with("HTTP/1.1 400") || nonsense.is_empty(), "{nonsense}");
    let head = format!("GET / HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "y".repeat(20_000));
    let large = raw(callers, head.as_bytes());
    assert!(large.starts_with("HTTP/1.1 431") || large.is_empty(), "{large}");

    // An incomplete head or body must not hold a connection open.
    assert!(!raw(callers, b"GET / HTTP/1.1\r\nhost: x\r\n").starts_with("HTTP/1.1 2"));
    let half = b"POST /call/orders/x HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";
    let half = raw(callers, half);
    assert!(half.starts_with("HTTP/1.1 408"), "{half}");
    daemon.kill();
}
