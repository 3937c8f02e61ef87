//! Tests `apply` against entry instances that accept, refuse, accept another change first, or lose
//! answers.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod fake;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;

use fake::{Fake, Request};
use serde_json::{Value, json};
use sycamorerill_config::{Folder, encode_text};
use sycamorerill_core::id::Version;
use sycamorerill_core::model::Config;
use tiny_http::Method;

const FOLDER: &str = "tests/files/folders/accepted";

fn apply(instances: &str, flags: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamorerill"));
    command.args(["apply", FOLDER, "--format", "json", "--author", "anna"]).args(flags);
    command.env("SYCAMORERILL_INSTANCES", instances).output().unwrap()
}

fn result(output: &Output) -> (i32, Value) {
    let body = serde_json::from_slice(&output.stdout).unwrap();
    (output.status.code().unwrap(), body)
}

fn folder() -> Config {
    Folder::read(FOLDER).unwrap().check().unwrap()
}

fn configuration(version: u64, config: &Config) -> Value {
    let config = Config { version: Version(version), ..config.clone() };
    json!({"version": version, "config": encode_text(&config)})
}

fn no_configuration() -> Value {
    json!({"version": 0, "config": ""})
}

fn status(versions: &[(&str, &str, u64)]) -> Value {
    let instances = versions.iter().map(|(name, state, version)| {
        json!({"name": name, "domain": "north", "state": state, "incarnation": 1,
               "version": version, "free_slots": 0, "running_tasks": 0})
    });
    let instances: Vec<Value> = instances.collect();
    json!({"instances": instances, "version": 1, "store": {"state": "up"}})
}

/// Starts an instance that answers `GET /v1/config` with `newest`, proposals with `accept` and
/// other requests with `status`.
fn start_instance(newest: Value, accept: (u16, Value), status: Value) -> Fake {
    Fake::start(move |request| match (&request.method, request.path.as_str()) {
        (Method::Get, "/v1/config") => (200, newest.clone()),
        (Method::Post, "/v1/config") => accept.clone(),
        _ => (200, status.clone()),
    })
}

/// Starts a server that reads the beginning of each request and closes the connection.
fn start_closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.unwrap().read(&mut [0; 64]);
        }
    });
    address
}

#[test]
fn apply_waits_until_every_live_instance_runs_the_folder() {
    let mut polls = 0;
    let fake =
        Fake::start(move |request: &Request| match (&request.method, request.path.as_str()) {
            (Method::Get, "/v1/config") => (200, no_configuration()),
            (Method::Post, "/v1/config") => {
                assert_eq!(request.body["base_version"], 0);
                assert_eq!(request.body["author"], "anna");
                (200, json!({"version": 1}))
            }
            _ => {
                polls += 1;
                let version = u64::from(polls > 2);
                (200, status(&[("a", "alive", 1), ("b", "suspect", version), ("c", "dead", 0)]))
            }
        });
    let (code, body) = result(&apply(&fake.address(), &[]));
    assert_eq!(code, 0, "{body}");
    assert_eq!((&body["version"], &body["base_version"]), (&json!(1), &json!(0)));
    assert_eq!(body["keys"], json!(["service.orders", "team.shop", "domain.north"]));
    assert!(body["in_force_ms"].is_u64());
}

#[test]
fn an_unchanged_folder_is_not_proposed() {
    let error = (500, json!({"error": {"kind": "internal", "message": "proposed"}}));
    let fake = start_instance(configuration(4, &folder()), error, status(&[]));
    let (code, body) = result(&apply(&fake.address(), &[]));
    assert_eq!((code, &body["version"], &body["keys"]), (0, &json!(4), &json!([])));
}

#[test]
fn a_conflict_names_the_version_and_the_keys() {
    let conflict = json!({
        "error": {"kind": "conflict", "message": "a newer version exists", "hint": ""},
        "version": 5, "keys": ["service.orders"],
    });
    let mut seen = folder();
    seen.policy.max_queue += 2;
    let mut theirs = seen.clone();
    theirs.policy.max_queue += 1;
    theirs.teams.values_mut().for_each(|team| team.weight += 1);
    let mut proposed = false;
    let fake = Fake::start(move |request| match &request.method {
        Method::Post => {
            proposed = true;
            (409, conflict.clone())
        }
        _ if proposed => (200, configuration(5, &theirs)),
        _ => (200, configuration(4, &seen)),
    });
    let (code, body) = result(&apply(&fake.address(), &[]));
    assert_eq!(code, 4, "{body}");
    assert_eq!((&body["version"], &body["keys"]), (&json!(5), &json!(["service.orders"])));
    assert_eq!(body["theirs"], json!(["team.shop.weight", "policy.max_queue"]));
    assert_eq!(body["both"], json!(["policy.max_queue"]));
}

