//! Encoding and decoding of the messages of `peer.capnp`.

use bytes::Bytes;
use sycamorerill_calls::keys::Key;
use sycamorerill_calls::router;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::Incarnation;
use sycamorerill_core::model::Urgency;
use sycamorerill_schema::peer;

use super::message::{Answer, Call, Error, Hello, Load, Outcome};

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Self::Malformed(error.extra)
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<sycamorerill_core::id::Error> for Error {
    fn from(error: sycamorerill_core::id::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<std::net::AddrParseError> for Error {
    fn from(error: std::net::AddrParseError) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Malformed(error.to_string())
    }
}

pub(super) fn write_hello(hello: &Hello, mut to: peer::hello::Builder<'_>) {
    to.set_instance(hello.instance.as_str());
    to.set_incarnation(hello.incarnation.0);
    to.set_domain(hello.domain.as_str());
    to.set_address(hello.address.to_string());
}

pub(super) fn read_hello(from: peer::hello::Reader<'_>) -> Result<Hello, Error> {
    Ok(Hello {
        instance: from.get_instance()?.to_str()?.parse()?,
        incarnation: Incarnation(from.get_incarnation()),
        domain: from.get_domain()?.to_str()?.parse()?,
        address: from.get_address()?.to_str()?.parse()?,
    })
}

pub(super) fn write_load(load: &Load, mut to: peer::load::Builder<'_>) {
    to.set_draining(load.calls.draining);
    to.set_running_tasks(load.running_tasks);
    let services = &load.calls.services;
    let mut list = to.init_services(u32::try_from(services.len()).unwrap_or(u32::MAX));
    for (index, (service, load)) in (0..).zip(services) {
        let mut to = list.reborrow().get(index);
        to.set_service(service.as_str());
        to.set_free(load.free);
        to.set_usable(load.usable);
        to.set_waiting(load.waiting);
        to.set_in_flight(load.in_flight);
        to.set_ejected(load.ejected_executors);
    }
}

pub(super) fn read_load(from: peer::load::Reader<'_>) -> Result<Load, Error> {
    let mut calls = router::Status { draining: from.get_draining(), ..router::Status::default() };
    for load in from.get_services()? {
        let read = router::Load {
            free: load.get_free(),
            usable: load.get_usable(),
            waiting: load.get_waiting(),
            in_flight: load.get_in_flight(),
            ejected_executors: load.get_ejected(),
        };
        calls.services.insert(load.get_service()?.to_str()?.parse()?, read);
    }
    Ok(Load { calls, running_tasks: from.get_running_tasks() })
}

pub(super) fn write_call(call: &Call, mut to: peer::call::Builder<'_>) {
    to.set_service(call.service.as_str());
    to.set_team(call.team.as_str());
    to.set_urgency(call.urgency as u8);
    to.set_budget_us((call.budget.as_ms_f64() * 1_000.0) as u64);
    to.set_idempotent(call.idempotent);
    if let Some(key) = &call.key {
        to.set_key(&key.text);
        to.set_key_digest(key.digest);
    }
    to.set_claimed(call.key_recorded);
    to.set_identity(&call.identity);
    to.set_hops(call.hops);
    to.set_method(&call.method);
    to.set_path(&call.path);
    to.set_media(&call.media);
    to.set_body(&call.body);
}

pub(super) fn read_call(from: peer::call::Reader<'_>) -> Result<Call, Error> {
    let urgency = Urgency::ALL.get(usize::from(from.get_urgency())).copied();
    let text = from.get_key()?;
    let digest = from.get_key_digest();
    let key = Key { text: Bytes::copy_from_slice(text), digest };
    Ok(Call {
        service: from.get_service()?.to_str()?.parse()?,
        team: from.get_team()?.to_str()?.parse()?,
        urgency: urgency.ok_or_else(|| Error::Malformed("unknown urgency".to_owned()))?,
        budget: Span::from_ms_f64(from.get_budget_us() as f64 / 1_000.0),
        idempotent: from.get_idempotent(),
        key: (!text.is_empty()).then_some(key),
        key_recorded: from.get_claimed(),
        identity: from.get_identity()?.to_str()?.to_owned(),
        hops: from.get_hops(),
        method: from.get_method()?.to_str()?.to_owned(),
        path: from.get_path()?.to_str()?.to_owned(),
        media: from.get_media()?.to_str()?.to_owned(),
        body: Bytes::copy_from_slice(from.get_body()?),
    })
}

pub(super) fn write_answer(answer: &Answer, mut to: peer::answer::Builder<'_>) {
    to.set_outcome(match answer.outcome {
        Outcome::Answered => peer::Outcome::Answered,
        Outcome::NotRun => peer::Outcome::NotRun,
        Outcome::Unknown => peer::Outcome::Unknown,
    });
    to.set_status(answer.status);
    to.set_media(&answer.media);
    to.set_body(&answer.body);
    to.set_reason(&answer.reason);
    to.set_repeat(answer.repeat);
}

pub(super) fn read_answer(from: peer::answer::Reader<'_>) -> Result<Answer, Error> {
    let outcome = match from.get_outcome()? {
        peer::Outcome::Answered => Outcome::Answered,
        peer::Outcome::NotRun => Outcome::NotRun,
        peer::Outcome::Unknown => Outcome::Unknown,
    };
    Ok(Answer {
        outcome,
        status: from.get_status(),
        media: from.get_media()?.to_str()?.to_owned(),
        body: Bytes::copy_from_slice(from.get_body()?),
        reason: from.get_reason()?.to_str()?.to_owned(),
        repeat: from.get_repeat(),
    })
}
