//! Configuration, the list of workers, and the quotas and limits that follow from both.

use std::collections::BTreeSet;
use std::sync::Arc;

use sycamorerill_core::clock::Time;
use sycamorerill_core::model::Config;
use sycamorerill_core::size::{Accel, Cpu, Memory, Size};

use super::{Cell, Command, key};
use crate::job::{Job, Reason, Spread};
use crate::worker::Worker;

impl Cell {
    pub(super) fn configure(&mut self, now: Time, config: Arc<Config>, out: &mut Vec<Command>) {
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        let config = Arc::clone(&self.config);
        self.classes.clear();
        for (name, class) in &config.classes {
            let key = self.class_of(name);
            self.classes.insert(key, class.clone());
        }
        self.count_worker_sizes();
        self.set_quotas();
        self.recheck_jobs(now, out);
    }

    pub(super) fn list_workers(&mut self, now: Time, list: &[Worker], out: &mut Vec<Command>) {
        for key in self.workers.keys() {
            if let Some(entry) = self.workers.entry_mut(key) {
                entry.listed = false;
            }
        }
        for worker in list {
            self.list_worker(now, worker, out);
        }
        self.count_worker_sizes();
        self.set_quotas();
        for key in self.workers.keys() {
            self.refresh_worker(now, key);
        }
        self.recheck_jobs(now, out);
        self.capacity_freed = true;
    }

    fn list_worker(&mut self, now: Time, worker: &Worker, out: &mut Vec<Command>) {
        let rack = self.workers.rack(&worker.rack);
        let new = self.workers.find(&worker.name).is_none();
        let key = self.workers.add(&worker.name, now);
        let Some(entry) = self.workers.entry_mut(key) else { return };
        entry.listed = true;
        entry.rack = rack;
        if !entry.fenced {
            entry.size = worker.size;
        }
        let leaves = worker.leaving && !entry.leaving;
        entry.leaving = worker.leaving;
        if new {
            self.pending_send.insert(key);
        }
        if leaves {
            self.evict_from_leaving(now, key, out);
        }
    }

    fn count_worker_sizes(&mut self) {
        self.worker_sizes.clear();
        self.capacity = Size::ZERO;
        let mut racks = BTreeSet::new();
        for (_, entry) in self.workers.iter().filter(|(_, entry)| entry.listed) {
            *self.worker_sizes.entry(entry.size).or_default() += 1;
            self.capacity += entry.size;
            racks.insert(entry.rack);
        }
        self.rack_count = racks.len() as u32;
        if let (true, Some(domain)) =
            (self.worker_sizes.is_empty(), self.config.domains.get(&self.domain))
        {
            self.worker_sizes.insert(domain.worker, domain.workers);
        }
    }

    /// Sets the quota of each team in this cell, in proportion to the cell's share of the cores
    /// of all failure domains.
    fn set_quotas(&mut self) {
        let config = Arc::clone(&self.config);
        let all = config.domains.values().fold(0, |sum, domain| {
            sum + u128::from(domain.worker.cpu().0) * u128::from(domain.workers)
        });
        let mine = config
            .domains
            .get(&self.domain)
            .map_or(0, |domain| u128::from(domain.worker.cpu().0) * u128::from(domain.workers));
        let part = if all == 0 || mine == 0 { 1.0 } else { mine as f64 / all as f64 };
        let scale = |value: u64| (value as f64 * part).ceil() as u64;
        for (name, team) in &config.teams {
            let key = self.team_of(name);
            let quota = Size::new(
                Cpu(scale(team.quota.cpu().0)),
                Memory(scale(team.quota.memory().0)),
                Accel(scale(team.quota.accel().0)),
            );
            self.quotas.insert(key, (quota, team.borrow));
            self.update_share(key);
        }
    }

    pub(super) fn quota(&self, team: key::Team) -> Size {
        self.quotas.get(&team).map_or(Size::ZERO, |(quota, _)| *quota)
    }

    pub(super) fn may_borrow(&self, team: key::Team) -> bool {
        self.quotas.get(&team).is_some_and(|(_, borrow)| *borrow)
    }

    /// Parks jobs that can no longer run and queues parked jobs that now can.
    fn recheck_jobs(&mut self, now: Time, out: &mut Vec<Command>) {
        for key in self.jobs.keys() {
            self.park_or_queue(now, key, out);
        }
    }

    /// Checks that the workers and quotas of the cell allow the job to run.
    ///
    /// # Errors
    ///
    /// Returns the reason if they don't.
    pub(super) fn check_runnable(&self, job: &Job) -> Result<(), Reason> {
        if job.never.contains(&self.domain) {
            return Err(Reason::Domain(self.domain.clone()));
        }
        let class = self.config.classes.get(&job.class);
        let need = job.size.or(class.map(|class| class.size)).unwrap_or_default();
        if !self.worker_sizes.is_empty() && !self.worker_sizes.keys().any(|size| need.fits(*size)) {
            let largest = self
                .worker_sizes
                .keys()
                .fold(Size::ZERO, |most, size| most.componentwise_max(*size));
            return Err(Reason::TooLarge { need, largest });
        }
        self.check_quota(job, need)?;
        self.check_spread(job)
    }

    fn check_quota(&self, job: &Job, need: Size) -> Result<(), Reason> {
        let Some(team) = self.team_names.find(&job.team).map(key::Team) else { return Ok(()) };
        let quota = self.quota(team);
        if self.may_borrow(team) || need.fits(quota) {
            return Ok(());
        }
        Err(Reason::Quota { team: job.team.clone(), need, quota })
    }

    fn check_spread(&self, job: &Job) -> Result<(), Reason> {
        let (most, found) = match job.spread {
            Spread::None => return Ok(()),
            Spread::Worker(most) => (most, self.worker_sizes.values().sum()),
            Spread::Rack(most) => (most, self.rack_count),
        };
        let need = job.tasks.div_ceil(most.max(1));
        if most == 0 || (found > 0 && need > found) {
            return Err(Reason::Spread { need, found });
        }
        Ok(())
    }
}
