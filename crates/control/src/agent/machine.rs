//! The agent: one event loop around the machines.

use bytes::Bytes;
use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Epoch;

use super::plane::Plane;
use super::{Command, Event, Out, Purpose, Settings, Status};
use crate::journal::{Kind, Need, Refused, Sequence};
use crate::ownership::{Place, Shard};
use crate::penalties::{Entry, Full, Misses};
use crate::session;
use crate::store::{Gate, State};

/// Shortest time between two ticks that an agent asks for.
const SHORTEST_SLEEP: Span = Span::from_ms(2);

/// The control plane of one entry instance.
#[derive(Debug)]
pub struct Agent {
    rng: Rng,
    gate: Gate<Purpose>,
    plane: Plane,
}

impl Agent {
    /// Returns the agent of an instance that starts.
    pub fn new(settings: Settings) -> Self {
        let mut rng = Rng::with_seed(settings.seed);
        let gate = Gate::new(&settings.budget);
        let plane = Plane::new(settings, &mut rng);
        Self { rng, gate, plane }
    }

    /// Takes an event and appends what is to be done to `commands`.
    ///
    /// After [`Command::Fenced`] the agent does nothing more.
    pub fn handle(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        if self.plane.is_fenced() {
            return;
        }
        let answer = match event {
            Event::Store { id, response } => {
                let purpose = self.gate.answered(now, id, &response, &mut self.rng);
                purpose.map(|purpose| (purpose, response))
            }
            event => {
                let (plane, mut out) = self.split(commands);
                plane.event(now, event, &mut out);
                None
            }
        };
        let (plane, mut out) = self.split(commands);
        if let Some((purpose, response)) = answer {
            plane.answer(now, purpose, response, &mut out);
        }
        if !plane.is_fenced() {
            plane.tick(now, &mut out);
            self.gate.pump(now, |id, request| commands.push(Command::Store { id, request }));
        }
    }

    /// Returns the instant by which [`Event::Tick`] is due.
    pub fn next_wake(&self, now: Time) -> Time {
        if self.plane.is_fenced() {
            return Time::MAX;
        }
        let plane = self.plane.next_wake(now);
        let wake = self.gate.next_wake(now).map_or(plane, |gate| gate.min(plane));
        wake.max(now + SHORTEST_SLEEP)
    }

    /// Appends a record of a shard that is at work here to the journal.
    ///
    /// The record lasts once [`Command::Durable`] has passed its sequence. An
    /// [`Event::Tick`] after the last of several records sends them together.
    ///
    /// # Errors
    ///
    /// A refused record is never written. With [`Need::Now`] it is refused at once
    /// while the store is down.
    pub fn append(
        &mut self,
        now: Time,
        shard: Shard,
        kind: Kind,
        bytes: Bytes,
        need: Need,
    ) -> Result<Sequence, Refused> {
        let store = self.gate.state(now);
        self.plane.append(shard, kind, bytes, need, store)
    }

    /// Counts a missed target, once.
    ///
    /// # Errors
    ///
    /// Fails where too many misses wait because the store has been down for long.
    pub fn miss(&mut self, entry: Entry) -> Result<(), Full> {
        self.plane.miss(entry)
    }

    /// Returns the misses that do not last yet, for the next incarnation to count.
    pub fn unsaved(&self) -> Misses {
        self.plane.unsaved()
    }

    /// Returns where a shard is at work as far as is known; the owner may have changed.
    pub fn place(&self, shard: Shard) -> Option<Place> {
        self.plane.place(shard)
    }

    /// Returns the epoch of a shard that is at work here.
    pub fn serving(&self, shard: Shard) -> Option<Epoch> {
        self.plane.serving(shard)
    }

    /// Returns the number of shards that the table says are owned here.
    pub fn held(&self) -> usize {
        self.plane.held()
    }

    /// Returns the session of this incarnation.
    pub const fn session(&self) -> &session::Name {
        self.plane.session()
    }

    /// Returns the state of the store, and so whether records can be made to last now.
    pub fn store(&self, now: Time) -> State {
        self.gate.state(now)
    }

    /// Returns what an operator sees.
    pub fn status(&self, now: Time) -> Status {
        self.plane.status(now, self.gate.state(now), self.gate.usage())
    }

    fn split<'a>(&'a mut self, commands: &'a mut Vec<Command>) -> (&'a mut Plane, Out<'a>) {
        let session = self.plane.session().clone();
        (&mut self.plane, Out { gate: &mut self.gate, commands, session })
    }
}
