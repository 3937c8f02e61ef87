//! Commands of a router to the daemon.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, ExecutorName, InstanceName};
use sycamorerill_core::{data, value};

use crate::keys;

value! {
    /// Reason why a call did not run, or why it is unknown whether it ran.
    pub enum Reason {
        /// The configuration names no such service.
        UnknownService,
        /// The call is estimated to end after its deadline.
        Deadline,
        /// The queue of the team and urgency is full.
        Overload,
        /// No executor of the service can be reached.
        NoExecutor,
        /// The executor refused the request before it ran.
        Refused,
        /// The request could not be sent.
        NotSent,
        /// The key could not be written to the journal.
        StoreDown,
        /// No instance currently owns the shard of the key.
        NoKeyOwner,
        /// The ledger holds its largest number of keys.
        KeysFull,
        /// The key was used before with a different request.
        KeyReused,
        /// The first call with the key is still in progress.
        KeyInProgress,
        /// The first call with the key ended, and whether it ran is unknown.
        KeyEndUnknown,
        /// The answer was lost or incomplete.
        AnswerLost,
        /// No answer arrived before the deadline.
        NoAnswer,
        /// The peer that received the call did not report whether it ran.
        PeerUnknown,
        /// The call was forwarded the largest allowed number of times.
        TooManyHops,
    }
}

impl Reason {
    /// Returns the name used in logs, in metrics and in messages to peers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown-service",
            Self::Deadline => "deadline",
            Self::Overload => "overload",
            Self::NoExecutor => "no-executor",
            Self::Refused => "refused",
            Self::NotSent => "not-sent",
            Self::StoreDown => "store-down",
            Self::NoKeyOwner => "no-key-owner",
            Self::KeysFull => "keys-full",
            Self::KeyReused => "key-reused",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyEndUnknown => "key-end-unknown",
            Self::AnswerLost => "answer-lost",
            Self::NoAnswer => "no-answer",
            Self::PeerUnknown => "peer-unknown",
            Self::TooManyHops => "too-many-hops",
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

value! {
    /// Outcome of a call, as reported to the caller.
    pub enum Outcome {
        /// The caller receives the complete answer to an attempt, which the daemon holds.
        Answered {
            /// Attempt whose answer is returned.
            attempt: Attempt,
        },
        /// The call did not run.
        NotRun(Reason),
        /// The call may have run.
        Unknown(Reason),
        /// The caller receives the answer to the first call with the same key.
        Repeat {
            /// First call with the key, whose answer the daemon stores.
            first: CallId,
        },
    }
}

data! {
    /// Routing choice for one call.
    pub enum Choice {
        /// The call is sent to an executor.
        Send(ExecutorName),
        /// The call is forwarded to a peer.
        Forward(InstanceName),
        /// The call is queued.
        Wait,
        /// The call is sent to a second executor while a late first attempt is in flight.
        Hedge(ExecutorName),
        /// The call is refused and has not run.
        Refuse(Reason),
    }
}

value! {
    /// Cause of a routing choice.
    pub enum Cause {
        /// The executor ranks first among those with a free slot.
        Ranked,
        /// A slot became free and the call was next in the queue.
        Next,
        /// The peer has free slots and this instance has none.
        PeerFree,
        /// The queue of the peer is much shorter.
        PeerShorter,
        /// The peer owns the shard of the key.
        KeyOwner,
        /// No slot is free at this instance or at a peer within reach.
        Busy,
        /// An earlier attempt did not run, or the call is idempotent.
        Retry,
        /// An earlier attempt takes longer than the high quantile of the latency.
        Late,
        /// The call was refused for the reason given in the choice.
        Refused,
    }
}

data! {
    /// Routing decision about one call, for the log.
    pub struct Decision {
        /// Call that is routed.
        pub call: CallId,
        /// Choice that was made.
        pub choice: Choice,
        /// Cause of the choice.
        pub cause: Cause,
    }
}

data! {
    /// Command that the daemon must execute.
    pub enum Command {
        /// Send the call to the executor and report [`super::Event::Answered`] exactly once.
        Send {
            /// Call to send.
            call: CallId,
            /// Attempt, to be reported with the answer.
            attempt: Attempt,
            /// Executor to send to.
            executor: ExecutorName,
            /// Time by which the caller needs the answer.
            deadline: Time,
            /// Longest run plus the allowance for transit. If no answer has arrived this long
            /// after the request was written, [`super::SendOutcome::TimedOut`] must be reported.
            longest_run: Span,
        },
        /// Forward the call to the peer and report [`super::Event::PeerAnswered`] exactly once.
        Forward {
            /// Call to forward.
            call: CallId,
            /// Attempt, to be reported with the answer.
            attempt: Attempt,
            /// Peer to forward to.
            peer: InstanceName,
            /// Time by which the peer must answer; earlier than the deadline of the caller by
            /// one round trip.
            deadline: Time,
            /// Number of hops to send with the call, including this one.
            hops: u8,
            /// Whether the key is already recorded in the journal for this call.
            key_recorded: bool,
        },
        /// Report the outcome to the caller; issued exactly once for each call that is not
        /// abandoned.
        Reply {
            /// Call that ended.
            call: CallId,
            /// Outcome to report.
            outcome: Outcome,
        },
        /// Append the record to the journal; records may be appended in any order. For a record
        /// that begins a call, report [`super::Event::KeyDurable`] or
        /// [`super::Event::KeyNotDurable`].
        Journal {
            /// Call that the record belongs to.
            call: CallId,
            /// Record to append.
            record: keys::Record,
        },
        /// Drop the answer that was stored for repeats of the key of the call.
        DropAnswer {
            /// Call whose answer is dropped.
            call: CallId,
        },
        /// Probe the executor and report [`super::Event::Probed`].
        Probe {
            /// Executor to probe.
            executor: ExecutorName,
        },
        /// Hand the slots of the executor over to another owner.
        HandOver {
            /// Executor that receives no further calls from this instance.
            executor: ExecutorName,
            /// Number of calls from this instance that may still occupy a slot of the executor.
            in_progress: u32,
        },
        /// Send a heartbeat to the peers now, because the load has changed.
        Announce,
        /// The drain is complete: nothing is in progress and the process may exit.
        DrainComplete,
        /// Log the decision.
        Decision(Decision),
    }
}
