//! Outlier detection and slow start of one executor, from its answers and probes.

use sycamorerill_core::clock::{Span, Time};

use super::Settings;

/// Weight of one answer in the moving mean latency of an executor.
const LATENCY_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of one answer in the moving error share of an executor.
const ERROR_WEIGHT: f64 = 1.0 / 16.0;
/// Number of answers since an ejection after which the backoff starts from its base again.
const RECOVERY_SAMPLES: u32 = 256;
/// Latency, as a multiple of the mean of the service, above which an executor is a suspect.
const SUSPECT_RATIO: f64 = 1.5;
/// Error share above which an executor is ejected.
const MAX_ERROR_SHARE: f64 = 0.5;

/// Result of one request, as evidence of the health of its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// The executor returned a complete answer after this latency.
    Success(Span),
    /// The executor returned a complete answer with an error status after this latency.
    Error(Span),
    /// The executor refused the request or could not be reached.
    Refused,
    /// The answer did not arrive or was incomplete.
    Lost,
}

/// State that decides how many calls an executor receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    /// Slow start: at most `slots` concurrent calls. On `trial`, after an ejection or as an
    /// idle suspect, one bad answer ejects the executor.
    Starting {
        slots: u32,
        trial: bool,
    },
    Ejected {
        next_probe: Time,
        good_probes: u32,
    },
}

/// Action that follows from an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Nothing changes.
    Keep,
    /// The executor is slower than others and becomes a suspect: it is checked again when it
    /// is idle.
    Watch,
    /// The executor is worse than others and is ejected, unless too many already are.
    EjectOutlier,
    /// The executor accepts no calls and is ejected, however many others already are.
    EjectUnavailable,
}

/// Result of a check of an executor that is ejected or a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Check {
    /// No further check is needed.
    Done,
    /// The executor must be checked again at this time.
    Later(Time),
    /// The executor must be probed now and checked again at this time.
    Probe(Time),
}

#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: State,
    latency_ms: f64,
    samples: u32,
    /// Moving share of answers with an error status.
    errors: f64,
    /// Consecutive requests without a complete answer.
    failures: u32,
    /// Consecutive ejections, which double the backoff.
    ejections: u32,
    /// Whether another check of the executor is scheduled because it was slow.
    suspect: bool,
}

impl Health {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            state: State::Starting { slots: settings.start_slots.max(1), trial: false },
            latency_ms: 0.0,
            samples: 0,
            errors: 0.0,
            failures: 0,
            ejections: 0,
            suspect: false,
        }
    }

    /// Returns the limit of concurrent calls on an executor with `slots` slots.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        match self.state {
            State::Ready => slots,
            State::Starting { slots: limit, .. } => limit.min(slots),
            State::Ejected { .. } => 0,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Returns the mean latency in milliseconds, or zero before the first measurement.
    pub(crate) fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Records an observation and returns the action that follows from it.
    ///
    /// `mean_ms` is the mean latency of the service, zero while it is unknown.
    pub(crate) fn observe(
        &mut self,
        observation: Observation,
        mean_ms: f64,
        slots: u32,
        settings: &Settings,
    ) -> Action {
        match observation {
            Observation::Success(latency) => {
                self.failures = 0;
                self.errors *= 1.0 - ERROR_WEIGHT;
                self.record_latency(latency);
                self.check_latency(latency, mean_ms, slots, settings)
            }
            Observation::Error(latency) => {
                self.failures = 0;
                self.errors += (1.0 - self.errors) * ERROR_WEIGHT;
                self.record_latency(latency);
                self.check_errors(settings)
            }
            Observation::Refused => self.record_failure(Action::EjectUnavailable, settings),
            Observation::Lost => self.record_failure(Action::EjectOutlier, settings),
        }
    }

    fn record_latency(&mut self, latency: Span) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(LATENCY_WEIGHT);
        self.latency_ms += (latency.as_ms_f64() - self.latency_ms) * weight;
    }

    fn check_latency(
        &mut self,
        latency: Span,
        mean_ms: f64,
        slots: u32,
        settings: &Settings,
    ) -> Action {
        let bound = mean_ms * settings.outlier_ratio;
        if let State::Starting { slots: limit, trial } = self.state {
            if trial && mean_ms > 0.0 && latency.as_ms_f64() > bound {
                return Action::EjectOutlier;
            }
            self.state = match limit + 1 {
                limit if limit >= slots => State::Ready,
                limit => State::Starting { slots: limit, trial },
            };
        }
        if self.samples >= RECOVERY_SAMPLES {
            self.ejections = 0;
        }
        if self.samples >= settings.min_samples && mean_ms > 0.0 && self.latency_ms > bound {
            return Action::EjectOutlier;
        }
        self.update_suspect(mean_ms > 0.0 && self.latency_ms > mean_ms * SUSPECT_RATIO)
    }

    fn update_suspect(&mut self, slow: bool) -> Action {
        let was_suspect = std::mem::replace(&mut self.suspect, slow);
        if slow && !was_suspect { Action::Watch } else { Action::Keep }
    }

    fn check_errors(&self, settings: &Settings) -> Action {
        let on_trial = matches!(self.state, State::Starting { trial: true, .. });
        let too_many_errors = self.samples >= settings.min_samples && self.errors > MAX_ERROR_SHARE;
        if on_trial || too_many_errors { Action::EjectOutlier } else { Action::Keep }
    }

    fn record_failure(&mut self, action: Action, settings: &Settings) -> Action {
        self.failures += 1;
        let on_trial = matches!(self.state, State::Starting { trial: true, .. });
        if on_trial || self.failures >= settings.max_failures { action } else { Action::Keep }
    }

    /// Ejects the executor until probes succeed; returns the time of the first probe.
    pub(crate) fn eject(&mut self, now: Time, settings: &Settings) -> Time {
        let doubled = settings.backoff.saturating_mul(1 << self.ejections.min(16));
        let next_probe = now + doubled.min(settings.max_backoff);
        self.ejections += 1;
        // Answers from before the ejection must not affect the evaluation after it.
        self.latency_ms = 0.0;
        self.samples = 0;
        self.errors = 0.0;
        self.failures = 0;
        self.suspect = false;
        self.state = State::Ejected { next_probe, good_probes: 0 };
        next_probe
    }

    /// Checks an executor that is ejected or a suspect.
    ///
    /// A slow executor may rank so low that it receives no calls, and without answers its
    /// recovery would go unnoticed. An idle suspect therefore receives one trial call.
    pub(crate) fn check(&mut self, now: Time, idle: bool, settings: &Settings) -> Check {
        if let State::Ejected { next_probe, .. } = &mut self.state {
            if *next_probe > now {
                return Check::Later(*next_probe);
            }
            *next_probe = now + settings.probe_interval;
            return Check::Probe(*next_probe);
        }
        if !self.suspect {
            return Check::Done;
        }
        if !idle {
            return Check::Later(now + settings.backoff);
        }
        self.suspect = false;
        self.latency_ms = 0.0;
        self.samples = 0;
        self.state = State::Starting { slots: 1, trial: true };
        Check::Done
    }

    /// Records the result of a probe.
    pub(crate) fn record_probe(&mut self, healthy: bool, settings: &Settings) {
        let State::Ejected { good_probes, .. } = &mut self.state else { return };
        if !healthy {
            *good_probes = 0;
            return;
        }
        *good_probes += 1;
        if *good_probes >= settings.good_probes {
            self.state = State::Starting { slots: 1, trial: true };
        }
    }
}
