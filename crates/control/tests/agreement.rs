//! Agents start on an empty table, append records and agree on configuration versions.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cluster;

use bytes::Bytes;
use cluster::{Cluster, name};
use sycamorerill_control::agent::Event;
use sycamorerill_control::config::{Apply, ApplyId, Digests, Outcome, Spread};
use sycamorerill_control::journal::{self, AppendError, Durability};
use sycamorerill_control::ownership::{Kind, Shard};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{InstanceName, Version};

fn start_cluster(count: u64) -> (Cluster, Vec<InstanceName>) {
    let mut cluster = Cluster::new(1);
    let names: Vec<InstanceName> = (0..count).map(|n| name(&format!("n{n}"))).collect();
    for instance in &names {
        cluster.start(instance, "d1", &names);
    }
    cluster.run(Span::from_secs(10));
    (cluster, names)
}

fn owner(cluster: &Cluster, shard: Shard) -> InstanceName {
    let serves = |name: &&InstanceName| cluster.nodes[*name].serving.contains_key(&shard);
    cluster.nodes.keys().find(serves).expect("an owner").clone()
}

#[test]
fn empty_table_distributes_all_shards() {
    let (cluster, _) = start_cluster(4);
    let shares: Vec<usize> = cluster.nodes.values().map(|node| node.serving.len()).collect();
    assert_eq!(shares.iter().sum::<usize>(), 128);
    assert!(shares.iter().all(|share| *share > 0), "{shares:?}");
    assert_eq!(cluster.violations, Vec::<String>::new());
}

#[test]
fn record_survives_owner_crash() {
    let (mut cluster, _) = start_cluster(3);
    let shard = Shard { kind: Kind::Keys, number: 7 };
    let first = owner(&cluster, shard);
    let now = cluster.now;
    let node = cluster.nodes.get_mut(&first).unwrap();
    node.append(now, shard, 42, Durability::Immediate).unwrap();
    cluster.event(&first, Event::Tick);
    cluster.run(Span::from_ms(100));
    assert_eq!(cluster.nodes[&first].durable, vec![(shard, 42)]);
    cluster.kill(&first);
    cluster.run(Span::from_secs(10));
    let second = owner(&cluster, shard);
    assert_ne!(first, second);
    assert_eq!(cluster.nodes[&second].serving[&shard].1, vec![42]);
}

#[test]
fn concurrent_applies_accept_one_and_report_conflict() {
    let (mut cluster, names) = start_cluster(3);
    for (at, (value, id)) in [(1_u64, 11), (2, 12)].into_iter().enumerate() {
        let digests = Digests::from([("services/quote".to_owned(), value)]);
        let apply = Apply {
            id: ApplyId(id),
            base_version: Version(0),
            author: format!("operator {id}"),
            digests,
            bytes: Bytes::from(format!("content {id}")),
        };
        cluster.event(&names[at], Event::Apply(apply));
    }
    cluster.run(Span::from_secs(2));
    let outcomes: Vec<&Outcome> = cluster.outcomes.values().map(|(_, outcome)| outcome).collect();
    let conflict =
        Outcome::Conflict { current: Version(1), keys: ["services/quote".to_owned()].into() };
    assert!(outcomes.contains(&&Outcome::Accepted(Version(1))), "{outcomes:?}");
    assert!(outcomes.contains(&&conflict), "{outcomes:?}");
    assert!(names.iter().all(|name| cluster.version(name) == Version(1)));
}

#[test]
fn duplicate_or_late_config_is_in_force_once() {
    let mut cluster = Cluster::new(3);
    cluster.template.config.spread = Spread::Push;
    let names: Vec<InstanceName> = (0..4).map(|n| name(&format!("n{n}"))).collect();
    for instance in &names {
        cluster.start(instance, "d1", &names);
    }
    cluster.run(Span::from_secs(5));
    for change in 0..20 {
        let apply = Apply {
            id: ApplyId(change + 1),
            base_version: Version(change),
            author: "operator".to_owned(),
            digests: Digests::new(),
            bytes: Bytes::from(change.to_string()),
        };
        // The next change is accepted while the messages about the previous one are
        // still in flight.
        cluster.event(&names[change as usize % 4], Event::Apply(apply));
        while cluster.nodes.values().all(|node| node.version <= Version(change)) {
            cluster.run(Span::from_ms(1));
        }
    }
    cluster.run(Span::from_secs(5));
    assert_eq!(cluster.all_violations(), Vec::<String>::new());
    assert!(names.iter().all(|name| cluster.version(name) == Version(20)));
}

#[test]
fn waiting_records_are_bounded() {
    let (mut cluster, _) = start_cluster(3);
    let shard = Shard { kind: Kind::Keys, number: 7 };
    let instance = owner(&cluster, shard);
    cluster.faults.store_down = true;
    cluster.run(Span::from_secs(10));
    let now = cluster.now;
    let node = cluster.nodes.get_mut(&instance).unwrap();
    let large = Bytes::from(vec![0; 200 << 10]);
    let mut append =
        |durability| node.agent.append(now, shard, journal::Kind(1), large.clone(), durability);
    assert_eq!(append(Durability::Immediate), Err(AppendError::StoreDown));
    let taken = (0..100).filter(|_| append(Durability::Deferred).is_ok()).count();
    assert_eq!(taken, (8 << 20) / (200 << 10));
    assert!(matches!(append(Durability::Deferred), Err(AppendError::Full { .. })));
    let oversized = Bytes::from(vec![0; 300 << 10]);
    let refused = node.agent.append(now, shard, journal::Kind(1), oversized, Durability::Deferred);
    assert!(matches!(refused, Err(AppendError::TooLarge { .. })));
}
