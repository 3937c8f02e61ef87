//! Faults of processes, and the checks at the end of a run.

use super::*;

impl Cluster {
    pub(crate) fn pause(&mut self, instance: usize) {
        self.instances[instance].paused = true;
    }

    pub(crate) fn resume(&mut self, instance: usize) {
        let target = &mut self.instances[instance];
        target.paused = false;
        let outbox = std::mem::take(&mut target.outbox);
        for action in outbox {
            self.perform(action);
        }
        while let Some(event) = self.instances[instance].inbox.pop_front() {
            self.event(instance, event);
        }
        self.event(instance, Event::Tick);
    }

    /// Ends the process of an instance; other instances take over its executors and keys.
    pub(crate) fn crash(&mut self, instance: usize) {
        let live = self.instances.iter().filter(|instance| instance.router.is_some()).count();
        if live < 2 || self.instances[instance].router.is_none() {
            return;
        }
        self.instances[instance].router = None;
        self.instances[instance].paused = false;
        self.instances[instance].inbox.clear();
        self.instances[instance].outbox.clear();
        self.fail_peer_calls(instance);
        for executor in 0..self.executors.len() {
            if self.executors[executor].owner == Some(instance) {
                let to = self.any_live();
                let in_progress = InProgress::Unknown;
                self.schedule(
                    Span::from_ms(5),
                    Action::TakeOver { executor, instance: to, in_progress },
                );
                self.executors[executor].owner = None;
            }
        }
        for shard in 0..SHARDS {
            if self.key_owner.get(&shard).is_some_and(|(owner, _)| *owner == instance) {
                let to = self.any_live();
                self.schedule(Span::from_ms(5), Action::TakeKeys { shard, instance: to });
            }
        }
        for other in 0..self.instances.len() {
            self.event(other, Event::PeerLost { name: instance_name(instance) });
        }
    }

    pub(crate) fn fail_peer_calls(&mut self, instance: usize) {
        let origins = std::mem::take(&mut self.instances[instance].origins);
        for origin in origins.into_values() {
            if let Origin::Peer { instance, incarnation, call, attempt, .. } = origin {
                let event = Event::PeerAnswered { call, attempt, answer: PeerAnswer::Unknown };
                self.schedule(Span::from_ms(1), Action::Deliver(instance, incarnation, event));
            }
        }
    }

    pub(crate) fn restart(&mut self, instance: usize) {
        if self.instances[instance].router.is_some() {
            return;
        }
        let incarnation = self.instances[instance].incarnation + 1;
        self.instances[instance] = self.new_instance(instance, incarnation);
        self.initialize(instance);
        self.send_heartbeats();
    }

    pub(crate) fn release(&mut self, executor: usize) {
        if let Some(owner) = self.executors[executor].owner {
            self.event(owner, Event::ReleaseRequested { executor: executor_name(executor) });
        }
    }

    /// Starts to drain an instance, unless it is the last one that is not draining.
    pub(crate) fn drain(&mut self, instance: usize) {
        let staying = self
            .instances
            .iter()
            .filter(|instance| instance.router.is_some() && !instance.draining);
        if staying.count() < 2 {
            return;
        }
        self.instances[instance].draining = true;
        self.event(instance, Event::Drain);
    }

    /// Ends the process of an instance that has completed its drain.
    pub(crate) fn exit(&mut self, instance: usize) {
        let mut unseen = BTreeSet::new();
        for event in &self.instances[instance].inbox {
            if let Event::Arrived(call) = event {
                unseen.insert(call.id);
            }
        }
        for (call, origin) in &self.instances[instance].origins {
            let Origin::Caller(global_id) = origin else { continue };
            let issued = &self.issued[global_id];
            let ended = issued.abandoned || !issued.replies.is_empty() || unseen.contains(call);
            assert!(ended, "instance {instance} left while call {global_id} was in progress");
        }
        self.finished.insert(instance);
        self.log_line(|| format!("i{instance} has finished"));
        self.crash(instance);
    }

    pub(crate) fn owner(&self, executor: usize) -> Option<usize> {
        self.executors[executor].owner
    }

    pub(crate) fn move_keys(&mut self, shard: u16, instance: usize) {
        if self.instances[instance].router.is_some() {
            self.assign_keys(shard, instance);
        }
    }

    /// Notifies an instance that no shard of keys has an owner.
    pub(crate) fn remove_key_owner(&mut self, instance: usize) {
        for shard in 0..SHARDS {
            self.event(instance, Event::KeyOwnerChanged { shard: Shard(shard), owner: None });
        }
    }

    /// Ends all faults, advances until all calls have ended, and checks that each caller got
    /// one reply and no call is left in a router.
    pub(crate) fn settle(&mut self) {
        self.faults = Faults::default();
        for instance in 0..self.instances.len() {
            self.resume(instance);
        }
        self.advance(Span::from_secs(3));
        for (global_id, issued) in &self.issued {
            let alive = self.instances[issued.instance].incarnation == issued.incarnation
                && self.instances[issued.instance].router.is_some();
            if alive && !issued.abandoned {
                assert_eq!(issued.replies.len(), 1, "call {global_id} got no reply");
            }
        }
        for instance in &self.instances {
            let left = instance.router.as_ref().map_or(0, Router::in_progress);
            assert_eq!(left, 0, "calls were left in a router");
        }
    }
}
