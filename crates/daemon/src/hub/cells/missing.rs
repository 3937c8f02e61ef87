//! Detection of workers that have disappeared from the platform's list.

use std::collections::BTreeMap;

use sycamorerill_core::id::{DomainName, WorkerName};
use sycamorerill_tasks::worker::Worker;

/// Number of consecutive lists without a worker after which it counts as gone.
///
/// The list is read once a second. It lags, so it may not contain a worker for a while
/// after the worker's start.
const MAX_MISSED_LISTINGS: u32 = 60;

/// Workers that were listed at least once, with the number of lists since then that do not
/// contain them.
#[derive(Debug, Default)]
pub(super) struct MissingWorkers(BTreeMap<(DomainName, WorkerName), u32>);

impl MissingWorkers {
    /// Records a list and returns the workers that are gone.
    ///
    /// A list without any workers is ignored.
    pub(super) fn record_list(
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
        let gone = self.0.iter().filter(|(_, missing)| **missing >= MAX_MISSED_LISTINGS);
        let gone: Vec<_> = gone.map(|(worker, _)| worker.clone()).collect();
        self.0.retain(|_, missing| *missing < MAX_MISSED_LISTINGS);
        gone
    }
}
