//! Guards against a wrong precedence of flags, variables and defaults, and against errors
//! in the settings that are not reported.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use sycamorerill_core::clock::Span;
use sycamorerill_daemon::settings::{Environment, Flags, LogFormat, SettingError, resolve};

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
fn a_flag_takes_precedence_over_its_variable() {
    let environment = variable("DRAIN_TIME", "7s");
    let settings = resolve(&flags(), &environment).unwrap();
    assert_eq!(settings.drain_time, Span::from_secs(7));
    let flags = Flags { drain_time: given("9s"), ..flags() };
    assert_eq!(resolve(&flags, &environment).unwrap().drain_time, Span::from_secs(9));
}

#[test]
fn missing_settings_have_their_defaults() {
    let settings = resolve(&flags(), &Environment::new()).unwrap();
    assert_eq!((settings.log, settings.peers.len()), (LogFormat::Text, 0));
    assert_eq!(settings.domains.len(), 2);
}

#[test]
fn all_errors_are_reported_together() {
    let flags = Flags {
        name: given("E1"),
        listen: None,
        operator_listen: given("127.0.0.1:8082"),
        max_connections: given("many"),
        ..flags()
    };
    let errors = resolve(&flags, &variable("DRAIN_TIME", "7")).unwrap_err().errors;
    let values: Vec<&str> = errors
        .iter()
        .map(|error| match error {
            SettingError::Value { value, .. } => value.as_str(),
            SettingError::Missing { flag, .. } => flag,
            SettingError::SameAddress { address, .. } => address.as_str(),
        })
        .collect();
    assert_eq!(values, ["E1", "listen", "many", "7", "127.0.0.1:8082"]);
}

#[test]
fn duplicate_failure_domains_are_rejected() {
    let flags = Flags { domains: given("vejle-a,vejle-a"), ..flags() };
    assert!(resolve(&flags, &Environment::new()).is_err());
}
