//! Health of one executor, from its answers and probes.

use sycamorerill_core::clock::{Span, Time};

use super::Settings;

/// Weight of one answer in the latency of an executor.
const LATENCY_WEIGHT: f64 = 1.0 / 16.0;
/// Weight of one answer in the share of errors of an executor.
const ERROR_WEIGHT: f64 = 1.0 / 16.0;
/// Answers since an ejection after which it does not count any more.
const STEADY_SAMPLES: u32 = 256;
/// Latency above this many times the mean of the service makes an executor a suspect.
const SUSPECT_RATIO: f64 = 1.5;
/// Share of errors that ejects an executor.
const MAX_ERRORS: f64 = 0.5;

/// What one request or its answer says of the executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// A whole answer after this latency.
    Good(Span),
    /// A whole answer that says that the executor failed.
    Error(Span),
    /// The executor refused the request, or could not be reached.
    Refused,
    /// The answer did not come or was cut short.
    Lost,
}

/// Whether an executor gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Ready,
    /// At most `slots` calls at a time; `trial` after an ejection.
    Starting {
        slots: u32,
        trial: bool,
    },
    Ejected {
        next_probe: Time,
        good_probes: u32,
    },
}

/// Why an executor should be ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It goes on as it is.
    Keep,
    /// It is slower than others, so it is looked at again when it is idle.
    Watch,
    /// It is worse than others, so it is ejected unless too many are.
    Outlier,
    /// It takes no calls, so it is ejected whatever others do.
    Closed,
}

/// What is due for an executor that is ejected or a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Check {
    /// Nothing.
    Done,
    /// Another look at this instant.
    Later(Time),
    /// A probe now, and another look at this instant.
    Probe(Time),
}

#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: State,
    latency_ms: f64,
    samples: u32,
    errors: f64,
    failures: u32,
    ejections: u32,
    /// Whether another look at the executor is planned.
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

    /// Returns the number of calls that the executor may have at a time, of its `slots`.
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

    /// Returns the mean latency in milliseconds, zero when nothing was measured.
    pub(crate) fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Takes evidence in and says what should become of the executor.
    pub(crate) fn judge(
        &mut self,
        evidence: Evidence,
        mean_ms: f64,
        slots: u32,
        settings: &Settings,
    ) -> Verdict {
        match evidence {
            Evidence::Good(latency) => {
                self.failures = 0;
                self.errors *= 1.0 - ERROR_WEIGHT;
                self.measure(latency);
                self.judge_latency(latency, mean_ms, slots, settings)
            }
            Evidence::Error(latency) => {
                self.failures = 0;
                self.errors += (1.0 - self.errors) * ERROR_WEIGHT;
                self.measure(latency);
                self.judge_errors(settings)
            }
            Evidence::Refused => self.judge_failure(Verdict::Closed, settings),
            Evidence::Lost => self.judge_failure(Verdict::Outlier, settings),
        }
    }

    fn measure(&mut self, latency: Span) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(LATENCY_WEIGHT);
        self.latency_ms += (latency.as_ms_f64() - self.latency_ms) * weight;
    }

    fn judge_latency(
        &mut self,
        latency: Span,
        mean_ms: f64,
        slots: u32,
        settings: &Settings,
    ) -> Verdict {
        let bound = mean_ms * settings.outlier;
        if let State::Starting { slots: limit, trial } = self.state {
            if trial && mean_ms > 0.0 && latency.as_ms_f64() > bound {
                return Verdict::Outlier;
            }
            self.state = match limit + 1 {
                limit if limit >= slots => State::Ready,
                limit => State::Starting { slots: limit, trial },
            };
        }
        if self.samples >= STEADY_SAMPLES {
            self.ejections = 0;
        }
        if self.samples >= settings.min_samples && mean_ms > 0.0 && self.latency_ms > bound {
            return Verdict::Outlier;
        }
        self.suspect_if(mean_ms > 0.0 && self.latency_ms > mean_ms * SUSPECT_RATIO)
    }

    fn suspect_if(&mut self, slow: bool) -> Verdict {
        let known = std::mem::replace(&mut self.suspect, slow);
        if slow && !known { Verdict::Watch } else { Verdict::Keep }
    }

    fn judge_errors(&self, settings: &Settings) -> Verdict {
        let on_trial = matches!(self.state, State::Starting { trial: true, .. });
        let many = self.samples >= settings.min_samples && self.errors > MAX_ERRORS;
        if on_trial || many { Verdict::Outlier } else { Verdict::Keep }
    }

    fn judge_failure(&mut self, verdict: Verdict, settings: &Settings) -> Verdict {
        self.failures += 1;
        let on_trial = matches!(self.state, State::Starting { trial: true, .. });
        if on_trial || self.failures >= settings.max_failures { verdict } else { Verdict::Keep }
    }

    /// Stops calls to the executor until probes say that it is well.
    pub(crate) fn eject(&mut self, now: Time, settings: &Settings) -> Time {
        let doubled = settings.back_off.times(1 << self.ejections.min(16));
        let next_probe = now + doubled.min(settings.max_back_off);
        self.ejections += 1;
        // Its next answer, after good probes, is judged on its own.
        self.latency_ms = 0.0;
        self.samples = 0;
        self.errors = 0.0;
        self.failures = 0;
        self.suspect = false;
        self.state = State::Ejected { next_probe, good_probes: 0 };
        next_probe
    }

    /// Looks at an executor that is ejected or a suspect.
    ///
    /// A slow executor ranks so low that it may get no calls, and then nothing tells
    /// that it is well again. So an idle suspect gets one call on trial.
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
            return Check::Later(now + settings.back_off);
        }
        self.suspect = false;
        self.latency_ms = 0.0;
        self.samples = 0;
        self.state = State::Starting { slots: 1, trial: true };
        Check::Done
    }

    /// Takes the end of a probe in.
    pub(crate) fn probed(&mut self, healthy: bool, settings: &Settings) {
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
