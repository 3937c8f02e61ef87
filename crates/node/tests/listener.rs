//! The bounds on the clients of listeners hold in any order of events.

#![allow(clippy::panic)]

use std::collections::BTreeSet;

use arbtest::arbtest;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_node::listener::{Admission, Budget, Limits, Machine, Reservation, Table};

const LIMIT: usize = 4;
const BYTES: usize = 1_000;

fn admitted(admission: Admission) -> sycamorerill_node::listener::ConnectionId {
    match admission {
        Admission::Admitted(id) | Admission::Replaces { admitted: id, .. } => id,
        Admission::Refused => panic!("a connection is refused"),
    }
}

/// Guards against closing a connection whose request is handled, or one that has just come.
#[test]
fn the_connection_that_has_waited_longest_makes_room() {
    let at = |ms| Time::ZERO + Span::from_ms(ms);
    let mut table = Table::new(3);
    let ids: Vec<_> = (0..3).map(|ms| admitted(table.admit(at(ms)))).collect();
    table.set_handling(ids[0]);
    table.set_waiting(ids[1], at(10));
    let Admission::Replaces { admitted, closed } = table.admit(at(11)) else {
        panic!("the table is full");
    };
    assert_eq!(closed, ids[2]);
    table.set_handling(ids[1]);
    table.set_handling(admitted);
    assert_eq!(table.admit(at(12)), Admission::Refused);
    table.set_waiting(ids[0], at(13));
    assert!(matches!(table.admit(at(14)), Admission::Replaces { closed, .. } if closed == ids[0]));
}

/// Guards against a count that drifts, which would end in no connection being admitted.
#[test]
fn a_table_never_holds_more_than_its_limit_nor_forgets_one() {
    arbtest(|u| {
        let (mut table, mut open, mut now) = (Table::new(LIMIT), Vec::new(), Time::ZERO);
        for _ in 0..u.int_in_range(0..=60)? {
            now += Span::from_ms(u.int_in_range(0..=3)?);
            match (u.int_in_range(0..=3)?, open.is_empty()) {
                (0, _) | (_, true) => match table.admit(now) {
                    Admission::Admitted(id) => open.push(id),
                    Admission::Replaces { admitted, closed } => {
                        open.retain(|id| *id != closed);
                        open.push(admitted);
                    }
                    Admission::Refused => assert_eq!(open.len(), LIMIT),
                },
                (1, _) => table.set_handling(*u.choose(&open)?),
                (2, _) => table.set_waiting(*u.choose(&open)?, now),
                _ => table.remove(open.swap_remove(u.choose_index(open.len())?)),
            }
            assert_eq!(table.len(), open.len());
            assert!(table.len() <= LIMIT);
        }
        Ok(())
    });
}

/// Guards against a crowd of bodies that never end, and against giving up one that is complete.
#[test]
fn bodies_that_are_received_longest_make_room() {
    let mut budget = Budget::new(BYTES);
    let [done, slow, new] = [budget.begin(), budget.begin(), budget.begin()];
    assert_eq!(budget.reserve(done, 400), Reservation::Granted(vec![]));
    budget.complete(done);
    assert_eq!(budget.reserve(slow, 500), Reservation::Granted(vec![]));
    assert_eq!(budget.reserve(new, 200), Reservation::Granted(vec![slow]));
    assert_eq!(budget.reserve(slow, 1), Reservation::Refused);
    assert_eq!(budget.reserve(new, 500), Reservation::Refused);
    budget.end(done);
    assert_eq!(budget.reserve(new, 500), Reservation::Granted(vec![]));
    budget.end(slow);
    budget.end(new);
    assert_eq!(budget.used(), 0);
}

/// Guards against bytes that are counted twice or never released.
#[test]
fn a_budget_is_never_exceeded_and_is_whole_again_at_the_end() {
    arbtest(|u| {
        let (mut budget, mut open) = (Budget::new(BYTES), BTreeSet::new());
        for _ in 0..u.int_in_range(0..=60)? {
            let bodies: Vec<_> = open.iter().copied().collect();
            match (u.int_in_range(0..=3)?, bodies.is_empty()) {
                (0, _) | (_, true) => drop(open.insert(budget.begin())),
                (1, _) => {
                    let id = *u.choose(&bodies)?;
                    let reservation = budget.reserve(id, u.int_in_range(0..=600)?);
                    if let Reservation::Granted(given_up) = reservation {
                        assert!(given_up.iter().all(|other| *other != id && open.remove(other)));
                    }
                }
                (2, _) => budget.complete(*u.choose(&bodies)?),
                _ => {
                    let id = *u.choose(&bodies)?;
                    budget.end(id);
                    open.remove(&id);
                }
            }
            assert!(budget.used() <= BYTES);
        }
        open.iter().for_each(|id| budget.end(*id));
        assert_eq!(budget.used(), 0);
        Ok(())
    });
}

/// Guards against limits that clients within the pages' limits meet, or that a machine can't hold.
#[test]
fn limits_fit_the_machines_in_use() {
    for (memory_mb, max_fds) in [(160, 4_100), (260, 4_100), (512, 8_192)] {
        let machine =
            Machine { memory_mb: Some(memory_mb), max_fds: Some(max_fds), ..Machine::default() };
        let limits = Limits::of(&machine);
        assert!(limits.callers >= 400 && limits.auxiliary >= 50, "{limits:?}");
        assert!(limits.callers + 2 * limits.auxiliary <= max_fds - 1_200, "{limits:?}");
        let connections = (limits.callers + 2 * limits.auxiliary) * 96 * 1_024;
        assert!(connections + limits.body_bytes <= (memory_mb << 20) as usize / 2, "{limits:?}");
        assert!(limits.body_bytes >= 64 * 262_144, "{limits:?}");
    }
    for number in [0, 1, u64::MAX] {
        let count = usize::try_from(number).unwrap();
        let limits = Limits::of(&Machine {
            memory_mb: Some(number),
            max_fds: Some(count),
            max_connections: Some(count),
            body_budget_mb: Some(number),
            body_timeout: Some(Span::ZERO),
            response_timeout: Some(Span::ZERO),
        });
        assert!(limits.callers > 0 && limits.auxiliary > 0 && limits.body_bytes > 0, "{limits:?}");
        assert!(limits.body_timeout > Span::ZERO && limits.response_timeout > Span::ZERO);
    }
}
