//! Names and configuration of the routers.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, ExecutorName, InstanceName, ServiceName, TeamName};
use sycamorerill_core::model::{Config, Service, Team, Urgency};
use sycamorerill_core::rate::PerSecond;
use sycamorerill_core::size::Size;

use crate::sim::{
    DEADLINE_MS, DOMAINS, EXECUTORS, FLOOD_TEAM, INSTANCES, LONGEST_RUN_MS, MEAN_RUN_MS, SLOTS,
};

pub(super) struct Names {
    pub(super) service: ServiceName,
    pub(super) teams: Vec<TeamName>,
    pub(super) executors: Vec<ExecutorName>,
    pub(super) numbers: BTreeMap<ExecutorName, usize>,
    pub(super) instances: Vec<InstanceName>,
    pub(super) instance_numbers: BTreeMap<InstanceName, usize>,
    pub(super) domains: Vec<DomainName>,
}

pub(super) fn name<T: std::str::FromStr<Err = impl std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("names of the bench are well formed")
}

pub(super) fn names() -> Names {
    let executors: Vec<ExecutorName> = (0..EXECUTORS).map(|n| name(&format!("x{n}"))).collect();
    let instances: Vec<InstanceName> = (0..INSTANCES).map(|n| name(&format!("i{n}"))).collect();
    Names {
        service: name("quote"),
        teams: (0..=FLOOD_TEAM).map(|n| name(&format!("t{n}"))).collect(),
        numbers: executors.iter().cloned().zip(0..).collect(),
        executors,
        instance_numbers: instances.iter().cloned().zip(0..).collect(),
        instances,
        domains: (0..DOMAINS).map(|n| name(&format!("d{n}"))).collect(),
    }
}

pub(super) fn config(names: &Names) -> Config {
    let capacity = f64::from(EXECUTORS as u32 * SLOTS) / MEAN_RUN_MS * 1_000.0;
    let service = Service {
        name: names.service.clone(),
        team: names.teams[0].clone(),
        urgency: Urgency::Normal,
        idempotent: true,
        deadline: Span::from_ms_f64(DEADLINE_MS),
        longest_run: Span::from_ms_f64(LONGEST_RUN_MS),
        slots: SLOTS,
        max_body: 1 << 20,
        key_retention: Span::from_secs(3_600),
        rate: PerSecond(capacity * 0.7),
    };
    let team = |name: &TeamName| {
        let team = Team { name: name.clone(), weight: 1, quota: Size::ZERO, borrow: true };
        (name.clone(), team)
    };
    Config {
        services: [(names.service.clone(), service)].into(),
        teams: names.teams.iter().map(team).collect(),
        ..Config::default()
    }
}
