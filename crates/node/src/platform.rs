//! The interface between an instance and the platform: its store, its executors and its
//! advice service.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::{data, value};
use sycamorerill_jobs::config::Config;
use sycamorerill_jobs::executor::{
    Advice, Incarnation, Outcome, Registration, Report, Steady, Ticket,
};
use sycamorerill_jobs::id::{DomainName, ExecutorId, Run, StepId, TaskId};

value! {
    /// Tables of the platform's store.
    pub enum Table {
        /// Accepted jobs and their cancellations.
        Accepted,
        /// Progress of jobs, recorded by the owners of shards.
        Progress,
        /// States of jobs as callers see them.
        States,
        /// Claims on shards, and the layout.
        Claims,
        /// Rows that operators declare, such as the configuration and evacuations; only they write
        /// them.
        Operator,
        /// Entries of executors; only they write them.
        Executors,
    }
}

value! {
    /// Version of a row or of the whole store; 0 stands for a row that does not exist.
    pub struct Version(pub u64);
}

data! {
    /// Identifies a row of the store.
    pub struct Key {
        /// Table that holds the row.
        pub table: Table,
        /// Part of the table that holds the row.
        pub part: String,
        /// Name of the row, unique within the part.
        pub name: String,
    }
}

data! {
    /// A row as read from the store; a change may also report that it was removed.
    pub struct Row {
        /// Part of the table that holds the row.
        pub part: String,
        /// Name of the row, unique within the part.
        pub name: String,
        /// Value of the row; none if it was removed.
        pub value: Option<Bytes>,
        /// Version of the store at the row's latest write.
        pub version: Version,
    }
}

data! {
    /// A page of the rows of a part.
    pub struct Page {
        /// Rows in the order of their names.
        pub rows: Vec<Row>,
        /// Whether more rows follow the last.
        pub more: bool,
        /// Version of the store at the time of the read.
        pub version: Version,
    }
}

data! {
    /// Rows of a table that changed after a version.
    pub struct Changes {
        /// Rows in the order of their versions.
        pub rows: Vec<Row>,
        /// Version of the store up to which the changes are complete.
        pub version: Version,
    }
}

data! {
    /// An atomic change of several rows.
    #[derive(Default)]
    pub struct Transaction {
        /// Rows with the version that each must have; 0 where the row must not exist.
        pub expected: Vec<(Key, Version)>,
        /// Rows to write, with their new values.
        pub writes: Vec<(Key, Bytes)>,
        /// Rows to remove.
        pub removes: Vec<Key>,
    }
}

data! {
    /// A reading of the store's clock, which all instances share.
    #[derive(Copy)]
    pub struct StoreClock {
        /// Time that the clock showed, since a start of its own.
        pub reading: Span,
        /// When the call was sent whose answer gave the reading.
        pub sent: Time,
        /// When the answer arrived.
        pub received: Time,
    }
}

impl StoreClock {
    /// Returns the latest time that the clock can show at `now`.
    pub fn latest(&self, now: Time) -> Span {
        self.reading + now.since(self.sent)
    }

    /// Returns the earliest time that the clock can show at `now`.
    pub fn earliest(&self, now: Time) -> Span {
        self.reading + now.since(self.received)
    }
}

/// The reason why a call to the store failed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// A row has another version than expected, so nothing was done; holds the rows that
    /// are stored.
    #[error("a row has another version than expected")]
    Conflict(Vec<Row>),
    /// The store refused the call with a status, and nothing was done.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The store could not be reached, and nothing was done.
    #[error("cannot connect to the store")]
    NotSent,
    /// No answer arrived; the call may have taken effect or may still do so.
    #[error("the store did not answer")]
    Unknown,
    /// The store has discarded the changes after the requested version.
    #[error("the store has discarded the requested history")]
    HistoryGone,
    /// The answer of the store can't be parsed.
    #[error("the answer of the store cannot be read: {0}")]
    Malformed(String),
}

data! {
    /// The executor that an order or a probe is sent to.
    pub struct Target {
        /// Address of the executor.
        pub address: SocketAddr,
        /// Identifier of the executor; another one at the same address refuses.
        pub executor: ExecutorId,
        /// Epoch of the shard's owner, used as its fencing token.
        pub epoch: u64,
    }
}

