//! What the instance asks of the platform, as one trait at the process's edge.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use sycamorerill_core::clock::Span;
use sycamorerill_core::{data, value};
use sycamorerill_jobs::config::Config;
use sycamorerill_jobs::executor::{Answer, Listed, Permits, Report, Steady, Ticket};
use sycamorerill_jobs::id::{ExecutorId, Run, StepId, TaskId};

value! {
    /// Tables of the platform's store.
    pub enum Table {
        /// Jobs as accepted, and what was cancelled.
        Accepted,
        /// Records of jobs.
        Progress,
        /// States of jobs as callers see them.
        States,
        /// Who owns which shard.
        Claims,
        /// What operators declare; written by them only.
        Operator,
        /// Executors; written by them only.
        Executors,
    }
}

value! {
    /// Version of a row or of the store.
    pub struct Version(pub u64);
}

data! {
    /// Place of a row.
    pub struct Key {
        /// Its table.
        pub table: Table,
        /// Its part of the table.
        pub part: String,
        /// Its name within the part.
        pub name: String,
    }
}

data! {
    /// A row, or that it is gone.
    pub struct Row {
        /// Its part of the table.
        pub part: String,
        /// Its name within the part.
        pub name: String,
        /// What it holds; none where it is gone.
        pub value: Option<Bytes>,
        /// Its version.
        pub version: Version,
    }
}

data! {
    /// Rows of a part.
    pub struct Page {
        /// In the order of their names.
        pub rows: Vec<Row>,
        /// Whether there are more behind the last.
        pub more: bool,
        /// Version of the store at that moment.
        pub version: Version,
    }
}

data! {
    /// Rows that changed.
    pub struct Changes {
        /// In the order of their versions.
        pub rows: Vec<Row>,
        /// Version of the store up to which they are told.
        pub version: Version,
    }
}

data! {
    /// A change of several rows that happens whole or not.
    #[derive(Default)]
    pub struct Transaction {
        /// Rows with the version that each must have; 0 where there must be none.
        pub expected: Vec<(Key, Version)>,
        /// Rows to write.
        pub writes: Vec<(Key, Bytes)>,
        /// Rows to remove.
        pub removes: Vec<Key>,
    }
}

/// Why the store did not do what was asked.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// A row has another version than expected; nothing was done.
    #[error("a row has another version than expected")]
    Conflict(Vec<Row>),
    /// The store refused; nothing was done.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The store could not be connected to; nothing was done.
    #[error("the store cannot be connected to")]
    NotSent,
    /// No answer came; it may have been done, or be done later.
    #[error("the store did not answer")]
    Unknown,
    /// The history that was asked for is dropped.
    #[error("the store has dropped its history")]
    HistoryGone,
    /// The answer can't be read.
    #[error("the answer of the store cannot be read: {0}")]
    Malformed(String),
}

data! {
    /// An order to an executor.
    pub struct Target {
        /// Address of the executor.
        pub address: SocketAddr,
        /// The executor that is meant.
        pub executor: ExecutorId,
        /// Fencing token of the shard's owner.
        pub epoch: u64,
    }
}

data! {
    /// A run to start.
    pub struct Start {
        /// The task.
        pub task: TaskId,
        /// Its run.
        pub run: Run,
        /// Text of the job.
        pub text: std::sync::Arc<str>,
        /// Lease until then.
        pub deadline: Steady,
        /// Checkpoint to resume from.
        pub checkpoint: Option<String>,
        /// Ticket of the advice service.
        pub ticket: Option<Ticket>,
    }
}

data! {
    /// A question for what an executor holds.
    #[derive(Copy)]
    pub struct Probe {
        /// Ends up to this number are recorded.
        pub acknowledged: u64,
        /// Leases are extended until then; none leaves them.
        pub deadline: Option<Steady>,
        /// Longest wait for an end.
        pub wait: Span,
    }
}

/// The platform as the instance sees it.
pub trait Platform: 'static {
    /// Changes rows.
    ///
    /// # Errors
    ///
    /// Only [`Error::Unknown`] leaves open whether it was done.
    fn transact(
        &self,
        change: &Transaction,
        limit: Span,
    ) -> impl Future<Output = Result<Version, Error>>;

    /// Reads up to a page of the rows of a part whose names are not before `from`.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses or does not answer.
    fn read(
        &self,
        table: Table,
        part: &str,
        from: &str,
        max_rows: u32,
    ) -> impl Future<Output = Result<Page, Error>>;

    /// Waits for rows of a table that changed after `after`.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses, does not answer or has dropped its history.
    fn watch(
        &self,
        table: Table,
        after: Version,
        wait: Span,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Orders an executor to start a run.
    fn start(&self, target: Target, start: Start) -> impl Future<Output = Answer>;

    /// Orders an executor to stop a run.
    fn stop(&self, target: Target, task: TaskId, run: Run) -> impl Future<Output = Answer>;

    /// Orders an executor to let a run work at a share in percent.
    fn pace(
        &self,
        target: Target,
        task: TaskId,
        run: Run,
        percent: u32,
    ) -> impl Future<Output = Answer>;

    /// Asks an executor what it holds.
    ///
    /// # Errors
    ///
    /// Returns the outcome where it is not a report.
    fn probe(&self, target: Target, probe: Probe) -> impl Future<Output = Result<Report, Answer>>;

    /// Asks the advice service which of some executors may run a step; none where it
    /// refuses or does not answer.
    fn advise(
        &self,
        step: StepId,
        executors: &[ExecutorId],
    ) -> impl Future<Output = Option<Permits>>;

    /// Reads the entry of an executor; none where it names no executor to use.
    fn parse_executor(&self, row: &Row) -> Option<Listed>;

    /// Reads the configuration; none where the row is another.
    ///
    /// # Errors
    ///
    /// Fails with the fault's text where the configuration can't be read.
    fn parse_config(&self, row: &Row) -> Result<Option<Config>, String>;
}
