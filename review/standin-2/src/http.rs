//! A small HTTP/1.1 server and caller on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// Reads a request; returns none once the peer has closed the connection.
pub fn read_request(from: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(from)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut request = Request { method, path: String::new(), query: Vec::new(), headers, body: Vec::new() };
    let length = request.header("content-length").map_or(Some(0), |text| text.parse().ok())?;
    request.body = vec![0; length];
    from.read_exact(&mut request.body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    request.path = path.to_owned();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    request.query = pairs.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    Some(request)
}

fn read_head(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let line = |from: &mut BufReader<TcpStream>| {
        let mut line = String::new();
        let bytes = from.read_line(&mut line).ok()?;
        (bytes > 0).then(|| line.trim_end().to_owned())
    };
    let first = line(from)?;
    let mut headers = Vec::new();
    loop {
        let next = line(from)?;
        if next.is_empty() {
            return Some((first, headers));
        }
        let (key, value) = next.split_once(':')?;
        headers.push((key.trim().to_owned(), value.trim().to_owned()));
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = if bytes[at] == b'%' { text.get(at + 1..at + 3) } else { None };
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn respond(to: &mut TcpStream, status: u16, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    to.write_all((head + body).as_bytes()).is_ok()
}

/// Returns whether the peer has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Sends a call on a connection of its own; returns the status and the body of the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
