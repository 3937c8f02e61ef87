//! Generation of arbitrary configurations.

use std::collections::BTreeMap;
use std::str::FromStr;

use arbtest::arbitrary::{Result, Unstructured};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::Version;
use sycamorerill_core::model::{
    Class, Config, Domain, Goal, Policy, Service, Target, Team, Urgency,
};
use sycamorerill_core::money::Amount;
use sycamorerill_core::rate::{PerSecond, Share};
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

/// Names of entries; few, so that entries often have the same name.
const NAMES: &[&str] = &["a", "b-c", "d.e", "f/g", "h_1"];

pub(crate) fn config(u: &mut Unstructured<'_>) -> Result<Config> {
    Ok(Config {
        version: Version(u.arbitrary()?),
        services: entries(u, service, |service| service.name.clone())?,
        classes: entries(u, class, |class| class.name.clone())?,
        teams: entries(u, team, |team| team.name.clone())?,
        targets: entries(u, target, |target| target.name.clone())?,
        domains: entries(u, domain, |domain| domain.name.clone())?,
        policy: policy(u)?,
    })
}

fn entries<K: Ord, V>(
    u: &mut Unstructured<'_>,
    value: fn(&mut Unstructured<'_>) -> Result<V>,
    key: fn(&V) -> K,
) -> Result<BTreeMap<K, V>> {
    let count = u.int_in_range(0..=3)?;
    let values = (0..count).map(|_| value(u)).collect::<Result<Vec<_>>>()?;
    Ok(values.into_iter().map(|value| (key(&value), value)).collect())
}

fn name<T: FromStr>(u: &mut Unstructured<'_>) -> Result<T>
where
    T::Err: std::fmt::Debug,
{
    Ok(u.choose(NAMES)?.parse().unwrap())
}

fn service(u: &mut Unstructured<'_>) -> Result<Service> {
    Ok(Service {
        name: name(u)?,
        team: name(u)?,
        urgency: *u.choose(&Urgency::ALL)?,
        idempotent: u.arbitrary()?,
        deadline: span(u)?,
        longest_run: span(u)?,
        slots: u.arbitrary()?,
        max_body: u.arbitrary()?,
        key_retention: span(u)?,
        rate: PerSecond(f64::from(u.arbitrary::<u32>()?) / 8.0),
    })
}

fn class(u: &mut Unstructured<'_>) -> Result<Class> {
    Ok(Class {
        name: name(u)?,
        size: size(u)?,
        run_time: span(u)?,
        deadline: span(u)?,
        urgency: *u.choose(&Urgency::ALL)?,
        checkpoint: u.arbitrary()?,
        attempts: u.arbitrary()?,
        service: u.arbitrary()?,
    })
}

fn team(u: &mut Unstructured<'_>) -> Result<Team> {
    Ok(Team { name: name(u)?, weight: u.arbitrary()?, quota: size(u)?, borrow: u.arbitrary()? })
}

fn target(u: &mut Unstructured<'_>) -> Result<Target> {
    let goal = match u.arbitrary()? {
        true => Goal::Answer { service: name(u)?, within: span(u)? },
        false => Goal::Deadline { class: name(u)? },
    };
    Ok(Target { name: name(u)?, goal, share: share(u)?, penalty: Amount(u.arbitrary()?) })
}

fn domain(u: &mut Unstructured<'_>) -> Result<Domain> {
    Ok(Domain {
        name: name(u)?,
        workers: u.arbitrary()?,
        worker: size(u)?,
        rack: u.arbitrary()?,
        executors: u.arbitrary()?,
    })
}

fn policy(u: &mut Unstructured<'_>) -> Result<Policy> {
    Ok(Policy {
        retry_budget: share(u)?,
        eviction_budget: share(u)?,
        size_margin: share(u)?,
        task_lease: span(u)?,
        max_queue: u.arbitrary()?,
    })
}

fn size(u: &mut Unstructured<'_>) -> Result<Size> {
    Ok(Size::new(Cpu(u.arbitrary()?), Memory(u.arbitrary()?), Accel(u.arbitrary()?)))
}

fn share(u: &mut Unstructured<'_>) -> Result<Share> {
    Ok(Share::new(f64::from(u.arbitrary::<u16>()?) / f64::from(u16::MAX)))
}

fn span(u: &mut Unstructured<'_>) -> Result<Span> {
    Ok(std::time::Duration::from_micros(u.arbitrary()?).into())
}
