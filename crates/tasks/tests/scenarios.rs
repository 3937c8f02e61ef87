//! Scripted scenarios: each file is one property or one fault.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, dead_code)]

mod fake;
mod script;

use datadriven::walk;

#[test]
fn scenarios_hold() {
    walk("tests/scenarios", |file| {
        let mut script = script::Script::default();
        file.run(|case| script.run(case));
    });
}
