//! Scripted scenarios that combine each operation of the control plane with each fault
//! of the store.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cluster;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::str::FromStr;

use bytes::Bytes;
use cluster::{Cluster, name};
use datadriven::TestCase;
use sycamorerill_control::agent::Event;
use sycamorerill_control::config::{Apply, ApplyId, Digests, Outcome};
use sycamorerill_control::journal::Durability;
use sycamorerill_control::ownership::{Kind, Shard};
use sycamorerill_control::penalties::{GroupBy, Minute, SettleId, SettleRequest};
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{InstanceName, Version};

struct Scenario {
    cluster: Cluster,
    names: Vec<InstanceName>,
    domains: BTreeMap<InstanceName, String>,
    payload: u64,
    log_position: usize,
}

struct Args<'a>(&'a TestCase);

impl Args<'_> {
    fn text(&self, key: &str) -> Option<String> {
        self.0.args.get(key).and_then(|values| values.first().cloned())
    }

    fn number<T: FromStr>(&self, key: &str, default: T) -> T {
        self.text(key).map_or(default, |text| text.parse().ok().expect("a number"))
    }

    fn span(&self, key: &str) -> Span {
        self.text(key).map_or(Span::ZERO, |text| text.parse().expect("a span"))
    }

    fn names(&self, key: &str) -> Vec<InstanceName> {
        let values = self.0.args.get(key).cloned().unwrap_or_default();
        values.iter().map(|value| name(value)).collect()
    }

    fn name(&self, key: &str) -> InstanceName {
        self.names(key).first().expect("an instance").clone()
    }

    fn shard(&self) -> Shard {
        let text = self.text("shard").expect("a shard");
        let (kind, number) = text.split_once('.').expect("kind.number");
        let kind = Kind::ALL.into_iter().find(|known| known.as_str() == kind).expect("a kind");
        Shard { kind, number: number.parse().expect("a number") }
    }
}

impl Scenario {
    fn new() -> Self {
        let mut cluster = Cluster::new(7);
        cluster.template.ownership.slots = 6;
        cluster.template.ownership.keys = 6;
        cluster.template.ownership.cells = vec!["d1".parse().unwrap(), "d2".parse().unwrap()];
        cluster.template.journal.snapshot_bytes = 256;
        Self { cluster, names: Vec::new(), domains: BTreeMap::new(), payload: 0, log_position: 0 }
    }

    fn command(&mut self, case: &TestCase) -> String {
        let args = Args(case);
        match case.directive.as_str() {
            "start" => self.start(&args),
            "restart" => self.restart(&args.name("on")),
            "run" => {
                self.cluster.run(args.span("for"));
                String::new()
            }
            "kill" => {
                self.cluster.kill(&args.name("on"));
                String::new()
            }
            "pause" => {
                self.cluster.pause(&args.name("on"), args.span("for"));
                String::new()
            }
            "drain" => {
                self.cluster.event(&args.name("on"), Event::Drain);
                String::new()
            }
            "cut" | "join" => {
                let cut = case.directive == "cut";
                self.cluster.set_partition(&args.names("from"), &args.names("to"), cut);
                String::new()
            }
            "store" => self.store(&args),
            "append" => self.append(&args),
            "await" => self.await_owner(&args),
            "owners" => self.owners(),
            "apply" => self.apply(&args),
            "versions" => self.versions(),
            "miss" => self.miss(&args),
            "settle" => self.settle(&args),
            "log" => self.log(&args),
            "keys" => self.stored_keys(&args),
            "damage" => {
                let key = args.text("key").expect("a key").replace('.', "/");
                self.cluster.store.damage(&key, &args.text("how").expect("how"));
                String::new()
            }
            "unlist" => {
                self.cluster.list();
                self.cluster.listed.remove(&args.name("on"));
                self.cluster.list();
                String::new()
            }
            "check" => self.check(),
            other => panic!("unknown command {other}"),
        }
    }

