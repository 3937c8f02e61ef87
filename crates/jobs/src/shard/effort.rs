//! Bounds on the steps for which a placement pass finds no executor.
//!
//! Load pattern: many steps that find no room for long, such as those that need a whole executor while
//! a long-running task has a part of each, before others that wait for less. Steps that no executor
//! could run whatever room it had are not in the queue (`unschedulable`). A step with the requirements of one that was
//! just rejected costs little and counts little. Each full pass tries the steps of the highest rank,
//! and then some from where the previous full pass ended, so that all are reached in turn.

use super::rank::Rank;
use crate::id::StepId;

/// Cost of a step that is tried on executors without finding one.
const TRIED_COST: u32 = 10;
/// Cost of a step that is not tried, since one with the same requirements was rejected.
const REJECTED_COST: u32 = 1;
/// Cost of blocked steps in one pass, in the order of their rank; it allows for trying 200.
const BLOCKED_BUDGET: u32 = 200 * TRIED_COST;
/// Further cost of blocked steps in a full pass, from where the previous one ended.
const RESUMED_BUDGET: u32 = 100 * TRIED_COST;

/// Bounds on the cost of steps for which a pass finds no executor.
#[derive(Debug)]
pub(super) struct Effort {
    /// Cost left for steps that are tried for the first time. Each is blocked after that, so later
    /// passes reach those that follow.
    first: u32,
    /// Cost left for steps that were blocked before.
    again: u32,
    /// Last blocked step that the previous full pass has tried, if it left any out.
    resume_after: Option<(Rank, StepId)>,
    /// Last blocked step that this pass has tried.
    last_tried: Option<(Rank, StepId)>,
    /// Whether this pass leaves out a blocked step.
    is_cut: bool,
    /// Whether the cost of the steps from `resume_after` on is granted, or none is.
    is_resumed: bool,
}

impl Effort {
    /// Returns the bounds of a pass; a full one goes on behind `resume_after`.
    pub(super) const fn new(full: bool, resume_after: Option<(Rank, StepId)>) -> Self {
        Self {
            first: BLOCKED_BUDGET,
            again: BLOCKED_BUDGET,
            resume_after,
            last_tried: None,
            is_cut: false,
            // Other passes only try released executors, for as many steps as they can.
            is_resumed: !full,
        }
    }

    /// Returns the step behind which the next full pass goes on.
    pub(super) const fn resume_after(&self) -> Option<(Rank, StepId)> {
        if self.is_cut && self.is_resumed { self.last_tried } else { None }
    }

    /// Returns whether to try a step, given whether it was blocked before.
    pub(super) fn allows(&mut self, step: (Rank, StepId), blocked: bool) -> bool {
        if !blocked {
            return self.first > 0;
        }
        if self.again == 0 && !self.is_resumed && self.resume_after.is_none_or(|at| step > at) {
            self.again = RESUMED_BUDGET;
            self.is_resumed = true;
        }
        if self.again == 0 {
            self.is_cut = true;
            return false;
        }
        self.last_tried = Some(step);
        true
    }

    /// Notes that no executor was found for a step, and whether it was tried.
    pub(super) const fn spend(&mut self, blocked: bool, tried: bool) {
        let cost = if tried { TRIED_COST } else { REJECTED_COST };
        let left = if blocked { &mut self.again } else { &mut self.first };
        *left = left.saturating_sub(cost);
    }
}
