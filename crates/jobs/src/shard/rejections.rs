//! Rooms that no executor had in one turn.

use std::collections::BTreeMap;

use crate::id::{Image, Label, ServiceName};
use crate::spec::{Room, Step};

/// What besides room decides whether an executor can take a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Constraint {
    service: ServiceName,
    label: Option<Label>,
    /// Image of a filling task: where it may run depends on what it presses on.
    best_effort_image: Option<Image>,
}

/// Rooms that no executor had in one turn: tasks of the same kind that ask for as much
/// or more need not be tried, since a turn only fills executors further.
#[derive(Debug, Default)]
pub(super) struct Rejections(BTreeMap<Constraint, Vec<Room>>);

impl Rejections {
    /// Takes that no executor had room for a task of `step`.
    pub(super) fn record(&mut self, service: &ServiceName, step: &Step) {
        // Where tasks of a step are kept apart, its own tasks may be what is in the way.
        if step.spread.is_none() {
            self.0.entry(constraint(service, step)).or_default().push(step.room);
        }
    }

    /// Reports whether no executor can have room for a task of `step`.
    pub(super) fn covers(&self, service: &ServiceName, step: &Step) -> bool {
        let rooms = self.0.get(&constraint(service, step));
        rooms.is_some_and(|rooms| rooms.iter().any(|room| step.room.fits(room)))
    }
}

fn constraint(service: &ServiceName, step: &Step) -> Constraint {
    let best_effort_image = step.filling.then(|| super::throttle::image(step));
    Constraint { service: service.clone(), label: step.label.clone(), best_effort_image }
}
