//! Compares the output and exit code of every command with the snapshots in `cmd` and `api`.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod fake;

use fake::{Fake, Request};
use serde_json::{Value, json};
use tiny_http::Method;
use trycmd::TestCases;

#[test]
fn commands_without_a_network() {
    TestCases::new().env("SYCAMORERILL_INSTANCES", "").case("tests/cmd/*.trycmd").run();
}

#[test]
fn commands_against_an_entry_instance() {
    let instance = Fake::start(answer);
    let cases = TestCases::new();
    cases.env("SYCAMORERILL_INSTANCES", instance.address()).case("tests/api/*.trycmd").run();
}

fn answer(request: &Request) -> (u16, Value) {
    match (&request.method, request.path.as_str()) {
        (Method::Get, "/v1/status") => (200, status()),
        (Method::Get, "/v1/jobs") => (200, jobs()),
        (Method::Post, "/v1/jobs") => submitted(&request.body),
        (Method::Delete, "/v1/jobs/cut-list-1") => {
            (200, json!({"job": "cut-list-1", "state": "cancelled"}))
        }
        (Method::Post, "/v1/drain") if request.body["instance"] == "entry-2" => (202, json!({})),
        (Method::Get, path) if path.starts_with("/v1/penalties?") => penalties(path),
        _ => (404, failure("not_found", "nothing has this name", "")),
    }
}

fn failure(kind: &str, message: &str, hint: &str) -> Value {
    json!({"error": {"kind": kind, "message": message, "hint": hint}})
}

fn status() -> Value {
    json!({
        "instances": [
            {"name": "entry-1", "domain": "vejle-a", "state": "alive", "incarnation": 3,
             "version": 7, "free_slots": 61, "running_tasks": 412},
            {"name": "entry-2", "domain": "horsens", "state": "draining", "incarnation": 1,
             "version": 6, "free_slots": 0, "running_tasks": 0},
        ],
        "version": 7,
        "last_change": {"version": 7, "in_force_ms": null},
        "store": {"state": "slow"},
    })
}

fn jobs() -> Value {
    json!({"jobs": [
        {"name": "cut-list-1", "class": "cut-list", "team": "warehouse", "state": "running",
         "tasks": 40, "finished": 12, "deadline_ms": 420_000, "reason": ""},
        {"name": "cut-list-2", "class": "cut-list", "team": "warehouse", "state": "parked",
         "tasks": 1, "finished": 0, "deadline_ms": -61_000, "reason": "no worker holds 640 cores"},
    ]})
}

fn submitted(body: &Value) -> (u16, Value) {
    match body["name"].as_str() {
        Some("taken") => (409, failure("exists", "the name `taken` is taken", "choose another")),
        Some("too-large") => (422, failure("refused", "no worker holds 640 cores", "")),
        name => (201, json!({"job": name, "state": "accepted"})),
    }
}

fn penalties(path: &str) -> (u16, Value) {
    let key = match path.rsplit_once("by=").unwrap().1 {
        "target" => "order-answer",
        "team" => "shop",
        _ => "orders",
    };
    let from_ms = path.contains("from=1793491200000") || path.contains("from=1793512800000");
    assert!(from_ms && path.contains("to=1796083200000"), "{path}");
    let row = json!({"key": key, "missed": 3, "penalty": 750});
    (200, json!({"rows": [row], "total": {"missed": 3, "penalty": 750}}))
}
