//! Decisions for the log.

use std::fmt;

use sycamorerill_core::data;
use sycamorerill_core::id::{Epoch, InstanceName, Version};

use crate::codec::Error;
use crate::config::{ApplyId, Outcome};
use crate::journal::Failure;
use crate::membership::{Evidence, Standing};
use crate::ownership::{Shard, Way};
use crate::session;
use crate::store::{Key, State};

data! {
    /// Something that the control plane decided or found.
    pub enum Decision {
        /// The session of this instance may write.
        Opened {
            /// The session.
            session: session::Name,
        },
        /// The session of this instance has ended.
        Fenced {
            /// The session.
            session: session::Name,
        },
        /// An instance has a new standing.
        Standing {
            /// The instance.
            instance: InstanceName,
            /// Its standing.
            standing: Standing,
        },
        /// The process of an incarnation is gone.
        Gone {
            /// The incarnation.
            session: session::Name,
            /// What shows it.
            evidence: Evidence,
        },
        /// A silent session was asked in the table whether it lives.
        Challenged {
            /// The session.
            session: session::Name,
        },
        /// The table names this instance as the owner of a shard.
        Owned {
            /// The shard.
            shard: Shard,
            /// Epoch of the ownership.
            epoch: Epoch,
            /// How the shard came here.
            way: Way,
        },
        /// A shard stays idle because a piece of its journal or snapshot is damaged.
        Damaged(Failure),
        /// A row, object or message is torn or corrupt.
        Corrupt {
            /// Where it was found.
            key: Key,
            /// What is wrong with it.
            error: Error,
        },
        /// A row of the own journal holds what this session did not write.
        Foreign {
            /// The row.
            key: Key,
        },
        /// The store answers again, or no longer.
        Store {
            /// State of the store.
            state: State,
        },
        /// A configuration was put in force.
        InForce {
            /// Its version.
            version: Version,
        },
        /// An operator's configuration was answered.
        Applied {
            /// Identity of the request.
            id: ApplyId,
            /// What became of it.
            outcome: Outcome,
        },
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Opened { session } => write!(f, "session {session} opened"),
            Self::Fenced { session } => write!(f, "session {session} was fenced"),
            Self::Standing { instance, standing } => {
                write!(f, "instance {instance} is {}", standing.as_str())
            }
            Self::Gone { session, evidence } => {
                write!(f, "process of {session} is gone: {}", evidence.as_str())
            }
            Self::Challenged { session } => write!(f, "session {session} was challenged"),
            Self::Owned { shard, epoch, way } => {
                write!(f, "shard {shard} is owned here under {epoch}, {}", way.as_str())
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
