//! Guards against events that `docs/EVENTS.md` lacks, lists wrongly or lists although the
//! code no longer has them, and against numbers or names that are used twice.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use sycamorerill_daemon::events::Code;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

fn row(code: Code) -> String {
    let severity = format!("{:?}", code.severity()).to_lowercase();
    let (number, name, meaning) = (code.number(), code.name(), code.meaning());
    format!("| E{number:04} | `{name}` | {severity} | {meaning} |")
}

#[test]
fn documentation_lists_exactly_the_events_of_the_code() {
    let documented: BTreeSet<&str> =
        CATALOGUE.lines().filter(|line| line.starts_with("| E")).collect();
    let rows: Vec<String> = Code::ALL.iter().map(|code| row(*code)).collect();
    let known: BTreeSet<&str> = rows.iter().map(String::as_str).collect();
    let missing: Vec<_> = known.difference(&documented).collect();
    let stale: Vec<_> = documented.difference(&known).collect();
    assert!(missing.is_empty() && stale.is_empty(), "missing {missing:#?}, stale {stale:#?}");
}

#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let names: BTreeSet<&str> = Code::ALL.iter().map(|code| code.name()).collect();
    assert_eq!((numbers.len(), names.len()), (Code::ALL.len(), Code::ALL.len()));
}
