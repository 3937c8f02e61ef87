//! Which instance should own a shard: rendezvous hashing over the serving members.

use std::collections::{BTreeMap, BTreeSet};

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
    writers: Candidates,
    chosen: BTreeMap<Shard, InstanceName>,
}

/// Instances among which an owner is chosen, and how they have changed.
struct Pool<'a> {
    now: &'a Candidates,
    added: Vec<&'a InstanceName>,
    removed: BTreeSet<&'a InstanceName>,
}

impl Choices {
    /// Chooses anew where the candidates have changed.
    pub(super) fn update(&mut self, settings: &Settings, candidates: Candidates) {
        if self.candidates == candidates {
            return;
        }
        let writers = writers(settings, &candidates);
        let all = Pool::new(&self.candidates, &candidates);
        let few = Pool::new(&self.writers, &writers);
        let mut chosen = BTreeMap::new();
        for shard in settings.shards() {
            let before = self.chosen.get(&shard);
            let choice = match shard.kind {
                Kind::Slots => all.choose(shard, before),
                Kind::Keys => few.choose(shard, before),
                Kind::Cell => cell(settings, shard, &candidates, &writers),
            };
            if let Some(choice) = choice {
                chosen.insert(shard, choice.clone());
            }
        }
        self.chosen = chosen;
        self.candidates = candidates;
        self.writers = writers;
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

impl<'a> Pool<'a> {
    fn new(before: &'a Candidates, now: &'a Candidates) -> Self {
        Self {
            now,
            added: now.keys().filter(|name| !before.contains_key(*name)).collect(),
            removed: before.keys().filter(|name| !now.contains_key(*name)).collect(),
        }
    }

    /// Chooses among all only where the instance chosen before has gone.
    fn choose(&self, shard: Shard, before: Option<&'a InstanceName>) -> Option<&'a InstanceName> {
        match before {
            Some(before) if !self.removed.contains(before) => {
                best(shard, self.added.iter().copied().chain([before]))
            }
            _ => best(shard, self.now.keys()),
        }
    }
}

/// Returns the owner of a cell, inside of its failure domain where there is one.
///
/// A domain that is cut off then goes on by itself.
fn cell<'a>(
    settings: &Settings,
    shard: Shard,
    candidates: &'a Candidates,
    writers: &'a Candidates,
) -> Option<&'a InstanceName> {
    let domain = settings.cells.get(shard.number as usize);
    let inside = candidates.iter().filter(|(_, at)| Some(*at) == domain);
    best(shard, inside.map(|(name, _)| name)).or_else(|| best(shard, writers.keys()))
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
    instances.max_by_key(|name| (score(key, name), *name))
}
