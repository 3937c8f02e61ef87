//! The actual behaviour of tasks, as opposed to their declared sizes and run times.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::ClassName;
use sycamorerill_core::size::{Cpu, Memory, Size};

/// The actual behaviour of the tasks of one class.
#[derive(Clone, Debug)]
pub(crate) struct Profile {
    /// Actual usage as a multiple of the declared size.
    pub(crate) size: f64,
    /// Run time when alone on a worker; `None` for a service.
    pub(crate) run: Option<Span>,
    /// Whether the task fails on every worker.
    pub(crate) fails: bool,
    /// Run time after which a task crashes its worker, if it does.
    pub(crate) crashes_after: Option<Span>,
    /// Slowdown added to other classes if this class uses all cores of a worker.
    pub(crate) noise: f64,
    /// Period in which the noise varies between its value and twice its value; zero for
    /// constant noise.
    pub(crate) noise_period: Span,
}

impl Default for Profile {
    fn default() -> Self {
        let run = Some(Span::from_secs(30));
        Self {
            size: 1.0,
            run,
            fails: false,
            crashes_after: None,
            noise: 0.0,
            noise_period: Span::ZERO,
        }
    }
}

impl Profile {
    /// Returns the actual usage of a task of size `declared`.
    pub(crate) fn uses(&self, declared: Size) -> Size {
        let scale = |value: u64| (value as f64 * self.size) as u64;
        let cpu = Cpu(scale(declared.cpu().0));
        Size::new(cpu, Memory(scale(declared.memory().0)), declared.accel())
    }

    /// Returns the noise at `now`.
    pub(crate) fn noise_at(&self, now: Time) -> f64 {
        if self.noise_period == Span::ZERO {
            return self.noise;
        }
        let phase = now.since(Time::ZERO).as_ms_f64() / self.noise_period.as_ms_f64();
        self.noise * (1.5 + 0.5 * (phase * std::f64::consts::TAU).sin())
    }
}

/// The actual behaviour of all classes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Profiles {
    /// Profiles by class.
    pub(crate) classes: BTreeMap<ClassName, Profile>,
    /// Declared sizes by class.
    pub(crate) declared: BTreeMap<ClassName, Size>,
}

impl Profiles {
    /// Returns the profile of a class, or the default one.
    pub(crate) fn of(&self, class: &ClassName) -> Profile {
        self.classes.get(class).cloned().unwrap_or_default()
    }
}
