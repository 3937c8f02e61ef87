//! Faults as they are switched and shown.

use sycamorerill_clients::instances::Instance;
use sycamorerill_core::clock::Time;

use super::{Router, lock};
use crate::faults::{Fault, Faults};

impl Router {
    /// Switches faults.
    pub(crate) fn switch(&self, fault: Fault) {
        let now = self.clock.now();
        match fault {
            Fault::Table(faults) => self.table_gate.set(faults),
            Fault::Objects(faults) => {
                lock(&self.fleet).set_objects_up(!faults.down && !faults.hang);
                self.objects_gate.set(faults);
            }
            Fault::Instances(faults) => self.list_gate.set(faults),
            Fault::Workers { select, faults } => {
                let names = self.names(|instance| select.selects(instance));
                let mut fleet = lock(&self.fleet);
                names.iter().for_each(|name| fleet.set(now, name, faults.clone()));
            }
            Fault::Executors { select, faults } => {
                let names = self.names(|instance| select.selects(instance));
                names.iter().for_each(|name| self.pool.set(name, faults.clone()));
            }
            Fault::Job { name, fails } => lock(&self.fleet).set_job(name, fails),
            Fault::None => self.heal(now),
        }
    }

    /// Returns the faults that are switched on.
    pub(crate) fn faults(&self) -> Faults {
        let names = self.names(|_| true);
        let fleet = lock(&self.fleet);
        let workers = names.iter().filter_map(|name| Some((name, fleet.faults(name)?.clone())));
        let executors = names.iter().filter_map(|name| Some((name, self.pool.faults(name)?)));
        Faults {
            table: self.table_gate.faults(),
            objects: self.objects_gate.faults(),
            instances: self.list_gate.faults(),
            workers: workers
                .filter(|(_, faults)| *faults != Default::default())
                .map(|(name, faults)| (name.clone(), faults))
                .collect(),
            executors: executors
                .filter(|(_, faults)| *faults != Default::default())
                .map(|(name, faults)| (name.clone(), faults))
                .collect(),
            jobs: fleet.failing_jobs().clone(),
        }
    }

    fn heal(&self, now: Time) {
        let faults = self.faults();
        self.table_gate.set(Default::default());
        self.objects_gate.set(Default::default());
        self.list_gate.set(Default::default());
        let mut fleet = lock(&self.fleet);
        fleet.set_objects_up(true);
        for name in faults.workers.keys() {
            fleet.set(now, name, Default::default());
        }
        for job in faults.jobs {
            fleet.set_job(job, false);
        }
        for name in faults.executors.keys() {
            self.pool.set(name, Default::default());
        }
    }

    fn names(&self, selects: impl Fn(&Instance) -> bool) -> Vec<String> {
        let list = lock(&self.list);
        let selected = list.present().filter(|instance| selects(instance));
        selected.map(|instance| instance.name.clone()).collect()
    }
}
