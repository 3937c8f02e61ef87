//! Text forms of decisions and reasons, for logs and for messages between instances.

use std::fmt;
use std::str::FromStr;

use super::{Cause, Choice, Decision, Reason};

/// Error for a text that is not the name of a [`Reason`]; holds the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a reason")]
pub struct ReasonError(pub String);

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 16] = [
        Self::UnknownService,
        Self::Deadline,
        Self::Overload,
        Self::NoExecutor,
        Self::Refused,
        Self::NotSent,
        Self::StoreDown,
        Self::NoKeyOwner,
        Self::KeysFull,
        Self::KeyReused,
        Self::KeyInProgress,
        Self::KeyEndUnknown,
        Self::AnswerLost,
        Self::NoAnswer,
        Self::PeerUnknown,
        Self::TooManyHops,
    ];
}

impl FromStr for Reason {
    type Err = ReasonError;

    fn from_str(text: &str) -> Result<Self, ReasonError> {
        let found = Self::ALL.into_iter().find(|reason| reason.as_str() == text);
        found.ok_or_else(|| ReasonError(text.to_owned()))
    }
}

impl Cause {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ranked => "ranked",
            Self::Next => "next",
            Self::PeerFree => "peer-free",
            Self::PeerShorter => "peer-shorter",
            Self::KeyOwner => "key-owner",
            Self::Busy => "busy",
            Self::Retry => "retry",
            Self::Late => "late",
            Self::Refused => "refused",
        }
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(executor) => write!(f, "send executor={executor}"),
            Self::Forward(peer) => write!(f, "forward peer={peer}"),
            Self::Wait => f.write_str("wait"),
            Self::Hedge(executor) => write!(f, "hedge executor={executor}"),
            Self::Refuse(reason) => write!(f, "refuse reason={reason}"),
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call={} choice={} why={}", self.call, self.choice, self.cause.as_str())
    }
}
