//! A small HTTP/1.1 server side and caller on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn param(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn read_head(from: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let line = |from: &mut dyn BufRead| {
        let mut line = String::new();
        (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
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

fn read_body(from: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = find(headers, "content-length").map_or(Some(0), |value| value.parse().ok())?;
    let mut body = vec![0; Some(length).filter(|length: &usize| *length <= 8_000_000)?];
    from.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn read_request(from: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(from)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(from, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while let Some(byte) = bytes.get(at) {
        let hex = (*byte == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        let escaped = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        out.push(escaped.unwrap_or(*byte));
        at += if escaped.is_some() { 3 } else { 1 };
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

/// Sends one call on a connection of its own; returns the status and the body of the response.
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
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
