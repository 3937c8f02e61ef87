//! Runs calls on executors.

use std::sync::PoisonError;

use async_io::Timer;
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use sycamorerill_clients::endpoint::headers;
use sycamorerill_core::clock::{Span, Time};

use super::pool::{ExecutorParams, ExecutorPool};
use super::runs::{RunKey, body_key};
use crate::faults::ExecutorFaults;
use crate::random;
use crate::server::{Incoming, Reply};

/// Query parameter that sets the run time, in milliseconds.
const RUN_TIME_PARAMETER: &str = "run_ms";
/// Interval at which a call from a cut-off client checks whether the fault has ended.
const CUT_OFF_POLL_INTERVAL: Span = Span::from_ms(20);
/// Response header with the name of the executor.
const EXECUTOR_HEADER: &str = "x-executor";
/// Identity and body of a misdirected answer.
const OTHER_IDENTITY: &str = "another-request";

impl ExecutorPool {
    /// Runs a call and returns its reply, both subject to the faults of the executor.
    pub(crate) async fn call(&self, now: Time, name: &str, request: &Incoming) -> Reply {
        let Some(params) = self.admit(now, name, &request.connection) else {
            return Reply::error(StatusCode::NOT_FOUND, "no such executor");
        };
        if params.faults.gone {
            return Reply::Close;
        }
        if request.is_from(&params.faults.cut_off) {
            self.wait_while_cut_off(name, request).await;
            return Reply::Close;
        }
        let identity = request.header(headers::IDENTITY).unwrap_or_default();
        if params.faults.refusing || params.faults.leaving {
            self.count_refused(name);
            return not_run_response(identity);
        }
        let mut rng = random::seeded_rng(self.seed(), &["call", name, identity]);
        let run = run_time(&params, request, &mut rng);
        self.occupy_slot(name);
        self.record_run(name, identity, request);
        if run > Span::ZERO {
            Timer::after(run.into()).await;
        }
        self.release_slot(name);
        // The delay affects only the answer; the call no longer occupies its slot.
        delay_past_deadline(&params.faults, run, request).await;
        answer(&params.faults, name, identity, request, &mut rng)
    }

    /// Waits until the client of the request is no longer cut off from the executor.
    async fn wait_while_cut_off(&self, name: &str, request: &Incoming) {
        while self.faults(name).is_some_and(|faults| request.is_from(&faults.cut_off)) {
            Timer::after(CUT_OFF_POLL_INTERVAL.into()).await;
        }
    }

    /// Records a run under the identity, the key and the body of the request, and counts repeats.
    fn record_run(&self, name: &str, identity: &str, request: &Incoming) {
        let mut keys = vec![RunKey::Identity(identity.to_owned())];
        let key = request.header(headers::KEY);
        keys.extend(key.map(|key| RunKey::Key(key.to_owned())));
        keys.extend(body_key(&request_text(request)));
        for key in keys {
            let times = {
                let mut run_counts = self.run_counts.lock().unwrap_or_else(PoisonError::into_inner);
                run_counts.record(&key)
            };
            if times > 1 {
                self.count_repeated_run(name, &key);
            }
        }
    }
}

/// Returns the run time that the request sets or, without one, a random one.
fn run_time(params: &ExecutorParams, request: &Incoming, rng: &mut fastrand::Rng) -> Span {
    let requested = request.query(RUN_TIME_PARAMETER).and_then(|ms| ms.parse().ok());
    let drawn =
        params.service_time.median.scale(random::log_normal(rng, params.service_time.p99_ratio));
    requested.map_or(drawn, Span::from_ms_f64).scale(params.faults.slow)
}

/// Waits until the fault `late` allows the answer: the deadline of the call plus its delay.
async fn delay_past_deadline(faults: &ExecutorFaults, run: Span, request: &Incoming) {
    if faults.late == Span::ZERO {
        return;
    }
    let deadline = request.header(headers::DEADLINE).and_then(|ms| ms.parse().ok());
    let remaining = Span::from_ms(deadline.unwrap_or_default()).saturating_sub(run);
    Timer::after((remaining + faults.late).into()).await;
}

fn answer(
    faults: &ExecutorFaults,
    name: &str,
    identity: &str,
    request: &Incoming,
    rng: &mut fastrand::Rng,
) -> Reply {
    if rng.f64() < faults.failing {
        let failed = Bytes::from_static(b"failed");
        return Reply::Complete(complete(
            StatusCode::INTERNAL_SERVER_ERROR,
            name,
            identity,
            failed,
        ));
    }
    if rng.f64() < faults.misdirect {
        let other = Bytes::from_static(OTHER_IDENTITY.as_bytes());
        return Reply::Complete(complete(StatusCode::OK, name, OTHER_IDENTITY, other));
    }
    let mut response = complete(StatusCode::OK, name, identity, echo(request));
    if let Some(content_type) = request.headers.get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    if rng.f64() < faults.cut { Reply::Truncated(response) } else { Reply::Complete(response) }
}

/// Returns the body of the request, or the last segment of its path if the body is empty.
fn request_text(request: &Incoming) -> Bytes {
    if request.body.is_empty() {
        let end = request.uri.path().rsplit('/').next().unwrap_or_default();
        return Bytes::copy_from_slice(end.as_bytes());
    }
    request.body.clone()
}

/// Returns the body of the request, or its whole path if the body is empty.
fn echo(request: &Incoming) -> Bytes {
    if request.body.is_empty() {
        return Bytes::copy_from_slice(request.uri.path().as_bytes());
    }
    request.body.clone()
}

/// Returns the answer to a call that was refused before it ran.
fn not_run_response(identity: &str) -> Reply {
    let mut response = complete(StatusCode::SERVICE_UNAVAILABLE, "", identity, Bytes::new());
    response.headers_mut().insert(headers::NOT_RUN, HeaderValue::from_static("1"));
    Reply::Complete(response)
}

fn complete(status: StatusCode, name: &str, identity: &str, body: Bytes) -> Box<Response<Bytes>> {
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
