//! The log lines of owned shards. Each names the epoch where it tells which owner did something.

use std::collections::BTreeSet;

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;
use sycamorerill_jobs::executor::Outcome;
use sycamorerill_jobs::id::{DomainName, ExecutorId, InstanceName, ShardId};
use sycamorerill_jobs::shard::{
    Closing, Decision, Evacuated, Event, FirstReport, FitReport, Inherited, Knowledge, LeaseBound,
    LocalityWait, Order,
};

use crate::log::{Code, Line};

/// Maximum number of names of failure domains in a field.
const MAX_NAMES: usize = 16;
/// Maximum number of characters of each of them.
const MAX_NAME_CHARS: usize = 64;

data! {
    /// Why an instance no longer owns a shard.
    pub enum Loss {
        /// An executor has refused an order or a probe, as it has seen a higher epoch.
        Refused(Option<ExecutorId>),
        /// The claim is that of another instance or epoch; the value is its holder.
        Claimed(Option<InstanceName>),
        /// This instance has released the shard.
        Released,
    }
}

/// Returns the line for a decision that a shard takes under `epoch`.
pub fn decision(shard: ShardId, epoch: u64, decision: &Decision) -> Line {
    match decision {
        Decision::Placed { order, incarnation, waited_ms } => run(Code::Placed, shard, order)
            .number("waited_ms", *waited_ms)
            .number("epoch", epoch)
            .number("born", incarnation.0),
        Decision::Closed { order, by, knowledge } => {
            closed(run(Code::Closed, shard, order).number("epoch", epoch), *by, knowledge)
        }
        Decision::Finished { job, state, took } => Line::new(Code::Finished)
            .number("took_ms", took.as_ms())
            .text("job", job)
            .text("state", format_args!("{state:?}")),
        Decision::Unreachable(executor) => executor_state(executor, "silent"),
        Decision::Reachable(executor) => executor_state(executor, "answers"),
        Decision::Restarted(executor, incarnation) => {
            executor_state(executor, "reborn").number("born", incarnation.0)
        }
        Decision::Quarantined(executor, pause) => Line::new(Code::Quarantined)
            .text("executor", executor)
            .number("pause_ms", pause.as_ms()),
        Decision::Throttled { order, percent, tail_percent, over } => {
            run(Code::Paced, shard, order)
                .number("percent", u64::from(*percent))
                .number("tail_percent", u64::from(*tail_percent))
                .number("over_ms", over.as_ms())
        }
        Decision::RecordRejected(record) => Line::new(Code::Rejected)
            .text("shard", shard)
            .text("record", record)
            .text("job", record.job),
        Decision::Reserved { step, executor, waited, expected, reserved } => {
            Line::new(Code::Reserved)
                .text("shard", shard)
                .text("step", step)
                .text("executor", executor)
                .number("waited_ms", waited.as_ms())
                .number("expected_ms", expected.as_ms())
                .number("reserved", *reserved as u64)
        }
        Decision::HeldBack { step, queue, used_percent, equal_percent, age } => {
            Line::new(Code::HeldBack)
                .text("shard", shard)
                .text("step", step)
                .text("queue", queue)
                .number("used_percent", *used_percent)
                .number("equal_percent", *equal_percent)
                .number("age_ms", age.as_ms())
        }
        Decision::Unschedulable { step, obstacle, service, label, needs } => {
            let line = Line::new(Code::Unschedulable)
                .text("shard", shard)
                .text("step", step)
                .text("obstacle", obstacle.name())
                .text("service", service)
                .number("cpu", needs.cpu)
                .number("memory", needs.memory)
                .number("accelerators", needs.accelerators);
            label.iter().fold(line, |line, label| line.text("label", label))
        }
        Decision::Crashed { order, crashes, confirmed } => run(Code::Crashed, shard, order)
            .number("crashes", u64::from(*crashes))
            .number("confirmed", u64::from(*confirmed)),
        Decision::ModelRecorded(report) => fit(shard, report),
        Decision::Locality(wait) => locality(shard, wait),
        Decision::Unknown { order, incarnation } => {
            run(Code::Unknown, shard, order).number("epoch", epoch).number("born", incarnation.0)
        }
        Decision::Evacuated(evacuated) => {
            evacuation(owner(Code::Evacuated, shard, epoch), evacuated)
        }
        Decision::Inherited(found) => inherited(owner(Code::Inherited, shard, epoch), found),
        Decision::Fenced(report) => fenced(owner(Code::Fenced, shard, epoch), report),
    }
}

fn evacuation(line: Line, evacuated: &Evacuated) -> Line {
    line.text("domains", names(&evacuated.domains))
        .number("count", evacuated.domains.len() as u64)
        .number("executors", evacuated.executors as u64)
        .number("runs", evacuated.runs as u64)
        .text("unknown", names(&evacuated.unknown))
        .text("none_left", evacuated.is_everywhere)
}

/// Returns the first names of a set, cut where they are long: operators choose their number and
/// length.
fn names(domains: &BTreeSet<DomainName>) -> String {
    let listed = domains.iter().take(MAX_NAMES);
    let cut = |domain: &DomainName| domain.as_str().chars().take(MAX_NAME_CHARS).collect();
    listed.map(cut).collect::<Vec<String>>().join(" ")
}

