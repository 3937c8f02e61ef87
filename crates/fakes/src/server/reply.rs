//! Replies, complete or broken on purpose.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode, header};
use serde::Serialize;

/// Reply of a handler.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A complete response.
    Complete(Box<Response<Bytes>>),
    /// A response whose connection closes in the middle of the body.
    Truncated(Box<Response<Bytes>>),
    /// No response; the connection is closed.
    Close,
}

/// Error that makes `hyper` close the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed on purpose")]
pub(crate) struct Closed;

impl Reply {
    /// Returns a complete response without a body.
    pub(crate) fn status(status: StatusCode) -> Self {
        Self::raw(status, Bytes::new())
    }

    /// Returns a complete response.
    pub(crate) fn raw(status: StatusCode, body: Bytes) -> Self {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        Self::Complete(Box::new(response))
    }

    /// Returns a complete response with a JSON body.
    pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Self {
        let Ok(text) = serde_json::to_vec(body) else {
            return Self::status(StatusCode::INTERNAL_SERVER_ERROR);
        };
        let mut response = Response::new(Bytes::from(text));
        *response.status_mut() = status;
        let json = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        Self::Complete(Box::new(response))
    }

    /// Returns a complete response with the reason of an error as its JSON body.
    pub(crate) fn error(status: StatusCode, reason: &str) -> Self {
        Self::json(status, &ErrorBody { error: reason })
    }

    pub(crate) fn into_response(self) -> Result<Response<BoxBody<Bytes, Closed>>, Closed> {
        match self {
            Self::Complete(response) => Ok((*response).map(complete)),
            Self::Truncated(response) => {
                Ok((*response).map(|body| TruncatedBody::new(body).boxed()))
            }
            Self::Close => Err(Closed),
        }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

fn complete(body: Bytes) -> BoxBody<Bytes, Closed> {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

/// A body that announces its whole length and fails after the first half.
#[derive(Debug)]
struct TruncatedBody {
    first_half: Option<Bytes>,
    content_length: u64,
}

impl TruncatedBody {
    fn new(body: Bytes) -> Self {
        let content_length = u64::try_from(body.len()).unwrap_or(u64::MAX).max(1);
        let half = body.len() / 2;
        Self { first_half: Some(body.slice(..half)), content_length }
    }
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        Poll::Ready(Some(match self.first_half.take() {
            Some(first_half) if !first_half.is_empty() => Ok(Frame::data(first_half)),
            _ => Err(Closed),
        }))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.content_length)
    }
}
