//! Measures routing decisions in virtual time, and their cost in wall-clock time.
//!
//! `cargo bench --bench calls -- --seed N [--only SCENARIO] [--policy POLICY]` prints one JSON
//! object per line. All lines except those with `"wall":true` are reproducible for a seed.

#![allow(clippy::expect_used)]

mod environment;
mod memory;
mod owned;
mod scenario;
mod shares;
mod sim;
mod stats;
mod tokens;
mod wall_clock;

use std::io::Write;

use scenario::Scenario;
use sim::{Policy, Sim};

/// Arguments of the command line.
#[derive(Debug, Default)]
struct Arguments {
    seed: u64,
    only: Option<String>,
    policy: Option<String>,
}

fn arguments() -> Arguments {
    let mut found = Arguments { seed: 1, ..Arguments::default() };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--seed" => found.seed = words.next().and_then(|n| n.parse().ok()).unwrap_or(1),
            "--only" => found.only = words.next(),
            "--policy" => found.policy = words.next(),
            _ => {}
        }
    }
    found
}

fn main() -> std::io::Result<()> {
    let arguments = arguments();
    let mut out = std::io::stdout().lock();
    let selected = |name: &str| arguments.only.as_deref().is_none_or(|only| only == name);
    let chosen =
        |policy: Policy| arguments.policy.as_deref().is_none_or(|only| only == policy.as_str());
    for scenario in Scenario::all() {
        if !selected(scenario.name) {
            continue;
        }
        let covered = Policy::ALL.into_iter().filter(|policy| scenario.covers(*policy));
        for policy in covered.filter(|policy| chosen(*policy)) {
            let line = Sim::new(scenario.clone(), policy, arguments.seed).run();
            writeln!(out, "{line}")?;
        }
    }
    if selected("memory") {
        for line in memory::lines() {
            writeln!(out, "{line}")?;
        }
    }
    if selected("decision") {
        for line in wall_clock::lines(arguments.seed) {
            writeln!(out, "{line}")?;
        }
    }
    Ok(())
}
