//! Text forms of decisions, for logs.

use std::fmt;

use super::{Cause, Decision};

impl Cause {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interference => "interference",
            Self::Urgency => "urgency",
            Self::Quota => "quota",
            Self::Room => "room",
            Self::Leaving => "leaving",
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Placed { task, token, worker, size, waited, urgency } => write!(
                f,
                "place task={task} token={token} worker={worker} size=\"{size}\" \
                 waited={waited} urgency={urgency}"
            ),
            Self::Throttled { task, worker, share } => {
                write!(f, "throttle task={task} worker={worker} share={share}")
            }
            Self::Evicted { task, worker, checkpoint, cause } => write!(
                f,
                "evict task={task} worker={worker} checkpoint={checkpoint} cause={}",
                cause.as_str()
            ),
            Self::Finished { task, token } => write!(f, "finish task={task} token={token}"),
            Self::Failed { task, worker, fault, last } => {
                write!(f, "fail task={task} worker={worker} fault={fault:?} last={last}")
            }
            Self::Lost { task, worker } => write!(f, "lose task={task} worker={worker}"),
            Self::Crashed { task, worker, crashes, last } => {
                write!(f, "crash task={task} worker={worker} crashes={crashes} last={last}")
            }
            Self::Quarantined { worker, until } => {
                write!(f, "quarantine worker={worker} until={until}")
            }
            Self::Parked { job, reason } => write!(f, "park job={job} reason=\"{reason}\""),
            Self::Unparked { job } => write!(f, "unpark job={job}"),
            Self::Ended { job, outcome } => write!(f, "end job={job} outcome={outcome:?}"),
        }
    }
}
