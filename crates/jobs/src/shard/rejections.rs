//! Rooms for which no executor was found in the current turn.

use std::collections::BTreeMap;

use crate::id::{Image, Label, ServiceName};
use crate::spec::{Room, Step};

/// Requirements of a task on an executor other than room.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Constraint {
    service: ServiceName,
    label: Option<Label>,
    /// Image of a best-effort task; its interference decides where it may run.
    best_effort_image: Option<Image>,
}

/// Rooms for which no executor was found in the current turn.
///
/// Tasks with the same constraint that request as much or more are not tried, since executors
/// only become fuller within a turn.
#[derive(Debug, Default)]
pub(super) struct Rejections(BTreeMap<Constraint, Vec<Room>>);

impl Rejections {
    /// Records that no executor has room for a task of `step`.
    pub(super) fn record(&mut self, service: &ServiceName, step: &Step) {
        // With a limit on tasks per executor, the step's own tasks may be the reason.
        if step.spread.is_none() {
            self.0.entry(constraint(service, step)).or_default().push(step.room);
        }
    }

    /// Returns whether it is certain that no executor has room for a task of `step`.
    pub(super) fn covers(&self, service: &ServiceName, step: &Step) -> bool {
        let rooms = self.0.get(&constraint(service, step));
        rooms.is_some_and(|rooms| rooms.iter().any(|room| step.room.fits(room)))
    }
}

fn constraint(service: &ServiceName, step: &Step) -> Constraint {
    let best_effort_image = step.filling.then(|| super::throttle::image(step));
    Constraint { service: service.clone(), label: step.label.clone(), best_effort_image }
}
