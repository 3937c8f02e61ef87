//! Measures the decisions on calls in virtual time, and their cost on the wall clock.
//!
//! `cargo bench --bench calls -- --seed N [--only SCENARIO] [--policy POLICY]` prints one JSON object a
//! line. All lines but those with `"wall":true` are the same for the same seed.

#![allow(clippy::expect_used)]

mod memory;
mod net;
mod owned;
mod scenario;
mod shares;
mod sim;
mod tally;
mod tokens;
mod wall;

use std::io::Write;

use scenario::Scenario;
use sim::{Policy, Sim};

/// What the command line asks for.
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
    let wanted = |name: &str| arguments.only.as_deref().is_none_or(|only| only == name);
    let chosen =
        |policy: Policy| arguments.policy.as_deref().is_none_or(|only| only == policy.as_str());
    for scenario in Scenario::all() {
        if !wanted(scenario.name) {
            continue;
        }
        let covered = Policy::ALL.into_iter().filter(|policy| scenario.covers(*policy));
        for policy in covered.filter(|policy| chosen(*policy)) {
            let line = Sim::new(scenario.clone(), policy, arguments.seed).run();
            writeln!(out, "{line}")?;
        }
    }
    if wanted("memory") {
        for line in memory::lines() {
            writeln!(out, "{line}")?;
        }
    }
    if wanted("decision") {
        for line in wall::lines(arguments.seed) {
            writeln!(out, "{line}")?;
        }
    }
    Ok(())
}
