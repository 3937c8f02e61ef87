//! Figures of the control plane, on virtual time but for the lines marked `wall`.
//!
//! `cargo bench --bench control -- --seed N` prints one JSON object a line. The same
//! seed gives the same samples on every line that is not marked.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../../tests/cluster/mod.rs"]
mod cluster;
mod group;
mod load;
mod recovery;
mod spread;
mod takeover;
mod wall;

/// Instances of today and two sizes on the way to the letter's.
pub(crate) const SIZES: [usize; 3] = [9, 90, 900];

/// Prints the lines of one part for a seed.
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
