//! Assignment of shards to instances by rendezvous hashing over the serving members.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::id::{DomainName, InstanceName};

use super::{Kind, Settings, Shard};
use crate::membership::score;

/// Hash key for the selection of the instances that write journals.
const WRITERS_KEY: u64 = 0x6a6f_7572_6e61_6c73;
/// Odd multiplier that distributes shard numbers over all 64 bits.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Instances that may own shards, with their failure domains.
pub(super) type Candidates = BTreeMap<InstanceName, DomainName>;

/// Preferred owner of every shard for one set of candidates.
#[derive(Debug, Default)]
pub(super) struct Assignment {
    candidates: Candidates,
    writers: Candidates,
    chosen: BTreeMap<Shard, InstanceName>,
}

/// Candidates for the ownership of a shard, and the changes since the last assignment.
struct Pool<'a> {
    current: &'a Candidates,
    added: Vec<&'a InstanceName>,
    removed: BTreeSet<&'a InstanceName>,
}

impl Assignment {
    /// Reassigns the shards if the candidates have changed.
    pub(super) fn update(&mut self, settings: &Settings, candidates: Candidates) {
        if self.candidates == candidates {
            return;
        }
        let writers = select_writers(settings, &candidates);
        let full_pool = Pool::new(&self.candidates, &candidates);
        let writer_pool = Pool::new(&self.writers, &writers);
        let mut chosen = BTreeMap::new();
        for shard in settings.shards() {
            let before = self.chosen.get(&shard);
            let choice = match shard.kind {
                Kind::Slots => full_pool.choose(shard, before),
                Kind::Keys => writer_pool.choose(shard, before),
                Kind::Cell => cell_owner(settings, shard, &candidates, &writers),
            };
            if let Some(choice) = choice {
                chosen.insert(shard, choice.clone());
            }
        }
        self.chosen = chosen;
        self.candidates = candidates;
        self.writers = writers;
    }

    /// Returns the preferred owner of a shard.
    pub(super) fn owner(&self, shard: Shard) -> Option<&InstanceName> {
        self.chosen.get(&shard)
    }

    /// Returns the shards whose preferred owner is `name`.
    pub(super) fn shards_of<'a>(
        &'a self,
        name: &'a InstanceName,
    ) -> impl Iterator<Item = Shard> + 'a {
        self.chosen.iter().filter(move |(_, chosen)| *chosen == name).map(|(shard, _)| *shard)
    }
}

impl<'a> Pool<'a> {
    fn new(before: &'a Candidates, current: &'a Candidates) -> Self {
        Self {
            current,
            added: current.keys().filter(|name| !before.contains_key(*name)).collect(),
            removed: before.keys().filter(|name| !current.contains_key(*name)).collect(),
        }
    }

    /// Returns the preferred owner of a shard.
    ///
    /// Compares all candidates only if the previous owner was removed; otherwise the new
    /// candidates and the previous owner are enough.
    fn choose(&self, shard: Shard, before: Option<&'a InstanceName>) -> Option<&'a InstanceName> {
        match before {
            Some(before) if !self.removed.contains(before) => {
                best(shard, self.added.iter().copied().chain([before]))
            }
            _ => best(shard, self.current.keys()),
        }
    }
}

/// Returns the preferred owner of a cell, inside the cell's failure domain if it has a
/// candidate.
///
/// A failure domain that is cut off from the others then keeps working on its own.
fn cell_owner<'a>(
    settings: &Settings,
    shard: Shard,
    candidates: &'a Candidates,
    writers: &'a Candidates,
) -> Option<&'a InstanceName> {
    let domain = settings.cells.get(shard.number as usize);
    let in_domain = candidates.iter().filter(|(_, at)| Some(*at) == domain);
    best(shard, in_domain.map(|(name, _)| name)).or_else(|| best(shard, writers.keys()))
}

/// Returns the instances that write journals, at most [`Settings::writers`] of them.
fn select_writers(settings: &Settings, candidates: &Candidates) -> Candidates {
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
    let key = (key + 1).wrapping_mul(HASH_MULTIPLIER);
    instances.max_by_key(|name| (score(key, name), *name))
}
