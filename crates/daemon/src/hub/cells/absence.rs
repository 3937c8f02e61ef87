//! Workers that the platform's list no longer names.

use std::collections::BTreeMap;

use sycamorerill_core::id::{DomainName, WorkerName};
use sycamorerill_tasks::worker::Worker;

/// Readings of the list, one a second, that lack a worker before it is taken for gone.
///
/// The list lags, so a worker may be missing from it for a while after its start.
const READINGS: u32 = 60;

/// Workers that were listed, with the number of readings since that lack them.
#[derive(Debug, Default)]
pub(super) struct Absences(BTreeMap<(DomainName, WorkerName), u32>);

impl Absences {
    /// Notes one reading of the list and returns the workers that are gone.
    ///
    /// A reading without any worker tells nothing.
    pub(super) fn note(
        &mut self,
        listed: &BTreeMap<DomainName, Vec<Worker>>,
    ) -> Vec<(DomainName, WorkerName)> {
        if listed.values().all(Vec::is_empty) {
            return Vec::new();
        }
        self.0.values_mut().for_each(|missing| *missing += 1);
        for (domain, workers) in listed {
            for worker in workers {
                self.0.insert((domain.clone(), worker.name.clone()), 0);
            }
        }
        let gone = self.0.iter().filter(|(_, missing)| **missing >= READINGS);
        let gone: Vec<_> = gone.map(|(worker, _)| worker.clone()).collect();
        self.0.retain(|_, missing| *missing < READINGS);
        gone
    }
}