#[test]
fn refusals_and_outages_have_exit_codes_of_their_own() {
    for (status_code, kind, expected) in
        [(422, "refused", 3), (503, "unavailable", 5), (429, "busy", 5), (500, "internal", 1)]
    {
        let body = json!({"error": {"kind": kind, "message": "no", "hint": ""}});
        let fake = start_instance(no_configuration(), (status_code, body), status(&[]));
        let (code, body) = result(&apply(&fake.address(), &[]));
        assert_eq!(code, expected, "{kind}: {body}");
    }
}

#[test]
fn a_proposal_with_a_lost_answer_is_found_when_it_is_accepted_late() {
    let mut proposed = false;
    let mut polls = 0;
    let fake = Fake::start(move |request| match (&request.method, request.path.as_str()) {
        (Method::Post, "/v1/config") => {
            assert!(!proposed, "a proposal must not be sent twice");
            proposed = true;
            (504, json!({"error": {"kind": "unknown", "message": "the write was lost"}}))
        }
        (Method::Get, "/v1/config") => {
            polls += u32::from(proposed);
            (200, if polls < 3 { no_configuration() } else { configuration(1, &folder()) })
        }
        _ => (200, status(&[("a", "alive", 1)])),
    });
    let (code, body) = result(&apply(&fake.address(), &[]));
    assert_eq!((code, &body["version"]), (0, &json!(1)), "{body}");
}

#[test]
fn a_proposal_with_a_lost_answer_is_unknown_while_it_is_not_found() {
    let unknown = json!({"error": {"kind": "unknown", "message": "the write was lost"}});
    let fake = start_instance(no_configuration(), (504, unknown), status(&[]));
    let (code, body) = result(&apply(&fake.address(), &[]));
    assert_eq!((code, &body["error"]["kind"]), (6, &json!("unknown")));
}

#[test]
fn another_accepted_folder_is_not_mistaken_for_the_proposed_one() {
    let other = Config { services: Default::default(), ..folder() };
    let mut proposed = false;
    let fake = Fake::start(move |request| match (&request.method, request.path.as_str()) {
        (Method::Post, "/v1/config") => {
            proposed = true;
            (504, json!({"error": {"kind": "unknown", "message": "the write was lost"}}))
        }
        (Method::Get, "/v1/config") if proposed => (200, configuration(1, &other)),
        (Method::Get, "/v1/config") => (200, no_configuration()),
        _ => (200, status(&[("a", "alive", 1)])),
    });
    let (code, body) = result(&apply(&fake.address(), &[]));
    assert_eq!((code, &body["error"]["kind"]), (6, &json!("unknown")), "{body}");
}

#[test]
fn a_version_not_in_force_in_time_names_the_instances() {
    let late = status(&[("a", "alive", 1), ("b", "alive", 0)]);
    let fake = start_instance(no_configuration(), (200, json!({"version": 1})), late);
    let (code, body) = result(&apply(&fake.address(), &["--wait", "1"]));
    assert_eq!((code, &body["error"]["kind"]), (6, &json!("not_in_force")));
    assert!(body["error"]["message"].as_str().unwrap().ends_with("not in force at: b"));
}

#[test]
fn after_a_closed_connection_only_idempotent_requests_try_the_next_instance() {
    let fake = start_instance(configuration(4, &folder()), (200, json!({})), status(&[]));
    let instances = format!("{},{}", start_closing_server(), fake.address());
    let (code, body) = result(&apply(&instances, &[]));
    assert_eq!((code, &body["version"]), (0, &json!(4)), "{body}");

    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamorerill"));
    command.args(["submit", "tests/files/jobs-good.toml", "--format", "json"]);
    let output = command.env("SYCAMORERILL_INSTANCES", instances).output().unwrap();
    let (code, body) = result(&output);
    assert_eq!((code, &body["jobs"][0]["outcome"]), (6, &json!("unknown")), "{body}");
}
