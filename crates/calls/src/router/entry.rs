//! Calls that have not come to an end and the requests that are out.

use sycamorerill_core::clock::Time;
use sycamorerill_core::id::InstanceName;

use super::wake::Timer;
use super::{Call, Reason};
use crate::fleet::Index;
use crate::queue::FlowId;

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Its key is being made to last.
    Journaling,
    /// It waits for the end of the first call with its key.
    Following,
    /// Its key has no owner that can be reached just now.
    Seeking,
    /// It is in the queue.
    Waiting { flow: FlowId, seq: u64 },
    /// A request is out.
    Sent,
    /// Its caller was told, or went away, and a request is still out.
    Told,
}

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) call: Call,
    pub(crate) state: State,
    pub(crate) attempts: u64,
    /// Requests that are out.
    pub(crate) open: u32,
    /// Whether the ledger holds the key for this call.
    pub(crate) keyed: bool,
    /// Whether the record that begins the key is known to last.
    pub(crate) durable: bool,
    /// Whether an attempt may have run without its answer being here.
    pub(crate) may_have_run: bool,
    /// Whether the call was charged to its flow.
    pub(crate) charged: bool,
    /// Executor of the last attempt, which is not chosen again if there is another.
    pub(crate) avoid: Option<Index>,
    pub(crate) timer: Option<(Time, Timer)>,
    /// Why the last attempt did not run.
    pub(crate) refusal: Option<Reason>,
}

impl Entry {
    pub(crate) fn new(call: Call) -> Self {
        Self {
            call,
            state: State::Sent,
            attempts: 0,
            open: 0,
            keyed: false,
            durable: false,
            may_have_run: false,
            charged: false,
            avoid: None,
            timer: None,
            refusal: None,
        }
    }

    /// Reports whether the call is one that must not run twice and has a key to see to it.
    pub(crate) fn needs_key(&self) -> bool {
        !self.call.idempotent && !self.call.claimed && self.call.key.is_some()
    }
}

/// Where a request went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Executor(Index),
    Peer(InstanceName),
}

/// A request that is out.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) target: Target,
    pub(crate) sent: Time,
}
