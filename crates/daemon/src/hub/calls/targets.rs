//! Latency targets of calls.

use std::collections::BTreeMap;

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{ServiceName, TargetName};
use sycamorerill_core::model::{Config, Goal};

/// Time limits for answers, by service.
#[derive(Debug, Default)]
pub(super) struct Targets(BTreeMap<ServiceName, Vec<(TargetName, Span)>>);

impl Targets {
    /// Returns the targets that `config` declares for answers.
    pub(super) fn new(config: &Config) -> Self {
        let mut targets = Self::default();
        for target in config.targets.values() {
            if let Goal::Answer { service, within } = &target.goal {
                let of_service = targets.0.entry(service.clone()).or_default();
                of_service.push((target.name.clone(), *within));
            }
        }
        targets
    }

    /// Returns the targets that a call missed.
    ///
    /// A call without an answer misses all targets of its service.
    pub(super) fn missed(
        &self,
        service: &ServiceName,
        answered: bool,
        elapsed: Span,
    ) -> Vec<TargetName> {
        let of_service = self.0.get(service).map(Vec::as_slice).unwrap_or_default();
        let missed = of_service.iter().filter(|(_, within)| !answered || elapsed > *within);
        missed.map(|(name, _)| name.clone()).collect()
    }
}
