//! Replies, whole or broken on purpose.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode, header};
use serde::Serialize;

/// What a handler answers.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A whole answer.
    Whole(Box<Response<Bytes>>),
    /// An answer whose connection ends in the middle of its body.
    Cut(Box<Response<Bytes>>),
    /// No answer; the connection is closed.
    Close,
}

/// The connection is closed on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed on purpose")]
pub(crate) struct Closed;

impl Reply {
    /// Returns a whole answer without a body.
    pub(crate) fn status(status: StatusCode) -> Self {
        Self::raw(status, Bytes::new())
    }

    /// Returns a whole answer.
    pub(crate) fn raw(status: StatusCode, body: Bytes) -> Self {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        Self::Whole(Box::new(response))
    }

    /// Returns a whole answer in JSON.
    pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Self {
        let Ok(text) = serde_json::to_vec(body) else {
            return Self::status(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let mut response = Response::new(Bytes::from(text));
        *response.status_mut() = status;
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        Self::Whole(Box::new(response))
    }

    /// Returns a refusal with its reason.
    pub(crate) fn refused(status: StatusCode, reason: &str) -> Self {
        Self::json(status, &Refused { error: reason })
    }

    pub(crate) fn into_response(self) -> Result<Response<BoxBody<Bytes, Closed>>, Closed> {
        match self {
            Self::Whole(response) => Ok((*response).map(whole)),
            Self::Cut(response) => Ok((*response).map(|body| CutBody::new(body).boxed())),
            Self::Close => Err(Closed),
        }
    }
}

#[derive(Serialize)]
struct Refused<'a> {
    error: &'a str,
}

fn whole(body: Bytes) -> BoxBody<Bytes, Closed> {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

/// A body that ends in the middle.
#[derive(Debug)]
struct CutBody {
    first: Option<Bytes>,
    promised: u64,
}

impl CutBody {
    fn new(body: Bytes) -> Self {
        let promised = u64::try_from(body.len()).unwrap_or(u64::MAX).max(1);
        let half = body.len() / 2;
        Self { first: Some(body.slice(..half)), promised }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        Poll::Ready(Some(match self.first.take() {
            Some(first) if !first.is_empty() => Ok(Frame::data(first)),
            _ => Err(Closed),
        }))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.promised)
    }
}
