//! The sequence of exchanges with one worker and the leases granted by them.

use sycamorerill_core::clock::{Span, Time};

use super::{Instant, Report};

/// State of the exchanges with one worker under one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// Number of the last exchange.
    number: u64,
    outstanding: Option<Time>,
    answered: u64,
    as_of: Option<(Instant, Time)>,
    lapse: Time,
    renew_at: Time,
    quiet_until: Time,
}

/// What a report is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Worth {
    /// The report answers an earlier exchange than one that was answered already.
    Late,
    /// The first report under this epoch.
    First,
    /// A newer report.
    Newer,
}

impl Link {
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            number: 0,
            outstanding: None,
            answered: 0,
            as_of: None,
            lapse: Time::MAX,
            renew_at: now,
            quiet_until: Time::ZERO,
        }
    }

    /// Opens exchange `number`; leases granted by it last until `lease` after the last report.
    pub(crate) fn open(&mut self, now: Time, number: u64, lease: Span, renews: bool) {
        self.number = number;
        self.outstanding = Some(now);
        if let (true, Some((_, received))) = (renews, self.as_of) {
            let until = received + lease;
            self.lapse = if self.lapse == Time::MAX { until } else { self.lapse.max(until) };
        }
    }

    /// Takes a report.
    pub(crate) fn answer(&mut self, report: &Report, now: Time) -> Worth {
        let older = self.as_of.is_some_and(|(at, _)| report.at <= at);
        if report.answers > self.number || report.answers <= self.answered || older {
            return Worth::Late;
        }
        let first = self.answered == 0;
        self.answered = report.answers;
        if self.answered == self.number {
            self.outstanding = None;
        }
        self.as_of = Some((report.at, now));
        if first { Worth::First } else { Worth::Newer }
    }

    /// Gives up the outstanding exchange; none is opened before `until`.
    pub(crate) const fn give_up(&mut self, until: Time) {
        self.outstanding = None;
        self.quiet_until = until;
    }

    /// Returns the instant before which no exchange is opened.
    pub(crate) const fn quiet_until(&self) -> Time {
        self.quiet_until
    }

    /// Returns when the outstanding exchange was opened.
    pub(crate) const fn outstanding(&self) -> Option<Time> {
        self.outstanding
    }

    pub(crate) const fn as_of(&self) -> Option<Instant> {
        match self.as_of {
            Some((at, _)) => Some(at),
            None => None,
        }
    }

    /// Returns when the last report was received.
    pub(crate) const fn heard(&self) -> Option<Time> {
        match self.as_of {
            Some((_, received)) => Some(received),
            None => None,
        }
    }

    /// Returns the instant after which every lease granted here has lapsed at the
    /// worker, by this clock and without margin; `Time::MAX` where that is unknown.
    pub(crate) const fn lapse(&self) -> Time {
        self.lapse
    }

    /// Sets the instant after which leases granted by a predecessor have lapsed.
    pub(crate) const fn set_lapse(&mut self, lapse: Time) {
        self.lapse = lapse;
    }

    pub(crate) const fn renew_at(&self) -> Time {
        self.renew_at
    }

    pub(crate) const fn set_renew_at(&mut self, at: Time) {
        self.renew_at = at;
    }
}
