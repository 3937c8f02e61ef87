//! The log's queue must drop lines, not block, when its reader stalls. Lines of owned shards must
//! tell which owner did what on which evidence.

use std::collections::BTreeSet;

use serde_json::{Value, json};
use sycamorerill_core::clock::Span;
use sycamorerill_jobs::executor::{EndReason, Incarnation, Outcome, Refusal, Steady};
use sycamorerill_jobs::id::{
    DomainName, ExecutorId, InstanceName, JobId, Label, Run, ShardId, StepId,
};
use sycamorerill_jobs::shard::{
    Closing, Decision, Evacuated, Event, FirstReport, Inherited, Knowledge, LeaseBound,
    LocalityWait, Order, Probe, WaitInputs, WaitState,
};
use sycamorerill_node::lines::{self, Loss};
use sycamorerill_node::log::{Code, Line, Queue};

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

const SHARD: ShardId = ShardId(0);

fn order() -> Order {
    let step = StepId { job: JobId(1), occurrence: 0, step: 0 };
    Order { executor: ExecutorId::from("x0"), task: step.task(2), run: Run(3) }
}

/// Asserts that a line has exactly the given fields and those of each line.
fn assert_fields(line: &Line, code: Code, mut fields: Value) {
    let found: Value = serde_json::from_str(&line.to_string()).unwrap_or_default();
    assert!(found["ms"].is_u64(), "{line}");
    fields["ms"] = found["ms"].clone();
    fields["event"] = json!(code.number());
    fields["name"] = json!(code.name());
    assert_eq!(found, fields);
}

/// Asserts that the line of a run that is closed has the given fields besides those of each.
fn assert_closed(by: Closing, evidence: Value) {
    let knowledge = Knowledge {
        stage: "running",
        born: Incarnation(5),
        born_now: Incarnation(6),
        age: Span::from_ms(40),
    };
    let decision = Decision::Closed { order: order(), by, knowledge };
    let mut fields = json!({
        "shard": "s0", "task": "0000000000000001.0.0.2", "run": "3", "executor": "x0", "epoch": 7,
        "stage": "running", "born": 5, "born_now": 6, "age_ms": 40,
    });
    for (key, value) in evidence.as_object().into_iter().flatten() {
        fields[key] = value.clone();
    }
    assert_fields(&lines::decision(SHARD, 7, &decision), Code::Closed, fields);
}

#[test]
fn a_closed_run_tells_the_evidence_with_its_clocks_and_its_age() {
    assert_closed(Closing::Ended(EndReason::Done), json!({ "by": "Ended(Done)" }));
    assert_closed(Closing::Refused(Refusal::Room), json!({ "by": "Refused(Room)" }));
    for by in [
        Closing::NotSent,
        Closing::NoCapacity,
        Closing::Evacuated,
        Closing::NotRecorded,
        Closing::NotListed,
        Closing::Gone,
        Closing::Replaced,
        Closing::GangDone,
    ] {
        assert_closed(by, json!({ "by": format!("{by:?}") }));
    }
    let by = Closing::Lapsed { clock: Steady(901), deadline: Steady(900) };
    assert_closed(by, json!({ "by": "Lapsed", "clock_ms": 901, "deadline_ms": 900 }));
    let waited = Span::from_ms(3_010);
    for (bound, name) in [
        (LeaseBound::Longest, "longest"),
        (LeaseBound::Recorded, "recorded"),
        (LeaseBound::Restarted, "restarted"),
    ] {
        let by = Closing::LapsedInherited { waited, bound };
        let evidence = json!({ "by": "LapsedInherited", "waited_ms": 3_010, "bound": name });
        assert_closed(by, evidence);
    }
}

/// Operators choose the number and the length of the names, and the line must stay short.
#[test]
fn the_line_of_an_evacuation_is_bounded() {
    let domains: BTreeSet<DomainName> = BTreeSet::from(["north".into(), "south".into()]);
    let unknown = BTreeSet::from(["south".into()]);
    let evacuated = Evacuated { domains, unknown, executors: 3, runs: 4, is_everywhere: false };
    let line = lines::decision(SHARD, 7, &Decision::Evacuated(evacuated.clone()));
    let fields = json!({
        "shard": "s0", "epoch": 7, "domains": "north south", "count": 2, "executors": 3, "runs": 4,
        "unknown": "south", "none_left": "false",
    });
    assert_fields(&line, Code::Evacuated, fields);
    let names: Vec<String> = (0..500).map(|n| format!("{n}{}", "\u{e9}".repeat(200))).collect();
    let domains: BTreeSet<DomainName> = names.iter().map(|name| name.as_str().into()).collect();
    let many = Evacuated { unknown: domains.clone(), domains, ..evacuated };
    assert!(lines::decision(SHARD, 7, &Decision::Evacuated(many)).to_string().len() < 8_000);
}

#[test]
fn lines_of_runs_tell_the_epoch_and_the_incarnation() {
    let incarnation = Incarnation(5);
    let run = json!({
        "shard": "s0", "task": "0000000000000001.0.0.2", "run": "3", "executor": "x0", "epoch": 7,
        "born": 5,
    });
    let placed = Decision::Placed { order: order(), incarnation, waited_ms: 12 };
    let mut fields = run.clone();
    fields["waited_ms"] = json!(12);
    assert_fields(&lines::decision(SHARD, 7, &placed), Code::Placed, fields);
    let unknown = Decision::Unknown { order: order(), incarnation };
    assert_fields(&lines::decision(SHARD, 7, &unknown), Code::Unknown, run);
}

