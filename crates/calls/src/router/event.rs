//! Events that a router handles.

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
    /// Executor in the list of the platform.
    pub struct Executor {
        /// Name of the executor.
        pub name: ExecutorName,
        /// Service that the executor runs.
        pub service: ServiceName,
        /// Failure domain of the executor.
        pub domain: DomainName,
        /// Number of slots, reduced by the router to the declared number if that is lower.
        pub slots: u32,
        /// Whether the executor is about to leave and must receive no further calls.
        pub leaving: bool,
    }
}

data! {
    /// Call without its body.
    pub struct Call {
        /// Identity of the call, unique within this entry instance.
        pub id: CallId,
        /// Service that is called.
        pub service: ServiceName,
        /// Team that is charged with the call.
        pub team: TeamName,
        /// Urgency of the call.
        pub urgency: Urgency,
        /// Time by which the caller needs the complete answer.
        pub deadline: Time,
        /// Whether the call may run more than once.
        pub idempotent: bool,
        /// Idempotency key that the caller sent, if any.
        pub key: Option<keys::Key>,
        /// Whether the owner of the key has already recorded it in the journal for this call.
        pub key_recorded: bool,
        /// Number of times that the call has been forwarded between entry instances.
        pub hops: u8,
    }
}

value! {
    /// Number of calls that a former owner left on an executor.
    pub enum InProgress {
        /// The former owner handed the slots over with this number of calls on them.
        Known(u32),
        /// The process of the former owner has ended and any slot may be occupied.
        Unknown,
    }
}

value! {
    /// Result of a request to an executor.
    pub enum SendOutcome {
        /// The executor returned its complete answer to this request.
        Complete {
            /// HTTP status of the answer; 500 and above counts as an error of the executor.
            status: u16,
        },
        /// The executor refused the request before it ran.
        Refused,
        /// No byte of the request left this process.
        NotSent,
        /// The connection closed without a complete answer; the request may still be running.
        Unknown,
        /// No answer arrived within the longest run that was given with the send, so the
        /// request is no longer running.
        TimedOut,
    }
}

value! {
    /// Result of a call that was forwarded to a peer.
    pub enum PeerAnswer {
        /// The peer returned the complete answer.
        Answered {
            /// Status of the answer.
            status: u16,
        },
        /// The peer returned the answer to the first call with the key.
        Repeat {
            /// Status of the answer.
            status: u16,
        },
        /// The peer reported that the call did not run.
        NotRun(Reason),
        /// The peer reported that it is unknown whether the call ran, or its answer was lost.
        Unknown,
        /// No byte of the call left this process.
        NotSent,
    }
}

value! {
    /// Reason why a record could not be made durable.
    pub enum KeyRecordError {
        /// The store is unreachable, or its answer was lost.
        Unavailable,
        /// The append was fenced, because the shard of the key has another owner.
        Fenced,
    }
}

/// Event that a router handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration took effect.
    Configured(Arc<Config>),
    /// The list of executors was read from the platform. The list may be out of date.
    ExecutorsListed(Vec<Executor>),
    /// This entry instance now owns the slots of the executor.
    ExecutorOwned {
        /// Executor whose slots are owned.
        executor: ExecutorName,
        /// Epoch of the ownership.
        epoch: Epoch,
        /// Number of calls that the former owner left.
        in_progress: InProgress,
    },
    /// This entry instance is asked to release the slots of the executor.
    ReleaseRequested {
        /// Executor to release.
        executor: ExecutorName,
    },
    /// This entry instance now owns a shard of keys.
    KeyShardOwned {
        /// Shard that is owned.
        shard: keys::Shard,
        /// Complete journal of the former owners, oldest first.
        records: Vec<keys::Record>,
    },
    /// A shard of keys is now owned by another entry instance, or by none.
    KeyOwnerChanged {
        /// Shard that this entry instance does not own, or no longer owns.
        shard: keys::Shard,
        /// Current owner, if any.
        owner: Option<InstanceName>,
    },
    /// A call arrived from a caller, or from a peer if its number of hops is above zero.
    Arrived(Call),
    /// The request of a [`super::Command::Send`] ended; reported exactly once for each.
    Answered {
        /// Call that was sent.
        call: CallId,
        /// Attempt that was sent.
        attempt: Attempt,
        /// Result of the attempt.
        answer: SendOutcome,
    },
    /// The request of a [`super::Command::Forward`] ended; reported exactly once for each.
    PeerAnswered {
        /// Call that was forwarded.
        call: CallId,
        /// Attempt that was forwarded.
        attempt: Attempt,
        /// Result of the attempt.
        answer: PeerAnswer,
    },
    /// A heartbeat of a peer arrived.
    PeerHeartbeat {
        /// Name of the peer.
        name: InstanceName,
        /// Failure domain of the peer.
        domain: DomainName,
        /// Load of the peer.
        status: Status,
    },
    /// The load of one service at a peer arrived with a call or an answer.
    PeerLoad {
        /// Name of the peer.
        name: InstanceName,
        /// Service that the load describes.
        service: ServiceName,
        /// Load of the service at the peer.
        load: Load,
    },
    /// A peer has left or is considered lost.
    PeerLost {
        /// Name of the peer.
        name: InstanceName,
    },
    /// The record of a [`super::Command::Journal`] is durable.
    KeyDurable {
        /// Call whose key was recorded.
        call: CallId,
    },
    /// The record of a [`super::Command::Journal`] could not be made durable.
    KeyNotDurable {
        /// Call whose key was not recorded.
        call: CallId,
        /// Reason why the record could not be made durable.
        error: KeyRecordError,
    },
    /// The probe of a [`super::Command::Probe`] ended.
    Probed {
        /// Executor that was probed.
        executor: ExecutorName,
        /// Whether the probe succeeded.
        healthy: bool,
        /// Duration of the probe.
        latency: Span,
    },
    /// The caller disconnected and no longer waits for a reply.
    Abandoned {
        /// Call that was abandoned.
        call: CallId,
    },
    /// The time of [`super::Router::next_wake`] has been reached.
    Tick,
    /// The process is shutting down: hand over owned executors and finish the calls in
    /// progress.
    Drain,
}
