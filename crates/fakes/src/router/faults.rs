//! Sets faults and reports those that are set.

use sycamorerill_clients::instances::Instance;
use sycamorerill_core::clock::Time;

use super::{Router, lock};
use crate::faults::{Fault, Faults};

impl Router {
    /// Replaces the faults of a part of the platform.
    pub(crate) fn set_fault(&self, fault: Fault) {
        let now = self.clock.now();
        match fault {
            Fault::Table(faults) => self.table_injector.set_faults(faults),
            Fault::Objects(faults) => {
                lock(&self.workers).set_objects_up(!faults.down && !faults.hang);
                self.objects_injector.set_faults(faults);
            }
            Fault::Instances(faults) => self.list_injector.set_faults(faults),
            Fault::Workers { select, faults } => {
                let names = self.instance_names(|instance| select.matches(instance));
                let mut pool = lock(&self.workers);
                names.iter().for_each(|name| pool.set_faults(now, name, faults.clone()));
            }
            Fault::Executors { select, faults } => {
                let names = self.instance_names(|instance| select.matches(instance));
                names.iter().for_each(|name| self.executors.set_faults(name, faults.clone()));
            }
            Fault::Job { name, fails } => lock(&self.workers).set_job_fails(name, fails),
            Fault::None => self.clear_faults(now),
        }
    }

    /// Returns the faults that are set.
    pub(crate) fn faults(&self) -> Faults {
        let names = self.instance_names(|_| true);
        let pool = lock(&self.workers);
        let workers = names.iter().filter_map(|name| Some((name, pool.faults(name)?.clone())));
        let executors = names.iter().filter_map(|name| Some((name, self.executors.faults(name)?)));
        Faults {
            table: self.table_injector.faults(),
            objects: self.objects_injector.faults(),
            instances: self.list_injector.faults(),
            workers: workers
                .filter(|(_, faults)| *faults != Default::default())
                .map(|(name, faults)| (name.clone(), faults))
                .collect(),
            executors: executors
                .filter(|(_, faults)| *faults != Default::default())
                .map(|(name, faults)| (name.clone(), faults))
                .collect(),
            jobs: pool.failing_jobs().clone(),
        }
    }

    fn clear_faults(&self, now: Time) {
        let faults = self.faults();
        self.table_injector.set_faults(Default::default());
        self.objects_injector.set_faults(Default::default());
        self.list_injector.set_faults(Default::default());
        let mut pool = lock(&self.workers);
        pool.set_objects_up(true);
        for name in faults.workers.keys() {
            pool.set_faults(now, name, Default::default());
        }
        for job in faults.jobs {
            pool.set_job_fails(job, false);
        }
        for name in faults.executors.keys() {
            self.executors.set_faults(name, Default::default());
        }
    }

    /// Returns the names of the current instances for which `matches` holds.
    fn instance_names(&self, matches: impl Fn(&Instance) -> bool) -> Vec<String> {
        let list = lock(&self.list);
        let selected = list.current().filter(|instance| matches(instance));
        selected.map(|instance| instance.name.clone()).collect()
    }
}
