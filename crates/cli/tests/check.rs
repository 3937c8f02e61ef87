//! Tests `check` against the newest version of an entry instance and against a saved one.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod fake;

use std::fs;
use std::path::Path;
use std::process::Command;

use fake::{Fake, Request};
use serde_json::{Value, json};
use sycamorerill_config::{Folder, encode_text};
use sycamorerill_core::id::Version;
use sycamorerill_core::model::Config;
use tiny_http::Method;

const ACCEPTED: &str = "tests/files/folders/accepted";
const CHANGED: &str = "tests/files/folders/changed";

/// Runs `check FOLDER` with more flags; returns the exit code and the printed JSON.
///
/// The environment names an instance that nothing can reach: `check` must not ask it.
fn check(folder: &str, flags: &[&str]) -> (i32, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamorerill"));
    command.args(["check", folder, "--format", "json"]).args(flags);
    let output = command.env("SYCAMORERILL_INSTANCES", "127.0.0.1:9").output().unwrap();
    (output.status.code().unwrap(), serde_json::from_slice(&output.stdout).unwrap())
}

/// Returns the body of a response to `GET /v1/config` that holds the folder `accepted`.
fn newest(version: u64) -> Value {
    let config = Folder::read(ACCEPTED).unwrap().check().unwrap();
    let config = Config { version: Version(version), ..config };
    json!({"version": version, "config": encode_text(&config)})
}

/// Starts an instance that refuses everything but reading the configuration without a body.
fn start_instance(newest: Value) -> Fake {
    Fake::start(move |request: &Request| match (&request.method, request.path.as_str()) {
        (Method::Get, "/v1/config") if request.body.is_null() => (200, newest.clone()),
        _ => (500, json!({"error": {"kind": "internal", "message": "not a read"}})),
    })
}

/// Keys in which the folders `accepted` and `changed` differ.
fn changed_keys() -> Value {
    json!(["service.orders.rate", "team.shop.weight", "domain.north", "domain.south"])
}

/// Guards against a comparison that proposes or that compares with another version.
#[test]
fn the_newest_version_of_an_instance_is_read_and_compared() {
    let fake = start_instance(newest(7));
    let (code, body) = check(CHANGED, &["--instance", &fake.address()]);
    assert_eq!((code, &body["against"]["version"]), (0, &json!(7)), "{body}");
    assert_eq!(body["against"]["keys"], changed_keys());

    let (code, body) = check(ACCEPTED, &["--instance", &fake.address()]);
    assert_eq!((code, &body["against"]), (0, &json!({"version": 7, "keys": []})), "{body}");
}

/// Guards against failing before the first version, whose configuration is empty text.
#[test]
fn before_the_first_version_every_entry_differs() {
    let fake = start_instance(json!({"version": 0, "config": ""}));
    let (code, body) = check(ACCEPTED, &["--instance", &fake.address()]);
    let keys = json!(["service.orders", "team.shop", "domain.north"]);
    assert_eq!((code, &body["against"]), (0, &json!({"version": 0, "keys": keys})), "{body}");
}

/// Guards against a saved version that is read otherwise than the response it was saved from.
#[test]
fn a_saved_version_is_compared_without_a_network() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("check-saved-version.json");
    fs::write(&path, newest(7).to_string()).unwrap();
    let (code, body) = check(CHANGED, &["--against", path.to_str().unwrap()]);
    assert_eq!((code, &body["against"]["version"]), (0, &json!(7)), "{body}");
    assert_eq!(body["against"]["keys"], changed_keys());
}

/// Guards against a comparison that hides the problems of the folder.
#[test]
fn a_folder_with_problems_is_not_compared() {
    let fake = Fake::start(|_: &Request| (500, json!({})));
    let folder = "tests/files/folders/dangling";
    let (code, body) = check(folder, &["--instance", &fake.address()]);
    assert_eq!((code, &body["error"]["kind"]), (3, &json!("check")), "{body}");
}

/// Guards against using addresses of the environment, which would need a network.
#[test]
fn without_flags_no_instance_is_asked() {
    let (code, body) = check(ACCEPTED, &[]);
    assert_eq!((code, body.get("against")), (0, None), "{body}");
}
