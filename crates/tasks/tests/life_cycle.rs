//! Guards against a state machine of tasks that differs from the documented table.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::BTreeMap;

use sycamorerill_tasks::life::{Input, State};

const DOCUMENT: &str = include_str!("../../../docs/design/050-life-of-a-task.md");

/// Returns the cells of each row of the table whose header starts with `| input |`.
fn table_rows() -> Vec<Vec<String>> {
    let lines = DOCUMENT.lines().skip_while(|line| !line.starts_with("| input |"));
    let rows = lines.take_while(|line| line.starts_with('|'));
    let cells =
        |line: &str| line.trim_matches('|').split('|').map(|c| c.trim().to_owned()).collect();
    rows.filter(|line| !line.starts_with("| ---")).map(cells).collect()
}

fn state(word: &str) -> State {
    State::ALL.into_iter().find(|state| state.as_str() == word).expect(word)
}

#[test]
fn transitions_match_the_documented_table() {
    let rows = table_rows();
    let states: Vec<State> = rows[0][1..].iter().map(|word| state(word)).collect();
    assert_eq!(states, State::ALL);
    let documented: BTreeMap<&str, &[String]> =
        rows[1..].iter().map(|row| (row[0].as_str(), &row[1..])).collect();
    assert_eq!(documented.len(), Input::ALL.len());
    for input in Input::ALL {
        let row = documented[input.as_str()];
        assert_eq!(row.len(), State::ALL.len(), "{input}");
        for (before, word) in State::ALL.into_iter().zip(row.iter()) {
            let after = if word == "·" { before } else { state(word) };
            assert_eq!(before.next(input), after, "{before} at {input}");
        }
    }
}

#[test]
fn final_states_ignore_all_inputs() {
    for input in Input::ALL {
        for before in State::ALL.into_iter().filter(|state| state.is_final()) {
            assert_eq!(before.next(input), before, "{before} at {input}");
        }
    }
}

#[test]
fn only_the_place_input_leads_to_placed() {
    for before in State::ALL.into_iter().filter(|state| *state != State::Placed) {
        for input in Input::ALL.into_iter().filter(|input| *input != Input::Place) {
            assert_ne!(before.next(input), State::Placed, "{before} at {input}");
        }
    }
}