fn inherited(line: Line, found: &Inherited) -> Line {
    let line = line
        .text("executor", &found.executor)
        .number("runs", found.runs as u64)
        .number("born_first", found.born_first.0)
        .number("born_last", found.born_last.0)
        .number("wait_ms", found.wait.as_ms())
        .text("bound", bound_name(found.bound));
    match found.born_listed {
        Some(born) => line.number("born_listed", born.0),
        None => line,
    }
}

fn fenced(line: Line, report: &FirstReport) -> Line {
    line.text("executor", &report.executor)
        .number("born", report.incarnation.0)
        .number("clock_ms", report.clock.0)
        .number("listed", report.listed as u64)
        .number("missing", report.missing as u64)
}

/// Adds to a line the evidence on which a run is closed.
fn closed(line: Line, by: Closing, knowledge: &Knowledge) -> Line {
    let Knowledge { stage, born, born_now, age } = knowledge;
    let line = line
        .text("stage", stage)
        .number("born", born.0)
        .number("born_now", born_now.0)
        .number("age_ms", age.as_ms());
    match by {
        Closing::Lapsed { clock, deadline } => {
            line.text("by", "Lapsed").number("clock_ms", clock.0).number("deadline_ms", deadline.0)
        }
        Closing::LapsedInherited { waited, bound } => line
            .text("by", "LapsedInherited")
            .number("waited_ms", waited.as_ms())
            .text("bound", bound_name(bound)),
        _ => line.text("by", format_args!("{by:?}")),
    }
}

const fn bound_name(bound: LeaseBound) -> &'static str {
    match bound {
        LeaseBound::Longest => "longest",
        LeaseBound::Recorded => "recorded",
        LeaseBound::Restarted => "restarted",
    }
}

/// Returns the line for an order that was sent under `epoch` and was not carried out.
pub fn order_failed(what: &str, epoch: u64, order: &Order, outcome: Outcome) -> Line {
    Line::new(Code::OrderFailed)
        .text("order", what)
        .text("task", order.task)
        .text("run", order.run)
        .text("executor", &order.executor)
        .number("epoch", epoch)
        .text("answer", format_args!("{outcome:?}"))
}

/// Returns the line for a start that was not sent, as the claim was last confirmed `unconfirmed`
/// ago.
pub fn start_withheld(epoch: u64, order: &Order, unconfirmed: Span) -> Line {
    order_failed("start", epoch, order, Outcome::NotSent)
        .text("reason", "unconfirmed")
        .number("unconfirmed_ms", unconfirmed.as_ms())
}

/// Returns the line for an event that says that an executor was unlisted or that a probe of it
/// failed; none for other events.
pub fn event(shard: ShardId, epoch: u64, event: &Event) -> Option<Line> {
    match event {
        Event::Unlisted(executor) => {
            Some(executor_state(executor, "unlisted").text("shard", shard))
        }
        Event::ProbeFailed(probe, outcome) => {
            let state = format!("not looked: {outcome:?}");
            let line = executor_state(&probe.executor, &state);
            Some(line.text("shard", shard).number("epoch", epoch))
        }
        _ => None,
    }
}

/// Returns the line for the loss of a shard, `unconfirmed` after the last write that was confirmed
/// under `epoch` was sent.
pub fn lost(shard: ShardId, epoch: u64, unconfirmed: Span, why: &Loss) -> Line {
    let line = owner(Code::Lost, shard, epoch).number("unconfirmed_ms", unconfirmed.as_ms());
    match why {
        Loss::Refused(executor) => with_name(line.text("why", "refused"), executor.as_ref()),
        Loss::Claimed(holder) => with_name(line.text("why", "claimed"), holder.as_ref()),
        Loss::Released => line.text("why", "released"),
    }
}

fn with_name(line: Line, name: Option<impl std::fmt::Display>) -> Line {
    match name {
        Some(name) => line.text("by", name),
        None => line,
    }
}

fn executor_state(executor: &ExecutorId, state: &str) -> Line {
    Line::new(Code::Executor).text("executor", executor).text("state", state)
}

fn fit(shard: ShardId, report: &FitReport) -> Line {
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
}

fn locality(shard: ShardId, wait: &LocalityWait) -> Line {
    let inputs = &wait.inputs;
    let line = Line::new(Code::Locality)
        .text("shard", shard)
        .text("step", wait.step)
        .text("rack", &wait.rack)
        .text("state", wait.state.name())
        .number("tasks", wait.tasks as u64)
        .number("waited_ms", wait.waited.as_ms())
        .number("run_ms", inputs.run.as_ms())
        .text("penalty", format_args!("{:.2}", inputs.penalty))
        .text("error", format_args!("{:.2}", inputs.error))
        .text("success", format_args!("{:.2}", inputs.success))
        .text("load", format_args!("{:.2}", inputs.load))
        .number("limit_ms", inputs.allowance.as_ms())
        .number("ahead", wait.ahead as u64)
        .number("age_ms", wait.age.as_ms());
    let line = match inputs.expected {
        Some(expected) => line.number("expected_ms", expected.as_ms()),
        None => line,
    };
    match inputs.slack {
        Some(slack) => line.number("slack_ms", slack.as_ms()),
        None => line,
    }
}

fn owner(code: Code, shard: ShardId, epoch: u64) -> Line {
    Line::new(code).text("shard", shard).number("epoch", epoch)
}

fn run(code: Code, shard: ShardId, order: &Order) -> Line {
    Line::new(code)
        .text("shard", shard)
        .text("task", order.task)
        .text("run", order.run)
        .text("executor", &order.executor)
}
