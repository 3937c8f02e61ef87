//! What a router wants done.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, CallId, ExecutorName, InstanceName};
use sycamorerill_core::{data, value};

use crate::keys;

value! {
    /// Why a call did not run, or why it is not known whether it ran.
    pub enum Reason {
        /// The configuration names no such service.
        UnknownService,
        /// The estimate of waiting and service time is past the deadline.
        Deadline,
        /// The queue of the team and urgency is full.
        Overload,
        /// No executor of the service can be reached.
        NoExecutor,
        /// The executor refused the request before it ran.
        Refused,
        /// The request could not be sent.
        NotSent,
        /// The key could not be journaled.
        StoreDown,
        /// Nobody owns the shard of the key just now.
        NoKeyOwner,
        /// The ledger holds as many keys as it may.
        KeysFull,
        /// The key was used before with another request.
        KeyReused,
        /// The first call with the key is still in progress.
        KeyInProgress,
        /// The first call with the key came to an end that is not known.
        KeyEndUnknown,
        /// The answer was lost or cut short.
        AnswerLost,
        /// No answer came before the deadline.
        NoAnswer,
        /// The peer that had the call does not know.
        PeerUnknown,
        /// The call was forwarded as often as it may be.
        TooManyHops,
    }
}

impl Reason {
    /// Returns the word used in logs and metrics.
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
    /// What a caller is told.
    pub enum Outcome {
        /// The whole answer to the attempt, which the daemon holds.
        Answered {
            /// Attempt whose answer is passed on.
            attempt: Attempt,
        },
        /// The call did not run.
        NotRun(Reason),
        /// The call may have run.
        Unknown(Reason),
        /// The answer that the first call with the same key got.
        Repeat {
            /// Call whose answer the daemon kept.
            first: CallId,
        },
    }
}

data! {
    /// What was chosen for a call.
    pub enum Choice {
        /// Sent to an executor.
        Send(ExecutorName),
        /// Forwarded to a peer.
        Forward(InstanceName),
        /// Put into the queue.
        Wait,
        /// Sent a second time, beside a first attempt that is late.
        Hedge(ExecutorName),
        /// Refused as not run.
        Refuse(Reason),
    }
}

value! {
    /// Why it was chosen.
    pub enum Why {
        /// The executor ranks first among those with a free slot.
        Ranked,
        /// A slot came free and the call was next.
        Next,
        /// The peer has free slots and none is free here.
        PeerFree,
        /// The peer has much less waiting.
        PeerShorter,
        /// The peer owns the shard of the key.
        KeyOwner,
        /// No slot is free anywhere near.
        Busy,
        /// A former attempt was proved not to have run, or may run again.
        Retry,
        /// A former attempt takes longer than nearly all do.
        Late,
        /// The reason of the refusal says it.
        Refused,
    }
}

data! {
    /// One decision, for the log.
    pub struct Decision {
        /// Call that the decision is about.
        pub call: CallId,
        /// What was chosen.
        pub choice: Choice,
        /// Why it was chosen.
        pub why: Why,
    }
}

data! {
    /// One thing to do.
    pub enum Command {
        /// Send the call to the executor and report [`super::Event::Answered`] once.
        Send {
            /// Call to send.
            call: CallId,
            /// Attempt, to be reported with the answer.
            attempt: Attempt,
            /// Executor to send to.
            executor: ExecutorName,
            /// Instant by which the caller wants the answer.
            deadline: Time,
            /// Longest run with the time on the way: an answer that has not come this long
            /// after the write is reported as `Expired`.
            longest_run: Span,
        },
        /// Forward the call to the peer and report [`super::Event::PeerAnswered`] once.
        Forward {
            /// Call to forward.
            call: CallId,
            /// Attempt, to be reported with the answer.
            attempt: Attempt,
            /// Peer to forward to.
            peer: InstanceName,
            /// Instant by which the peer has to answer, before the caller's deadline.
            deadline: Time,
            /// Hops to carry along.
            hops: u8,
            /// Whether the key has been journaled for this very call.
            claimed: bool,
        },
        /// Tell the caller the outcome; exactly once for each call that is not abandoned.
        Reply {
            /// Call that came to an end.
            call: CallId,
            /// What to tell.
            outcome: Outcome,
        },
        /// Make the record last, in any order. One that begins a call is answered with
        /// [`super::Event::KeyDurable`] or [`super::Event::KeyRefused`].
        Journal {
            /// Call that the record is about.
            call: CallId,
            /// Record to append.
            record: keys::Record,
        },
        /// Let go of the answer that was kept for repeats of the call's key.
        Forget {
            /// Call whose answer was kept.
            call: CallId,
        },
        /// Probe the executor and report [`super::Event::Probed`].
        Probe {
            /// Executor to probe.
            executor: ExecutorName,
        },
        /// The slots of the executor may be handed to another owner.
        Drained {
            /// Executor that gets nothing more from here.
            executor: ExecutorName,
            /// Calls from here that still occupy a slot of it.
            in_progress: u32,
        },
        /// Send a heartbeat to the peers now, as the load has changed.
        Announce,
        /// After a drain: nothing is in progress any more and the process may leave.
        Finished,
        /// A decision for the log.
        Decision(Decision),
    }
}
