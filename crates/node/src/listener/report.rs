//! What an instance refuses its clients or closes on them, counted and logged.

use std::cell::RefCell;
use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;

use crate::log::{Code, Line};
use crate::metrics::Metrics;

/// Shortest time between two log lines of a listener with the same reason.
const LINE_INTERVAL: Span = Span::from_secs(10);

data! {
    /// The kind of requests that a listener answers.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Kind {
        /// Requests of callers: submit, query or cancel a job.
        Callers,
        /// Readiness checks of the balancer.
        Readiness,
        /// Scrapes of the metrics.
        Metrics,
    }
}

data! {
    /// Why a request was refused before its job was read, or a connection was closed.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Reason {
        /// A request is handled on each connection, so a new one was closed.
        ConnectionsFull,
        /// The connection waited for its client longest when a new one needed its place.
        Replaced,
        /// No complete head arrived in time.
        HeadTimeout,
        /// No complete body arrived in time.
        BodyTimeout,
        /// The body is larger than a body may be.
        BodyTooLarge,
        /// The memory for bodies is used up.
        BodyBudget,
        /// The client did not read the response in time.
        ResponseTimeout,
        /// The request could be answered without its body.
        BodyNotRead,
    }
}

impl Kind {
    const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
        }
    }
}

impl Reason {
    const fn name(self) -> &'static str {
        match self {
            Self::ConnectionsFull => "connections_full",
            Self::Replaced => "replaced",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBudget => "body_budget",
            Self::ResponseTimeout => "response_timeout",
            Self::BodyNotRead => "body_not_read",
        }
    }
}

#[derive(Debug)]
struct Since {
    logged: Time,
    count: u64,
}

/// Limits the log lines to one for each listener and reason in [`LINE_INTERVAL`].
#[derive(Debug, Default)]
pub(crate) struct Reports(RefCell<BTreeMap<(Kind, Reason), Since>>);

impl Reports {
    /// Counts a refusal, and logs the number of those since the last line if a line is due.
    pub(crate) fn add(&self, metrics: &Metrics, kind: Kind, reason: Reason, now: Time) {
        metrics.count_listener(kind.name(), reason.name());
        if let Some(count) = self.due(kind, reason, now) {
            Line::new(Code::ListenerRefused)
                .text("listener", kind.name())
                .text("reason", reason.name())
                .number("count", count)
                .write();
        }
    }

    fn due(&self, kind: Kind, reason: Reason, now: Time) -> Option<u64> {
        let mut reports = self.0.borrow_mut();
        let Some(since) = reports.get_mut(&(kind, reason)) else {
            reports.insert((kind, reason), Since { logged: now, count: 0 });
            return Some(1);
        };
        since.count += 1;
        if now.since(since.logged) < LINE_INTERVAL {
            return None;
        }
        since.logged = now;
        Some(std::mem::take(&mut since.count))
    }
}
