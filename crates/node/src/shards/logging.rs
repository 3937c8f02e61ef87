//! Writes the log lines of shards.

use sycamorerill_jobs::executor::{Advice, Outcome};
use sycamorerill_jobs::id::{ExecutorId, ShardId, StepId};
use sycamorerill_jobs::shard::{Decision, Event, FitReport, Order};

use crate::log::{Code, Line};

/// Logs a decision of a shard.
pub(super) fn decision(shard: ShardId, decision: &Decision) {
    match decision {
        Decision::Placed { order, waited_ms } => {
            run(Code::Placed, shard, order).number("waited_ms", *waited_ms).write();
        }
        Decision::Closed { order, by } => {
            run(Code::Closed, shard, order).text("by", format_args!("{by:?}")).write();
        }
        Decision::Finished { job, state, took } => Line::new(Code::Finished)
            .number("took_ms", took.as_ms())
            .text("job", job)
            .text("state", format_args!("{state:?}"))
            .write(),
        Decision::Unreachable(executor) => {
            Line::new(Code::Executor).text("executor", executor).text("state", "silent").write();
        }
        Decision::Reachable(executor) => {
            Line::new(Code::Executor).text("executor", executor).text("state", "answers").write();
        }
        Decision::Restarted(executor, incarnation) => Line::new(Code::Executor)
            .text("executor", executor)
            .text("state", "reborn")
            .number("born", incarnation.0)
            .write(),
        Decision::Quarantined(executor, pause) => Line::new(Code::Quarantined)
            .text("executor", executor)
            .number("pause_ms", pause.as_ms())
            .write(),
        Decision::Throttled { order, percent, tail_percent, over } => {
            run(Code::Paced, shard, order)
                .number("percent", u64::from(*percent))
                .number("tail_percent", u64::from(*tail_percent))
                .number("over_ms", over.as_ms())
                .write()
        }
        Decision::RecordRejected(record) => Line::new(Code::Rejected)
            .text("shard", shard)
            .text("record", record)
            .text("job", record.job)
            .write(),
        Decision::Crashed { order, crashes, confirmed } => run(Code::Crashed, shard, order)
            .number("crashes", u64::from(*crashes))
            .number("confirmed", u64::from(*confirmed))
            .write(),
        Decision::ModelRecorded(report) => fit(shard, report),
    }
}

fn fit(shard: ShardId, report: &FitReport) {
    let weights: Vec<String> =
        report.weights.iter().map(|(image, weight)| format!("{image}={weight:.2}")).collect();
    Line::new(Code::Model)
        .text("shard", shard)
        .text("image", &report.image)
        .text("idle_ratio", format_args!("{:.3}", report.idle_ratio))
        .number("reports", u64::from(report.reports))
        .number("saturated", u64::from(report.saturated))
        .text("mean_error", format_args!("{:.3}", report.mean_error))
        .text("mean_load", format_args!("{:.3}", report.mean_load))
        .text("weights", weights.join(" "))
        .write();
}

/// Logs the outcome of an order, unless the order was carried out.
pub(super) fn outcome(what: &str, order: &Order, outcome: Outcome) {
    if matches!(outcome, Outcome::Done(_)) {
        return;
    }
    Line::new(Code::OrderFailed)
        .text("order", what)
        .text("task", order.task)
        .text("run", order.run)
        .text("executor", &order.executor)
        .text("answer", format_args!("{outcome:?}"))
        .write();
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
pub(super) fn event(shard: ShardId, event: &Event) {
    let line = |executor, state| {
        Line::new(Code::Executor)
            .text("shard", shard)
            .text("executor", executor)
            .text("state", state)
            .write();
    };
    match event {
        Event::Unlisted(executor) => line(executor, "unlisted"),
        Event::ProbeFailed(probe, outcome) => {
            line(&probe.executor, &*format!("not looked: {outcome:?}"));
        }
        _ => {}
    }
}

fn run(code: Code, shard: ShardId, order: &Order) -> Line {
    Line::new(code)
        .text("shard", shard)
        .text("task", order.task)
        .text("run", order.run)
        .text("executor", &order.executor)
}
