//! Measures checking, encoding and decoding of a folder by the number of its entries.
//!
//! `cargo bench --bench folder -- --seed N` prints one JSON object per line. The folder
//! holds one file per team with one service, three classes and three targets.

#![allow(clippy::unwrap_used, missing_docs)]

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use sycamorerill_config::{Folder, decode, encode};

/// Numbers of teams to measure; the last one gives the folder size that the design supports.
const TEAMS: [usize; 4] = [10, 100, 250, 490];
/// Entries in the file of a team, including the team itself.
const ENTRIES_PER_TEAM: usize = 8;
const DOMAINS: usize = 17;
const WORKERS_PER_DOMAIN: usize = 2_000;
/// Number of runs of each step, over which its time is averaged.
const REPEATS: u32 = 10;
const US_PER_SECOND: f64 = 1e6;

fn main() {
    let seed = seed();
    for teams in TEAMS {
        measure(seed, teams);
    }
}

fn seed() -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != "--seed");
    args.nth(1).map_or(1, |seed| seed.parse().unwrap())
}

fn measure(seed: u64, teams: usize) {
    let files = files(seed, teams);
    let source_bytes: usize = files.iter().map(|(_, text)| text.len()).sum();
    let folder = Folder::from_files(files);
    let config = folder.check().unwrap();
    let bytes = encode(&config);
    let entries = teams * ENTRIES_PER_TEAM + DOMAINS;
    println!(
        "{{\"bench\":\"folder\",\"seed\":{seed},\"teams\":{teams},\"entries\":{entries},\
         \"source_bytes\":{source_bytes},\"encoded_bytes\":{},\"encoded_bytes_per_entry\":{:.1}}}",
        bytes.len(),
        bytes.len() as f64 / entries as f64,
    );
    let check_us = mean_us(|| drop(black_box(folder.check())));
    let encode_us = mean_us(|| drop(black_box(encode(&config))));
    let decode_us = mean_us(|| drop(black_box(decode(&bytes))));
    println!(
        "{{\"bench\":\"folder\",\"wall\":true,\"seed\":{seed},\"entries\":{entries},\
         \"check_us\":{check_us:.0},\"encode_us\":{encode_us:.0},\"decode_us\":{decode_us:.0}}}"
    );
}

/// Returns the mean run time of a step in microseconds.
fn mean_us(mut step: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..REPEATS {
        step();
    }
    start.elapsed().as_secs_f64() * US_PER_SECOND / f64::from(REPEATS)
}

fn files(seed: u64, teams: usize) -> Vec<(String, String)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut files = vec![("00-domains.toml".to_owned(), domains())];
    for team in 0..teams {
        files.push((format!("10-team-{team:03}.toml"), team_file(&mut rng, team)));
    }
    files
}

fn domains() -> String {
    let mut text = String::new();
    for domain in 0..DOMAINS {
        writeln!(
            text,
            "[domain.domain-{domain:02}]\nworkers = {WORKERS_PER_DOMAIN}\n\
             worker = {{ cpu = 64, memory = \"232GiB\", accel = 2 }}\nexecutors = 8000"
        )
        .unwrap();
    }
    text
}

fn team_file(rng: &mut fastrand::Rng, team: usize) -> String {
    let mut text = format!(
        "[team.team-{team:03}]\nweight = {}\nquota = {{ cpu = {}, memory = \"{}GiB\" }}\n\
         [service.service-{team:03}]\nteam = \"team-{team:03}\"\ndeadline = \"1s\"\n\
         longest_run = \"{}ms\"\nrate = \"{}/s\"\n\
         [target.service-{team:03}]\nservice = \"service-{team:03}\"\nwithin = \"500ms\"\n\
         share = \"99%\"\npenalty = \"{}.50\"\n",
        rng.u32(1..9),
        rng.u32(10..1_000),
        rng.u32(10..1_000),
        rng.u32(50..400),
        rng.u32(10..2_000),
        rng.u32(1..50),
    );
    for class in 0..3 {
        writeln!(
            text,
            "[class.class-{team:03}-{class}]\nsize = {{ cpu = {}, memory = \"{}GiB\" }}\n\
             run_time = \"{}s\"\ndeadline = \"2h\"\ncheckpoint = true",
            rng.u32(1..16),
            rng.u32(1..64),
            rng.u32(10..3_600),
        )
        .unwrap();
    }
    for class in 0..2 {
        writeln!(
            text,
            "[target.class-{team:03}-{class}]\nclass = \"class-{team:03}-{class}\"\n\
             penalty = \"{}.00\"",
            rng.u32(1..50),
        )
        .unwrap();
    }
    text
}
