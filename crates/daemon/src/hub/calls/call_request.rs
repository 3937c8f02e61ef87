//! Parsing and validation of callers' requests.

use bytes::Bytes;
use sycamorerill_calls::keys::Key;
use sycamorerill_core::api::Kind;
use sycamorerill_core::clock::Span;
use sycamorerill_core::id::{ServiceName, TeamName};
use sycamorerill_core::model::{Config, Service, Urgency};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::http::{Head, Request, Response};
use crate::peer;

/// Path prefix of all calls.
pub(super) const CALL_PATH_PREFIX: &str = "/call/";
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub(super) struct CallRequest {
    /// Called service.
    pub(super) service: ServiceName,
    /// Team to which the call is charged.
    pub(super) team: TeamName,
    /// Urgency of the call.
    pub(super) urgency: Urgency,
    /// Time left until the caller's deadline.
    pub(super) budget: Span,
    /// Time since the caller first sent the request to any instance.
    pub(super) elapsed: Span,
    /// Whether the call may safely run more than once.
    pub(super) idempotent: bool,
    /// Idempotency key, if the caller gave one.
    pub(super) key: Option<Key>,
    /// Value of `x-request-id`, which is the same for all retries of the request by the
    /// caller.
    pub(super) request_id: Option<String>,
    /// Method of the request.
    pub(super) method: String,
    /// Path below the service, with the query.
    pub(super) path: String,
    /// Media type of the body.
    pub(super) media: String,
    /// Complete body.
    pub(super) body: Bytes,
}

/// Errors in a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    /// The path names no service.
    #[error("the path `{0}` names no service, expected `/call/SERVICE/...`")]
    Path(String),
    /// The active configuration does not declare the service.
    #[error("service `{0}` does not exist in the configuration in force")]
    Service(String),
    /// A header field has an invalid value.
    #[error("field `{name}` has the value `{value}`, expected {expected}")]
    Field {
        /// Name of the header field.
        name: &'static str,
        /// Value as received.
        value: String,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// The idempotency key is longer than [`MAX_KEY_BYTES`].
    #[error("the idempotency key has {0} bytes, expected at most {MAX_KEY_BYTES}")]
    Key(usize),
    /// The body is larger than the service allows.
    #[error("the body has {found} bytes, service `{service}` allows {max}")]
    Body {
        /// Called service.
        service: ServiceName,
        /// Size of the body in bytes.
        found: u64,
        /// Maximum size in bytes.
        max: u64,
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

impl CallRequest {
    /// Parses a request and validates it against `config`.
    ///
    /// # Errors
    ///
    /// Returns an error if the path names no declared service, a header field is invalid
    /// or the body is too large.
    pub(super) fn read(request: Request, config: &Config) -> Result<Self, Error> {
        let Request { head, body } = request;
        let (service, path) = split_path(&head)?;
        let service = find_service(service, config)?;
        check_body(service, &body)?;
        let urgency = parse_field(&head, "x-urgency", "low, normal, high or urgent")?;
        let team = parse_field(&head, "x-team", "the name of a team")?;
        let budget = parse_milliseconds(&head, "x-deadline-ms")?.unwrap_or(service.deadline);
        Ok(Self {
            service: service.name.clone(),
            team: team.unwrap_or_else(|| service.team.clone()),
            urgency: urgency.unwrap_or(service.urgency),
            budget,
            elapsed: parse_milliseconds(&head, "x-elapsed-ms")?.unwrap_or_default(),
            idempotent: service.idempotent || is_safe(&head.method),
            key: read_key(&head, &path, &body)?,
            request_id: head.field("x-request-id").map(str::to_owned),
            media: head.field("content-type").unwrap_or_default().to_owned(),
            method: head.method,
            path,
            body,
        })
    }
}

impl From<peer::Call> for CallRequest {
    fn from(call: peer::Call) -> Self {
        Self {
            service: call.service,
            team: call.team,
            urgency: call.urgency,
            budget: call.budget,
            elapsed: Span::ZERO,
            idempotent: call.idempotent,
            key: call.key,
            request_id: None,
            method: call.method,
            path: call.path,
            media: call.media,
            body: call.body,
        }
    }
}

fn split_path(head: &Head) -> Result<(&str, String), Error> {
    let no_service = || Error::Path(head.path.clone());
    let rest = head.path.strip_prefix(CALL_PATH_PREFIX).ok_or_else(no_service)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(no_service());
    }
    let query = if head.query.is_empty() { "" } else { "?" };
    Ok((service, format!("/{path}{query}{}", head.query)))
}

fn find_service<'a>(name: &str, config: &'a Config) -> Result<&'a Service, Error> {
    let unknown = || Error::Service(name.to_owned());
    let name = name.parse().map_err(|_| unknown())?;
    config.services.get::<ServiceName>(&name).ok_or_else(unknown)
}

/// Returns whether requests with this method only read.
fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD")
}

fn check_body(service: &Service, body: &Bytes) -> Result<(), Error> {
    let found = u64::try_from(body.len()).unwrap_or(u64::MAX);
    if found <= service.max_body {
        return Ok(());
    }
    Err(Error::Body { service: service.name.clone(), found, max: service.max_body })
}

fn parse_field<T: std::str::FromStr>(
    head: &Head,
    name: &'static str,
    expected: &'static str,
) -> Result<Option<T>, Error> {
    let Some(value) = head.field(name) else {
        return Ok(None);
    };
    let malformed = |_| Error::Field { name, value: value.to_owned(), expected };
    value.parse().map(Some).map_err(malformed)
}

fn parse_milliseconds(head: &Head, name: &'static str) -> Result<Option<Span>, Error> {
    let expected = "milliseconds, zero or more";
    let Some(ms) = parse_field::<f64>(head, name, expected)? else {
        return Ok(None);
    };
    if ms.is_finite() && ms >= 0.0 {
        return Ok(Some(Span::from_ms_f64(ms)));
    }
    Err(Error::Field { name, value: ms.to_string(), expected })
}

fn read_key(head: &Head, path: &str, body: &Bytes) -> Result<Option<Key>, Error> {
    let Some(text) = head.field("idempotency-key") else {
        return Ok(None);
    };
    if text.len() > MAX_KEY_BYTES {
        return Err(Error::Key(text.len()));
    }
    // The digest distinguishes a retry from a different request with the same key.
    let digest = xxh3_64_with_seed(body, xxh3_64(path.as_bytes()));
    Ok(Some(Key { text: Bytes::copy_from_slice(text.as_bytes()), digest }))
}
