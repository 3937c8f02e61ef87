//! Control plane of one entry instance, driven by events.

mod control_plane;
mod decision;
mod machine;
mod message;
mod outbox;
mod purpose;
mod settings;
mod status;

use bytes::Bytes;
use sycamorerill_core::data;
use sycamorerill_core::id::{Incarnation, InstanceName};

use crate::config::{ActiveConfig, Apply, ApplyId, Outcome};
use crate::journal::Sequence;
use crate::membership::{Evidence, ListEntry};
use crate::ownership::{Gained, Shard};
use crate::penalties::{self, SettleId, SettleRequest, Settlement};
use crate::session;
use crate::store::{Request, RequestId, Response};

pub use decision::Decision;
pub use machine::Agent;
pub(crate) use message::{Body, Heartbeat, Message};
pub(crate) use outbox::Outbox;
pub(crate) use purpose::Purpose;
pub use settings::Settings;
pub use status::{Row as StatusRow, Status};

data! {
    /// Input of an agent.
    pub enum Event {
        /// Time has passed.
        ///
        /// Due no later than [`Agent::next_wake`].
        Tick,
        /// A message of a peer was received.
        Message {
            /// Instance that sent the message.
            from: InstanceName,
            /// Message as emitted by the peer in [`Command::Send`].
            bytes: Bytes,
        },
        /// The store responded, or the request timed out.
        Store {
            /// Identifier of the request.
            id: RequestId,
            /// Response of the store; [`Response::Unknown`] for a transaction that timed
            /// out.
            response: Response,
        },
        /// The process of an incarnation was found to have ended.
        ///
        /// For [`Evidence::ConnectionRefused`] the connection must have been started after
        /// [`Command::Probe`] or a message had named the incarnation.
        Evidence {
            /// Session of the ended incarnation.
            session: session::Name,
            /// Evidence that the process has ended.
            evidence: Evidence,
        },
        /// The platform's list of instances was read.
        InstancesListed {
            /// Entries of the list.
            entries: Vec<ListEntry>,
        },
        /// This instance stopped serving a shard, as requested by [`Command::Release`].
        ShardReleased {
            /// Shard that was released.
            shard: Shard,
            /// State to pass to the new owner, such as the number of occupied slots.
            handover_state: Bytes,
        },
        /// Content of a shard, as requested by [`Command::TakeSnapshot`].
        Snapshot {
            /// Shard that the content belongs to.
            shard: Shard,
            /// State of the shard, including every record appended before this event.
            bytes: Bytes,
        },
        /// An operator submits a configuration.
        Apply(Apply),
        /// An operator requests the settlement of a period.
        SettlePenalties(SettleRequest),
        /// The instance is going to stop and must hand over everything that it owns.
        Drain,
    }
}

data! {
    /// Output of an agent.
    pub enum Command {
        /// Send a request to the store; the response is returned as [`Event::Store`].
        Store {
            /// Identifier of the request.
            id: RequestId,
            /// Request to send.
            request: Request,
        },
        /// Send a message to a peer. The message may be lost.
        Send {
            /// Instance that receives the message.
            to: InstanceName,
            /// Encoded message.
            message: Bytes,
        },
        /// Connect to the address of an instance; a refused connection is returned as
        /// [`Event::Evidence`].
        Probe {
            /// Session of the silent incarnation.
            session: session::Name,
        },
        /// Start to serve a shard.
        StartServing(Gained),
        /// Stop serving a shard at once, because this instance no longer owns it.
        StopServing {
            /// Shard that was lost.
            shard: Shard,
        },
        /// Stop serving a shard and then send [`Event::ShardReleased`].
        Release {
            /// Shard to release.
            shard: Shard,
            /// Instance that will own the shard.
            to: InstanceName,
        },
        /// Records up to a sequence are durable, except for withdrawn ones.
        RecordsDurable {
            /// Sequence of the last durable record.
            up_to: Sequence,
        },
        /// Records that were not sent to the store and will not be.
        RecordsWithdrawn {
            /// Sequences of the withdrawn records.
            sequences: Vec<Sequence>,
        },
        /// Return the content of a shard as [`Event::Snapshot`].
        TakeSnapshot {
            /// Shard to take a snapshot of.
            shard: Shard,
        },
        /// Put a configuration version in force.
        ActivateConfig(ActiveConfig),
        /// Result of [`Event::Apply`].
        ApplyFinished {
            /// Identifier of the request.
            id: ApplyId,
            /// Result of the request.
            outcome: Outcome,
        },
        /// Result of [`Event::SettlePenalties`].
        SettleFinished {
            /// Identifier of the request.
            id: SettleId,
            /// Totals, or the reason for the failure.
            outcome: Result<Settlement, penalties::Failure>,
        },
        /// The session was fenced. The instance must stop and restart as a new
        /// incarnation.
        Fenced {
            /// Incarnation whose session was fenced.
            incarnation: Incarnation,
        },
        /// Write a decision to the log.
        Decision(Decision),
    }
}
