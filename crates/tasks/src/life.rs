//! The life cycle of a task as one table of states and inputs.
//!
//! Words of workers reach the table only under the current fencing token of the
//! task; the cell answers all others itself, with a stop or an acknowledgement.

use sycamorerill_core::value;

value! {
    /// Where a task stands.
    pub enum State {
        /// The record of its job is not yet durable.
        Submitted,
        /// The record of its job is durable.
        Accepted,
        /// Waits for a worker.
        Waiting,
        /// A start was decided; the worker has not confirmed it.
        Placed,
        /// Runs at full share.
        Running,
        /// Runs at a reduced share.
        Throttled,
        /// The worker writes a checkpoint.
        Checkpointing,
        /// Was taken off its worker and waits for another one.
        Evicted,
        /// Ended well.
        Finished,
        /// Ended after its last attempt.
        Failed,
        /// Ended by its caller.
        Cancelled,
        /// Can't run anywhere at present.
        Parked,
    }
}

value! {
    /// What can happen to a task.
    pub enum Input {
        /// The record of the job became durable.
        Durable,
        /// The record of the job was not written.
        NotDurable,
        /// Some worker can hold the task.
        Queue,
        /// No worker can hold the task.
        Park,
        /// A worker was chosen.
        Place,
        /// The worker says that the task runs.
        Running,
        /// The worker says that the task runs at a reduced share.
        Throttled,
        /// The worker says that it writes a checkpoint.
        Checkpointing,
        /// The worker says that a checkpoint is written and the task is off.
        Checkpointed,
        /// The worker says that the task was stopped.
        Stopped,
        /// The worker says that the lease lapsed and the task is off.
        Lapsed,
        /// The worker answered the start without starting the task.
        Refused,
        /// The worker says that the task finished.
        Finished,
        /// The worker says that the task failed, and attempts are left.
        Fault,
        /// The worker says that the task failed, and no attempt is left.
        Exhausted,
        /// The worker is gone, or the lease has surely lapsed there.
        Lost,
        /// The caller cancelled the job.
        Cancel,
    }
}

impl State {
    /// Every state.
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

    /// Returns the word used in documents, logs and metrics.
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

    /// Reports whether the task has ended for good.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }

    /// Reports whether the task waits for a worker.
    pub const fn is_queued(self) -> bool {
        matches!(self, Self::Waiting | Self::Evicted)
    }

    /// Reports whether a worker may be running the task.
    pub const fn is_on_worker(self) -> bool {
        matches!(self, Self::Placed | Self::Running | Self::Throttled | Self::Checkpointing)
    }

    /// Returns the state after `input`, the same one where the input changes nothing.
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
            // A successor learns of placements from the workers.
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
    /// Every input.
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

    /// Returns the word used in documents.
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
