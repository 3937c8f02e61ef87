//! All executors and what they were given.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError, RwLock};

use sycamorerill_clients::instances::{Instance, Role};
use sycamorerill_core::clock::Time;

use super::ledger::{Ledger, Ran};
use crate::counts;
use crate::faults::Execute;
use crate::server::Connection;
use crate::settings::{ServiceTime, Settings};

/// All executors.
#[derive(Debug)]
pub(crate) struct Pool {
    seed: u64,
    settings: Settings,
    executors: RwLock<BTreeMap<String, Executor>>,
    pub(super) ledger: Mutex<Ledger>,
}

/// One executor.
#[derive(Debug)]
struct Executor {
    time: ServiceTime,
    slots: u64,
    connections: u64,
    state: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Execute,
    leaving: Option<Time>,
    counts: counts::Executors,
}

/// What a call needs to know of its executor.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) faults: Execute,
    pub(super) time: ServiceTime,
}

impl Pool {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            seed: settings.seed,
            settings: settings.clone(),
            executors: RwLock::default(),
            ledger: Mutex::default(),
        }
    }

    pub(super) fn seed(&self) -> u64 {
        self.seed
    }

    /// Adds an executor, unless it is known or another kind of instance.
    pub(crate) fn add(&self, instance: &Instance) {
        let Role::Executor { service, slots, connections } = &instance.role else {
            return;
        };
        let time = self.settings.service_times.get(service).copied().unwrap_or_default();
        let executor = Executor {
            time,
            slots: u64::from(*slots),
            connections: u64::from(*connections),
            state: Mutex::default(),
        };
        let mut executors = self.executors.write().unwrap_or_else(PoisonError::into_inner);
        executors.entry(instance.name.clone()).or_insert(executor);
    }

    /// Notes that an executor is leaving from now on, or that it stays after all.
    pub(crate) fn set_leaving(&self, name: &str, since: Option<Time>) {
        self.change(name, |_, inner| inner.leaving = since);
    }

    /// Sets the faults of an executor.
    pub(crate) fn set(&self, name: &str, faults: Execute) {
        self.change(name, |_, inner| inner.faults = faults);
    }

    /// Returns the faults of an executor, or none if there is no such executor.
    pub(crate) fn faults(&self, name: &str) -> Option<Execute> {
        self.change(name, |_, inner| inner.faults.clone())
    }

    /// Returns how often a request ran.
    pub(crate) fn runs(&self, ran: &Ran) -> u32 {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner).runs(ran)
    }

    /// Returns what was counted over all executors.
    pub(crate) fn counts(&self) -> counts::Executors {
        let executors = self.executors.read().unwrap_or_else(PoisonError::into_inner);
        let mut sum = counts::Executors::default();
        for executor in executors.values() {
            let inner = executor.state.lock().unwrap_or_else(PoisonError::into_inner);
            add(&mut sum, &inner.counts);
        }
        sum
    }

    /// Looks an executor up for a call over a connection.
    pub(super) fn enter(&self, now: Time, name: &str, connection: &Connection) -> Option<Entry> {
        if !connection.serves(name) {
            self.closed(connection);
            connection.assign(Some(name));
            self.change(name, |executor, inner| {
                inner.counts.connected += 1;
                inner.counts.peak_connections =
                    inner.counts.peak_connections.max(inner.counts.connected);
                inner.counts.overconnected +=
                    u64::from(inner.counts.connected > executor.connections);
            });
        }
        self.change(name, |executor, inner| {
            let late = inner.leaving.is_some_and(|at| now.since(at) > self.settings.leave_grace);
            inner.counts.after_leaving += u64::from(late);
            Entry { faults: inner.faults.clone(), time: executor.time }
        })
    }

    /// Notes that a connection has ended or goes to another executor.
    pub(crate) fn closed(&self, connection: &Connection) {
        if let Some(name) = connection.assign(None) {
            self.change(&name, |_, inner| inner.counts.connected -= 1);
        }
    }

    /// Notes a refused call.
    pub(super) fn refused(&self, name: &str) {
        self.change(name, |_, inner| inner.counts.refused += 1);
    }

    /// Takes a slot, also when all are in use, which is counted.
    pub(super) fn begin(&self, name: &str) {
        self.change(name, |executor, inner| {
            let counts = &mut inner.counts;
            counts.running += 1;
            counts.ran += 1;
            counts.peak_running = counts.peak_running.max(counts.running);
            counts.overcommitted += u64::from(counts.running > executor.slots);
        });
    }

    /// Gives a slot back.
    pub(super) fn end(&self, name: &str) {
        self.change(name, |_, inner| inner.counts.running -= 1);
    }

    /// Notes that a request or a key ran again.
    pub(super) fn ran_again(&self, name: &str, ran: &Ran) {
        self.change(name, |_, inner| match ran {
            Ran::Identity(_) => inner.counts.ran_twice += 1,
            Ran::Key(_) => inner.counts.keys_ran_twice += 1,
            Ran::Body(_) => {}
        });
    }

    fn change<T>(&self, name: &str, change: impl FnOnce(&Executor, &mut Inner) -> T) -> Option<T> {
        let executors = self.executors.read().unwrap_or_else(PoisonError::into_inner);
        let executor = executors.get(name)?;
        let mut inner = executor.state.lock().unwrap_or_else(PoisonError::into_inner);
        Some(change(executor, &mut inner))
    }
}

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
