//! Calls and jobs through one entry instance over real sockets.
//!
//! Guards against failures in the connection between listeners, actors and platform, such
//! as a repeated idempotency key that runs its call again.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use sycamorerill_core::api::{JOBS_PATH, Jobs, STATUS_PATH, Status, Submission};
use sycamorerill_daemon::settings::Limits;
use sycamorerill_fakes::RunKey;

use common::{client, instance, platform, wait_until};

type Reply = ureq::http::Response<ureq::Body>;

fn field<'a>(reply: &'a Reply, name: &str) -> &'a str {
    reply.headers().get(name).map_or("", |value| value.to_str().unwrap())
}

#[test]
fn a_call_is_answered_and_its_key_runs_once() {
    let platform = platform();
    let daemon = instance(&platform, Limits::default());
    let url = format!("http://{}/call/orders/kits", daemon.addresses().callers);
    let send = || client().post(&url).header("idempotency-key", "k1").send("kit 17").unwrap();
    wait_until("the executors are owned", || {
        field(&client().get(&url).call().unwrap(), "x-outcome") == "answered"
    });
    let mut first = send();
    assert_eq!((first.status().as_u16(), field(&first, "x-outcome")), (200, "answered"));
    assert_eq!(first.body_mut().read_to_string().unwrap(), "kit 17");
    let mut repeat = send();
    assert_eq!(field(&repeat, "x-outcome"), "repeat");
    assert_eq!(repeat.body_mut().read_to_string().unwrap(), "kit 17");
    assert_eq!(platform.run_count(&RunKey::Key("k1".to_owned())), 1);
    assert!(daemon.drain(), "something was still in progress");
    assert_eq!(platform.counts().executors.overcommitted, 0);
}

#[test]
fn a_keyed_call_does_not_run_while_the_table_is_down() {
    let platform = platform();
    let daemon = instance(&platform, Limits::default());
    let url = format!("http://{}/call/orders/kits", daemon.addresses().callers);
    wait_until("the executors are owned", || {
        field(&client().get(&url).call().unwrap(), "x-outcome") == "answered"
    });
    let down = sycamorerill_fakes::faults::ServiceFaults { down: true, ..Default::default() };
    platform.set_fault(sycamorerill_fakes::Fault::Table(down));
    let keyed = client().post(&url).header("idempotency-key", "k2").send("kit 18").unwrap();
    assert_eq!((keyed.status().as_u16(), field(&keyed, "x-outcome")), (503, "not-run"));
    assert_eq!(platform.run_count(&RunKey::Key("k2".to_owned())), 0);
    let read = client().get(&url).call().unwrap();
    assert_eq!(field(&read, "x-outcome"), "answered", "calls must not stop");
    daemon.kill();
}

#[test]
fn a_job_is_accepted_run_and_reported() {
    let platform = platform();
    let daemon = instance(&platform, Limits::default());
    let jobs = format!("http://{}{JOBS_PATH}", daemon.addresses().operators);
    let submission = Submission {
        name: Some("slips".to_owned()),
        class: "packing-slip".to_owned(),
        team: "warehouse".to_owned(),
        tasks: 3,
        ..Submission::default()
    };
    let submit = || client().post(&jobs).send_json(&submission).unwrap().status().as_u16();
    wait_until("the job is accepted", || submit() == 201);
    assert!(matches!(submit(), 200 | 201), "a repeat is the same job");
    wait_until("its tasks finish", || platform.counts().workers.finished == 3);
    wait_until("its end is reported", || {
        let listed: Jobs = client().get(&jobs).call().unwrap().body_mut().read_json().unwrap();
        listed.jobs.iter().any(|job| job.name == "slips" && job.state.as_str() == "finished")
    });
    let counts = platform.counts().workers;
    assert_eq!((counts.doubled, counts.overcommitted, counts.finished), (0, 0, 3));
    let status = format!("http://{}{STATUS_PATH}", daemon.addresses().operators);
    let status: Status = client().get(&status).call().unwrap().body_mut().read_json().unwrap();
    assert_eq!((status.version, status.instances.len()), (1, 1));
    daemon.kill();
}
