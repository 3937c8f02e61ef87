//! Calls between entry instances, and the replies to them.

use super::*;

impl Owned {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn forward(
        &mut self,
        net: &mut Net,
        node: usize,
        (call, attempt): (CallId, Attempt),
        to: usize,
        deadline: Time,
        hops: u8,
        claimed: bool,
    ) {
        let life = self.nodes[node].life;
        if !self.nodes[to].up {
            let answer = PeerAnswer::NotSent;
            let event = Event::PeerAnswered { call, attempt, answer };
            return self.note(net, node, delay_ms(node, to), Note::Event(Box::new(event)));
        }
        let number = self.nodes[node].origins[&call].call;
        if net.calls[number as usize].measured {
            net.tally.forwards += 1;
        }
        net.message(1, REQUEST_BYTES);
        self.piggyback(net, node, to);
        let id = self.enter(to, Origin { call: number, from: Some((node, life, call, attempt)) });
        let call = self.call(net, id, number, deadline, hops, claimed);
        let event = Note::Event(Box::new(Event::Arrived(call)));
        self.note(net, to, delay_ms(node, to), event);
    }

    /// Sends the load of a node along with a call or an answer.
    pub(super) fn piggyback(&mut self, net: &mut Net, node: usize, to: usize) {
        let event = Event::PeerLoad {
            name: self.names.instances[node].clone(),
            service: self.names.service.clone(),
            load: self.nodes[node].router.load(&self.names.service),
        };
        self.note(net, to, delay_ms(node, to), Note::Event(Box::new(event)));
    }

    pub(super) fn enter(&mut self, node: usize, origin: Origin) -> CallId {
        let entry = &mut self.nodes[node];
        entry.next_id += 1;
        let id = CallId(entry.next_id);
        entry.origins.insert(id, origin);
        id
    }

    pub(super) fn call(
        &self,
        net: &Net,
        id: CallId,
        number: u32,
        deadline: Time,
        hops: u8,
        claimed: bool,
    ) -> Call {
        let entry = &net.calls[number as usize];
        let text = || Bytes::copy_from_slice(&number.to_be_bytes());
        Call {
            id,
            service: self.names.service.clone(),
            team: self.names.teams[entry.team].clone(),
            urgency: entry.urgency,
            deadline,
            idempotent: !entry.keyed,
            key: entry.keyed.then(|| Key { text: text(), digest: 0 }),
            claimed,
            hops,
        }
    }

    pub(super) fn reply(&mut self, net: &mut Net, node: usize, call: CallId, outcome: Outcome) {
        let Some(origin) = self.nodes[node].origins.get(&call).copied() else { return };
        let Some((to, life, call, attempt)) = origin.from else {
            self.nodes[node].origins.remove(&call);
            return match outcome {
                Outcome::Answered { .. } | Outcome::Repeat { .. } => net.answered(origin.call),
                Outcome::NotRun(Reason::StoreDown) => net.refused_key(origin.call),
                Outcome::NotRun(_) => net.refused(origin.call),
                Outcome::Unknown(_) => net.unknown(origin.call),
            };
        };
        let answer = match outcome {
            Outcome::Answered { .. } => PeerAnswer::Answered { status: 200 },
            Outcome::Repeat { .. } => PeerAnswer::Repeat { status: 200 },
            Outcome::NotRun(reason) => PeerAnswer::NotRun(reason),
            Outcome::Unknown(_) => PeerAnswer::Unknown,
        };
        net.message(1, ANSWER_BYTES);
        self.piggyback(net, node, to);
        let event = Event::PeerAnswered { call, attempt, answer };
        let note = Note::Event(Box::new(event));
        net.after(delay_ms(node, to), Item::Note { node: to, life, note });
    }
}
