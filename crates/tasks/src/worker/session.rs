//! The sequence of exchanges with one worker and the leases that they grant.

use sycamorerill_core::clock::{Span, Time};

use super::{Instant, Report};

/// State of the exchanges with one worker under one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    /// Number of the last exchange sent.
    last_exchange: u64,
    outstanding: Option<Time>,
    last_answered: u64,
    lease_base: Option<(Instant, Time)>,
    lapse_at: Time,
    renew_at: Time,
    retry_after: Time,
}

/// How a report relates to the reports received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// The report is not newer than one already received, or answers no exchange.
    Outdated,
    /// The first report under this epoch.
    First,
    /// A report newer than all before.
    Newer,
}

impl Session {
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            last_exchange: 0,
            outstanding: None,
            last_answered: 0,
            lease_base: None,
            lapse_at: Time::MAX,
            renew_at: now,
            retry_after: Time::ZERO,
        }
    }

    /// Records that exchange `number` was sent.
    ///
    /// If it grants or renews leases, they end `lease` after the last report was received.
    pub(crate) fn begin_exchange(&mut self, now: Time, number: u64, lease: Span, renews: bool) {
        self.last_exchange = number;
        self.outstanding = Some(now);
        if let (true, Some((_, received))) = (renews, self.lease_base) {
            let until = received + lease;
            self.lapse_at =
                if self.lapse_at == Time::MAX { until } else { self.lapse_at.max(until) };
        }
    }

    /// Receives a report and returns how it relates to earlier ones.
    pub(crate) fn receive(&mut self, report: &Report, now: Time) -> Freshness {
        let out_of_order = self.lease_base.is_some_and(|(at, _)| report.at <= at);
        if report.answers > self.last_exchange
            || report.answers <= self.last_answered
            || out_of_order
        {
            return Freshness::Outdated;
        }
        let first = self.last_answered == 0;
        self.last_answered = report.answers;
        if self.last_answered == self.last_exchange {
            self.outstanding = None;
        }
        self.lease_base = Some((report.at, now));
        if first { Freshness::First } else { Freshness::Newer }
    }

    /// Abandons the outstanding exchange; none is sent before `until`.
    pub(crate) const fn abandon(&mut self, until: Time) {
        self.outstanding = None;
        self.retry_after = until;
    }

    /// Returns the instant before which no exchange is sent.
    pub(crate) const fn retry_after(&self) -> Time {
        self.retry_after
    }

    /// Returns when the outstanding exchange was sent, if there is one.
    pub(crate) const fn outstanding(&self) -> Option<Time> {
        self.outstanding
    }

    pub(crate) const fn lease_base(&self) -> Option<Instant> {
        match self.lease_base {
            Some((at, _)) => Some(at),
            None => None,
        }
    }

    /// Returns when the last report was received, by the clock of the cell.
    pub(crate) const fn last_report_at(&self) -> Option<Time> {
        match self.lease_base {
            Some((_, received)) => Some(received),
            None => None,
        }
    }

    /// Returns the instant after which every lease of the worker has lapsed.
    ///
    /// The instant is on the clock of the cell and excludes the margin for clock drift.
    /// It is `Time::MAX` while no bound is known.
    pub(crate) const fn lapse_at(&self) -> Time {
        self.lapse_at
    }

    /// Sets the instant after which leases granted by former owners have lapsed.
    pub(crate) const fn set_lapse_at(&mut self, lapse_at: Time) {
        self.lapse_at = lapse_at;
    }

    pub(crate) const fn renew_at(&self) -> Time {
        self.renew_at
    }

    pub(crate) const fn set_renew_at(&mut self, at: Time) {
        self.renew_at = at;
    }
}
