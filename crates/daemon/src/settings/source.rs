//! Reads each setting from its flag, its variable or its default.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, InstanceName, RegionName};
use xxhash_rust::xxh3::xxh3_64;

use super::error::{Error, Fault, Source};
use super::{Flags, Limits, LogFormat, Settings};

/// Prefix of every environment variable.
const PREFIX: &str = "SYCAMORERILL_";
const ADDRESS: &str = "an IP address with a port";
const NAME: &str = "a name of a-z, 0-9, `-`, `_`, `.` or `/`";
const NUMBER: &str = "a whole number";
const SPAN: &str = "a span of time with its unit";

/// Environment variables by name.
pub type Environment = BTreeMap<String, String>;

/// What a setting accepts, for messages.
#[derive(Clone, Copy)]
struct Form {
    flag: &'static str,
    expected: &'static str,
    example: &'static str,
}

struct Reader<'a> {
    environment: &'a Environment,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn find(&self, flag: &Option<String>, form: Form) -> Option<(Source, String)> {
        if let Some(value) = flag {
            return Some((Source::Flag(form.flag), value.clone()));
        }
        let name = variable(form.flag);
        let value = self.environment.get(&name)?;
        Some((Source::Variable(name), value.clone()))
    }

    fn optional<T: FromStr>(&mut self, flag: &Option<String>, form: Form) -> Option<T> {
        let (source_place, value) = self.find(flag, form)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            let Form { expected, example, .. } = form;
            self.faults.push(Fault::Value { source_place, value, expected, example });
        }
        parsed
    }

    fn required<T: FromStr>(&mut self, flag: &Option<String>, form: Form) -> Option<T> {
        if self.find(flag, form).is_none() {
            let Form { flag, expected, example } = form;
            self.faults.push(Fault::Missing { flag, variable: variable(flag), expected, example });
            return None;
        }
        self.optional(flag, form)
    }
}

fn variable(flag: &str) -> String {
    format!("{PREFIX}{}", flag.to_uppercase().replace('-', "_"))
}

const fn form(flag: &'static str, expected: &'static str, example: &'static str) -> Form {
    Form { flag, expected, example }
}

/// Comma-separated addresses.
struct Addresses(Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

/// Comma-separated failure domains, each once.
struct Domains(Vec<DomainName>);

impl FromStr for Domains {
    type Err = sycamorerill_core::id::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut domains: Vec<DomainName> = Vec::new();
        for part in text.split(',') {
            let domain = part.trim().parse()?;
            if domains.contains(&domain) {
                return Err(Self::Err::Malformed { kind: "list", text: text.to_owned() });
            }
            domains.push(domain);
        }
        Ok(Self(domains))
    }
}

impl FromStr for LogFormat {
    type Err = sycamorerill_core::id::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "off" => Ok(Self::Off),
            _ => Err(Self::Err::Malformed { kind: "log format", text: text.to_owned() }),
        }
    }
}

/// Resolves settings from flags and environment variables.
///
/// # Errors
///
/// Fails with every mistake found.
pub fn resolve(flags: &Flags, environment: &Environment) -> Result<Settings, Error> {
    let mut reader = Reader { environment, faults: Vec::new() };
    let name = reader.required::<InstanceName>(&flags.name, form("name", NAME, "e1"));
    let domain = reader.required::<DomainName>(&flags.domain, form("domain", NAME, "vejle-a"));
    let region = reader.optional::<RegionName>(&flags.region, form("region", NAME, "main"));
    let listen = reader.required(&flags.listen, form("listen", ADDRESS, "10.0.0.1:8080"));
    let operator_listen =
        reader.required(&flags.operator_listen, form("operator-listen", ADDRESS, "10.0.0.1:8081"));
    let peer_listen =
        reader.required(&flags.peer_listen, form("peer-listen", ADDRESS, "10.0.0.1:8082"));
    let platform = reader.required(&flags.platform, form("platform", ADDRESS, "10.0.9.1:9000"));
    let peers = reader.optional::<Addresses>(
        &flags.peers,
        form("peers", "addresses separated by commas", "10.0.0.2:8082,10.0.0.3:8082"),
    );
    let domains = reader.required::<Domains>(
        &flags.domains,
        form("domains", "different names separated by commas", "vejle-a,vejle-b,horsens"),
    );
    let limits = limits(&mut reader, flags);
    let drain_time = reader.optional(&flags.drain_time, form("drain-time", SPAN, "30s"));
    let platform_time = reader.optional(&flags.platform_time, form("platform-time", SPAN, "1s"));
    let log = reader.optional(&flags.log, form("log", "text, json or off", "json"));
    let seed = reader.optional(&flags.seed, form("seed", NUMBER, "1"));
    check_ports(&mut reader, listen, operator_listen, peer_listen);

    let faults = reader.faults;
    let required = (name, domain, domains, listen, operator_listen, peer_listen, platform);
    let (
        Some(name),
        Some(domain),
        Some(domains),
        Some(listen),
        Some(operator_listen),
        Some(peer_listen),
        Some(platform),
    ) = required
    else {
        return Err(Error { faults });
    };
    if !faults.is_empty() {
        return Err(Error { faults });
    }
    let seed = seed.unwrap_or_else(|| xxh3_64(name.bytes()));
    let settings = Settings::new(name, domain, platform);
    Ok(Settings {
        listen,
        operator_listen,
        peer_listen,
        domains: domains.0,
        peers: peers.map(|addresses| addresses.0).unwrap_or_default(),
        region: region.unwrap_or(settings.region),
        limits,
        drain_time: drain_time.unwrap_or(settings.drain_time),
        platform_time: platform_time.unwrap_or(settings.platform_time),
        log: log.unwrap_or(settings.log),
        seed,
        ..settings
    })
}

fn limits(reader: &mut Reader<'_>, flags: &Flags) -> Limits {
    let default = Limits::default();
    let connections =
        reader.optional(&flags.max_connections, form("max-connections", NUMBER, "4096"));
    let head_bytes =
        reader.optional(&flags.max_head_bytes, form("max-head-bytes", NUMBER, "16384"));
    let body_bytes =
        reader.optional(&flags.max_body_bytes, form("max-body-bytes", NUMBER, "4194304"));
    let head_time: Option<Span> = reader.optional(&flags.head_time, form("head-time", SPAN, "5s"));
    let body_time: Option<Span> = reader.optional(&flags.body_time, form("body-time", SPAN, "10s"));
    Limits {
        connections: connections.unwrap_or(default.connections),
        head_bytes: head_bytes.unwrap_or(default.head_bytes),
        body_bytes: body_bytes.unwrap_or(default.body_bytes),
        head_time: head_time.unwrap_or(default.head_time),
        body_time: body_time.unwrap_or(default.body_time),
    }
}

fn check_ports(
    reader: &mut Reader<'_>,
    listen: Option<SocketAddr>,
    operator: Option<SocketAddr>,
    peer: Option<SocketAddr>,
) {
    let named = [("listen", listen), ("operator-listen", operator), ("peer-listen", peer)];
    for (index, (first, address)) in named.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        let same = named[index + 1..].iter().filter(|(_, other)| *other == Some(address));
        for (second, _) in same {
            let address = address.to_string();
            reader.faults.push(Fault::SameAddress { first, second, address });
        }
    }
}
