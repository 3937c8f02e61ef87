//! The state machine of a task.
//!
//! Reports of workers become inputs only under the current fencing token of the
//! task. The cell answers reports under other tokens with a stop or an
//! acknowledgement.

use sycamorerill_core::value;

value! {
    /// The state of a task.
    pub enum State {
        /// The record of its job is not yet durable.
        Submitted,
        /// The record of its job is durable.
        Accepted,
        /// Waiting for a worker.
        Waiting,
        /// Assigned to a worker that has not confirmed the start.
        Placed,
        /// Running at full share.
        Running,
        /// Running at a reduced share.
        Throttled,
        /// The worker is writing a checkpoint.
        Checkpointing,
        /// Removed from a worker and waiting for another one.
        Evicted,
        /// Completed successfully.
        Finished,
        /// Failed with no attempts left.
        Failed,
        /// Cancelled by its caller.
        Cancelled,
        /// Unable to run on any worker of the cell at present.
        Parked,
    }
}

value! {
    /// An event that changes the state of a task.
    pub enum Input {
        /// The record of the job became durable.
        Durable,
        /// The record of the job was not written.
        NotDurable,
        /// The task fits on some worker of the cell.
        Queue,
        /// The task fits on no worker of the cell.
        Park,
        /// The task was assigned to a worker.
        Place,
        /// The worker reported that the task runs at full share.
        Running,
        /// The worker reported that the task runs at a reduced share.
        Throttled,
        /// The worker reported that it is writing a checkpoint.
        Checkpointing,
        /// The worker reported that a checkpoint is written and the task no longer runs.
        Checkpointed,
        /// The worker reported that the task was stopped.
        Stopped,
        /// The worker reported that it stopped the task because its lease lapsed.
        Lapsed,
        /// The worker answered the start command without starting the task.
        Refused,
        /// The worker reported that the task finished.
        Finished,
        /// The worker reported that the task failed, and attempts are left.
        Fault,
        /// The worker reported that the task failed, and no attempts are left.
        Exhausted,
        /// The worker no longer runs the task: the worker is gone, or the lease has lapsed.
        Lost,
        /// The caller cancelled the job.
        Cancel,
    }
}

impl State {
    /// All states, in the order of the documented table.
    pub const ALL: [Self; 12] = [
        Self::Submitted,
        Self::Accepted,
        Self::Waiting,
        Self::Placed,
        Self::Running,
        Self::Throttled,
        Self::Checkpointing,
        Self::Evicted,
        Self::Finished,
        Self::Failed,
        Self::Cancelled,
        Self::Parked,
    ];

    /// Returns the name used in documents, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Submitted => "submitted",
            Self::Accepted => "accepted",
            Self::Waiting => "waiting",
            Self::Placed => "placed",
            Self::Running => "running",
            Self::Throttled => "throttled",
            Self::Checkpointing => "checkpointing",
            Self::Evicted => "evicted",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Parked => "parked",
        }
    }

    /// Returns whether no input changes the state.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }

    /// Returns whether the task is waiting for a worker.
    pub const fn is_queued(self) -> bool {
        matches!(self, Self::Waiting | Self::Evicted)
    }

    /// Returns whether a worker may be running the task.
    pub const fn is_on_worker(self) -> bool {
        matches!(self, Self::Placed | Self::Running | Self::Throttled | Self::Checkpointing)
    }

    /// Returns the state after `input`, which is `self` if the input has no effect.
    pub const fn next(self, input: Input) -> Self {
        match self {
            Self::Submitted => self.next_submitted(input),
            Self::Accepted | Self::Parked => self.next_unqueued(input),
            Self::Waiting | Self::Evicted => self.next_queued(input),
            Self::Placed | Self::Running | Self::Throttled | Self::Checkpointing => {
                self.next_on_worker(input)
            }
            Self::Finished | Self::Failed | Self::Cancelled => self,
        }
    }

    const fn next_submitted(self, input: Input) -> Self {
        match input {
            Input::Durable => Self::Accepted,
            Input::NotDurable | Input::Cancel => Self::Cancelled,
            _ => self,
        }
    }

    const fn next_unqueued(self, input: Input) -> Self {
        match input {
            Input::Queue => Self::Waiting,
            Input::Park => Self::Parked,
            Input::Cancel => Self::Cancelled,
            // After a takeover the workers report placements of former owners.
            _ => self.adopt(input),
        }
    }

    const fn next_queued(self, input: Input) -> Self {
        match input {
            Input::Place => Self::Placed,
            Input::Park => Self::Parked,
            Input::Cancel => Self::Cancelled,
            _ => self.adopt(input),
        }
    }

    const fn adopt(self, input: Input) -> Self {
        match input {
            Input::Running => Self::Running,
            Input::Throttled => Self::Throttled,
            Input::Checkpointing => Self::Checkpointing,
            Input::Checkpointed => Self::Evicted,
            Input::Finished => Self::Finished,
            Input::Fault => Self::Waiting,
            Input::Exhausted => Self::Failed,
            _ => self,
        }
    }

    const fn next_on_worker(self, input: Input) -> Self {
        match input {
            Input::Running => Self::Running,
            Input::Throttled => Self::Throttled,
            Input::Checkpointing => Self::Checkpointing,
            Input::Checkpointed | Input::Stopped => Self::Evicted,
            Input::Lapsed | Input::Refused | Input::Lost | Input::Fault => Self::Waiting,
            Input::Finished => Self::Finished,
            Input::Exhausted => Self::Failed,
            Input::Cancel => Self::Cancelled,
            _ => self,
        }
    }
}

impl Input {
    /// All inputs.
    pub const ALL: [Self; 17] = [
        Self::Durable,
        Self::NotDurable,
        Self::Queue,
        Self::Park,
        Self::Place,
        Self::Running,
        Self::Throttled,
        Self::Checkpointing,
        Self::Checkpointed,
        Self::Stopped,
        Self::Lapsed,
        Self::Refused,
        Self::Finished,
        Self::Fault,
        Self::Exhausted,
        Self::Lost,
        Self::Cancel,
    ];

    /// Returns the name used in documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Durable => "durable",
            Self::NotDurable => "not durable",
            Self::Queue => "queue",
            Self::Park => "park",
            Self::Place => "place",
            Self::Running => "running",
            Self::Throttled => "throttled",
            Self::Checkpointing => "checkpointing",
            Self::Checkpointed => "checkpointed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Refused => "refused",
            Self::Finished => "finished",
            Self::Fault => "fault",
            Self::Exhausted => "exhausted",
            Self::Lost => "lost",
            Self::Cancel => "cancel",
        }
    }
}

impl std::fmt::Display for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

impl std::fmt::Display for Input {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}
