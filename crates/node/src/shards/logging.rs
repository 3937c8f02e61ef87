//! Writes the log lines of shards.

use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::{Advice, Outcome};
use sycamorerill_jobs::id::{ExecutorId, StepId};
use sycamorerill_jobs::shard::{Decision, Event, Order};

use super::owner::OwnedShard;
use crate::lines;
use crate::log::{Code, Line};

/// Logs a decision of a shard.
pub(super) fn decision(owned: OwnedShard, decision: &Decision) {
    lines::decision(owned.shard, owned.epoch, decision).write();
}

/// Logs the outcome of an order, unless the order was carried out.
pub(super) fn outcome(what: &str, epoch: u64, order: &Order, outcome: Outcome) {
    if !matches!(outcome, Outcome::Done(_)) {
        lines::order_failed(what, epoch, order, outcome).write();
    }
}

/// Logs that a start was not sent, as the claim was last confirmed `unconfirmed` ago.
pub(super) fn start_withheld(epoch: u64, order: &Order, unconfirmed: Span) {
    lines::start_withheld(epoch, order, unconfirmed).write();
}

/// Logs the advice of the advice service; none if it refused or did not answer.
pub(super) fn advice(step: StepId, asked: &[ExecutorId], advice: Option<&Advice>) {
    let line = Line::new(Code::Advised).text("step", step).number("asked", asked.len() as u64);
    match advice {
        Some(advice) => line.number("good", advice.permitted.len() as u64).write(),
        None => line.write(),
    }
}

/// Logs that an executor was unlisted or that a probe of it failed; other events are not
/// logged.
pub(super) fn event(owned: OwnedShard, event: &Event) {
    if let Some(line) = lines::event(owned.shard, owned.epoch, event) {
        line.write();
    }
}
