//! Drain, pause, crash and restart of entry instances.

use super::*;

impl Owned {
    pub(crate) fn drain(&mut self, env: &mut Environment, instance: usize) {
        env.in_rotation[instance] = false;
        self.instances[instance].draining = true;
        for shard in (0..SHARDS).filter(|shard| usize::from(*shard) % INSTANCES == instance) {
            let to = self.least_loaded(instance);
            self.assign_keys(env, shard, to);
        }
        self.handle(env, instance, Event::Drain);
        if self.instances[instance].alive {
            self.announce(env, instance);
        }
    }

    pub(crate) fn pause(&mut self, instance: usize) {
        self.instances[instance].paused = true;
    }

    pub(crate) fn resume(&mut self, env: &mut Environment, instance: usize) {
        self.instances[instance].paused = false;
        for event in std::mem::take(&mut self.instances[instance].inbox) {
            self.handle(env, instance, event);
        }
        self.handle(env, instance, Event::Tick);
    }

    /// Ends the process of an instance that has completed its drain.
    pub(super) fn exit(&mut self, env: &mut Environment, instance: usize) {
        self.stop(env, instance);
        self.deliver(env, instance, RESTART_MS, Delivery::Restart);
    }

    pub(super) fn stop(&mut self, env: &mut Environment, instance: usize) {
        let entry = &mut self.instances[instance];
        entry.alive = false;
        entry.incarnation += 1;
        for origin in std::mem::take(&mut entry.origins).into_values() {
            match origin.from {
                None => env.unknown(origin.call),
                Some((to, incarnation, call, attempt)) => {
                    let event = Event::PeerAnswered { call, attempt, answer: PeerAnswer::Unknown };
                    let delivery = Delivery::Event(Box::new(event));
                    env.schedule(
                        delay_ms(instance, to),
                        Action::Delivery { instance: to, incarnation, delivery },
                    );
                }
            }
        }
        for other in (0..INSTANCES).filter(|other| *other != instance) {
            let name = self.names.instances[instance].clone();
            self.handle(env, other, Event::PeerLost { name });
        }
    }

    pub(crate) fn crash(&mut self, env: &mut Environment, instance: usize) {
        env.in_rotation[instance] = false;
        self.stop(env, instance);
        let of_instance = |executor: &usize| self.owners[*executor] == Some(instance);
        let left: Vec<usize> = (0..EXECUTORS).filter(of_instance).collect();
        for executor in left {
            let to = self.least_loaded(instance);
            self.owners[executor] = Some(to);
            let in_progress = InProgress::Unknown;
            self.deliver(env, to, CRASH_DETECTION_MS, Delivery::Own { executor, in_progress });
        }
        if env.scenario.fault != Fault::DomainLost {
            self.deliver(env, instance, RESTART_MS, Delivery::Restart);
        }
    }

    pub(super) fn restart(&mut self, env: &mut Environment, instance: usize) {
        let incarnation = self.instances[instance].incarnation;
        self.instances[instance] = self.new_instance(env, instance, incarnation);
        self.initialize(env, instance);
        for other in 0..INSTANCES {
            if self.instances[other].alive {
                self.announce(env, other);
            }
        }
        env.in_rotation[instance] = true;
        for executor in (0..EXECUTORS).filter(|executor| initial_owner(*executor) == instance) {
            let Some(owner) = self.owners[executor].filter(|owner| *owner != instance) else {
                continue;
            };
            self.target_owner[executor] = Some(instance);
            let executor = self.names.executors[executor].clone();
            self.handle(env, owner, Event::ReleaseRequested { executor });
        }
    }
}