    fn start(&mut self, args: &Args<'_>) -> String {
        let count: usize = args.number("count", 4);
        self.names = (0..count).map(|n| name(&format!("n{n}"))).collect();
        for (at, instance) in self.names.clone().iter().enumerate() {
            let domain = if at < count.div_ceil(2) { "d1" } else { "d2" };
            self.domains.insert(instance.clone(), domain.to_owned());
            self.cluster.start(instance, domain, &self.names);
        }
        self.cluster.run(Span::from_secs(5));
        self.owners()
    }

    fn restart(&mut self, instance: &InstanceName) -> String {
        let domain = self.domains.get(instance).cloned().unwrap_or_else(|| "d1".to_owned());
        self.cluster.kill(instance);
        self.cluster.start(instance, &domain, &self.names);
        String::new()
    }

    fn store(&mut self, args: &Args<'_>) -> String {
        let faults = &mut self.cluster.faults;
        faults.store_down = args.text("down").is_some_and(|on| on == "yes");
        faults.store_delay = args.span("slow");
        faults.lost_answers = args.number("lose", 0.0);
        faults.late_writes = args.number("late", 0.0);
        self.cluster.store_unreachable = args.names("cut").into_iter().collect();
        String::new()
    }

    fn owner(&self, shard: Shard) -> Option<InstanceName> {
        self.owner_except(shard, &[])
    }

    fn owner_except(&self, shard: Shard, excluded: &[InstanceName]) -> Option<InstanceName> {
        let serves = |name: &&InstanceName| self.cluster.nodes[*name].serving.contains_key(&shard);
        self.cluster.nodes.keys().filter(|name| !excluded.contains(name)).find(serves).cloned()
    }

    fn append(&mut self, args: &Args<'_>) -> String {
        let shard = args.shard();
        let now = self.cluster.now;
        let Some(instance) = self.owner(shard) else { return "shard has no owner\n".into() };
        let durability = if args.0.args.contains_key("later") {
            Durability::Deferred
        } else {
            Durability::Immediate
        };
        let mut text = String::new();
        for _ in 0..args.number("count", 1) {
            self.payload += 1;
            let node = self.cluster.nodes.get_mut(&instance).unwrap();
            if let Err(refused) = node.append(now, shard, self.payload, durability) {
                text = format!("refused: {refused}\n");
            }
        }
        self.cluster.event(&instance, Event::Tick);
        self.cluster.run(args.span("wait"));
        let node = &self.cluster.nodes[&instance];
        writeln!(
            text,
            "{instance}: {} durable, {} waiting",
            node.durable.len(),
            node.waiting.len()
        )
        .unwrap();
        text
    }

    /// Waits until an instance that is not excluded serves the shard.
    fn await_owner(&mut self, args: &Args<'_>) -> String {
        let shard = args.shard();
        let excluded = args.names("not");
        let start = self.cluster.now;
        let limit = args.span("for");
        while self.cluster.now.since(start) < limit {
            if let Some(instance) = self.owner_except(shard, &excluded) {
                let records = self.cluster.nodes[&instance].serving[&shard].1.len();
                let took = self.cluster.now.since(start).as_ms();
                return format!("{shard} served by {instance} after {took}ms, {records} records\n");
            }
            self.cluster.run(Span::from_ms(10));
        }
        format!("{shard} not served for {}ms\n", limit.as_ms())
    }

    fn owners(&mut self) -> String {
        let mut text = String::new();
        for (name, node) in &self.cluster.nodes {
            let shards: Vec<String> = node.serving.keys().map(ToString::to_string).collect();
            let state = if node.alive { "" } else { " (ended)" };
            writeln!(text, "{name}{state}: {}", shards.join(" ")).unwrap();
        }
        text
    }

