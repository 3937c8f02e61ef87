//! Digests of configuration entries, which identify the conflicting keys when two changes
//! overlap.

use std::collections::BTreeMap;
use std::fmt::{Debug, Display};

use sycamorerill_control::config::Digests;
use sycamorerill_core::model::Config;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the digest of each entry of a configuration, by key.
pub(super) fn of(config: &Config) -> Digests {
    let mut digests = Digests::new();
    add(&mut digests, "service", &config.services);
    add(&mut digests, "class", &config.classes);
    add(&mut digests, "team", &config.teams);
    add(&mut digests, "target", &config.targets);
    add(&mut digests, "domain", &config.domains);
    digests.insert("policy".to_owned(), digest(&config.policy));
    digests
}

fn add<K: Display, V: Debug>(to: &mut Digests, section: &str, entries: &BTreeMap<K, V>) {
    for (name, value) in entries {
        to.insert(format!("{section}.{name}"), digest(value));
    }
}

fn digest(value: &impl Debug) -> u64 {
    xxh3_64(format!("{value:?}").as_bytes())
}
