//! Carries the commands of the routers out.

use super::*;

impl World {
    pub(crate) fn carry_out(&mut self, node: usize, command: Command) {
        let incarnation = self.nodes[node].incarnation;
        match command {
            Command::Send { call, attempt, executor, longest_run, .. } => {
                let global = self.nodes[node].origins[&call].global();
                let executor = executor_number(&executor);
                let request =
                    Request { node, incarnation, call, attempt, global, executor, longest_run };
                self.schedule(Span::ZERO, Item::Write(request));
            }
            Command::Forward { call, attempt, peer, deadline, hops, claimed } => {
                self.forward(node, call, attempt, &peer, deadline, hops, claimed);
            }
            Command::Reply { call, outcome } => self.reply(node, call, outcome),
            Command::Journal { call, record } => {
                let after = self.hop();
                self.schedule(after, Item::Append { node, incarnation, call, record });
            }
            Command::Probe { executor } => {
                self.note(|| format!("i{node} probes {executor}"));
                let latency = Span::from_ms(1);
                let event = Event::Probed { executor, healthy: true, latency };
                self.schedule(latency, Item::Deliver(node, incarnation, event));
            }
            Command::Drained { executor, in_progress } => {
                self.drained(executor_number(&executor), node, in_progress);
            }
            Command::Finished => self.leave(node),
            Command::Announce => self.beat(node),
            Command::Forget { .. } | Command::Decision(_) => {}
        }
    }

    pub(crate) fn drained(&mut self, executor: usize, node: usize, in_progress: u32) {
        assert_eq!(self.sites[executor].owner, Some(node), "handed over by another");
        self.note(|| format!("i{node} hands x{executor} over, {in_progress} in progress"));
        let others: Vec<usize> = (0..self.nodes.len())
            .filter(|other| *other != node && self.nodes[*other].router.is_some())
            .filter(|other| !self.nodes[*other].draining)
            .collect();
        let node = self.rng.choice(others).unwrap_or(node);
        let in_progress = InProgress::Known(in_progress);
        self.sites[executor].owner = None;
        self.moving.insert(executor);
        self.schedule(Span::from_ms(2), Item::TakeOver { executor, node, in_progress });
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn forward(
        &mut self,
        node: usize,
        call: CallId,
        attempt: Attempt,
        peer: &InstanceName,
        deadline: Time,
        hops: u8,
        claimed: bool,
    ) {
        let incarnation = self.nodes[node].incarnation;
        let global = self.nodes[node].origins[&call].global();
        self.note(|| format!("i{node} forwards c{global} to {peer}"));
        let to: usize = peer.as_str()[1..].parse().unwrap();
        if self.nodes[to].router.is_none() {
            let answer = PeerAnswer::NotSent;
            let event = Event::PeerAnswered { call, attempt, answer };
            return self.schedule(Span::ZERO, Item::Deliver(node, incarnation, event));
        }
        self.tell_load(node, to);
        let origin = Origin::Peer { node, incarnation, call, attempt, global };
        let issued = self.issued[&global].clone();
        let id = self.enter(to, origin);
        let event = Event::Arrived(self.call(id, &issued, deadline, hops, claimed));
        let to_incarnation = self.nodes[to].incarnation;
        let after = self.hop();
        self.schedule(after, Item::Deliver(to, to_incarnation, event));
    }

    /// Sends the load of a node along with a call or an answer.
    fn tell_load(&mut self, node: usize, to: usize) {
        let Some(router) = &self.nodes[node].router else { return };
        let service = name("quote");
        let load = router.load(&service);
        let event = Event::PeerLoad { name: instance_name(node), service, load };
        let incarnation = self.nodes[to].incarnation;
        let after = self.hop();
        self.schedule(after, Item::Deliver(to, incarnation, event));
    }

    pub(crate) fn enter(&mut self, node: usize, origin: Origin) -> CallId {
        let target = &mut self.nodes[node];
        target.next_call += 1;
        let id = CallId(target.incarnation * 1_000_000 + target.next_call);
        target.origins.insert(id, origin);
        id
    }

    pub(crate) fn call(
        &self,
        id: CallId,
        issued: &Issued,
        deadline: Time,
        hops: u8,
        claimed: bool,
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
            claimed,
            hops,
        }
    }

