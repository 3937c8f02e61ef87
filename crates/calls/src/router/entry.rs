//! Calls that have not ended and the requests in flight.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::InstanceName;

use super::timer::Timer;
use super::{Call, Reason};
use crate::fleet::Index;
use crate::queue::FlowId;

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The record of its key is being written to the journal.
    Journaling,
    /// The call waits for the end of the first call with its key.
    AwaitingFirst,
    /// The call waits until the shard of its key has a reachable owner.
    AwaitingKeyOwner,
    /// The call is in the queue.
    Queued { flow: FlowId, seq: u64 },
    /// A request is in flight.
    Sent,
    /// The caller received a reply or disconnected, and a request may still be in flight.
    Replied,
}

/// Call that has not ended, with the state of its attempts and its key.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) call: Call,
    pub(crate) state: State,
    /// Attempts so far, sent or forwarded.
    pub(crate) attempts: u64,
    /// Requests in flight.
    pub(crate) in_flight: u32,
    /// Whether the local ledger holds the key for this call.
    pub(crate) holds_key: bool,
    /// Whether the record that begins the call is durable.
    pub(crate) durable: bool,
    /// Whether an attempt may have run without its answer having arrived.
    pub(crate) may_have_run: bool,
    /// Whether the call was charged to its flow; each call is charged once.
    pub(crate) charged: bool,
    /// Executor of the last attempt, which a retry avoids if there is another.
    pub(crate) last_executor: Option<Index>,
    /// The only timer of the call apart from a planned hedge.
    pub(crate) timer: Option<(Time, Timer)>,
    /// Reason why the last attempt did not run.
    pub(crate) not_run_reason: Option<Reason>,
}

impl Entry {
    pub(crate) fn new(call: Call) -> Self {
        Self {
            call,
            state: State::Sent,
            attempts: 0,
            in_flight: 0,
            holds_key: false,
            durable: false,
            may_have_run: false,
            charged: false,
            last_executor: None,
            timer: None,
            not_run_reason: None,
        }
    }

    /// Returns whether the call must not run twice and its key is not yet recorded for it.
    pub(crate) fn needs_key(&self) -> bool {
        !self.call.idempotent && !self.call.key_recorded && self.call.key.is_some()
    }
}

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Executor(Index),
    Peer(InstanceName),
}

/// Request in flight.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) target: Target,
    pub(crate) sent: Time,
}
