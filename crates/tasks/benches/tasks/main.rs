//! Benchmarks of task placement: `cargo bench --bench tasks -- --seed N`.
//!
//! Prints one JSON object per line. Lines with `"wall":true` report wall-clock time on
//! this machine. All others are in virtual time and equal for equal seeds.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, dead_code)]

#[path = "../../tests/fake/mod.rs"]
mod fake;

mod cost;
mod deployment;
mod measure;
mod policy;
mod scenario;

use deployment::Deployment;
use policy::Policy;
use scenario::Scenario;

/// Returns the value after `name` on the command line.
fn option(name: &str) -> Option<String> {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1).filter(|value| !value.starts_with("--"))
}

fn main() {
    let seed = option("--seed").map_or(1, |seed| seed.parse().unwrap());
    let only = option("--only");
    let wanted = |name: &str| only.as_deref().is_none_or(|only| name.contains(only));
    for deployment in Deployment::ALL {
        for scenario in Scenario::ALL {
            if !wanted(scenario.name()) {
                continue;
            }
            let policies = Policy::ALL.into_iter().filter(|policy| {
                let name = option("--policy");
                name.is_none_or(|name| name == policy.name())
            });
            for policy in policies {
                println!("{}", measure::run(deployment, scenario, policy, seed));
            }
        }
    }
    if wanted("cost") {
        for workers in [65, 1_000, 10_000, 34_000] {
            println!("{}", cost::run(workers, seed));
        }
    }
}