#[test]
fn lines_of_a_takeover_tell_what_is_waited_for_and_what_the_first_report_has() {
    let mut found = Inherited {
        executor: ExecutorId::from("x0"),
        born_first: Incarnation(4),
        born_last: Incarnation(5),
        born_listed: Some(Incarnation(6)),
        runs: 9,
        wait: Span::from_ms(6_802),
        bound: LeaseBound::Longest,
    };
    let mut fields = json!({
        "shard": "s0", "epoch": 7, "executor": "x0", "runs": 9, "born_first": 4, "born_last": 5,
        "born_listed": 6, "wait_ms": 6_802, "bound": "longest",
    });
    let line = lines::decision(SHARD, 7, &Decision::Inherited(found.clone()));
    assert_fields(&line, Code::Inherited, fields.clone());
    found.born_listed = None;
    fields.as_object_mut().map(|fields| fields.remove("born_listed"));
    assert_fields(&lines::decision(SHARD, 7, &Decision::Inherited(found)), Code::Inherited, fields);
    let first = FirstReport {
        executor: ExecutorId::from("x0"),
        incarnation: Incarnation(6),
        clock: Steady(538_000),
        listed: 8,
        missing: 1,
    };
    let fields = json!({
        "shard": "s0", "epoch": 7, "executor": "x0", "born": 6, "clock_ms": 538_000, "listed": 8,
        "missing": 1,
    });
    assert_fields(&lines::decision(SHARD, 7, &Decision::Fenced(first)), Code::Fenced, fields);
}

/// Without its inputs, a wait for a near place could not be told from a lack of room.
#[test]
fn lines_of_waits_for_a_near_place_tell_the_inputs_and_the_outcome() {
    let inputs = WaitInputs {
        run: Span::from_ms(1_000),
        penalty: 1.5,
        expected: Some(Span::from_ms(300)),
        error: 0.4,
        success: 0.9,
        load: 0.6,
        slack: Some(Span::from_ms(750)),
        allowance: Span::from_ms(1_000),
        is_waiting: false,
    };
    let wait = LocalityWait {
        step: order().task.step,
        rack: Label::from("r1"),
        state: WaitState::GaveUp,
        tasks: 2,
        waited: Span::from_ms(420),
        inputs,
        ahead: 3,
        age: Span::from_ms(80),
    };
    let fields = json!({
        "shard": "s0", "step": "0000000000000001.0.0", "rack": "r1", "state": "gave_up", "tasks": 2,
        "waited_ms": 420, "run_ms": 1_000, "penalty": "1.50", "error": "0.40", "success": "0.90",
        "load": "0.60",
        "limit_ms": 1_000, "ahead": 3, "age_ms": 80, "expected_ms": 300, "slack_ms": 750,
    });
    let line = lines::decision(SHARD, 7, &Decision::Locality(Box::new(wait)));
    assert_fields(&line, Code::Locality, fields);
}

#[test]
fn refusals_and_losses_tell_the_epoch_and_the_reason() {
    let refused = Outcome::Refused(Refusal::Fence, Some(Steady(538)));
    let mut fields = json!({
        "order": "start", "task": "0000000000000001.0.0.2", "run": "3", "executor": "x0", "epoch": 7,
        "answer": "Refused(Fence, Some(Steady(538)))",
    });
    let line = lines::order_failed("start", 7, &order(), refused);
    assert_fields(&line, Code::OrderFailed, fields.clone());
    fields["answer"] = json!("NotSent");
    fields["reason"] = json!("unconfirmed");
    fields["unconfirmed_ms"] = json!(3_100);
    let line = lines::start_withheld(7, &order(), Span::from_ms(3_100));
    assert_fields(&line, Code::OrderFailed, fields);

    let probe = Probe { executor: ExecutorId::from("x0"), number: 2 };
    let line = lines::event(SHARD, 7, &Event::ProbeFailed(probe, refused)).expect("a line");
    let state = "not looked: Refused(Fence, Some(Steady(538)))";
    let fields = json!({ "shard": "s0", "epoch": 7, "executor": "x0", "state": state });
    assert_fields(&line, Code::Executor, fields);

    let lost = |why| lines::lost(SHARD, 7, Span::from_ms(1_630), &why);
    let fields = |why| json!({ "shard": "s0", "epoch": 7, "unconfirmed_ms": 1_630, "why": why });
    assert_fields(&lost(Loss::Released), Code::Lost, fields("released"));
    assert_fields(&lost(Loss::Claimed(None)), Code::Lost, fields("claimed"));
    let with_name = |why, by: &str| {
        let mut fields = fields(why);
        fields["by"] = json!(by);
        fields
    };
    let claimed = Loss::Claimed(Some(InstanceName::from("i2")));
    assert_fields(&lost(claimed), Code::Lost, with_name("claimed", "i2"));
    let refused = Loss::Refused(Some(ExecutorId::from("x0")));
    assert_fields(&lost(refused), Code::Lost, with_name("refused", "x0"));
}
