//! Events that a shard handles and commands that it returns.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use sycamorerill_core::clock::Span;
use sycamorerill_core::data;

use crate::config::Config;
use crate::executor::{
    Advice, EndReason, Incarnation, Outcome, Refusal, Registration, Report, Steady, Ticket,
};
use crate::id::{
    DomainName, ExecutorId, JobId, Label, QueueName, Run, ServiceName, StepId, TaskId,
};
use crate::progress::{Progress, State};
use crate::record::RecordId;
use crate::spec::{AcceptedJob, Resources};

data! {
    /// An input of a shard.
    pub enum Event {
        /// A version of the configuration has taken effect.
        Configured(Arc<Config>),
        /// The set of evacuated failure domains, as it is now.
        Evacuated(BTreeSet<DomainName>),
        /// A job was accepted.
        Accepted(JobId, Box<AcceptedJob>),
        /// The cancellation of a job was accepted.
        Cancelled(JobId),
        /// An executor was added to the list, or its entry has changed.
        Listed(Box<Registration>),
        /// An executor's entry was removed from the list.
        Unlisted(ExecutorId),
        /// The batch of the latest [`Command::Record`] is recorded, but for the records that the
        /// store rejects for good.
        Recorded(Vec<RecordId>),
        /// Outcome of a [`Command::Start`].
        Started(Order, Outcome),
        /// Outcome of a [`Command::Stop`].
        Stopped(Order, Outcome),
        /// Outcome of a [`Command::Throttle`] with its limit in percent.
        ThrottleCompleted(Order, u32, Outcome),
        /// Outcome of a [`Command::Advise`] with the executors it named; `None` if the query
        /// was refused or not answered.
        Advised(StepId, Vec<ExecutorId>, Option<Advice>),
        /// An executor has answered a probe.
        Probed(Probe, Report),
        /// A probe was refused or not answered.
        ProbeFailed(Probe, Outcome),
    }
}

data! {
    /// A run on an executor, as the subject of an order.
    pub struct Order {
        /// Executor that the order is sent to.
        pub executor: ExecutorId,
        /// Task that the run belongs to.
        pub task: TaskId,
        /// Number of the run.
        pub run: Run,
    }
}

data! {
    /// Identity of a probe.
    pub struct Probe {
        /// Executor that is probed.
        pub executor: ExecutorId,
        /// Number of the probe at this executor, from 1.
        pub number: u64,
    }
}

data! {
    /// Records that are written in one transaction.
    #[derive(Default)]
    pub struct Batch {
        /// Records that have changed; `None` if a record is to be removed.
        pub progress: Vec<(RecordId, Option<Progress>)>,
        /// States of jobs that have changed, for callers.
        pub states: Vec<(JobId, State)>,
        /// Interference model, if it is due to be recorded.
        pub model: Option<super::Snapshot>,
        /// Lease ends of all executors that do not answer, if they have changed.
        pub lease_ends: Option<Vec<super::LeaseEnd>>,
        /// Expected waits of new jobs, if any is long or was.
        pub outlook: Option<crate::admission::Outlook>,
    }
}

data! {
    /// A command that a shard returns for its caller to execute.
    pub enum Command {
        /// Record the batch. No other batch follows until [`Event::Recorded`].
        Record(Batch),
        /// Order an executor to start a run.
        Start {
            /// Run to start.
            order: Order,
            /// Address of the executor.
            address: SocketAddr,
            /// Incarnation that the run is recorded with; no other one may receive the order.
            incarnation: Incarnation,
            /// Text of the job as submitted.
            text: Arc<str>,
            /// End of the lease, by the executor's clock.
            deadline: Steady,
            /// Checkpoint to resume from.
            checkpoint: Option<String>,
            /// Ticket of the advice service, if the queue has a policy.
            ticket: Option<Ticket>,
        },
        /// Order an executor to stop a run.
        Stop {
            /// Run to stop.
            order: Order,
            /// Address of the executor.
            address: SocketAddr,
        },
        /// Order an executor to limit the processor time of a run.
        Throttle {
            /// Run to limit.
            order: Order,
            /// Address of the executor.
            address: SocketAddr,
            /// Limit in percent of the requested processor time; 100 lifts it.
            percent: u32,
        },
        /// Ask the advice service which executors may run a step.
        Advise {
            /// Step to be placed.
            step: StepId,
            /// Executors that the query names.
            executors: Vec<ExecutorId>,
        },
        /// Probe an executor: ask for its runs and run ends, and extend its leases.
        Probe {
            /// Identity of the probe.
            probe: Probe,
            /// Address of the executor.
            address: SocketAddr,
            /// Incarnation to whose clock the deadline belongs and that has numbered the acknowledged
            /// run ends; no other one may receive them.
            incarnation: Incarnation,
            /// Number up to which run ends are recorded, so that the executor may discard them.
            acknowledged: u64,
            /// New end of the leases by the executor's clock; `None` leaves them unchanged.
            deadline: Option<Steady>,
            /// How long the executor may hold the answer back until a run ends.
            wait: Span,
        },
        /// Log a decision or an observation.
        Log(Decision),
    }
}

