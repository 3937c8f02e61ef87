//! All executors with their faults and counters.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError, RwLock};

use sycamorerill_clients::instances::{Instance, Role};
use sycamorerill_core::clock::Time;

use super::runs::{RunCounts, RunKey};
use crate::counts;
use crate::faults::ExecutorFaults;
use crate::server::Connection;
use crate::settings::{ServiceTime, Settings};

/// All executors, by name.
#[derive(Debug)]
pub(crate) struct ExecutorPool {
    seed: u64,
    settings: Settings,
    executors: RwLock<BTreeMap<String, Executor>>,
    pub(super) run_counts: Mutex<RunCounts>,
}

/// Limits and state of one executor.
#[derive(Debug)]
struct Executor {
    service_time: ServiceTime,
    slots: u64,
    connections: u64,
    state: Mutex<ExecutorState>,
}

#[derive(Debug, Default)]
struct ExecutorState {
    faults: ExecutorFaults,
    leaving_since: Option<Time>,
    counts: counts::Executors,
}

/// Parameters of an executor that a call uses, as they were when the call arrived.
#[derive(Debug)]
pub(super) struct ExecutorParams {
    pub(super) faults: ExecutorFaults,
    pub(super) service_time: ServiceTime,
}

impl ExecutorPool {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            seed: settings.seed,
            settings: settings.clone(),
            executors: RwLock::default(),
            run_counts: Mutex::default(),
        }
    }

    pub(super) fn seed(&self) -> u64 {
        self.seed
    }

    /// Adds the instance if it is an executor and not present yet.
    pub(crate) fn add(&self, instance: &Instance) {
        let Role::Executor { service, slots, connections } = &instance.role else {
            return;
        };
        let service_time = self.settings.service_times.get(service).copied().unwrap_or_default();
        let executor = Executor {
            service_time,
            slots: u64::from(*slots),
            connections: u64::from(*connections),
            state: Mutex::default(),
        };
        let mut executors = self.executors.write().unwrap_or_else(PoisonError::into_inner);
        executors.entry(instance.name.clone()).or_insert(executor);
    }

    /// Sets since when an executor has been leaving, or none if it stays.
    pub(crate) fn set_leaving(&self, name: &str, since: Option<Time>) {
        self.update(name, |_, state| state.leaving_since = since);
    }

    /// Replaces the faults of an executor.
    pub(crate) fn set_faults(&self, name: &str, faults: ExecutorFaults) {
        self.update(name, |_, state| state.faults = faults);
    }

    /// Returns the faults of an executor, or none if there is no such executor.
    pub(crate) fn faults(&self, name: &str) -> Option<ExecutorFaults> {
        self.update(name, |_, state| state.faults.clone())
    }

    /// Returns how often a request ran on any executor.
    pub(crate) fn run_count(&self, key: &RunKey) -> u32 {
        self.run_counts.lock().unwrap_or_else(PoisonError::into_inner).run_count(key)
    }

    /// Returns the counters over all executors.
    pub(crate) fn counts(&self) -> counts::Executors {
        let executors = self.executors.read().unwrap_or_else(PoisonError::into_inner);
        let mut sum = counts::Executors::default();
        for executor in executors.values() {
            let state = executor.state.lock().unwrap_or_else(PoisonError::into_inner);
            add(&mut sum, &state.counts);
        }
        sum
    }

    /// Assigns the connection to the executor and returns the executor's parameters.
    ///
    /// Counts a connection that is new to the executor and a call that arrives after the executor
    /// left. Returns none if there is no such executor.
    pub(super) fn admit(
        &self,
        now: Time,
        name: &str,
        connection: &Connection,
    ) -> Option<ExecutorParams> {
        if !connection.serves(name) {
            self.connection_closed(connection);
            connection.assign(Some(name));
            self.update(name, |executor, state| {
                state.counts.connected += 1;
                state.counts.peak_connections =
                    state.counts.peak_connections.max(state.counts.connected);
                state.counts.overconnected +=
                    u64::from(state.counts.connected > executor.connections);
            });
        }
        self.update(name, |executor, state| {
            let late =
                state.leaving_since.is_some_and(|at| now.since(at) > self.settings.leave_grace);
            state.counts.after_leaving += u64::from(late);
            ExecutorParams { faults: state.faults.clone(), service_time: executor.service_time }
        })
    }

    /// Removes a connection from its executor because it closed or serves another executor.
    pub(crate) fn connection_closed(&self, connection: &Connection) {
        if let Some(name) = connection.assign(None) {
            self.update(&name, |_, state| state.counts.connected -= 1);
        }
    }

    /// Counts a call that was refused before it ran.
    pub(super) fn count_refused(&self, name: &str) {
        self.update(name, |_, state| state.counts.refused += 1);
    }

    /// Occupies a slot; a call above the number of slots runs too and is counted.
    pub(super) fn occupy_slot(&self, name: &str) {
        self.update(name, |executor, state| {
            let counts = &mut state.counts;
            counts.running += 1;
            counts.ran += 1;
            counts.peak_running = counts.peak_running.max(counts.running);
            counts.overcommitted += u64::from(counts.running > executor.slots);
        });
    }

    pub(super) fn release_slot(&self, name: &str) {
        self.update(name, |_, state| state.counts.running -= 1);
    }

    /// Counts a repeated run of an identity or a key; repeated bodies are allowed.
    pub(super) fn count_repeated_run(&self, name: &str, key: &RunKey) {
        self.update(name, |_, state| match key {
            RunKey::Identity(_) => state.counts.ran_twice += 1,
            RunKey::Key(_) => state.counts.keys_ran_twice += 1,
            RunKey::Body(_) => {}
        });
    }

    /// Applies `update` to an executor; returns none if there is no such executor.
    fn update<T>(
        &self,
        name: &str,
        update: impl FnOnce(&Executor, &mut ExecutorState) -> T,
    ) -> Option<T> {
        let executors = self.executors.read().unwrap_or_else(PoisonError::into_inner);
        let executor = executors.get(name)?;
        let mut state = executor.state.lock().unwrap_or_else(PoisonError::into_inner);
        Some(update(executor, &mut state))
    }
}

/// Adds the counters of one executor to those of others; peaks become maxima.
fn add(sum: &mut counts::Executors, of: &counts::Executors) {
    sum.overcommitted += of.overcommitted;
    sum.overconnected += of.overconnected;
    sum.ran += of.ran;
    sum.refused += of.refused;
    sum.after_leaving += of.after_leaving;
    sum.ran_twice += of.ran_twice;
    sum.keys_ran_twice += of.keys_ran_twice;
    sum.running += of.running;
    sum.connected += of.connected;
    sum.peak_running = sum.peak_running.max(of.peak_running);
    sum.peak_connections = sum.peak_connections.max(of.peak_connections);
}
