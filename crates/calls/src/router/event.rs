//! What a router is told.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{
    Attempt, CallId, DomainName, Epoch, ExecutorName, InstanceName, ServiceName, TeamName,
};
use sycamorerill_core::model::{Config, Urgency};
use sycamorerill_core::{data, value};

use super::{Load, Reason, Status};
use crate::keys;

data! {
    /// One executor as the platform's list names it.
    pub struct Executor {
        /// Name of the executor.
        pub name: ExecutorName,
        /// Service that it runs.
        pub service: ServiceName,
        /// Failure domain that it is in.
        pub domain: DomainName,
        /// Slots that it holds.
        pub slots: u32,
        /// Whether it is about to leave.
        pub leaving: bool,
    }
}

data! {
    /// One call, without its body.
    pub struct Call {
        /// Identity, unique within this entry instance.
        pub id: CallId,
        /// Service that is called.
        pub service: ServiceName,
        /// Team that is charged with the call.
        pub team: TeamName,
        /// Urgency of the call.
        pub urgency: Urgency,
        /// Instant by which the caller wants the whole answer.
        pub deadline: Time,
        /// Whether running the call twice is harmless.
        pub idempotent: bool,
        /// Idempotency key that the caller gave.
        pub key: Option<keys::Key>,
        /// Whether the owner of the key has journaled it for this very call.
        pub claimed: bool,
        /// Number of times that the call has been forwarded between entry instances.
        pub hops: u8,
    }
}

value! {
    /// Calls that a former owner left on an executor.
    pub enum InProgress {
        /// The former owner handed the slots over with this number of calls on them.
        Known(u32),
        /// The former owner is gone and any slot may be occupied.
        Unknown,
    }
}

value! {
    /// What came of a request to an executor.
    pub enum Answer {
        /// The executor's whole answer to this very request.
        Whole {
            /// Status of the answer; 500 and above counts as an error of the executor.
            status: u16,
        },
        /// The executor said that it refused the request before it ran.
        Refused,
        /// Not a byte of the request left this process.
        NotSent,
        /// The connection is closed without a whole answer; the request may be running.
        Unknown,
        /// No answer came within the time given with the send, which no run outlasts.
        Expired,
    }
}

value! {
    /// What came of a call that was forwarded to a peer.
    pub enum PeerAnswer {
        /// The peer returned the whole answer.
        Answered {
            /// Status of the answer.
            status: u16,
        },
        /// The peer returned the first answer to the key, which was given earlier.
        Repeat {
            /// Status of the answer.
            status: u16,
        },
        /// The peer says that the call did not run.
        NotRun(Reason),
        /// The peer says that it does not know, or its answer was lost.
        Unknown,
        /// Not a byte of the call left this process.
        NotSent,
    }
}

value! {
    /// Why a record could not be made to last.
    pub enum Refusal {
        /// The store cannot be reached, or its answer was lost.
        Down,
        /// The shard of the key has another owner now.
        Fenced,
    }
}

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Configured(Arc<Config>),
    /// The platform's list of executors was read. It lags, so it is a hint.
    Listed(Vec<Executor>),
    /// This entry instance owns the slots of the executor from now on.
    Owned {
        /// Executor whose slots are owned.
        executor: ExecutorName,
        /// Epoch of the ownership.
        epoch: Epoch,
        /// Calls that the former owner left.
        in_progress: InProgress,
    },
    /// This entry instance is asked to give the executor's slots up.
    Released {
        /// Executor to give up.
        executor: ExecutorName,
    },
    /// This entry instance owns a shard of keys; the records are its whole journal.
    KeysOwned {
        /// Shard that is owned.
        shard: keys::Shard,
        /// Journal of the former owners, oldest first.
        records: Vec<keys::Record>,
    },
    /// A shard of keys is owned by another entry instance, or by none.
    KeysMoved {
        /// Shard that is not owned here any more.
        shard: keys::Shard,
        /// Present owner, if there is one.
        owner: Option<InstanceName>,
    },
    /// A call came from a caller, or from a peer when its hops are above zero.
    Arrived(Call),
    /// The request of [`super::Command::Send`] came to an end; exactly once for each.
    Answered {
        /// Call that was sent.
        call: CallId,
        /// Attempt that was sent.
        attempt: Attempt,
        /// What came of it.
        answer: Answer,
    },
    /// The request of [`super::Command::Forward`] came to an end; exactly once for each.
    PeerAnswered {
        /// Call that was forwarded.
        call: CallId,
        /// Attempt that was forwarded.
        attempt: Attempt,
        /// What came of it.
        answer: PeerAnswer,
    },
    /// A heartbeat of a peer.
    Peer {
        /// Name of the peer.
        name: InstanceName,
        /// Failure domain of the peer.
        domain: DomainName,
        /// Load of the peer.
        status: Status,
    },
    /// The load of one service at a peer, which came along with a call or an answer.
    PeerLoad {
        /// Name of the peer.
        name: InstanceName,
        /// Service that the load is of.
        service: ServiceName,
        /// Load of the service there.
        load: Load,
    },
    /// A peer is not heard of any more.
    PeerGone {
        /// Name of the peer.
        name: InstanceName,
    },
    /// The record of [`super::Command::Journal`] lasts.
    KeyDurable {
        /// Call whose key was journaled.
        call: CallId,
    },
    /// The record of [`super::Command::Journal`] could not be made to last.
    KeyRefused {
        /// Call whose key was to be journaled.
        call: CallId,
        /// Why it could not be journaled.
        refusal: Refusal,
    },
    /// The probe of [`super::Command::Probe`] came to an end.
    Probed {
        /// Executor that was probed.
        executor: ExecutorName,
        /// Whether it answered well.
        healthy: bool,
        /// Time it took.
        latency: Span,
    },
    /// The caller went away and waits for no reply.
    Abandoned {
        /// Call that was abandoned.
        call: CallId,
    },
    /// The instant of [`super::Router::next_wake`] has come.
    Tick,
    /// The process is to leave: hand over what is owned and finish what is in progress.
    Drain,
}
