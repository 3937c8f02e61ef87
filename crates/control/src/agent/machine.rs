//! The agent: runs the control plane and its store requests, one event at a time.

use bytes::Bytes;
use fastrand::Rng;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::Epoch;

use super::control_plane::ControlPlane;
use super::{Command, Event, Outbox, Purpose, Settings, Status};
use crate::journal::{AppendError, Durability, Kind, Sequence};
use crate::ownership::{KnownOwner, Shard};
use crate::penalties::{Miss, Misses, QueueFull};
use crate::session;
use crate::store::{RequestQueue, State};

/// Minimum time between two ticks that an agent requests.
const MIN_TICK_INTERVAL: Span = Span::from_ms(2);

/// Control plane of one entry instance.
#[derive(Debug)]
pub struct Agent {
    rng: Rng,
    queue: RequestQueue<Purpose>,
    control_plane: ControlPlane,
}

impl Agent {
    /// Creates the agent of a starting instance.
    pub fn new(settings: Settings) -> Self {
        let mut rng = Rng::with_seed(settings.seed);
        let queue = RequestQueue::new(&settings.budget);
        let control_plane = ControlPlane::new(settings, &mut rng);
        Self { rng, queue, control_plane }
    }

    /// Processes an event and appends the resulting commands to `commands`.
    ///
    /// After [`Command::Fenced`] the agent ignores all events.
    pub fn handle(&mut self, now: Time, event: Event, commands: &mut Vec<Command>) {
        if self.control_plane.is_fenced() {
            return;
        }
        let completed = match event {
            Event::Store { id, response } => {
                let purpose = self.queue.handle_response(now, id, &response, &mut self.rng);
                purpose.map(|purpose| (purpose, response))
            }
            event => {
                let (control_plane, mut out) = self.parts(commands);
                control_plane.handle_event(now, event, &mut out);
                None
            }
        };
        let (control_plane, mut out) = self.parts(commands);
        if let Some((purpose, response)) = completed {
            control_plane.handle_response(now, purpose, response, &mut out);
        }
        if !control_plane.is_fenced() {
            control_plane.tick(now, &mut out);
            self.queue.send_ready(now, |id, request| commands.push(Command::Store { id, request }));
        }
    }

    /// Returns the instant by which [`Event::Tick`] is due.
    pub fn next_wake(&self, now: Time) -> Time {
        if self.control_plane.is_fenced() {
            return Time::MAX;
        }
        let control_plane = self.control_plane.next_wake(now);
        let wake =
            self.queue.next_wake(now).map_or(control_plane, |queue| queue.min(control_plane));
        wake.max(now + MIN_TICK_INTERVAL)
    }

    /// Appends a record of a shard that this instance serves to the journal.
    ///
    /// The record is durable once [`Command::RecordsDurable`] has reached its sequence. To
    /// commit several records together, send [`Event::Tick`] after the last one.
    ///
    /// # Errors
    ///
    /// A refused record is never written. A record with [`Durability::Immediate`] is refused
    /// at once while the store is down.
    pub fn append(
        &mut self,
        now: Time,
        shard: Shard,
        kind: Kind,
        bytes: Bytes,
        durability: Durability,
    ) -> Result<Sequence, AppendError> {
        let store = self.queue.state(now);
        self.control_plane.append(shard, kind, bytes, durability, store)
    }

    /// Adds a missed target, unless it was already added.
    ///
    /// # Errors
    ///
    /// Fails if too many misses are waiting, which happens if the store is down for a
    /// long time.
    pub fn add_miss(&mut self, miss: Miss) -> Result<(), QueueFull> {
        self.control_plane.add_miss(miss)
    }

    /// Returns the misses that are not durable yet, so that the next incarnation can add
    /// them.
    pub fn pending_misses(&self) -> Misses {
        self.control_plane.pending_misses()
    }

    /// Returns the last known owner of a shard, which may be outdated.
    pub fn owner(&self, shard: Shard) -> Option<KnownOwner> {
        self.control_plane.owner(shard)
    }

    /// Returns the epoch of a shard, or `None` if this instance does not serve it.
    pub fn serving_epoch(&self, shard: Shard) -> Option<Epoch> {
        self.control_plane.serving_epoch(shard)
    }

    /// Returns the number of shards that this instance owns according to the table.
    pub fn owned_count(&self) -> usize {
        self.control_plane.owned_count()
    }

    /// Returns the session of this incarnation.
    pub const fn session(&self) -> &session::Name {
        self.control_plane.session()
    }

    /// Returns the state of the store. Records with [`Durability::Immediate`] are refused while it
    /// is down.
    pub fn store(&self, now: Time) -> State {
        self.queue.state(now)
    }

    /// Returns the status of the control plane for operators.
    pub fn status(&self, now: Time) -> Status {
        self.control_plane.status(now, self.queue.state(now), self.queue.usage())
    }

    fn parts<'a>(
        &'a mut self,
        commands: &'a mut Vec<Command>,
    ) -> (&'a mut ControlPlane, Outbox<'a>) {
        let session = self.control_plane.session().clone();
        (&mut self.control_plane, Outbox { queue: &mut self.queue, commands, session })
    }
}
