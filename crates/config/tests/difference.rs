//! A difference holds every changed key and no other.
//!
//! The command line sends no proposal when the difference is empty, so a missed key would
//! lose a change.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use sycamorerill_config::{Folder, difference};
use sycamorerill_core::model::Config;

/// Settings that set every field of every section.
const FOLDER: &str = r#"
service.a.team = "a"
service.a.urgency = "high"
service.a.idempotent = false
service.a.deadline = "1s"
service.a.longest_run = "100ms"
service.a.slots = 8
service.a.max_body = "1MiB"
service.a.key_retention = "1h"
service.a.rate = "10/s"
class.a.size = { cpu = 1, memory = "1GiB", accel = 0 }
class.a.run_time = "1m"
class.a.deadline = "1h"
class.a.urgency = "low"
class.a.checkpoint = false
class.a.attempts = 3
class.a.service = false
team.a.weight = 1
team.a.quota = { cpu = 1, memory = "1GiB", accel = 0 }
team.a.borrow = true
team.b.quota = { cpu = 1, memory = "1GiB" }
target.a.service = "a"
target.a.within = "900ms"
target.a.share = "90%"
target.a.penalty = "1.00"
domain.a.workers = 10
domain.a.worker = { cpu = 64, memory = "64GiB", accel = 4 }
domain.a.rack = 8
domain.a.executors = 10
policy.retry_budget = "10%"
policy.eviction_budget = "2%"
policy.size_margin = "15%"
policy.task_lease = "10s"
policy.max_queue = 2000
"#;

/// A different value for each field, one a line.
const CHANGES: &str = r#"
service.a.team = "b"
service.a.urgency = "low"
service.a.idempotent = true
service.a.deadline = "2s"
service.a.longest_run = "101ms"
service.a.slots = 9
service.a.max_body = "2MiB"
service.a.key_retention = "2h"
service.a.rate = "10.5/s"
class.a.size.cpu = 2
class.a.size.memory = "2GiB"
class.a.size.accel = 1
class.a.run_time = "2m"
class.a.deadline = "2h"
class.a.urgency = "urgent"
class.a.checkpoint = true
class.a.attempts = 4
class.a.service = true
team.a.weight = 2
team.a.quota.cpu = 2
team.a.quota.memory = "2GiB"
team.a.quota.accel = 1
team.a.borrow = false
target.a.within = "901ms"
target.a.share = "91%"
target.a.penalty = "1.01"
domain.a.workers = 11
domain.a.worker.cpu = 65
domain.a.worker.memory = "65GiB"
domain.a.worker.accel = 5
domain.a.rack = 9
domain.a.executors = 11
policy.retry_budget = "11%"
policy.eviction_budget = "3%"
policy.size_margin = "16%"
policy.task_lease = "11s"
policy.max_queue = 2001
"#;

fn checked_config(texts: &[&str]) -> Config {
    let file = |(number, text): (usize, &&str)| (number.to_string(), (*text).to_owned());
    Folder::from_files(texts.iter().enumerate().map(file).collect()).check().unwrap()
}

fn changed_keys(left: &Config, right: &Config) -> Vec<String> {
    difference(left, right).iter().map(ToString::to_string).collect()
}

#[test]
fn a_changed_field_gives_exactly_its_key() {
    let before = checked_config(&[FOLDER]);
    for change in CHANGES.lines().filter(|line| !line.is_empty()) {
        let key = change.split_once(" = ").unwrap().0;
        assert_eq!(changed_keys(&before, &checked_config(&[FOLDER, change])), [key]);
    }
}

#[test]
fn an_added_or_removed_entry_gives_one_key_without_a_field() {
    let before = checked_config(&[FOLDER]);
    let after = checked_config(&[FOLDER, "team.c.quota = { cpu = 1, memory = \"1GiB\" }"]);
    assert_eq!(changed_keys(&before, &after), ["team.c"]);
    assert_eq!(changed_keys(&after, &before), ["team.c"]);
}

#[test]
fn a_changed_kind_of_goal_gives_the_keys_of_both_goals() {
    let text = |goal: &str| format!("{FOLDER}\ntarget.b.penalty = \"1.00\"\n{goal}");
    let answer = checked_config(&[&text("target.b.service = \"a\"\ntarget.b.within = \"900ms\"")]);
    let deadline = checked_config(&[&text("target.b.class = \"a\"")]);
    let expected = ["target.b.class", "target.b.service", "target.b.within"];
    assert_eq!(changed_keys(&answer, &deadline), expected);
}

#[test]
fn every_changed_key_is_on_the_reference_page() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let page = std::fs::read_to_string(page).unwrap();
    for line in CHANGES.lines().filter(|line| !line.is_empty()) {
        let key = line.split_once(" = ").unwrap().0;
        let field = key.trim_start_matches("policy.").split(".a.").last().unwrap();
        assert!(page.contains(&format!("`{field}`")), "{field} is not on the page");
    }
}
