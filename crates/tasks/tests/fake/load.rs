//! What tasks really need and do, as opposed to what was declared.

use std::collections::BTreeMap;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::ClassName;
use sycamorerill_core::size::{Cpu, Memory, Size};

/// What tasks of one class really need and do.
#[derive(Clone, Debug)]
pub(crate) struct Truth {
    /// Real use as a multiple of the declared size.
    pub(crate) size: f64,
    /// Run time alone on a worker; none for a service.
    pub(crate) run: Option<Span>,
    /// Whether the task fails wherever it runs.
    pub(crate) fails: bool,
    /// Slowdown of services beside a whole worker full of this class.
    pub(crate) noise: f64,
    /// Time in which the noise swings between once and twice its value; zero is never.
    pub(crate) swing: Span,
}

impl Default for Truth {
    fn default() -> Self {
        let run = Some(Span::from_secs(30));
        Self { size: 1.0, run, fails: false, noise: 0.0, swing: Span::ZERO }
    }
}

impl Truth {
    /// Returns what a task of declared size `declared` uses.
    pub(crate) fn uses(&self, declared: Size) -> Size {
        let scale = |value: u64| (value as f64 * self.size) as u64;
        let cpu = Cpu(scale(declared.cpu().0));
        Size::new(cpu, Memory(scale(declared.memory().0)), declared.accel())
    }

    /// Returns the noise at `now`.
    pub(crate) fn noise_at(&self, now: Time) -> f64 {
        if self.swing == Span::ZERO {
            return self.noise;
        }
        let phase = now.since(Time::ZERO).as_ms_f64() / self.swing.as_ms_f64();
        self.noise * (1.5 + 0.5 * (phase * std::f64::consts::TAU).sin())
    }
}

/// What tasks of each class really need and do.
#[derive(Clone, Debug, Default)]
pub(crate) struct Truths {
    /// By class.
    pub(crate) classes: BTreeMap<ClassName, Truth>,
    /// Declared sizes by class.
    pub(crate) declared: BTreeMap<ClassName, Size>,
}

impl Truths {
    /// Returns the truth about a class.
    pub(crate) fn of(&self, class: &ClassName) -> Truth {
        self.classes.get(class).cloned().unwrap_or_default()
    }
}
