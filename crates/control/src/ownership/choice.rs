//! Which instance should own a shard: rendezvous hashing over the serving members.

use std::collections::BTreeMap;

use sycamorerill_core::id::{DomainName, InstanceName};

use super::{Kind, Settings, Shard};
use crate::membership::score;

/// Key by which the instances that keep journals are chosen.
const WRITERS_KEY: u64 = 0x6a6f_7572_6e61_6c73;
/// Multiplier that spreads the numbers of shards over all bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Instances that may own shards, with their failure domains.
pub(super) type Candidates = BTreeMap<InstanceName, DomainName>;

/// Instances that should own the shards, for one set of candidates.
#[derive(Debug, Default)]
pub(super) struct Choices {
    candidates: Candidates,
    chosen: BTreeMap<Shard, InstanceName>,
}

impl Choices {
    /// Chooses anew where the candidates have changed.
    pub(super) fn update(&mut self, settings: &Settings, candidates: Candidates) {
        if self.candidates == candidates {
            return;
        }
        let writers = writers(settings, &candidates);
        let choose = |shard| Some((shard, choose(settings, shard, &candidates, &writers)?.clone()));
        self.chosen = settings.shards().filter_map(choose).collect();
        self.candidates = candidates;
    }

    /// Returns the instance that should own a shard.
    pub(super) fn of(&self, shard: Shard) -> Option<&InstanceName> {
        self.chosen.get(&shard)
    }

    /// Returns the shards that an instance should own.
    pub(super) fn by<'a>(&'a self, name: &'a InstanceName) -> impl Iterator<Item = Shard> + 'a {
        self.chosen.iter().filter(move |(_, chosen)| *chosen == name).map(|(shard, _)| *shard)
    }
}

/// Returns the instance that should own a shard.
fn choose<'a>(
    settings: &Settings,
    shard: Shard,
    candidates: &'a Candidates,
    writers: &'a Candidates,
) -> Option<&'a InstanceName> {
    match shard.kind {
        Kind::Slots => best(shard, candidates.keys()),
        Kind::Keys => best(shard, writers.keys()),
        Kind::Cell => {
            // A domain that is cut off goes on with an owner inside of it.
            let domain = settings.cells.get(shard.number as usize);
            let inside = candidates.iter().filter(|(_, at)| Some(*at) == domain);
            best(shard, inside.map(|(name, _)| name)).or_else(|| best(shard, writers.keys()))
        }
    }
}

/// Returns the instances that keep journals, at most as many as the settings allow.
fn writers(settings: &Settings, candidates: &Candidates) -> Candidates {
    if candidates.len() <= settings.writers {
        return candidates.clone();
    }
    let mut ranked: Vec<(u64, &InstanceName)> =
        candidates.keys().map(|name| (score(WRITERS_KEY, name), name)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.truncate(settings.writers);
    let domain = |name: &InstanceName| candidates.get(name).cloned();
    ranked.iter().filter_map(|(_, name)| Some(((*name).clone(), domain(name)?))).collect()
}

fn best<'a>(
    shard: Shard,
    instances: impl Iterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    let key = u64::from(shard.kind.code()) << 32 | u64::from(shard.number);
    let key = (key + 1).wrapping_mul(SPREAD);
    instances.max_by_key(|name| score(key, name))
}
