//! Decoding a configuration from bytes.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{self, Version};
use sycamorerill_core::model::{
    Class, Config, Domain, Goal, Policy, Service, Target, Team, Urgency,
};
use sycamorerill_core::money::Amount;
use sycamorerill_core::rate::{PerSecond, Share};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};
use sycamorerill_schema::config as wire;

use super::error::Error;
use super::{MAGIC, MAX_ENCODED_BYTES};

/// Maximum nesting depth of structs in a message.
const MAX_NESTING: i32 = 8;
/// Bytes in one Cap'n Proto word.
const BYTES_PER_WORD: usize = 8;

/// Decodes a configuration that [`super::encode`] encoded.
///
/// # Errors
///
/// [`Error`] if the bytes are truncated, corrupted, too many or not a configuration.
pub fn decode(bytes: &Bytes) -> Result<Config, Error> {
    if bytes.len() > MAX_ENCODED_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    let mut packed = packed_message(bytes)?;
    let mut options = ReaderOptions::new();
    options.nesting_limit(MAX_NESTING);
    options.traversal_limit_in_words(Some(MAX_ENCODED_BYTES / BYTES_PER_WORD));
    let message = serialize_packed::read_message(&mut packed, options)?;
    if !packed.is_empty() {
        return Err(Error::Damaged);
    }
    read_config(message.get_root()?)
}

/// Decodes a configuration that [`super::encode_text`] encoded.
///
/// # Errors
///
/// [`Error`] if the text is not base64, or as for [`decode`].
pub fn decode_text(text: &str) -> Result<Config, Error> {
    let bytes = STANDARD.decode(text).map_err(|_| Error::Base64)?;
    decode(&bytes.into())
}

/// Checks the header and returns the packed message after it.
fn packed_message(bytes: &[u8]) -> Result<&[u8], Error> {
    let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(Error::NotConfiguration)?;
    if *magic != MAGIC {
        return Err(Error::NotConfiguration);
    }
    let (checksum, packed) = rest.split_first_chunk::<4>().ok_or(Error::Damaged)?;
    if u32::from_le_bytes(*checksum) != crc32fast::hash(packed) {
        return Err(Error::Damaged);
    }
    Ok(packed)
}

fn read_config(from: wire::config::Reader<'_>) -> Result<Config, Error> {
    let mut config = Config {
        version: Version(from.get_version()),
        policy: read_policy(from.get_policy()?)?,
        ..Config::default()
    };
    for service in from.get_services()? {
        let service = read_service(service)?;
        insert(&mut config.services, service.name.clone(), service)?;
    }
    for class in from.get_classes()? {
        let class = read_class(class)?;
        insert(&mut config.classes, class.name.clone(), class)?;
    }
    for team in from.get_teams()? {
        let team = read_team(team)?;
        insert(&mut config.teams, team.name.clone(), team)?;
    }
    for target in from.get_targets()? {
        let target = read_target(target)?;
        insert(&mut config.targets, target.name.clone(), target)?;
    }
    for domain in from.get_domains()? {
        let domain = read_domain(domain)?;
        insert(&mut config.domains, domain.name.clone(), domain)?;
    }
    Ok(config)
}

fn insert<K: Ord + Display, V>(into: &mut BTreeMap<K, V>, name: K, value: V) -> Result<(), Error> {
    if into.contains_key(&name) {
        return Err(Error::DuplicateName(name.to_string()));
    }
    into.insert(name, value);
    Ok(())
}

fn read_service(from: wire::service::Reader<'_>) -> Result<Service, Error> {
    Ok(Service {
        name: name(from.get_name()?)?,
        team: name(from.get_team()?)?,
        urgency: urgency(from.get_urgency()?),
        idempotent: from.get_idempotent(),
        deadline: span(from.get_deadline_us()),
        longest_run: span(from.get_longest_run_us()),
        slots: from.get_slots(),
        max_body: from.get_max_body(),
        key_retention: span(from.get_key_retention_us()),
        rate: rate(from.get_rate())?,
    })
}

fn read_class(from: wire::class::Reader<'_>) -> Result<Class, Error> {
    Ok(Class {
        name: name(from.get_name()?)?,
        size: read_size(from.get_size()?),
        run_time: span(from.get_run_time_us()),
        deadline: span(from.get_deadline_us()),
        urgency: urgency(from.get_urgency()?),
        checkpoint: from.get_checkpoint(),
        attempts: from.get_attempts(),
        service: from.get_service(),
    })
}

fn read_team(from: wire::team::Reader<'_>) -> Result<Team, Error> {
    Ok(Team {
        name: name(from.get_name()?)?,
        weight: from.get_weight(),
        quota: read_size(from.get_quota()?),
        borrow: from.get_borrow(),
    })
}

fn read_target(from: wire::target::Reader<'_>) -> Result<Target, Error> {
    Ok(Target {
        name: name(from.get_name()?)?,
        goal: read_goal(from.get_goal())?,
        share: share(from.get_share())?,
        penalty: Amount(from.get_penalty()),
    })
}

fn read_goal(from: wire::target::goal::Reader<'_>) -> Result<Goal, Error> {
    match from.which()? {
        wire::target::goal::Answer(answer) => Ok(Goal::Answer {
            service: name(answer.get_service()?)?,
            within: span(answer.get_within_us()),
        }),
        wire::target::goal::Deadline(deadline) => {
            Ok(Goal::Deadline { class: name(deadline.get_class()?)? })
        }
    }
}

fn read_domain(from: wire::domain::Reader<'_>) -> Result<Domain, Error> {
    Ok(Domain {
        name: name(from.get_name()?)?,
        workers: from.get_workers(),
        worker: read_size(from.get_worker()?),
        rack: from.get_rack(),
        executors: from.get_executors(),
    })
}

fn read_policy(from: wire::policy::Reader<'_>) -> Result<Policy, Error> {
    Ok(Policy {
        retry_budget: share(from.get_retry_budget())?,
        eviction_budget: share(from.get_eviction_budget())?,
        size_margin: share(from.get_size_margin())?,
        task_lease: span(from.get_task_lease_us()),
        max_queue: from.get_max_queue(),
    })
}

fn read_size(from: wire::size::Reader<'_>) -> Size {
    Size::new(
        Cpu(from.get_cpu_millis()),
        Memory(from.get_memory_bytes()),
        Accel(from.get_accelerators()),
    )
}

fn name<T: FromStr<Err = id::Error>>(text: capnp::text::Reader<'_>) -> Result<T, Error> {
    Ok(text.to_str()?.parse()?)
}

fn urgency(urgency: wire::Urgency) -> Urgency {
    match urgency {
        wire::Urgency::Low => Urgency::Low,
        wire::Urgency::Normal => Urgency::Normal,
        wire::Urgency::High => Urgency::High,
        wire::Urgency::Urgent => Urgency::Urgent,
    }
}

fn span(micros: u64) -> Span {
    Duration::from_micros(micros).into()
}

fn share(fraction: f64) -> Result<Share, Error> {
    match (0.0..=1.0).contains(&fraction) {
        true => Ok(Share::new(fraction)),
        false => Err(Error::NumberOutOfRange),
    }
}

fn rate(rate: f64) -> Result<PerSecond, Error> {
    match rate.is_finite() && rate >= 0.0 {
        true => Ok(PerSecond(rate)),
        false => Err(Error::NumberOutOfRange),
    }
}
