//! The example folders pass the check and declare the documented numbers of workers and
//! executors.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use sycamorerill_config::Folder;
use sycamorerill_core::model::Config;

fn example(name: &str) -> Config {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let merged = Folder::read(root.join(name)).unwrap().merge();
    let config = merged.check().unwrap();
    assert_eq!(merged.warnings(&config), [], "an example has entries without effect");
    config
}

fn totals(config: &Config) -> (usize, u32, u32) {
    let workers = config.domains.values().map(|domain| domain.workers).sum();
    let executors = config.domains.values().map(|domain| domain.executors).sum();
    (config.domains.len(), workers, executors)
}

#[test]
fn ropes_example_has_65_workers_and_65_executors_in_4_domains() {
    let config = example("ropes");
    assert_eq!(totals(&config), (4, 65, 65));
    assert_eq!(config.services[&"orders".parse().unwrap()].slots, 8);
}

#[test]
fn heaters_example_has_50_workers_and_50_executors_in_3_domains() {
    let config = example("heaters");
    assert_eq!(totals(&config), (3, 50, 50));
    let booking = &config.services[&"booking".parse().unwrap()];
    assert_eq!(
        (booking.slots, booking.rate.0),
        (8, 1_200.0),
        "the file for winter overrides the rate"
    );
}
