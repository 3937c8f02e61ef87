//! One call on an executor.

use std::sync::PoisonError;

use async_io::Timer;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use sycamorerill_clients::endpoint::headers;
use sycamorerill_core::clock::{Span, Time};

use super::ledger::{Ran, of_body};
use super::pool::{Entry, Pool};
use crate::chance;
use crate::faults::Execute;
use crate::server::{Incoming, Reply};

/// Parameter of the query that sets the run time, in milliseconds.
const RUN_PARAMETER: &str = "run_ms";
/// How often a call that is cut off looks whether the fault has ended.
const CUT_OFF_POLL: Span = Span::from_ms(20);
/// Header that names the executor which answered.
const EXECUTOR_HEADER: &str = "x-executor";
/// Identity and body of an answer that belongs to another request.
const OTHER: &str = "another-request";

impl Pool {
    /// Runs a call and answers it, as the faults of the executor allow.
    pub(crate) async fn call(&self, now: Time, name: &str, request: &Incoming) -> Reply {
        let Some(entry) = self.enter(now, name, &request.connection) else {
            return Reply::refused(StatusCode::NOT_FOUND, "no such executor");
        };
        if entry.faults.gone {
            return Reply::Close;
        }
        if request.is_from(&entry.faults.cut_off) {
            self.wait_out(name, request).await;
            return Reply::Close;
        }
        let identity = request.header(headers::IDENTITY).unwrap_or_default();
        if entry.faults.refusing || entry.faults.leaving {
            self.refused(name);
            return refusal(identity);
        }
        let mut rng = chance::of(self.seed(), &["call", name, identity]);
        let run = run_time(&entry, request, &mut rng);
        self.begin(name);
        self.note(name, identity, request);
        if run > Span::ZERO {
            Timer::after(run.into()).await;
        }
        self.end(name);
        // A late answer is late on its way; the slot is free by then.
        hold_back(&entry.faults, run, request).await;
        answer(&entry.faults, name, identity, request, &mut rng)
    }

    async fn wait_out(&self, name: &str, request: &Incoming) {
        while self.faults(name).is_some_and(|faults| request.is_from(&faults.cut_off)) {
            Timer::after(CUT_OFF_POLL.into()).await;
        }
    }

    fn note(&self, name: &str, identity: &str, request: &Incoming) {
        let mut runs = vec![Ran::Identity(identity.to_owned())];
        let key = request.header(headers::KEY);
        runs.extend(key.map(|key| Ran::Key(key.to_owned())));
        runs.extend(of_body(&asked(request)));
        for ran in runs {
            let times = {
                let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
                ledger.note(&ran)
            };
            if times > 1 {
                self.ran_again(name, &ran);
            }
        }
    }
}

fn run_time(entry: &Entry, request: &Incoming, rng: &mut fastrand::Rng) -> Span {
    let asked = request.query(RUN_PARAMETER).and_then(|ms| ms.parse().ok());
    let drawn = entry.time.median.scale(chance::log_normal(rng, entry.time.tail));
    asked.map_or(drawn, Span::from_ms_f64).scale(entry.faults.slow)
}

async fn hold_back(faults: &Execute, run: Span, request: &Incoming) {
    if faults.late == Span::ZERO {
        return;
    }
    let deadline = request.header(headers::DEADLINE).and_then(|ms| ms.parse().ok());
    let left = Span::from_ms(deadline.unwrap_or_default()).less(run);
    Timer::after((left + faults.late).into()).await;
}

fn answer(
    faults: &Execute,
    name: &str,
    identity: &str,
    request: &Incoming,
    rng: &mut fastrand::Rng,
) -> Reply {
    if rng.f64() < faults.failing {
        let failed = Bytes::from_static(b"failed");
        return Reply::Whole(whole(StatusCode::INTERNAL_SERVER_ERROR, name, identity, failed));
    }
    if rng.f64() < faults.misdirect {
        let other = Bytes::from_static(OTHER.as_bytes());
        return Reply::Whole(whole(StatusCode::OK, name, OTHER, other));
    }
    let mut response = whole(StatusCode::OK, name, identity, echo(request));
    if let Some(content_type) = request.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    if rng.f64() < faults.cut { Reply::Cut(response) } else { Reply::Whole(response) }
}

/// Returns what a request asks for: its body, or the end of its path if it has none.
fn asked(request: &Incoming) -> Bytes {
    if request.body.is_empty() {
        let end = request.uri.path().rsplit('/').next().unwrap_or_default();
        return Bytes::copy_from_slice(end.as_bytes());
    }
    request.body.clone()
}

/// Returns the body of the request, or its path if it has none.
fn echo(request: &Incoming) -> Bytes {
    if request.body.is_empty() {
        return Bytes::copy_from_slice(request.uri.path().as_bytes());
    }
    request.body.clone()
}

fn refusal(identity: &str) -> Reply {
    let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, "", identity, Bytes::new());
    response.headers_mut().insert(headers::NOT_RUN, HeaderValue::from_static("1"));
    Reply::Whole(response)
}

fn whole(status: StatusCode, name: &str, identity: &str, body: Bytes) -> Box<Response<Bytes>> {
    let mut response = Box::new(Response::new(body));
    *response.status_mut() = status;
    let lines = [(headers::IDENTITY, identity), (EXECUTOR_HEADER, name)];
    for (header, value) in lines {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(header, value);
        }
    }
    response
}
