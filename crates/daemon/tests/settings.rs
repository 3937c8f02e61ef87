//! Flags go before variables, variables before defaults, and all mistakes are told.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use sycamorerill_core::clock::Span;
use sycamorerill_daemon::settings::{Environment, Fault, Flags, LogFormat, resolve};

fn given(text: &str) -> Option<String> {
    Some(text.to_owned())
}

fn flags() -> Flags {
    Flags {
        name: given("e1"),
        domain: given("vejle-a"),
        domains: given("vejle-a, vejle-b"),
        listen: given("127.0.0.1:8080"),
        operator_listen: given("127.0.0.1:8081"),
        peer_listen: given("127.0.0.1:8082"),
        platform: given("127.0.0.1:9000"),
        ..Flags::default()
    }
}

fn variable(name: &str, value: &str) -> Environment {
    [(format!("SYCAMORERILL_{name}"), value.to_owned())].into()
}

#[test]
fn a_flag_goes_before_its_variable() {
    let environment = variable("DRAIN_TIME", "7s");
    let settings = resolve(&flags(), &environment).unwrap();
    assert_eq!(settings.drain_time, Span::from_secs(7));
    let flags = Flags { drain_time: given("9s"), ..flags() };
    assert_eq!(resolve(&flags, &environment).unwrap().drain_time, Span::from_secs(9));
}

#[test]
fn defaults_are_used_where_nothing_is_given() {
    let settings = resolve(&flags(), &Environment::new()).unwrap();
    assert_eq!((settings.log, settings.peers.len()), (LogFormat::Text, 0));
    assert_eq!(settings.domains.len(), 2);
}

#[test]
fn every_mistake_is_told_at_once() {
    let flags = Flags {
        name: given("E1"),
        listen: None,
        operator_listen: given("127.0.0.1:8082"),
        max_connections: given("many"),
        ..flags()
    };
    let faults = resolve(&flags, &variable("DRAIN_TIME", "7")).unwrap_err().faults;
    let values: Vec<&str> = faults
        .iter()
        .map(|fault| match fault {
            Fault::Value { value, .. } => value.as_str(),
            Fault::Missing { flag, .. } => flag,
            Fault::SameAddress { address, .. } => address.as_str(),
        })
        .collect();
    assert_eq!(values, ["E1", "listen", "many", "7", "127.0.0.1:8082"]);
}

#[test]
fn a_failure_domain_stands_once_in_the_list() {
    let flags = Flags { domains: given("vejle-a,vejle-a"), ..flags() };
    assert!(resolve(&flags, &Environment::new()).is_err());
}
