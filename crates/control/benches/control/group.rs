//! Groups of agents of a given size, and percentiles.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{DomainName, InstanceName};

use crate::cluster::{Cluster, name};

/// Failure domains of the letter.
const DOMAINS: usize = 17;
/// Size from which the settings of the letter are used.
const LARGE: usize = 90;

/// Size from which less virtual time is run.
pub(crate) const LARGEST: usize = 900;

/// A group that has settled.
pub(crate) struct Group {
    pub(crate) cluster: Cluster,
    pub(crate) names: Vec<InstanceName>,
}

fn domain(at: usize, count: usize) -> String {
    format!("d{:02}", at % if count >= LARGE { DOMAINS } else { 4 })
}

impl Group {
    /// Starts `count` instances and waits until every shard is at work.
    pub(crate) fn start(seed: u64, count: usize, configure: impl Fn(&mut Cluster)) -> Self {
        let mut cluster = Cluster::new(seed);
        let ownership = &mut cluster.template.ownership;
        let domains = if count >= LARGE { DOMAINS } else { 4 };
        ownership.slots = if count >= LARGE { 1_024 } else { 64 };
        ownership.cells =
            (0..domains).map(|at| domain(at, count).parse::<DomainName>().unwrap()).collect();
        // All start at once here, so that news of all is told at once.
        let part = if count >= LARGEST { 2 } else { 8 };
        cluster.template.membership.updates_per_heartbeat = count.div_ceil(part).max(12);
        configure(&mut cluster);
        let names: Vec<InstanceName> = (0..count).map(|at| name(&format!("e{at:03}"))).collect();
        for (at, one) in names.iter().enumerate() {
            cluster.start(one, &domain(at, count), &names);
        }
        let mut group = Self { cluster, names };
        let limit = group.cluster.now + Span::from_secs(120);
        while group.serving_count() < group.shards() && group.cluster.now < limit {
            group.cluster.run(Span::from_secs(1));
        }
        // Beyond the time for which a better owner must have been there.
        group.cluster.run(Span::from_secs(25));
        group
    }

    pub(crate) fn restart(&mut self, at: usize) {
        let count = self.names.len();
        let one = self.names[at].clone();
        self.cluster.kill(&one);
        self.cluster.start(&one, &domain(at, count), &self.names);
    }

    /// Returns the number of shards at work.
    pub(crate) fn serving_count(&self) -> usize {
        self.cluster.nodes.values().map(|node| node.serving.len()).sum()
    }

    /// Returns the number of shards in all.
    pub(crate) fn shards(&self) -> usize {
        self.cluster.template.ownership.shards().count()
    }
}

/// Returns a percentile of samples, zero where there are none.
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
