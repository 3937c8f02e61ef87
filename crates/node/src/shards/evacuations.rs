//! Evacuated failure domains: from the rows of operators to all owners.

use sycamorerill_core::clock::Time;
use sycamorerill_jobs::evacuation::{Change, Update};
use sycamorerill_jobs::shard::Event;

use super::Manager;
use crate::platform::{Platform, Row};

impl<P: Platform> Manager<P> {
    /// Applies an update of the evacuated failure domains and passes the set to all owners.
    pub(super) fn evacuate(&mut self, now: Time, update: Update) {
        if !self.evacuations.apply(update) {
            return;
        }
        let domains = self.evacuations.domains();
        self.context.metrics.set_evacuated_domains(domains.len());
        for owner in self.shards.values_mut().filter_map(|state| state.owner.as_mut()) {
            owner.handle_event(now, Event::Evacuated(domains.clone()));
        }
    }
}

/// Returns the written and removed rows that evacuate failure domains.
pub(crate) fn changes<P: Platform>(platform: &P, rows: &[Row]) -> Vec<Change> {
    let change = |row: &Row| {
        Some(Change {
            domain: platform.parse_evacuation(row)?,
            is_evacuated: row.value.is_some(),
            version: row.version.0,
        })
    };
    rows.iter().filter_map(change).collect()
}
