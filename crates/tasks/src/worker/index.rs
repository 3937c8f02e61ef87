//! Workers by what they have free.

use std::collections::BTreeSet;

use fastrand::Rng;
use sycamorerill_core::size::{Accel, Cpu, Size};

use crate::cell::key;

/// Workers that may be given tasks, in the order of their free processor time.
///
/// Workers with free accelerators stand in a second order, so that tasks that
/// need one find them, and those that need none leave them for last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    plain: BTreeSet<(Cpu, key::Worker)>,
    accel: BTreeSet<(Accel, Cpu, key::Worker)>,
}

impl Index {
    pub(crate) fn insert(&mut self, worker: key::Worker, free: Size) {
        if free.accel() == Accel(0) {
            self.plain.insert((free.cpu(), worker));
        } else {
            self.accel.insert((free.accel(), free.cpu(), worker));
        }
    }

    pub(crate) fn remove(&mut self, worker: key::Worker, free: Size) {
        self.plain.remove(&(free.cpu(), worker));
        self.accel.remove(&(free.accel(), free.cpu(), worker));
    }

    /// Collects at most about `most` workers that may have room for `need`.
    ///
    /// Half have little more processor time than needed, half are drawn at random.
    pub(crate) fn sample(
        &self,
        need: Size,
        most: usize,
        rng: &mut Rng,
        out: &mut Vec<key::Worker>,
    ) {
        out.clear();
        if need.accel() == Accel(0) {
            self.sample_plain(need.cpu(), most, rng, out);
        }
        if out.len() < most {
            self.sample_accel(need, most - out.len(), rng, out);
        }
        out.sort_unstable();
        out.dedup();
    }

    fn sample_plain(&self, need: Cpu, most: usize, rng: &mut Rng, out: &mut Vec<key::Worker>) {
        let first = (need, key::Worker(0));
        if self.plain.len() <= most {
            out.extend(self.plain.range(first..).map(|(_, worker)| *worker));
            return;
        }
        let Some((largest, _)) = self.plain.last() else { return };
        if *largest < need {
            return;
        }
        let half = most / 2;
        out.extend(self.plain.range(first..).take(half).map(|(_, worker)| *worker));
        let cpu = Cpu(rng.u64(need.0..=largest.0));
        let drawn = (cpu, key::Worker(rng.u32(..)));
        out.extend(self.plain.range(drawn..).take(half).map(|(_, worker)| *worker));
        out.extend(self.plain.range(first..).next_back().map(|(_, worker)| *worker));
    }

    fn sample_accel(&self, need: Size, most: usize, rng: &mut Rng, out: &mut Vec<key::Worker>) {
        let accel = need.accel().max(Accel(1));
        let first = (accel, need.cpu(), key::Worker(0));
        if self.accel.len() <= most {
            out.extend(self.accel.range(first..).map(|(_, _, worker)| *worker));
            return;
        }
        let half = most / 2;
        out.extend(self.accel.range(first..).take(half).map(|(_, _, worker)| *worker));
        let Some((most_accel, _, _)) = self.accel.last() else { return };
        if *most_accel >= accel {
            let at = Accel(rng.u64(accel.0..=most_accel.0));
            let drawn = (at, need.cpu(), key::Worker(rng.u32(..)));
            out.extend(self.accel.range(drawn..).take(half).map(|(_, _, worker)| *worker));
        }
        out.extend(self.accel.range(first..).next_back().map(|(_, _, worker)| *worker));
    }

    /// Returns how many workers may be given tasks.
    pub(crate) fn len(&self) -> usize {
        self.plain.len() + self.accel.len()
    }
}