data! {
    /// A decision or a change in the state of an executor, for the log.
    pub enum Decision {
        /// A run was placed.
        Placed {
            /// Run and executor.
            order: Order,
            /// Incarnation of the executor known at the placement.
            incarnation: Incarnation,
            /// Milliseconds since the task's step became ready.
            waited_ms: u64,
        },
        /// A run has ended, or is certain not to run.
        Closed {
            /// Run and executor.
            order: Order,
            /// Evidence that closed the run.
            by: Closing,
            /// What was known of the run.
            knowledge: super::Knowledge,
        },
        /// A job has reached a terminal state.
        Finished {
            /// Job that has ended.
            job: JobId,
            /// Terminal state of the job.
            state: State,
            /// Wall-clock time since the job was accepted.
            took: Span,
        },
        /// An executor has stopped answering.
        Unreachable(ExecutorId),
        /// An executor answers again.
        Reachable(ExecutorId),
        /// An executor has started a new incarnation.
        Restarted(ExecutorId, Incarnation),
        /// Runs of predecessors may be active on an executor at a takeover.
        Inherited(super::Inherited),
        /// An executor with runs of predecessors has given its first report.
        Fenced(super::FirstReport),
        /// An executor has a run that no record has as open, as after an order that came late. It
        /// is stopped.
        Unknown {
            /// Run and executor.
            order: Order,
            /// Incarnation of the executor.
            incarnation: Incarnation,
        },
        /// An executor is quarantined: it gets no work for the given time.
        Quarantined(ExecutorId, Span),
        /// The evacuated failure domains have changed, or the first executor of one has appeared.
        Evacuated(super::Evacuated),
        /// The processor limit of a run was changed.
        Throttled {
            /// Run and executor.
            order: Order,
            /// Limit in percent of the requested processor time.
            percent: u32,
            /// Highest tail latency last reported by the executor, in percent of its objective.
            tail_percent: u32,
            /// Longest time for which a task on the executor has been over its objective.
            over: Span,
        },
        /// The store rejects a record of a job for good, or it cannot be read, so the job does not
        /// go on.
        RecordRejected(RecordId),
        /// An executor was reserved for a step that found none; one for each step.
        Reserved {
            /// Step with a task that waits.
            step: StepId,
            /// Executor that other tasks may use only as far as they leave enough room.
            executor: ExecutorId,
            /// Time since the step became ready.
            waited: Span,
            /// Time until the executor is expected to have room, by the estimates of its runs.
            expected: Span,
            /// Number of executors that are reserved, this one included.
            reserved: usize,
        },
        /// A step found no executor and is placed after steps of queues that use less; one for
        /// each step.
        HeldBack {
            /// Step with tasks that wait.
            step: StepId,
            /// Queue that uses more than its share.
            queue: QueueName,
            /// Use of executors by the queue, in percent of those of its service.
            used_percent: u64,
            /// Use by each of the competing queues if all used the same.
            equal_percent: u64,
            /// Time since the use was determined.
            age: Span,
        },
        /// No listed executor could run a step, however much room it had, so the step is kept apart
        /// from those that wait for room; one for each job.
        Unschedulable {
            /// Step that waits for another executor.
            step: StepId,
            /// What no executor meets.
            obstacle: super::Obstacle,
            /// Service that runs the job.
            service: ServiceName,
            /// Label that the step asks for.
            label: Option<Label>,
            /// Resources that a task needs.
            needs: Resources,
        },
        /// An executor crashed shortly after a task may have started there.
        Crashed {
            /// Run and executor.
            order: Order,
            /// Number of executors that crashed in this way under the task.
            crashes: u32,
            /// Number of those on which the task had certainly started.
            confirmed: u32,
        },
        /// A wait for a place near the data or the group of tasks begins or has ended.
        Locality(Box<super::LocalityWait>),
        /// The interference model was recorded; one for each latency-critical image.
        ModelRecorded(super::FitReport),
    }
}

data! {
    /// Evidence on which a run was closed.
    #[derive(Copy)]
    pub enum Closing {
        /// The executor reported the end.
        Ended(EndReason),
        /// The executor refused the order to start the run.
        Refused(Refusal),
        /// The order to start the run was never sent, as the connection failed, or the executor
        /// has restarted or may get no lease.
        NotSent,
        /// The order to start the run was never sent, as the executor's capacity has shrunk.
        NoCapacity,
        /// The order to start the run was never sent, as the executor's failure domain is evacuated.
        Evacuated,
        /// The report to a probe under the current epoch, or after a stop, does not list the
        /// run.
        NotListed,
        /// The leases of this owner have expired by the executor's own clock.
        Lapsed {
            /// Lower bound on the executor's clock.
            clock: Steady,
            /// Upper bound on the leases, by the same clock.
            deadline: Steady,
        },
        /// The executor has not answered since the takeover, and the leases of predecessors have
        /// ended.
        LapsedInherited {
            /// Time since the takeover.
            waited: Span,
            /// What bounds the leases.
            bound: super::LeaseBound,
        },
        /// The executor's incarnation is over: a later one does not list the run.
        Gone,
        /// Another executor answers at the address that the run was sent to.
        Replaced,
        /// Another member of the run's gang is reported as done, which ends all members.
        GangDone,
        /// The run was dropped before it was recorded, so no order was sent.
        NotRecorded,
    }
}
