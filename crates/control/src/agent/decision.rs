//! Decisions reported in the log.

use std::fmt;

use sycamorerill_core::data;
use sycamorerill_core::id::{Epoch, InstanceName, Version};

use crate::codec::Error;
use crate::config::{ApplyId, Outcome};
use crate::journal::Failure;
use crate::membership::{Evidence, MemberState};
use crate::ownership::{Acquisition, Shard};
use crate::session;
use crate::store::{Key, State};

data! {
    /// Decision or finding of the control plane.
    pub enum Decision {
        /// The session of this instance was opened and can write.
        Opened {
            /// Session of this instance.
            session: session::Name,
        },
        /// The session of this instance was fenced and can no longer write.
        Fenced {
            /// Session of this instance.
            session: session::Name,
        },
        /// The state of a member has changed.
        MemberState {
            /// Member whose state has changed.
            instance: InstanceName,
            /// New state.
            state: MemberState,
        },
        /// The process of an incarnation has ended.
        Gone {
            /// Session of the incarnation.
            session: session::Name,
            /// Evidence that the process has ended.
            evidence: Evidence,
        },
        /// A challenge is written into the row of a silent session.
        Challenged {
            /// Session that must answer the challenge.
            session: session::Name,
        },
        /// The table names this instance as the owner of a shard.
        Owned {
            /// Shard that is owned.
            shard: Shard,
            /// Epoch of the ownership.
            epoch: Epoch,
            /// How this instance became the owner.
            acquisition: Acquisition,
        },
        /// A shard is not served because its journal or snapshot is damaged.
        Damaged(Failure),
        /// A row, object or message cannot be decoded.
        Corrupt {
            /// Key of the row or object, or the peer that sent the message.
            key: Key,
            /// Reason why it cannot be decoded.
            error: Error,
        },
        /// A row of this session's journal has content that this session did not write.
        Foreign {
            /// Key of the row.
            key: Key,
        },
        /// The store started or stopped responding.
        Store {
            /// New state of the store.
            state: State,
        },
        /// A configuration was put in force.
        InForce {
            /// Version of the configuration.
            version: Version,
        },
        /// A request to accept a configuration was completed.
        Applied {
            /// Identifier of the request.
            id: ApplyId,
            /// Result of the request.
            outcome: Outcome,
        },
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Opened { session } => write!(f, "session {session} opened"),
            Self::Fenced { session } => write!(f, "session {session} was fenced"),
            Self::MemberState { instance, state } => {
                write!(f, "instance {instance} is {}", state.as_str())
            }
            Self::Gone { session, evidence } => {
                write!(f, "process of {session} is gone: {}", evidence.as_str())
            }
            Self::Challenged { session } => write!(f, "session {session} was challenged"),
            Self::Owned { shard, epoch, acquisition } => {
                write!(f, "shard {shard} is owned here under {epoch}, {}", acquisition.as_str())
            }
            Self::Damaged(failure) => write!(f, "{failure}"),
            Self::Corrupt { key, error } => write!(f, "`{key}` cannot be read: {error}"),
            Self::Foreign { key } => write!(f, "`{key}` was not written by this session"),
            Self::Store { state } => write!(f, "store is {}", state.as_str()),
            Self::InForce { version } => write!(f, "configuration {version} is in force"),
            Self::Applied { id, outcome } => {
                write!(f, "apply {:016x}: {}", id.0, outcome.as_str())
            }
        }
    }
}
