//! Groups of agents of a given size, and percentiles.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, InstanceName};

use crate::cluster::{Cluster, name};

/// Number of failure domains in the target deployment.
const DOMAINS: usize = 17;
/// Group size from which the shards and failure domains of the target deployment are
/// used.
const LARGE: usize = 90;

/// Group size from which less virtual time is simulated.
pub(crate) const LARGEST: usize = 900;

/// Running group whose shards have stopped moving.
pub(crate) struct Group {
    pub(crate) cluster: Cluster,
    pub(crate) names: Vec<InstanceName>,
}

fn domain(at: usize, count: usize) -> String {
    format!("d{:02}", at % if count >= LARGE { DOMAINS } else { 4 })
}

impl Group {
    /// Starts `count` instances and waits until every shard is served.
    pub(crate) fn start(seed: u64, count: usize, configure: impl Fn(&mut Cluster)) -> Self {
        let mut cluster = Cluster::new(seed);
        let ownership = &mut cluster.template.ownership;
        let domains = if count >= LARGE { DOMAINS } else { 4 };
        ownership.slots = if count >= LARGE { 1_024 } else { 64 };
        ownership.cells =
            (0..domains).map(|at| domain(at, count).parse::<DomainName>().unwrap()).collect();
        // All instances start at the same time, so heartbeats must carry the state
        // updates of all of them.
        let part = if count >= LARGEST { 2 } else { 8 };
        cluster.template.membership.updates_per_heartbeat = count.div_ceil(part).max(12);
        configure(&mut cluster);
        let names: Vec<InstanceName> = (0..count).map(|at| name(&format!("e{at:03}"))).collect();
        for (at, instance) in names.iter().enumerate() {
            cluster.start(instance, &domain(at, count), &names);
        }
        let mut group = Self { cluster, names };
        let limit = group.cluster.now + Span::from_secs(120);
        while group.serving_count() < group.shards() && group.cluster.now < limit {
            group.cluster.run(Span::from_secs(1));
        }
        // Longer than `stable_after`, so that shards have moved to their preferred
        // owners.
        group.cluster.run(Span::from_secs(25));
        group
    }

    pub(crate) fn restart(&mut self, at: usize) {
        let count = self.names.len();
        let instance = self.names[at].clone();
        self.cluster.kill(&instance);
        self.cluster.start(&instance, &domain(at, count), &self.names);
    }

    /// Returns the number of served shards.
    pub(crate) fn serving_count(&self) -> usize {
        self.cluster.nodes.values().map(|node| node.serving.len()).sum()
    }

    /// Returns the total number of shards.
    pub(crate) fn shards(&self) -> usize {
        self.cluster.template.ownership.shards().count()
    }
}

/// Returns a percentile of the samples, or zero if there are none.
pub(crate) fn percentile(samples: &mut [f64], part: f64) -> f64 {
    samples.sort_by(f64::total_cmp);
    let last = samples.len().saturating_sub(1);
    let at = (last as f64 * part).round() as usize;
    samples.get(at).copied().unwrap_or_default()
}

/// Rounds to three decimals.
pub(crate) fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
