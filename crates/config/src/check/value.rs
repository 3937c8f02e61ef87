//! Checking the value of one setting by itself.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::money::Amount;
use sycamorerill_core::rate::{PerSecond, Share};
use sycamorerill_core::size::{Accel, Cpu, Memory};

use super::fields::{self, Kind};
use crate::document::{Leaf, Value};
use crate::key::Key;
use crate::problem::{Fault, Problem, Reason};
use crate::similar;

/// Returns what is wrong with a setting regardless of all others.
pub(super) fn check(leaf: &Leaf) -> Option<Problem> {
    let Some(field) = fields::find(leaf.key.section, &leaf.key.field) else {
        return Some(unknown(leaf));
    };
    let fault = match text_of(field.kind, &leaf.value) {
        Some(text) => parse(field.kind, text).err().map(|reason| value_fault(&leaf.key, reason)),
        None => Some(type_fault(leaf, field.kind.expected())),
    };
    fault.map(|fault| Problem::new(fault, leaf.value_place.clone()))
}

fn value_fault(key: &Key, reason: Reason) -> Fault {
    Fault::Value { key: key.clone(), reason }
}

fn type_fault(leaf: &Leaf, expected: &'static str) -> Fault {
    Fault::Type { key: leaf.key.clone(), expected, found: leaf.value.type_name() }
}

fn unknown(leaf: &Leaf) -> Problem {
    let section = leaf.key.section;
    let word = leaf.key.field.clone();
    let names = || fields::of(section).iter().map(|field| field.name);
    if names().any(|name| name.starts_with(&format!("{word}."))) {
        let fault = type_fault(leaf, "a table with cpu, memory and accel");
        return Problem::new(fault, leaf.value_place.clone());
    }
    let meant = similar::closest(&word, names());
    let fault = Fault::UnknownKey { section, word, meant };
    Problem::new(fault, leaf.key_place.clone())
}

/// Returns the text to read, if the value has a type that the kind takes.
fn text_of(kind: Kind, value: &Value) -> Option<&str> {
    match (kind, value) {
        (Kind::Flag, Value::Flag(_)) => Some(""),
        (Kind::Flag, _) => None,
        (Kind::Count | Kind::Positive, Value::Number(text)) => Some(text),
        (Kind::Count | Kind::Positive, _) => None,
        (Kind::Reference(_) | Kind::Name | Kind::Urgency, Value::Text(text)) => Some(text),
        (Kind::Reference(_) | Kind::Name | Kind::Urgency, _) => None,
        (_, Value::Text(text) | Value::Number(text)) => Some(text),
        _ => None,
    }
}

fn parse(kind: Kind, text: &str) -> Result<(), Reason> {
    let zero = |is_zero: bool| match is_zero {
        true => Err(Reason::Zero(text.to_owned())),
        false => Ok(()),
    };
    match kind {
        Kind::Flag => Ok(()),
        Kind::Reference(section) => Ok(section.check_name(text)?),
        Kind::Name => Ok(text.parse::<id::JobName>().map(drop)?),
        Kind::Span => zero(text.parse::<Span>()? == Span::ZERO),
        Kind::Count => count(text).map(drop),
        Kind::Positive => zero(count(text)? == 0),
        Kind::Cpu => Ok(text.parse::<Cpu>().map(drop)?),
        Kind::Memory => Ok(text.parse::<Memory>().map(drop)?),
        Kind::Accel => Ok(text.parse::<Accel>().map(drop)?),
        Kind::Rate => Ok(text.parse::<PerSecond>().map(drop)?),
        Kind::Share => Ok(text.parse::<Share>().map(drop)?),
        Kind::Amount => Ok(text.parse::<Amount>().map(drop)?),
        Kind::Urgency => Ok(text.parse::<Urgency>().map(drop)?),
    }
}

fn count(text: &str) -> Result<u32, Reason> {
    text.parse().map_err(|_| Reason::Count(text.to_owned()))
}
