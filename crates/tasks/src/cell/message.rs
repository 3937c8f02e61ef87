//! Events that a cell takes and commands that it gives.

use std::sync::Arc;

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::data;
use sycamorerill_core::id::{
    ClassName, DomainName, Epoch, JobName, TaskName, TeamName, WorkerName,
};
use sycamorerill_core::model::{Config, Urgency};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::Size;

use crate::job::{Job, Outcome, Reason, Request};
use crate::journal::{Record, Transfer};
use crate::worker::{Exchange, Fault, Report, Token, Worker};

data! {
    /// What a cell is told.
    pub enum Event {
        /// A configuration is in force.
        Configured(Arc<Config>),
        /// The workers that the platform lists in the failure domain.
        Workers(Vec<Worker>),
        /// A job was submitted.
        Submit {
            /// The job.
            job: Job,
            /// Identity of the request.
            request: Request,
        },
        /// A job is to be cancelled.
        Cancel {
            /// The job.
            job: JobName,
            /// Identity of the request.
            request: Request,
        },
        /// All records up to this one are durable.
        Durable(u64),
        /// This record was not written and never will be.
        NotDurable(u64),
        /// A worker answered an exchange.
        Reported {
            /// The worker.
            worker: WorkerName,
            /// Its report.
            report: Report,
        },
        /// An exchange with a worker failed or got no answer in time.
        Unreachable(WorkerName),
        /// A worker is proved gone: it runs nothing and never will under this name.
        Gone(WorkerName),
        /// The journal is fenced by a successor; the cell decides nothing any more.
        ///
        /// The fate of each record on its way is to be told first.
        Fenced,
        /// The process of the former owner is proved gone; it renews no lease any more.
        PredecessorGone,
        /// A waiting job is to be handed to another cell.
        Move {
            /// The job.
            job: JobName,
            /// Failure domain of the receiver.
            to: DomainName,
        },
        /// Another cell hands over a job.
        Offered {
            /// Failure domain of the sender.
            from: DomainName,
            /// The job.
            transfer: Box<Transfer>,
        },
        /// The receiver has made a job that was handed over durable.
        Taken {
            /// The job.
            job: JobName,
        },
        /// The store can't be written; records wait.
        StoreDown,
        /// The store can be written again.
        StoreUp,
        /// Time has passed.
        Tick,
    }
}

data! {
    /// What a cell wants done.
    pub enum Command {
        /// Send an exchange to a worker.
        Exchange {
            /// The worker.
            worker: WorkerName,
            /// What is sent.
            exchange: Exchange,
        },
        /// Make a record durable, in the order of sequence numbers.
        Journal(Record),
        /// Answer a request.
        Reply {
            /// Identity of the request.
            request: Request,
            /// The answer.
            reply: Reply,
        },
        /// Offer a job to the cell of another failure domain.
        Offer {
            /// Receiver.
            to: DomainName,
            /// The job.
            transfer: Box<Transfer>,
        },
        /// Tell the sender of a job that it is durable here.
        Taken {
            /// Sender.
            to: DomainName,
            /// The job.
            job: JobName,
        },
        /// Count a missed deadline, under the name of the job.
        ///
        /// It must be made to last no later than the record that follows it; a successor
        /// repeats it until that record is durable.
        Missed(Miss),
        /// A worker has seen a higher epoch; the cell decides nothing any more.
        Superseded(Epoch),
        /// A decision, for the log.
        Decision(Decision),
    }
}

data! {
    /// Answer to a submission or a cancellation.
    pub enum Reply {
        /// The job is durable and will run.
        Accepted,
        /// The job is durable but can't run at present.
        Parked(Reason),
        /// The job was not accepted, and nothing of it ran.
        NotRun(Reason),
        /// The cancellation is durable.
        Cancelled,
        /// The job has ended before.
        Ended(Outcome),
        /// The cancellation was not accepted.
        NotCancelled(Reason),
        /// No such job is known.
        Unknown,
    }
}

data! {
    /// A missed deadline, to be counted once under the name of the job.
    pub struct Miss {
        /// The job.
        pub job: JobName,
        /// Its class.
        pub class: ClassName,
        /// Its team.
        pub team: TeamName,
        /// The deadline.
        pub deadline: Time,
    }
}

data! {
    /// A decision of the cell.
    pub enum Decision {
        /// A task was placed.
        Placed {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
            /// The worker.
            worker: WorkerName,
            /// Size reserved.
            size: Size,
            /// Time that the task waited.
            waited: Span,
            /// Urgency of the job.
            urgency: Urgency,
        },
        /// A task is throttled, or no longer where the share is 1.
        Throttled {
            /// The task.
            task: TaskName,
            /// The worker.
            worker: WorkerName,
            /// Share from now on.
            share: Share,
        },
        /// A task is taken off its worker.
        Evicted {
            /// The task.
            task: TaskName,
            /// The worker.
            worker: WorkerName,
            /// Whether it is checkpointed first.
            checkpoint: bool,
            /// Why.
            cause: Cause,
        },
        /// A task finished.
        Finished {
            /// The task.
            task: TaskName,
            /// Its fencing token.
            token: Token,
        },
        /// An attempt at a task failed.
        Failed {
            /// The task.
            task: TaskName,
            /// The worker.
            worker: WorkerName,
            /// Why.
            fault: Fault,
            /// Whether it was the last attempt.
            last: bool,
        },
        /// What ran on a worker is given up there.
        Lost {
            /// The task.
            task: TaskName,
            /// The worker.
            worker: WorkerName,
        },
        /// A worker is given no tasks for a while, since it fails what it starts.
        Quarantined {
            /// The worker.
            worker: WorkerName,
            /// End of the quarantine.
            until: Time,
        },
        /// A job can't run at present.
        Parked {
            /// The job.
            job: JobName,
            /// Why.
            reason: Reason,
        },
        /// A job that was parked can run.
        Unparked {
            /// The job.
            job: JobName,
        },
        /// A job ended.
        Ended {
            /// The job.
            job: JobName,
            /// How.
            outcome: Outcome,
        },
    }
}

data! {
    /// Why a task is taken off its worker.
    #[derive(Copy, Eq)]
    pub enum Cause {
        /// It slows a service down.
        Interference,
        /// A more urgent task needs the room.
        Urgency,
        /// A team below its quota needs the room.
        Quota,
        /// The worker holds more than fits.
        Room,
        /// The worker is leaving.
        Leaving,
    }
}
