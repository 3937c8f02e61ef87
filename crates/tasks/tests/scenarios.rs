//! Scripted scenarios; each file covers one property or one fault.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, dead_code)]

mod fake;
mod script;

use datadriven::walk;

#[test]
fn scenarios_give_the_expected_output() {
    walk("tests/scenarios", |file| {
        let mut script = script::Script::default();
        file.run(|case| script.run(case));
    });
}