    /// A caller sends a call to a node; returns its number.
    pub(crate) fn issue(&mut self, node: usize, idempotent: bool, key: Option<u8>) -> Option<u64> {
        self.nodes[node].router.as_ref()?;
        self.issued_count += 1;
        let global = self.issued_count;
        let incarnation = self.nodes[node].incarnation;
        let issued = Issued {
            node,
            incarnation,
            idempotent,
            key: key.filter(|_| !idempotent),
            runs: 0,
            replies: Vec::new(),
            abandoned: false,
            at: self.now,
            superseded: false,
        };
        self.issued.insert(global, issued.clone());
        let id = self.enter(node, Origin::Caller(global));
        let call = self.call(id, &issued, self.now + Span::from_ms(250), 0, false);
        self.event(node, Event::Arrived(call));
        Some(global)
    }

    pub(crate) fn abandon(&mut self, global: u64) {
        let Some(issued) = self.issued.get_mut(&global) else { return };
        issued.abandoned = true;
        let node = issued.node;
        let mut calls = self.nodes[node].origins.iter();
        let found =
            calls.find(|(_, origin)| matches!(origin, Origin::Caller(found) if *found == global));
        if let Some(call) = found.map(|(call, _)| *call) {
            self.event(node, Event::Abandoned { call });
        }
    }

    pub(crate) fn reply(&mut self, node: usize, call: CallId, outcome: Outcome) {
        self.note_superseded(node, call);
        let from = node;
        match self.nodes[node].origins[&call].clone() {
            Origin::Caller(global) => self.tell(global, outcome),
            Origin::Peer { node, incarnation, call, attempt, .. } => {
                let answer = match outcome {
                    Outcome::Answered { .. } => PeerAnswer::Answered { status: 200 },
                    Outcome::Repeat { .. } => PeerAnswer::Repeat { status: 200 },
                    Outcome::NotRun(reason) => PeerAnswer::NotRun(reason),
                    Outcome::Unknown(_) => PeerAnswer::Unknown,
                };
                self.tell_load(from, node);
                let event = Event::PeerAnswered { call, attempt, answer };
                let after = self.hop();
                self.schedule(after, Item::Deliver(node, incarnation, event));
            }
        }
    }

    pub(crate) fn note_superseded(&mut self, node: usize, call: CallId) {
        let global = self.nodes[node].origins[&call].global();
        let Some(issued) = self.issued.get_mut(&global) else { return };
        let Some(key) = issued.key else { return };
        let shard = key_of(key).shard(SHARDS).0;
        let present = (node, self.nodes[node].incarnation);
        let believes = self.nodes[node].believes.contains(&shard);
        issued.superseded |= believes && self.key_owner.get(&shard) != Some(&present);
    }

    pub(crate) fn tell(&mut self, global: u64, outcome: Outcome) {
        let Some(issued) = self.issued.get_mut(&global) else { return };
        issued.replies.push(outcome);
        self.note(|| format!("c{global} is told {}", text(outcome)));
        let Some(issued) = self.issued.get(&global) else { return };
        assert!(issued.replies.len() == 1, "call {global} got {:?}", issued.replies);
        if let Outcome::NotRun(reason) = outcome {
            assert_eq!(issued.runs, 0, "call {global} was told not run: {reason}");
            let ran = issued.key.and_then(|key| self.key_runs.get(&key));
            let earlier = ran.is_some_and(|at| *at < issued.at);
            let excused = reason == Reason::StoreDown && issued.superseded;
            assert!(!earlier || excused, "key of call {global} ran, told not run: {reason}");
        }
    }

    pub(crate) fn not_run_reason(&self, global: u64) -> Option<Reason> {
        match self.issued[&global].replies.first() {
            Some(Outcome::NotRun(reason)) => Some(*reason),
            _ => None,
        }
    }
}

fn text(outcome: Outcome) -> String {
    match outcome {
        Outcome::Answered { .. } => "the answer".to_owned(),
        Outcome::NotRun(reason) => format!("not run: {reason}"),
        Outcome::Unknown(reason) => format!("unknown: {reason}"),
        Outcome::Repeat { .. } => "the first answer".to_owned(),
    }
}
