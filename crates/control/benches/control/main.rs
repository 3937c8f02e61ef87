//! Benchmarks of the control plane in virtual time, except for the lines marked `wall`.
//!
//! `cargo bench --bench control -- --seed N` prints one JSON object per line. The same
//! seed gives the same values on all lines that are not marked `wall`.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../../tests/cluster/mod.rs"]
mod cluster;
mod group;
mod load;
mod recovery;
mod spread;
mod takeover;
mod wall;

/// Current number of instances, and two larger sizes towards the target deployment.
pub(crate) const SIZES: [usize; 3] = [9, 90, 900];

/// Runs one benchmark with a seed and prints its results.
type Bench = fn(u64);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let value = |name: &str| {
        let at = args.iter().position(|arg| arg == name)?;
        args.get(at + 1).cloned()
    };
    let seed: u64 = value("--seed").map_or(1, |text| text.parse().expect("a seed"));
    let only = value("--only").unwrap_or_default();
    let runs: [(&str, Bench); 5] = [
        ("takeover", takeover::run),
        ("spread", spread::run),
        ("recovery", recovery::run),
        ("load", load::run),
        ("wall", wall::run),
    ];
    for (name, run) in runs {
        if only.is_empty() || only == name {
            run(seed);
        }
    }
}
