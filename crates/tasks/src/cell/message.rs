//! The events that a cell handles and the commands that it returns.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_core::id::{
    ClassName, DomainName, Epoch, JobName, TaskName, TeamName, WorkerName,
};
use sycamorerill_core::model::{Config, Urgency};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::Size;

use crate::job::{Job, Outcome, Reason, RequestId};
use crate::journal::{Record, Transfer};
use crate::worker::{Exchange, Fault, Report, Token, Worker};

data! {
    /// An input of a cell.
    pub enum Event {
        /// A configuration took effect.
        Configured(Arc<Config>),
        /// The platform listed the workers of the failure domain.
        WorkersListed(Vec<Worker>),
        /// A job was submitted.
        Submit {
            /// The job concerned.
            job: Job,
            /// Identity to echo in the reply.
            request: RequestId,
        },
        /// The caller cancels a job.
        Cancel {
            /// The job concerned.
            job: JobName,
            /// Identity to echo in the reply.
            request: RequestId,
        },
        /// All records up to and including this sequence number are durable.
        Durable(u64),
        /// The record with this sequence number was not written and never will be.
        NotDurable(u64),
        /// A worker answered an exchange.
        Reported {
            /// The worker concerned.
            worker: WorkerName,
            /// Report in answer to the exchange.
            report: Report,
        },
        /// An exchange with a worker failed or was not answered in time.
        Unreachable(WorkerName),
        /// A worker is known to be gone: it runs nothing and never will again under this name.
        WorkerGone(WorkerName),
        /// A successor fenced the journal; the cell makes no further decisions.
        ///
        /// [`Event::Durable`] or [`Event::NotDurable`] for each record in flight must come first.
        JournalFenced,
        /// The process of the former owner is known to be gone, so that it renews no more leases.
        PredecessorGone,
        /// A waiting job is to be handed over to another cell.
        StartHandover {
            /// The job concerned.
            job: JobName,
            /// Failure domain of the receiver.
            to: DomainName,
        },
        /// Another cell offered a job.
        HandoverOffered {
            /// Failure domain of the sender.
            from: DomainName,
            /// The job concerned.
            transfer: Box<Transfer>,
        },
        /// The receiver of a job has made it durable.
        HandoverConfirmed {
            /// The job concerned.
            job: JobName,
        },
        /// The store became unwritable; records in flight wait.
        StoreDown,
        /// The store became writable again.
        StoreUp,
        /// The instant returned by [`Cell::next_wake`](super::Cell::next_wake) has passed.
        Tick,
    }
}

data! {
    /// An action that the caller of a cell must take.
    pub enum Command {
        /// Sends an exchange to a worker.
        Exchange {
            /// The worker concerned.
            worker: WorkerName,
            /// Message to send.
            exchange: Exchange,
        },
        /// Makes a record durable, in the order of sequence numbers.
        Journal(Record),
        /// Answers a request.
        Reply {
            /// Identity to echo in the reply.
            request: RequestId,
            /// Reply to the request.
            reply: Reply,
        },
        /// Offers a job to the cell of another failure domain.
        OfferHandover {
            /// Failure domain of the receiver.
            to: DomainName,
            /// The job concerned.
            transfer: Box<Transfer>,
        },
        /// Confirms to the sender of a job that the job is durable in this cell.
        ConfirmHandover {
            /// Failure domain of the sender.
            to: DomainName,
            /// The job concerned.
            job: JobName,
        },
        /// Counts a missed deadline, idempotent by the name of the job.
        ///
        /// The count must become durable no later than the record that follows. A successor
        /// repeats the command until that record is durable.
        DeadlineMissed(DeadlineMiss),
        /// A worker reported a higher epoch; the cell makes no further decisions.
        Superseded(Epoch),
        /// Logs a decision.
        Decision(Decision),
    }
}

data! {
    /// The answer to a submission or a cancellation.
    pub enum Reply {
        /// The job is durable and will run.
        Accepted,
        /// The job is durable but can't run on any worker at present.
        Parked(Reason),
        /// The job was not accepted, and none of its tasks ran.
        NotRun(Reason),
        /// The cancellation is durable.
        Cancelled,
        /// The job had already ended.
        Ended(Outcome),
        /// The cancellation was not accepted.
        NotCancelled(Reason),
        /// The cell has no job of this name.
        Unknown,
    }
}

data! {
    /// A missed deadline, to be counted once for the job.
    pub struct DeadlineMiss {
        /// The job concerned.
        pub job: JobName,
        /// Class of the job.
        pub class: ClassName,
        /// Team of the job.
        pub team: TeamName,
        /// Deadline that was missed.
        pub deadline: Time,
    }
}

data! {
    /// A decision of the cell, for the log.
    pub enum Decision {
        /// A task was placed.
        Placed {
            /// The task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
            /// The worker concerned.
            worker: WorkerName,
            /// Size reserved for the task.
            size: Size,
            /// Time that the task spent in the queue.
            waited: Span,
            /// Urgency of the job.
            urgency: Urgency,
        },
        /// The share of a task was changed; 1 ends the throttling.
        Throttled {
            /// The task.
            task: TaskName,
            /// The worker concerned.
            worker: WorkerName,
            /// New share of the reserved processor time.
            share: Share,
        },
        /// A task was evicted from its worker.
        Evicted {
            /// The task.
            task: TaskName,
            /// The worker concerned.
            worker: WorkerName,
            /// Whether the task is checkpointed first.
            checkpoint: bool,
            /// Reason for the decision.
            cause: Cause,
        },
        /// A task finished.
        Finished {
            /// The task.
            task: TaskName,
            /// Fencing token of the placement.
            token: Token,
        },
        /// An attempt to run a task failed.
        Failed {
            /// The task.
            task: TaskName,
            /// The worker concerned.
            worker: WorkerName,
            /// Reason for the decision.
            fault: Fault,
            /// Whether no attempts are left.
            last: bool,
        },
        /// A task was lost with its worker, which is gone or whose leases have lapsed.
        Lost {
            /// The task.
            task: TaskName,
            /// The worker concerned.
            worker: WorkerName,
        },
        /// A worker crashed shortly after a task had started there.
        Crashed {
            /// The task.
            task: TaskName,
            /// The worker concerned.
            worker: WorkerName,
            /// Number of such crashes under the task so far.
            crashes: u32,
            /// Whether the task is given up.
            last: bool,
        },
        /// A worker that fails the tasks it starts was quarantined.
        Quarantined {
            /// The worker concerned.
            worker: WorkerName,
            /// End of the quarantine.
            until: Time,
        },
        /// A job was parked, as it can't run on any worker at present.
        Parked {
            /// The job concerned.
            job: JobName,
            /// Reason for the decision.
            reason: Reason,
        },
        /// A parked job can run again.
        Unparked {
            /// The job concerned.
            job: JobName,
        },
        /// A job ended.
        Ended {
            /// The job concerned.
            job: JobName,
            /// Outcome of the job.
            outcome: Outcome,
        },
    }
}

data! {
    /// Why a task is evicted.
    #[derive(Copy, Eq)]
    pub enum Cause {
        /// The task slows a service down.
        Interference,
        /// A more urgent task needs the capacity.
        Urgency,
        /// A team within its quota needs the capacity.
        Quota,
        /// The tasks on the worker use more memory than it has.
        Room,
        /// The worker is leaving.
        Leaving,
    }
}
