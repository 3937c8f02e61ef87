//! The log's queue: a reader that stands still costs lines, not time.

use sycamorerill_node::log::{Code, Queue};

const MANY: usize = 20_000;

#[test]
fn a_stalled_reader_costs_lines_and_changes_of_state_come_last() {
    let (queue, lines) = Queue::new();
    for _ in 0..MANY {
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
    assert_eq!(text.matches("decision").count() as u64 + dropped, MANY as u64);
}

#[test]
fn a_reader_that_keeps_up_loses_nothing() {
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
fn the_catalogue_has_each_event_and_no_other() {
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
