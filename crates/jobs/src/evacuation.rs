//! The set of evacuated failure domains, as the store holds it.
//!
//! Load pattern: a few rows that operators write and remove one by one, and that race. They are read
//! by a watch, and by each owner that starts. Both name the version of the store that they show, so
//! the set does not depend on the order in which they arrive.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::data;

use crate::id::DomainName;

data! {
    /// A domain's row, as it was written or removed.
    pub struct Change {
        /// Failure domain that the row names.
        pub domain: DomainName,
        /// Whether the row exists.
        pub is_evacuated: bool,
        /// Version of the store at the write or the removal; 0 if it is not known.
        pub version: u64,
    }
}

data! {
    /// An input of [`Evacuations`].
    #[derive(Default)]
    pub struct Update {
        /// Whether the update names all rows, so that all other domains are not evacuated.
        pub is_complete: bool,
        /// Changes in the order of their versions.
        pub changes: Vec<Change>,
        /// Version of the store up to which the update is complete.
        pub version: u64,
    }
}

/// The set of evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeSet<DomainName>,
    /// Version of the store up to which the set is complete.
    version: u64,
}

impl Evacuations {
    /// Returns the evacuated domains.
    pub const fn domains(&self) -> &BTreeSet<DomainName> {
        &self.domains
    }

    /// Applies an update, unless the set is known at a later version. Returns whether the set has
    /// changed.
    ///
    /// An empty name stands for no domain: executors without a domain have it.
    pub fn apply(&mut self, update: Update) -> bool {
        if update.is_complete && update.version < self.version {
            return false;
        }
        let before = self.domains.clone();
        if update.is_complete {
            self.domains.clear();
        }
        let known = if update.is_complete { 0 } else { self.version };
        let changes = update.changes.into_iter();
        let latest: BTreeMap<DomainName, bool> = changes
            .filter(|change| change.version == 0 || change.version > known)
            .map(|change| (change.domain, change.is_evacuated))
            .collect();
        for (domain, is_evacuated) in latest {
            if !is_evacuated {
                self.domains.remove(&domain);
            } else if !domain.as_str().is_empty() {
                self.domains.insert(domain);
            }
        }
        self.version = self.version.max(update.version);
        self.domains != before
    }
}
