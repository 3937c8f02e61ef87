//! Hashing by which instances select neighbours and shard owners without coordination.

use sycamorerill_core::id::InstanceName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous-hashing score of an instance for a key; the highest score
/// wins.
pub(crate) fn score(key: u64, instance: &InstanceName) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), key)
}

/// Returns the neighbours of `own` on the hash ring of `all`, up to `count` on each
/// side.
pub(crate) fn neighbours<'a>(
    own: &InstanceName,
    all: impl Iterator<Item = &'a InstanceName>,
    count: usize,
) -> Vec<InstanceName> {
    let mut ring: Vec<(u64, &InstanceName)> = all.map(|name| (score(0, name), name)).collect();
    ring.sort();
    ring.dedup();
    let position = ring.partition_point(|(hash, name)| (*hash, *name) < (score(0, own), own));
    let len = ring.len();
    let steps = count.min(len);
    let after = (0..steps).map(|step| (position + step) % len);
    let before = (1..=steps).map(|step| (position + len - step) % len);
    let mut chosen: Vec<usize> = after.chain(before).collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
        .into_iter()
        .filter(|index| ring[*index].1 != own)
        .map(|index| ring[index].1.clone())
        .collect()
}
