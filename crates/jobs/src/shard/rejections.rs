//! Resources for which no executor was found in the current turn.

use std::collections::BTreeMap;

use crate::id::{Image, Label, ServiceName};
use crate::spec::{Resources, Step};

/// Requirements of a task on an executor other than resources.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Constraint {
    service: ServiceName,
    label: Option<Label>,
    /// Image of a best-effort task; its interference decides where it may run.
    best_effort_image: Option<Image>,
}

/// Resources for which no executor was found in the current turn.
///
/// Tasks with the same constraint that request as much or more are not tried, since executors
/// only become fuller within a turn.
#[derive(Debug, Default)]
pub(super) struct Rejections(BTreeMap<Constraint, Vec<Resources>>);

impl Rejections {
    /// Records that no executor has the resources for a task of `step`.
    pub(super) fn record(&mut self, service: &ServiceName, step: &Step) {
        // With a limit on tasks per executor, the step's own tasks may be the reason.
        if step.max_per_executor.is_none() {
            self.0.entry(constraint(service, step)).or_default().push(step.resources);
        }
    }

    /// Returns whether it is certain that no executor has the resources for a task of `step`.
    pub(super) fn covers(&self, service: &ServiceName, step: &Step) -> bool {
        let rejected = self.0.get(&constraint(service, step));
        rejected.is_some_and(|rejected| rejected.iter().any(|needs| step.resources.covers(needs)))
    }
}

fn constraint(service: &ServiceName, step: &Step) -> Constraint {
    let best_effort_image = step.best_effort.then(|| super::throttle::image(step));
    Constraint { service: service.clone(), label: step.label.clone(), best_effort_image }
}
