//! An index of workers by free capacity.

use std::collections::BTreeSet;

use fastrand::Rng;
use sycamorerill_core::size::{Accel, Cpu, Size};

use crate::cell::key;

/// Workers that accept tasks, ordered by free processor time.
///
/// Workers with free accelerators are ordered separately, so that tasks that need
/// an accelerator find them and other tasks use them last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    without_accel: BTreeSet<(Cpu, key::Worker)>,
    with_accel: BTreeSet<(Accel, Cpu, key::Worker)>,
}

impl Index {
    pub(crate) fn insert(&mut self, worker: key::Worker, free: Size) {
        if free.accel() == Accel(0) {
            self.without_accel.insert((free.cpu(), worker));
        } else {
            self.with_accel.insert((free.accel(), free.cpu(), worker));
        }
    }

    pub(crate) fn remove(&mut self, worker: key::Worker, free: Size) {
        self.without_accel.remove(&(free.cpu(), worker));
        self.with_accel.remove(&(free.accel(), free.cpu(), worker));
    }

    /// Collects about `limit` workers that may have room for `demand` into `out`.
    ///
    /// Half of them are the tightest fit by processor time, or by accelerators for workers
    /// that have free ones; the other half are drawn at random. The worker with the most free
    /// capacity is added.
    pub(crate) fn sample(
        &self,
        demand: Size,
        limit: usize,
        rng: &mut Rng,
        out: &mut Vec<key::Worker>,
    ) {
        out.clear();
        if demand.accel() == Accel(0) {
            self.sample_without_accel(demand.cpu(), limit, rng, out);
        }
        if out.len() < limit {
            self.sample_with_accel(demand, limit - out.len(), rng, out);
        }
        out.sort_unstable();
        out.dedup();
    }

    fn sample_without_accel(
        &self,
        demand: Cpu,
        limit: usize,
        rng: &mut Rng,
        out: &mut Vec<key::Worker>,
    ) {
        let first = (demand, key::Worker(0));
        if self.without_accel.len() <= limit {
            out.extend(self.without_accel.range(first..).map(|(_, worker)| *worker));
            return;
        }
        let Some((largest, _)) = self.without_accel.last() else { return };
        if *largest < demand {
            return;
        }
        let half = limit / 2;
        out.extend(self.without_accel.range(first..).take(half).map(|(_, worker)| *worker));
        let cpu = Cpu(rng.u64(demand.0..=largest.0));
        let drawn = (cpu, key::Worker(rng.u32(..)));
        out.extend(self.without_accel.range(drawn..).take(half).map(|(_, worker)| *worker));
        out.extend(self.without_accel.range(first..).next_back().map(|(_, worker)| *worker));
    }

    fn sample_with_accel(
        &self,
        demand: Size,
        limit: usize,
        rng: &mut Rng,
        out: &mut Vec<key::Worker>,
    ) {
        let accel = demand.accel().max(Accel(1));
        let first = (accel, demand.cpu(), key::Worker(0));
        if self.with_accel.len() <= limit {
            out.extend(self.with_accel.range(first..).map(|(_, _, worker)| *worker));
            return;
        }
        let half = limit / 2;
        out.extend(self.with_accel.range(first..).take(half).map(|(_, _, worker)| *worker));
        let Some((largest_accel, _, _)) = self.with_accel.last() else { return };
        if *largest_accel >= accel {
            let at = Accel(rng.u64(accel.0..=largest_accel.0));
            let drawn = (at, demand.cpu(), key::Worker(rng.u32(..)));
            out.extend(self.with_accel.range(drawn..).take(half).map(|(_, _, worker)| *worker));
        }
        out.extend(self.with_accel.range(first..).next_back().map(|(_, _, worker)| *worker));
    }

    /// Returns the number of workers that accept tasks.
    pub(crate) fn len(&self) -> usize {
        self.without_accel.len() + self.with_accel.len()
    }
}
