//! Resolution of each setting from its flag, its environment variable or its default.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, InstanceName, RegionName};
use xxhash_rust::xxh3::xxh3_64;

use super::error::{Error, Origin, SettingError};
use super::{Flags, Limits, LogFormat, Settings};

/// Prefix of all environment variables.
const VARIABLE_PREFIX: &str = "SYCAMORERILL_";
const ADDRESS_FORMAT: &str = "an IP address with a port";
const NAME_FORMAT: &str = "a name of a-z, 0-9, `-`, `_`, `.` or `/`";
const NUMBER_FORMAT: &str = "a whole number";
const SPAN_FORMAT: &str = "a span of time with its unit";

/// Environment variables, by name.
pub type Environment = BTreeMap<String, String>;

/// The flag of a setting and the description of its values in error messages.
#[derive(Clone, Copy)]
struct SettingSpec {
    flag: &'static str,
    expected: &'static str,
    example: &'static str,
}

struct Resolver<'a> {
    environment: &'a Environment,
    errors: Vec<SettingError>,
}

impl Resolver<'_> {
    fn lookup(&self, flag: &Option<String>, spec: SettingSpec) -> Option<(Origin, String)> {
        if let Some(value) = flag {
            return Some((Origin::Flag(spec.flag), value.clone()));
        }
        let name = variable(spec.flag);
        let value = self.environment.get(&name)?;
        Some((Origin::Variable(name), value.clone()))
    }

    fn optional<T: FromStr>(&mut self, flag: &Option<String>, spec: SettingSpec) -> Option<T> {
        let (origin, value) = self.lookup(flag, spec)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            let SettingSpec { expected, example, .. } = spec;
            self.errors.push(SettingError::Value { origin, value, expected, example });
        }
        parsed
    }

    fn required<T: FromStr>(&mut self, flag: &Option<String>, spec: SettingSpec) -> Option<T> {
        if self.lookup(flag, spec).is_none() {
            let SettingSpec { flag, expected, example } = spec;
            self.errors.push(SettingError::Missing {
                flag,
                variable: variable(flag),
                expected,
                example,
            });
            return None;
        }
        self.optional(flag, spec)
    }
}

fn variable(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.to_uppercase().replace('-', "_"))
}

const fn spec(flag: &'static str, expected: &'static str, example: &'static str) -> SettingSpec {
    SettingSpec { flag, expected, example }
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

/// Comma-separated failure domains without duplicates.
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
/// Returns all errors found.
pub fn resolve(flags: &Flags, environment: &Environment) -> Result<Settings, Error> {
    let mut resolver = Resolver { environment, errors: Vec::new() };
    let name = resolver.required::<InstanceName>(&flags.name, spec("name", NAME_FORMAT, "e1"));
    let domain =
        resolver.required::<DomainName>(&flags.domain, spec("domain", NAME_FORMAT, "vejle-a"));
    let region =
        resolver.optional::<RegionName>(&flags.region, spec("region", NAME_FORMAT, "main"));
    let listen = resolver.required(&flags.listen, spec("listen", ADDRESS_FORMAT, "10.0.0.1:8080"));
    let operator_listen = resolver
        .required(&flags.operator_listen, spec("operator-listen", ADDRESS_FORMAT, "10.0.0.1:8081"));
    let peer_listen =
        resolver.required(&flags.peer_listen, spec("peer-listen", ADDRESS_FORMAT, "10.0.0.1:8082"));
    let platform =
        resolver.required(&flags.platform, spec("platform", ADDRESS_FORMAT, "10.0.9.1:9000"));
    let peers = resolver.optional::<Addresses>(
        &flags.peers,
        spec("peers", "addresses separated by commas", "10.0.0.2:8082,10.0.0.3:8082"),
    );
    let domains = resolver.required::<Domains>(
        &flags.domains,
        spec("domains", "different names separated by commas", "vejle-a,vejle-b,horsens"),
    );
    let limits = resolve_limits(&mut resolver, flags);
    let drain_time = resolver.optional(&flags.drain_time, spec("drain-time", SPAN_FORMAT, "30s"));
    let platform_time =
        resolver.optional(&flags.platform_time, spec("platform-time", SPAN_FORMAT, "1s"));
    let log = resolver.optional(&flags.log, spec("log", "text, json or off", "json"));
    let seed = resolver.optional(&flags.seed, spec("seed", NUMBER_FORMAT, "1"));
    check_distinct_addresses(&mut resolver, listen, operator_listen, peer_listen);

    let errors = resolver.errors;
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
        return Err(Error { errors });
    };
    if !errors.is_empty() {
        return Err(Error { errors });
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

fn resolve_limits(resolver: &mut Resolver<'_>, flags: &Flags) -> Limits {
    let default = Limits::default();
    let connections =
        resolver.optional(&flags.max_connections, spec("max-connections", NUMBER_FORMAT, "4096"));
    let head_bytes =
        resolver.optional(&flags.max_head_bytes, spec("max-head-bytes", NUMBER_FORMAT, "16384"));
    let body_bytes =
        resolver.optional(&flags.max_body_bytes, spec("max-body-bytes", NUMBER_FORMAT, "4194304"));
    let head_time: Option<Span> =
        resolver.optional(&flags.head_time, spec("head-time", SPAN_FORMAT, "5s"));
    let body_time: Option<Span> =
        resolver.optional(&flags.body_time, spec("body-time", SPAN_FORMAT, "10s"));
    Limits {
        connections: connections.unwrap_or(default.connections),
        head_bytes: head_bytes.unwrap_or(default.head_bytes),
        body_bytes: body_bytes.unwrap_or(default.body_bytes),
        head_time: head_time.unwrap_or(default.head_time),
        body_time: body_time.unwrap_or(default.body_time),
    }
}

fn check_distinct_addresses(
    resolver: &mut Resolver<'_>,
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
            resolver.errors.push(SettingError::SameAddress { first, second, address });
        }
    }
}