data! {
    /// A run to start.
    pub struct Start {
        /// Incarnation of the executor; no other one may receive the order.
        pub incarnation: Incarnation,
        /// Latest time at which the order is sent.
        pub before: Time,
        /// Task that the run belongs to.
        pub task: TaskId,
        /// Number of the run within the task.
        pub run: Run,
        /// Text of the job, passed to each of its tasks.
        pub text: std::sync::Arc<str>,
        /// End of the lease, on the executor's clock.
        pub deadline: Steady,
        /// Checkpoint to resume from, if there is one.
        pub checkpoint: Option<String>,
        /// Ticket of the advice service, if the queue uses one.
        pub ticket: Option<Ticket>,
    }
}

data! {
    /// A request for an executor's running and ended runs.
    #[derive(Copy)]
    pub struct Probe {
        /// Incarnation to whose clock the deadline belongs and that has numbered the acknowledged run
        /// ends. The probe goes without them to any other one.
        pub incarnation: Incarnation,
        /// Number of the last recorded end; the executor may discard ends up to it.
        pub acknowledged: u64,
        /// New end of all leases, on the executor's clock; none leaves the leases unchanged.
        pub deadline: Option<Steady>,
        /// Longest time that the executor waits for a run to end before it answers.
        pub wait: Span,
    }
}

impl Error {
    /// Returns whether the store would refuse the same call each time.
    ///
    /// A call that is too large or malformed gets a status of the 400s. Of these, 408 and 429 are
    /// about the moment of the call.
    pub const fn is_permanent(&self) -> bool {
        matches!(self, Self::Refused(status) if *status / 100 == 4 && *status != 408 && *status != 429)
    }
}

/// Gives an instance access to the platform.
pub trait Platform: 'static {
    /// Commits a transaction within `timeout`.
    ///
    /// # Errors
    ///
    /// Only [`Error::Unknown`] leaves open whether the transaction took effect.
    fn transact(
        &self,
        transaction: &Transaction,
        timeout: Span,
    ) -> impl Future<Output = Result<Version, Error>>;

    /// Reads up to `max_rows` rows of a part, starting at the name `from`.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses or does not answer.
    fn read(
        &self,
        table: Table,
        part: &str,
        from: &str,
        max_rows: u32,
    ) -> impl Future<Output = Result<Page, Error>>;

    /// Waits up to `wait` for rows of a table that change after the version `after`.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses, does not answer or has discarded the requested history.
    fn watch(
        &self,
        table: Table,
        after: Version,
        wait: Span,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Returns the latest reading of the store's clock; returns none if no answer gave one yet.
    fn store_clock(&self) -> Option<StoreClock>;

    /// Returns the time in which the store has responded lately; zero if that is not known.
    fn store_latency(&self) -> Span;

    /// Orders an executor to start a run.
    fn start(&self, target: Target, start: Start) -> impl Future<Output = Outcome>;

    /// Orders an executor to stop a run.
    fn stop(&self, target: Target, task: TaskId, run: Run) -> impl Future<Output = Outcome>;

    /// Orders an executor to limit the processor time of a run, in percent of the requested
    /// time.
    fn throttle(
        &self,
        target: Target,
        task: TaskId,
        run: Run,
        percent: u32,
    ) -> impl Future<Output = Outcome>;

    /// Asks an executor for its running and ended runs, and extends its leases.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the probe if the executor sends no report.
    fn probe(&self, target: Target, probe: Probe) -> impl Future<Output = Result<Report, Outcome>>;

    /// Asks the advice service which of the given executors may run a step.
    ///
    /// Returns none if it refuses or does not answer.
    fn advise(
        &self,
        step: StepId,
        executors: &[ExecutorId],
    ) -> impl Future<Output = Option<Advice>>;

    /// Parses the entry of an executor; returns none if the row holds no usable entry.
    fn parse_executor(&self, row: &Row) -> Option<Registration>;

    /// Returns the failure domain that a row evacuates as long as it exists, whatever its value;
    /// returns none if the row is another one.
    fn parse_evacuation(&self, row: &Row) -> Option<DomainName>;

    /// Parses the configuration; returns none if the row is another one.
    ///
    /// # Errors
    ///
    /// Returns a message if the configuration can't be parsed.
    fn parse_config(&self, row: &Row) -> Result<Option<Config>, String>;
}