    fn apply(&mut self, args: &Args<'_>) -> String {
        self.payload += 1;
        let id = ApplyId(self.payload);
        let instance = args.name("on");
        let digests: Digests = (args.0.args.get("keys").cloned().unwrap_or_default().iter())
            .map(|pair| {
                let (key, digest) = pair.split_once('.').expect("key.digest");
                (key.to_owned(), digest.parse().expect("a digest"))
            })
            .collect();
        let base_version = Version(args.number("seen", 0));
        let bytes = Bytes::from(format!("content {}", id.0));
        let apply = Apply { id, base_version, author: "operator".into(), digests, bytes };
        self.cluster.event(&instance, Event::Apply(apply));
        self.cluster.run(args.span("wait"));
        match self.cluster.outcomes.get(&id) {
            None => "no answer yet\n".into(),
            Some((_, Outcome::Conflict { current, keys })) => {
                let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
                format!("conflict with {current}: {}\n", keys.join(" "))
            }
            Some((_, Outcome::Accepted(version))) => format!("accepted as {version}\n"),
            Some((_, outcome)) => format!("{}\n", outcome.as_str()),
        }
    }

    fn versions(&self) -> String {
        let versions =
            self.names.iter().map(|name| format!("{name}={}", self.cluster.version(name)));
        versions.collect::<Vec<_>>().join(" ") + "\n"
    }

    fn miss(&mut self, args: &Args<'_>) -> String {
        for instance in args.names("on") {
            for subject in 0..args.number("count", 1) {
                let subject = args.number("subject", 0) + subject;
                self.cluster.miss(&instance, subject, args.number("minute", 0));
            }
        }
        String::new()
    }

    fn settle(&mut self, args: &Args<'_>) -> String {
        self.payload += 1;
        let id = SettleId(self.payload);
        let by: GroupBy = args.text("by").unwrap_or("target".into()).parse().expect("a grouping");
        let settle =
            SettleRequest { id, from: Minute(0), to: Minute(args.number("to", 1_000)), by };
        self.cluster.event(&args.name("on"), Event::SettlePenalties(settle));
        self.cluster.run(Span::from_secs(3));
        match self.cluster.settled.remove(&id) {
            None => "no answer yet\n".into(),
            Some(Err(failure)) => format!("{failure}\n"),
            Some(Ok(settled)) => {
                let mut text = String::new();
                for total in settled.totals {
                    let (name, misses, amount) = (total.name, total.misses, total.amount);
                    writeln!(text, "{name}: {misses} misses, {amount}").unwrap();
                }
                writeln!(text, "total {}, {} pending", settled.amount, settled.pending).unwrap();
                text
            }
        }
    }

    /// Prints the decisions since the previous call that contain one of the given words.
    fn log(&mut self, args: &Args<'_>) -> String {
        let words = args.0.args.get("with").cloned().unwrap_or_default();
        let mut text = String::new();
        for (_, name, line) in &self.cluster.log[self.log_position..] {
            if words.iter().any(|word| line.contains(word.as_str())) {
                writeln!(text, "{name}: {line}").unwrap();
            }
        }
        self.log_position = self.cluster.log.len();
        text
    }

    fn stored_keys(&self, args: &Args<'_>) -> String {
        let prefix = args.text("prefix").unwrap_or_default();
        match self.cluster.store.keys(&prefix) {
            keys if keys.is_empty() => "none\n".into(),
            keys => keys.join("\n") + "\n",
        }
    }

    /// Reports violations: shards not served exactly once, and durable records that are
    /// lost or duplicated.
    fn check(&mut self) -> String {
        let mut text = String::new();
        for shard in self.cluster.template.ownership.shards() {
            let serves = |node: &&cluster::Node| node.serving.contains_key(&shard);
            let count = self.cluster.nodes.values().filter(serves).count();
            if count != 1 {
                writeln!(text, "{shard} is served by {count} instances").unwrap();
            }
        }
        for (shard, payload) in self.cluster.durable_payloads() {
            let Some(instance) = self.owner(shard) else { continue };
            let held = &self.cluster.nodes[&instance].serving[&shard].1;
            let times = held.iter().filter(|found| **found == payload).count();
            if times != 1 {
                writeln!(text, "{shard} holds record {payload} {times} times").unwrap();
            }
        }
        for violation in self.cluster.all_violations() {
            writeln!(text, "{violation}").unwrap();
        }
        if text.is_empty() { "ok\n".into() } else { text }
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut scenario = Scenario::new();
        file.run(|case| {
            if case.directive == "start" {
                scenario = Scenario::new();
            }
            scenario.command(case)
        });
    });
}
