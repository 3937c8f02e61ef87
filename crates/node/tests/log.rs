//! The log's queue must drop lines, not block, when its reader stalls.

use sycamorerill_node::log::{Code, Queue};

const DECISIONS: usize = 20_000;

/// Without reserved room, a burst of decisions would displace the changes of state.
#[test]
fn a_stalled_reader_drops_decisions_before_changes_of_state() {
    let (queue, lines) = Queue::new();
    for _ in 0..DECISIONS {
        queue.push("decision\n".to_owned(), false);
    }
    let dropped = queue.dropped();
    assert!(dropped > 0);
    for _ in 0..1_000 {
        queue.push("state\n".to_owned(), true);
    }
    assert_eq!(queue.dropped(), dropped);
    let text = lines.receive_all().expect("lines are there");
    assert_eq!(text.matches("state").count(), 1_000);
    assert_eq!(text.matches("decision").count() as u64 + dropped, DECISIONS as u64);
}

#[test]
fn a_reader_that_keeps_up_drops_no_lines() {
    let (queue, lines) = Queue::new();
    for _ in 0..10 {
        for _ in 0..1_000 {
            queue.push("decision\n".to_owned(), false);
        }
        assert_eq!(lines.receive_all().map(|text| text.lines().count()), Some(1_000));
    }
    assert_eq!(queue.dropped(), 0);
}

#[test]
fn the_catalogue_lists_exactly_the_events() {
    let catalogue = include_str!("../../../docs/EVENTS-JOBS.md");
    let mut rows: Vec<&str> = catalogue.lines().filter(|l| l.starts_with("| E")).collect();
    for code in Code::ALL {
        let row = format!("| E{:04} | `{}` |", code.number(), code.name());
        let at = rows.iter().position(|found| found.starts_with(&row));
        assert!(at.is_some(), "docs/EVENTS-JOBS.md lacks `{row}`");
        at.map(|at| rows.swap_remove(at));
    }
    assert!(rows.is_empty(), "no such events: {rows:?}");
}
