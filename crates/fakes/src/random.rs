//! Random numbers that depend only on a seed and on names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Standard normal deviate at the 99th percentile.
const Z_99: f64 = 2.326;

/// Returns a generator whose sequence is the same for the same seed and names.
pub(crate) fn seeded_rng(seed: u64, names: &[&str]) -> fastrand::Rng {
    let mut state = seed;
    for name in names {
        state = xxh3_64_with_seed(name.as_bytes(), state);
    }
    fastrand::Rng::with_seed(state)
}

/// Draws from a log-normal distribution with median 1 and `p99_ratio` as the ratio of p99 to
/// median.
pub(crate) fn log_normal(rng: &mut fastrand::Rng, p99_ratio: f64) -> f64 {
    let sigma = p99_ratio.max(1.0).ln() / Z_99;
    (sigma * normal(rng)).exp()
}

/// Draws from the standard normal distribution.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}
