//! Execution of the commands of the routers.

use super::*;

impl Cluster {
    pub(crate) fn execute(&mut self, instance: usize, command: Command) {
        let incarnation = self.instances[instance].incarnation;
        match command {
            Command::Send { call, attempt, executor, longest_run, .. } => {
                let global_id = self.instances[instance].origins[&call].global_id();
                let executor = executor_number(&executor);
                let request = Request {
                    instance,
                    incarnation,
                    call,
                    attempt,
                    global_id,
                    executor,
                    longest_run,
                };
                self.schedule(Span::ZERO, Action::Write(request));
            }
            Command::Forward { call, attempt, peer, deadline, hops, key_recorded } => {
                self.forward(instance, call, attempt, &peer, deadline, hops, key_recorded);
            }
            Command::Reply { call, outcome } => self.reply(instance, call, outcome),
            Command::Journal { call, record } => {
                let after = self.network_delay();
                self.schedule(after, Action::Append { instance, incarnation, call, record });
            }
            Command::Probe { executor } => {
                self.log_line(|| format!("i{instance} probes {executor}"));
                let latency = Span::from_ms(1);
                let event = Event::Probed { executor, healthy: true, latency };
                self.schedule(latency, Action::Deliver(instance, incarnation, event));
            }
            Command::HandOver { executor, in_progress } => {
                self.hand_over(executor_number(&executor), instance, in_progress);
            }
            Command::DrainComplete => self.exit(instance),
            Command::Announce => self.send_heartbeat(instance),
            Command::DropAnswer { .. } | Command::Decision(_) => {}
        }
    }

