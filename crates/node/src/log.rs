//! What the instance logs: one line for each decision or change of belief.

use std::fmt::Display;

use serde_json::{Map, Value};

use crate::clock;

/// Numbered events of the instance for jobs; `docs/EVENTS.md` is the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// The instance has started.
    Started,
    /// A graceful shutdown has begun.
    Draining,
    /// The instance has ended.
    Stopped,
    /// A job was accepted or a caller was answered otherwise.
    Submitted,
    /// A job's cancelling was taken.
    CancelTaken,
    /// A run was placed.
    Placed,
    /// A run is known to be over.
    Closed,
    /// A job has ended.
    Finished,
    /// A run was paced.
    Paced,
    /// An order was not carried out or not answered.
    OrderFailed,
    /// An executor does not answer, or does again.
    Executor,
    /// An executor gets no work for a while.
    Quarantined,
    /// A shard is owned from now on.
    Gained,
    /// A shard is no longer owned.
    Lost,
    /// The store or a table does not answer, or does again.
    Store,
    /// A configuration is in force, or can't be read.
    Config,
}

impl Code {
    /// All events, in the order of their numbers.
    pub const ALL: [Self; 16] = [
        Self::Started,
        Self::Draining,
        Self::Stopped,
        Self::Submitted,
        Self::CancelTaken,
        Self::Placed,
        Self::Closed,
        Self::Finished,
        Self::Paced,
        Self::OrderFailed,
        Self::Executor,
        Self::Quarantined,
        Self::Gained,
        Self::Lost,
        Self::Store,
        Self::Config,
    ];

    /// Returns the number of the event.
    pub const fn number(self) -> u32 {
        match self {
            Self::Started => 1001,
            Self::Draining => 1002,
            Self::Stopped => 1003,
            Self::Submitted => 1100,
            Self::CancelTaken => 1101,
            Self::Placed => 1200,
            Self::Closed => 1201,
            Self::Finished => 1202,
            Self::Paced => 1203,
            Self::OrderFailed => 1204,
            Self::Executor => 1300,
            Self::Quarantined => 1301,
            Self::Gained => 1400,
            Self::Lost => 1401,
            Self::Store => 1420,
            Self::Config => 1500,
        }
    }

    /// Returns the name of the event.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Started => "instance.started",
            Self::Draining => "instance.draining",
            Self::Stopped => "instance.stopped",
            Self::Submitted => "job.submitted",
            Self::CancelTaken => "job.cancel_taken",
            Self::Placed => "run.placed",
            Self::Closed => "run.closed",
            Self::Finished => "job.finished",
            Self::Paced => "run.paced",
            Self::OrderFailed => "order.failed",
            Self::Executor => "executor.state",
            Self::Quarantined => "executor.quarantined",
            Self::Gained => "shard.gained",
            Self::Lost => "shard.lost",
            Self::Store => "store.state",
            Self::Config => "config.state",
        }
    }
}

/// One line of the log: JSON with time, event and fields.
#[derive(Debug)]
pub struct Line(Map<String, Value>);

impl Line {
    /// Returns a line for an event, without fields.
    pub fn new(code: Code) -> Self {
        let mut map = Map::new();
        map.insert("ms".to_owned(), clock::wall_ms().into());
        map.insert("event".to_owned(), code.number().into());
        map.insert("name".to_owned(), code.name().into());
        Self(map)
    }

    /// Adds a field as text.
    #[must_use]
    pub fn text(mut self, key: &str, value: impl Display) -> Self {
        self.0.insert(key.to_owned(), value.to_string().into());
        self
    }

    /// Adds a field as a number.
    #[must_use]
    pub fn number(mut self, key: &str, value: u64) -> Self {
        self.0.insert(key.to_owned(), value.into());
        self
    }

    /// Writes the line to standard output.
    pub fn write(self) {
        use std::io::Write;
        let mut text = Value::Object(self.0).to_string();
        text.push('\n');
        // A log that can't be written must not stop the instance.
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}
