//! Forwarded calls between entry instances, and their replies.

use super::*;

impl Owned {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn forward(
        &mut self,
        env: &mut Environment,
        instance: usize,
        (call, attempt): (CallId, Attempt),
        to: usize,
        deadline: Time,
        hops: u8,
        key_recorded: bool,
    ) {
        let incarnation = self.instances[instance].incarnation;
        if !self.instances[to].alive {
            let answer = PeerAnswer::NotSent;
            let event = Event::PeerAnswered { call, attempt, answer };
            return self.deliver(
                env,
                instance,
                delay_ms(instance, to),
                Delivery::Event(Box::new(event)),
            );
        }
        let number = self.instances[instance].origins[&call].call;
        if env.calls[number as usize].measured {
            env.stats.forwards += 1;
        }
        env.record_messages(1, REQUEST_BYTES);
        self.send_load(env, instance, to);
        let id = self.add_origin(
            to,
            Origin { call: number, from: Some((instance, incarnation, call, attempt)) },
        );
        let call = self.call(env, id, number, deadline, hops, key_recorded);
        let event = Delivery::Event(Box::new(Event::Arrived(call)));
        self.deliver(env, to, delay_ms(instance, to), event);
    }

    /// Sends the load of an instance with a call or an answer.
    pub(super) fn send_load(&mut self, env: &mut Environment, instance: usize, to: usize) {
        let event = Event::PeerLoad {
            name: self.names.instances[instance].clone(),
            service: self.names.service.clone(),
            load: self.instances[instance].router.load(&self.names.service),
        };
        self.deliver(env, to, delay_ms(instance, to), Delivery::Event(Box::new(event)));
    }

    pub(super) fn add_origin(&mut self, instance: usize, origin: Origin) -> CallId {
        let entry = &mut self.instances[instance];
        entry.next_id += 1;
        let id = CallId(entry.next_id);
        entry.origins.insert(id, origin);
        id
    }

    pub(super) fn call(
        &self,
        env: &Environment,
        id: CallId,
        number: u32,
        deadline: Time,
        hops: u8,
        key_recorded: bool,
    ) -> Call {
        let entry = &env.calls[number as usize];
        let text = || Bytes::copy_from_slice(&number.to_be_bytes());
        Call {
            id,
            service: self.names.service.clone(),
            team: self.names.teams[entry.team].clone(),
            urgency: entry.urgency,
            deadline,
            idempotent: !entry.keyed,
            key: entry.keyed.then(|| Key { text: text(), digest: 0 }),
            key_recorded,
            hops,
        }
    }

    pub(super) fn reply(
        &mut self,
        env: &mut Environment,
        instance: usize,
        call: CallId,
        outcome: Outcome,
    ) {
        let Some(origin) = self.instances[instance].origins.get(&call).copied() else { return };
        let Some((to, incarnation, call, attempt)) = origin.from else {
            self.instances[instance].origins.remove(&call);
            return match outcome {
                Outcome::Answered { .. } | Outcome::Repeat { .. } => env.answered(origin.call),
                Outcome::NotRun(Reason::StoreDown) => env.refused_key(origin.call),
                Outcome::NotRun(_) => env.refused(origin.call),
                Outcome::Unknown(_) => env.unknown(origin.call),
            };
        };
        let answer = match outcome {
            Outcome::Answered { .. } => PeerAnswer::Answered { status: 200 },
            Outcome::Repeat { .. } => PeerAnswer::Repeat { status: 200 },
            Outcome::NotRun(reason) => PeerAnswer::NotRun(reason),
            Outcome::Unknown(_) => PeerAnswer::Unknown,
        };
        env.record_messages(1, ANSWER_BYTES);
        self.send_load(env, instance, to);
        let event = Event::PeerAnswered { call, attempt, answer };
        let delivery = Delivery::Event(Box::new(event));
        env.schedule(
            delay_ms(instance, to),
            Action::Delivery { instance: to, incarnation, delivery },
        );
    }
}
