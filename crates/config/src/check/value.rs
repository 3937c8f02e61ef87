//! Checking the value of a single setting.

use sycamorerill_core::clock::Span;
use sycamorerill_core::id;
use sycamorerill_core::model::Urgency;
use sycamorerill_core::money::Amount;
use sycamorerill_core::rate::{PerSecond, Share};
use sycamorerill_core::size::{Accel, Cpu, Memory};

use super::fields::{self, Kind};
use crate::document::{ParsedSetting, Value};
use crate::key::Key;
use crate::problem::{Problem, ProblemKind, ValueError};
use crate::similar;

/// Checks a setting independently of all other settings.
pub(super) fn check(setting: &ParsedSetting) -> Option<Problem> {
    let Some(field) = fields::find(setting.key.section, &setting.key.field) else {
        return Some(unknown_key(setting));
    };
    let kind = match value_text(field.kind, &setting.value) {
        Some(text) => {
            parse(field.kind, text).err().map(|reason| invalid_value(&setting.key, reason))
        }
        None => Some(wrong_type(setting, field.kind.expected())),
    };
    kind.map(|kind| Problem::new(kind, setting.value_location.clone()))
}

fn invalid_value(key: &Key, reason: ValueError) -> ProblemKind {
    ProblemKind::InvalidValue { key: key.clone(), reason }
}

fn wrong_type(setting: &ParsedSetting, expected: &'static str) -> ProblemKind {
    ProblemKind::WrongType { key: setting.key.clone(), expected, found: setting.value.type_name() }
}

fn unknown_key(setting: &ParsedSetting) -> Problem {
    let section = setting.key.section;
    let field = setting.key.field.clone();
    let names = || fields::of(section).iter().map(|field| field.name);
    if names().any(|name| name.starts_with(&format!("{field}."))) {
        let kind = wrong_type(setting, "a table with cpu, memory and accel");
        return Problem::new(kind, setting.value_location.clone());
    }
    let suggestion = similar::closest(&field, names());
    let kind = ProblemKind::UnknownKey { section, field, suggestion };
    Problem::new(kind, setting.key_location.clone())
}

/// Returns the text to parse, or `None` if the kind does not accept values of this type.
fn value_text(kind: Kind, value: &Value) -> Option<&str> {
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

fn parse(kind: Kind, text: &str) -> Result<(), ValueError> {
    let reject_zero = |is_zero: bool| match is_zero {
        true => Err(ValueError::Zero(text.to_owned())),
        false => Ok(()),
    };
    match kind {
        Kind::Flag => Ok(()),
        Kind::Reference(section) => Ok(section.check_name(text)?),
        Kind::Name => Ok(text.parse::<id::JobName>().map(drop)?),
        Kind::Span => reject_zero(text.parse::<Span>()? == Span::ZERO),
        Kind::Count => parse_count(text).map(drop),
        Kind::Positive => reject_zero(parse_count(text)? == 0),
        Kind::Cpu => Ok(text.parse::<Cpu>().map(drop)?),
        Kind::Memory => Ok(text.parse::<Memory>().map(drop)?),
        Kind::Accel => Ok(text.parse::<Accel>().map(drop)?),
        Kind::Rate => Ok(text.parse::<PerSecond>().map(drop)?),
        Kind::Share => Ok(text.parse::<Share>().map(drop)?),
        Kind::Amount => Ok(text.parse::<Amount>().map(drop)?),
        Kind::Urgency => Ok(text.parse::<Urgency>().map(drop)?),
    }
}

fn parse_count(text: &str) -> Result<u32, ValueError> {
    text.parse().map_err(|_| ValueError::Count(text.to_owned()))
}