    pub(crate) fn hand_over(&mut self, executor: usize, instance: usize, in_progress: u32) {
        assert_eq!(
            self.executors[executor].owner,
            Some(instance),
            "handed over by an instance that does not own it"
        );
        self.log_line(|| format!("i{instance} hands over x{executor}, {in_progress} in progress"));
        let others: Vec<usize> = (0..self.instances.len())
            .filter(|other| *other != instance && self.instances[*other].router.is_some())
            .filter(|other| !self.instances[*other].draining)
            .collect();
        let instance = self.rng.choice(others).unwrap_or(instance);
        let in_progress = InProgress::Known(in_progress);
        self.executors[executor].owner = None;
        self.moving.insert(executor);
        self.schedule(Span::from_ms(2), Action::TakeOver { executor, instance, in_progress });
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn forward(
        &mut self,
        instance: usize,
        call: CallId,
        attempt: Attempt,
        peer: &InstanceName,
        deadline: Time,
        hops: u8,
        key_recorded: bool,
    ) {
        let incarnation = self.instances[instance].incarnation;
        let global_id = self.instances[instance].origins[&call].global_id();
        self.log_line(|| format!("i{instance} forwards c{global_id} to {peer}"));
        let to: usize = peer.as_str()[1..].parse().unwrap();
        if self.instances[to].router.is_none() {
            let answer = PeerAnswer::NotSent;
            let event = Event::PeerAnswered { call, attempt, answer };
            return self.schedule(Span::ZERO, Action::Deliver(instance, incarnation, event));
        }
        self.send_load(instance, to);
        let origin = Origin::Peer { instance, incarnation, call, attempt, global_id };
        let issued = self.issued[&global_id].clone();
        let id = self.add_origin(to, origin);
        let event = Event::Arrived(self.call(id, &issued, deadline, hops, key_recorded));
        let to_incarnation = self.instances[to].incarnation;
        let after = self.network_delay();
        self.schedule(after, Action::Deliver(to, to_incarnation, event));
    }

    /// Sends the load of an instance with a call or an answer.
    fn send_load(&mut self, instance: usize, to: usize) {
        let Some(router) = &self.instances[instance].router else { return };
        let service = name("quote");
        let load = router.load(&service);
        let event = Event::PeerLoad { name: instance_name(instance), service, load };
        let incarnation = self.instances[to].incarnation;
        let after = self.network_delay();
        self.schedule(after, Action::Deliver(to, incarnation, event));
    }

    pub(crate) fn add_origin(&mut self, instance: usize, origin: Origin) -> CallId {
        let target = &mut self.instances[instance];
        target.next_call += 1;
        let id = CallId(target.incarnation * 1_000_000 + target.next_call);
        target.origins.insert(id, origin);
        id
    }

    pub(crate) fn call(
        &self,
        id: CallId,
        issued: &IssuedCall,
        deadline: Time,
        hops: u8,
        key_recorded: bool,
    ) -> Call {
        let key = issued.key.map(key_of);
        Call {
            id,
            service: name("quote"),
            team: name("desk"),
            urgency: Urgency::Normal,
            deadline,
            idempotent: issued.idempotent,
            key,
            key_recorded,
            hops,
        }
    }

    /// Issues a call from a caller to an instance; returns the number of the call, or `None` if
    /// the process of the instance has ended.
    pub(crate) fn issue(
        &mut self,
        instance: usize,
        idempotent: bool,
        key: Option<u8>,
    ) -> Option<u64> {
        self.instances[instance].router.as_ref()?;
        self.issued_count += 1;
        let global_id = self.issued_count;
        let incarnation = self.instances[instance].incarnation;
        let issued = IssuedCall {
            instance,
            incarnation,
            idempotent,
            key: key.filter(|_| !idempotent),
            runs: 0,
            replies: Vec::new(),
            abandoned: false,
            at: self.now,
            superseded: false,
        };
        self.issued.insert(global_id, issued.clone());
        let id = self.add_origin(instance, Origin::Caller(global_id));
        let call = self.call(id, &issued, self.now + Span::from_ms(250), 0, false);
        self.event(instance, Event::Arrived(call));
        Some(global_id)
    }

    pub(crate) fn abandon(&mut self, global_id: u64) {
        let Some(issued) = self.issued.get_mut(&global_id) else { return };
        issued.abandoned = true;
        let instance = issued.instance;
        let mut calls = self.instances[instance].origins.iter();
        let found = calls
            .find(|(_, origin)| matches!(origin, Origin::Caller(found) if *found == global_id));
        if let Some(call) = found.map(|(call, _)| *call) {
            self.event(instance, Event::Abandoned { call });
        }
    }

    pub(crate) fn reply(&mut self, instance: usize, call: CallId, outcome: Outcome) {
        self.mark_superseded(instance, call);
        let from = instance;
        match self.instances[instance].origins[&call].clone() {
            Origin::Caller(global_id) => self.record_reply(global_id, outcome),
            Origin::Peer { instance, incarnation, call, attempt, .. } => {
                let answer = match outcome {
                    Outcome::Answered { .. } => PeerAnswer::Answered { status: 200 },
                    Outcome::Repeat { .. } => PeerAnswer::Repeat { status: 200 },
                    Outcome::NotRun(reason) => PeerAnswer::NotRun(reason),
                    Outcome::Unknown(_) => PeerAnswer::Unknown,
                };
                self.send_load(from, instance);
                let event = Event::PeerAnswered { call, attempt, answer };
                let after = self.network_delay();
                self.schedule(after, Action::Deliver(instance, incarnation, event));
            }
        }
    }

    pub(crate) fn mark_superseded(&mut self, instance: usize, call: CallId) {
        let global_id = self.instances[instance].origins[&call].global_id();
        let Some(issued) = self.issued.get_mut(&global_id) else { return };
        let Some(key) = issued.key else { return };
        let shard = key_of(key).shard(SHARDS).0;
        let present = (instance, self.instances[instance].incarnation);
        let assumed = self.instances[instance].assumed_shards.contains(&shard);
        issued.superseded |= assumed && self.key_owner.get(&shard) != Some(&present);
    }

    pub(crate) fn record_reply(&mut self, global_id: u64, outcome: Outcome) {
        let Some(issued) = self.issued.get_mut(&global_id) else { return };
        issued.replies.push(outcome);
        self.log_line(|| format!("c{global_id} receives {}", describe(outcome)));
        let Some(issued) = self.issued.get(&global_id) else { return };
        assert!(issued.replies.len() == 1, "call {global_id} got {:?}", issued.replies);
        if let Outcome::NotRun(reason) = outcome {
            assert_eq!(issued.runs, 0, "call {global_id} ran, reply was not run: {reason}");
            let ran = issued.key.and_then(|key| self.key_runs.get(&key));
            let earlier = ran.is_some_and(|at| *at < issued.at);
            let excused = reason == Reason::StoreDown && issued.superseded;
            assert!(
                !earlier || excused,
                "key of call {global_id} ran, reply was not run: {reason}"
            );
        }
    }

    pub(crate) fn not_run_reason(&self, global_id: u64) -> Option<Reason> {
        match self.issued[&global_id].replies.first() {
            Some(Outcome::NotRun(reason)) => Some(*reason),
            _ => None,
        }
    }
}

fn describe(outcome: Outcome) -> String {
    match outcome {
        Outcome::Answered { .. } => "the answer".to_owned(),
        Outcome::NotRun(reason) => format!("not run: {reason}"),
        Outcome::Unknown(reason) => format!("unknown: {reason}"),
        Outcome::Repeat { .. } => "the first answer".to_owned(),
    }
}
