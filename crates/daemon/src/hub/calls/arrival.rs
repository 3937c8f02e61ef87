//! Reads a caller's request.

use bytes::Bytes;
use sycamorerill_calls::keys::Key;
use sycamorerill_core::api::Kind;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{ServiceName, TeamName};
use sycamorerill_core::model::{Config, Service, Urgency};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::http::{Head, Request, Response};
use crate::peer;

/// Start of the path of every call.
pub(super) const PREFIX: &str = "/call/";
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A caller's request, read and checked.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Service that is called.
    pub(super) service: ServiceName,
    /// Team that is charged.
    pub(super) team: TeamName,
    /// Urgency of the call.
    pub(super) urgency: Urgency,
    /// Time left until the caller's deadline.
    pub(super) budget: Span,
    /// Time since the caller first sent the request, through any instance.
    pub(super) elapsed: Span,
    /// Whether running the call twice is harmless.
    pub(super) idempotent: bool,
    /// Idempotency key, if the caller gave one.
    pub(super) key: Option<Key>,
    /// Identity that the caller gives all its sendings of the request.
    pub(super) origin: Option<String>,
    /// Method of the request.
    pub(super) method: String,
    /// Path below the service, with the query.
    pub(super) path: String,
    /// Media type of the body.
    pub(super) media: String,
    /// Whole body.
    pub(super) body: Bytes,
}

/// The ways in which a caller's request can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    /// The path names no service.
    #[error("the path `{0}` names no service, expected `/call/SERVICE/...`")]
    Path(String),
    /// No configuration in force declares the service.
    #[error("service `{0}` does not exist in the configuration in force")]
    Service(String),
    /// A field has a value that cannot be read.
    #[error("field `{name}` has the value `{value}`, expected {expected}")]
    Field {
        /// Name of the field.
        name: &'static str,
        /// Value as received.
        value: String,
        /// What is expected.
        expected: &'static str,
    },
    /// The idempotency key is too long.
    #[error("the idempotency key has {0} bytes, expected at most {MAX_KEY_BYTES}")]
    Key(usize),
    /// The body is larger than the service allows.
    #[error("the body has {found} bytes, service `{service}` allows {most}")]
    Body {
        /// Service that is called.
        service: ServiceName,
        /// Size of the body in bytes.
        found: u64,
        /// Largest size in bytes.
        most: u64,
    },
}

impl From<Error> for Response {
    fn from(error: Error) -> Self {
        let (kind, hint) = match &error {
            Error::Path(_) => (Kind::NotFound, "put the name of the service behind `/call/`"),
            Error::Service(_) => (Kind::NotFound, "apply a configuration that declares it"),
            Error::Field { .. } => (Kind::Malformed, "correct the field or leave it out"),
            Error::Key(_) => (Kind::Malformed, "use a shorter key"),
            Error::Body { .. } => (Kind::TooLarge, "send a smaller body"),
        };
        Self::failure(kind, error, hint)
    }
}

impl Arrival {
    /// Reads a request for a service of `config`.
    ///
    /// # Errors
    ///
    /// Fails when the path names no declared service, a field cannot be read or
    /// the body is too large.
    pub(super) fn read(request: Request, config: &Config) -> Result<Self, Error> {
        let Request { head, body } = request;
        let (service, path) = split(&head)?;
        let service = find(service, config)?;
        check_body(service, &body)?;
        let urgency = field(&head, "x-urgency", "low, normal, high or urgent")?;
        let team = field(&head, "x-team", "the name of a team")?;
        let budget = milliseconds(&head, "x-deadline-ms")?.unwrap_or(service.deadline);
        Ok(Self {
            service: service.name.clone(),
            team: team.unwrap_or_else(|| service.team.clone()),
            urgency: urgency.unwrap_or(service.urgency),
            budget,
            elapsed: milliseconds(&head, "x-elapsed-ms")?.unwrap_or_default(),
            idempotent: service.idempotent || is_safe(&head.method),
            key: key(&head, &path, &body)?,
            origin: head.field("x-request-id").map(str::to_owned),
            media: head.field("content-type").unwrap_or_default().to_owned(),
            method: head.method,
            path,
            body,
        })
    }
}

impl From<peer::Call> for Arrival {
    fn from(call: peer::Call) -> Self {
        Self {
            service: call.service,
            team: call.team,
            urgency: call.urgency,
            budget: call.budget,
            elapsed: Span::ZERO,
            idempotent: call.idempotent,
            key: call.key,
            origin: None,
            method: call.method,
            path: call.path,
            media: call.media,
            body: call.body,
        }
    }
}

fn split(head: &Head) -> Result<(&str, String), Error> {
    let wrong = || Error::Path(head.path.clone());
    let rest = head.path.strip_prefix(PREFIX).ok_or_else(wrong)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(wrong());
    }
    let query = if head.query.is_empty() { "" } else { "?" };
    Ok((service, format!("/{path}{query}{}", head.query)))
}

fn find<'a>(name: &str, config: &'a Config) -> Result<&'a Service, Error> {
    let unknown = || Error::Service(name.to_owned());
    let name = name.parse().map_err(|_| unknown())?;
    config.services.get::<ServiceName>(&name).ok_or_else(unknown)
}

/// Reports whether a request of this method only reads.
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD")
}

fn check_body(service: &Service, body: &Bytes) -> Result<(), Error> {
    let found = u64::try_from(body.len()).unwrap_or(u64::MAX);
    if found <= service.max_body {
        return Ok(());
    }
    Err(Error::Body { service: service.name.clone(), found, most: service.max_body })
}

fn field<T: std::str::FromStr>(
    head: &Head,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<T>, Error> {
    let Some(value) = head.field(name) else {
        return Ok(None);
    };
    let wrong = |_| Error::Field { name, value: value.to_owned(), expected };
    value.parse().map(Some).map_err(wrong)
}

fn milliseconds(head: &Head, name: &'static str) -> Result<Option<Span>, Error> {
    let expected = "milliseconds, zero or more";
    let Some(ms) = field::<f64>(head, name, expected)? else {
        return Ok(None);
    };
    if ms.is_finite() && ms >= 0.0 {
        return Ok(Some(Span::from_ms_f64(ms)));
    }
    Err(Error::Field { name, value: ms.to_string(), expected })
}

fn key(head: &Head, path: &str, body: &Bytes) -> Result<Option<Key>, Error> {
    let Some(text) = head.field("idempotency-key") else {
        return Ok(None);
    };
    if text.len() > MAX_KEY_BYTES {
        return Err(Error::Key(text.len()));
    }
    // The digest tells a repeat of the request from another one with the same key.
    let digest = xxh3_64_with_seed(body, xxh3_64(path.as_bytes()));
    Ok(Some(Key { text: Bytes::copy_from_slice(text.as_bytes()), digest }))
}
