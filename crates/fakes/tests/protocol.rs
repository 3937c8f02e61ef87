//! Checks that the stand-ins accept the requests that docs/PLATFORM.md shows as examples.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use common::{platform, undelayed};
use serde::de::DeserializeOwned;
use sycamorerill_clients::instances::Change;
use sycamorerill_clients::table::{Conflict, Row, ScanRequest, Transaction};
use sycamorerill_clients::worker::Exchange;
use sycamorerill_fakes::{Counts, Fault, RunKey};

const PAGE: &str = include_str!("../../../docs/PLATFORM.md");

/// Parses the first JSON object of the page after `marker`.
fn example<T: DeserializeOwned>(marker: &str) -> T {
    let (_, rest) = PAGE.split_once(marker).unwrap_or_else(|| panic!("no `{marker}`"));
    let start = rest.find('{').expect("a JSON object follows");
    let mut values = serde_json::Deserializer::from_str(&rest[start..]).into_iter::<T>();
    values.next().unwrap().unwrap_or_else(|error| panic!("after `{marker}`: {error}"))
}

#[test]
fn documented_requests_are_parsed() {
    let transaction: Transaction = example("POST /table/transact\n");
    assert_eq!((transaction.conditions.len(), transaction.writes.len()), (2, 2));
    let conflict: Conflict = example("    409 ");
    assert!(conflict.present.is_some());
    let row: Row = example("POST /table/row   {\"key\": \"cell/horsens\"}\n    200 ");
    assert_eq!(&row.value[..], b"{}");
    let scan: ScanRequest = example("POST /table/scan ");
    assert_eq!(scan.limit, 100);
    let exchange: Exchange = example("/exchange\n");
    assert_eq!(exchange.commands.len(), 7);
    let added: Change = example("POST /instances\n");
    assert!(matches!(added, Change::Add(_)));
    assert_eq!(example::<RunKey>("POST /ran "), RunKey::Body("order 17".to_owned()));
}

#[test]
fn documented_faults_can_be_set() {
    let platform = platform(undelayed());
    let lines: Vec<&str> =
        PAGE.lines().map(str::trim).filter(|line| line.starts_with("{\"of\"")).collect();
    assert!(lines.len() >= 8, "found {lines:?}");
    for line in lines {
        let fault: Fault = serde_json::from_str(line).unwrap_or_else(|e| panic!("{line}: {e}"));
        let ends_all = fault == Fault::None;
        platform.set_fault(fault);
        assert_eq!(platform.faults() == Default::default(), ends_all, "{line}");
    }
}

#[test]
fn documented_safety_counters_exist() {
    let counts = serde_json::to_value(Counts::default()).unwrap();
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let names = rows.flat_map(|row| row.split('`').step_by(2));
    let mut checked = 0;
    for (group, name) in names.filter_map(|name| name.split_once('.')) {
        if group == "workers" || group == "executors" {
            assert!(counts[group][name].is_u64(), "{group}.{name}");
            checked += 1;
        }
    }
    assert_eq!(checked, 10);
}

#[test]
fn malformed_requests_are_refused_with_a_reason() {
    let platform = platform(undelayed());
    let agent = ureq_agent();
    let paths =
        ["table/transact", "table/row", "table/scan", "instances", "faults", "ran", EXCHANGE];
    for path in paths {
        let url = format!("http://{}/{path}", platform.address());
        let mut answer = agent.post(&url).send("{\"wrong\":").unwrap();
        let body: serde_json::Value = answer.body_mut().read_json().unwrap();
        assert_eq!(answer.status(), 400, "{path}");
        assert!(body["error"].is_string(), "{path}: {body}");
    }
    let url = format!("http://{}/nowhere", platform.address());
    assert_eq!(agent.get(&url).call().unwrap().status(), 404);
}

/// Path of an exchange with a worker.
const EXCHANGE: &str = "workers/w-vejle-a-01/exchange";

fn ureq_agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).build().new_agent()
}
