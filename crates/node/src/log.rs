//! The log of an instance: one line for each decision and each change of state.

use std::fmt::Display;
use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use serde_json::{Map, Value};

use crate::clock;

/// Maximum number of lines that are queued for writing.
const MAX_LINES: usize = 8_192;
/// Number of queued lines above which decisions are dropped; the rest of the queue is
/// reserved for changes of state.
const MAX_DECISION_LINES: usize = 6_144;
/// Delay in which lines accumulate, because each write has a cost.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Number of the first event that is a decision on a request or a run.
const FIRST_DECISION: u64 = 1_100;
/// Number of the first event after the decisions; it and all later events are changes of
/// state.
const FIRST_STATE: u64 = 1_300;

/// The numbered events of an instance for jobs; `docs/EVENTS-JOBS.md` is their catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// The instance has started.
    Started,
    /// A graceful shutdown has begun.
    Draining,
    /// The instance has shut down.
    Stopped,
    /// A submission was answered, whether the job was accepted or not.
    Submitted,
    /// A request to cancel a job was answered.
    CancelTaken,
    /// A submission was refused because the job can't be completed in time.
    Refused,
    /// A run was placed on an executor.
    Placed,
    /// A run was closed: it has ended or will never start.
    Closed,
    /// A job has ended.
    Finished,
    /// An executor was ordered to change the processor limit of a run.
    Paced,
    /// An order to an executor was not carried out or not answered.
    OrderFailed,
    /// The advice service returned the executors that may run a step, refused the query or
    /// did not answer.
    Advised,
    /// An executor crashed shortly after a task may have started there.
    Crashed,
    /// An executor has a run that no record has as open.
    Unknown,
    /// A wait for a place near the data or the group of tasks began or ended.
    Locality,
    /// A step is placed after those of queues that use less.
    HeldBack,
    /// An executor was reserved for a step.
    Reserved,
    /// No listed executor could run a step.
    Unschedulable,
    /// An executor became unreachable or reachable again, restarted or was unlisted, or a
    /// probe of it failed.
    Executor,
    /// An executor was quarantined and receives no work for a time.
    Quarantined,
    /// The interference model was recorded.
    Model,
    /// Runs of predecessors may be active on an executor at a takeover.
    Inherited,
    /// An executor with runs of predecessors has given its first report.
    Fenced,
    /// The instance has become the owner of a shard.
    Gained,
    /// The instance no longer owns a shard.
    Lost,
    /// The number of shards has been agreed.
    Layout,
    /// The instance releases a shard because it falls behind.
    Yielded,
    /// How well an owner of shards keeps up.
    Load,
    /// The evacuated failure domains have changed, or a row that names none was found.
    Evacuated,
    /// The store became unavailable or available again, or rejects a transaction for good.
    Store,
    /// The store rejects a row for good; the job whose record it is does not go on.
    Rejected,
    /// A configuration took effect or can't be read, or the settings file was read again.
    Config,
    /// The address for metrics can't be listened on.
    Metrics,
    /// A listener refused requests or closed connections.
    ListenerRefused,
}

impl Code {
    /// All events, in the order of their numbers.
    pub const ALL: [Self; 34] = [
        Self::Started,
        Self::Draining,
        Self::Stopped,
        Self::Submitted,
        Self::CancelTaken,
        Self::Refused,
        Self::Placed,
        Self::Closed,
        Self::Finished,
        Self::Paced,
        Self::OrderFailed,
        Self::Advised,
        Self::Crashed,
        Self::Unknown,
        Self::Locality,
        Self::Reserved,
        Self::HeldBack,
        Self::Unschedulable,
        Self::Executor,
        Self::Quarantined,
        Self::Model,
        Self::Inherited,
        Self::Fenced,
        Self::Gained,
        Self::Lost,
        Self::Layout,
        Self::Yielded,
        Self::Load,
        Self::Evacuated,
        Self::Store,
        Self::Rejected,
        Self::Config,
        Self::Metrics,
        Self::ListenerRefused,
    ];

    /// Returns the number of the event.
    pub const fn number(self) -> u32 {
        match self {
            Self::Started => 1001,
            Self::Draining => 1002,
            Self::Stopped => 1003,
            Self::Submitted => 1100,
            Self::CancelTaken => 1101,
            Self::Refused => 1102,
            Self::Placed => 1200,
            Self::Closed => 1201,
            Self::Finished => 1202,
            Self::Paced => 1203,
            Self::OrderFailed => 1204,
            Self::Advised => 1205,
            Self::Crashed => 1206,
            Self::Unknown => 1207,
            Self::Locality => 1208,
            Self::Reserved => 1210,
            Self::HeldBack => 1211,
            Self::Unschedulable => 1212,
            Self::Executor => 1300,
            Self::Quarantined => 1301,
            Self::Model => 1302,
            Self::Inherited => 1303,
            Self::Fenced => 1304,
            Self::Gained => 1400,
            Self::Lost => 1401,
            Self::Layout => 1402,
            Self::Yielded => 1403,
            Self::Load => 1404,
            Self::Evacuated => 1405,
            Self::Store => 1420,
            Self::Rejected => 1421,
            Self::Config => 1500,
            Self::Metrics => 1501,
            Self::ListenerRefused => 1502,
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
            Self::Refused => "job.refused",
            Self::Placed => "run.placed",
            Self::Closed => "run.closed",
            Self::Finished => "job.finished",
            Self::Paced => "run.paced",
            Self::OrderFailed => "order.failed",
            Self::Advised => "step.advised",
            Self::Crashed => "run.crashed",
            Self::Unknown => "run.unknown",
            Self::Locality => "step.locality",
            Self::Reserved => "step.reserved",
            Self::HeldBack => "step.held_back",
            Self::Unschedulable => "step.unschedulable",
            Self::Executor => "executor.state",
            Self::Quarantined => "executor.quarantined",
            Self::Model => "model.recorded",
            Self::Inherited => "executor.inherited",
            Self::Fenced => "executor.fenced",
            Self::Gained => "shard.gained",
            Self::Lost => "shard.lost",
            Self::Layout => "shard.layout",
            Self::Yielded => "shard.yielded",
            Self::Load => "shard.load",
            Self::Evacuated => "domains.evacuated",
            Self::Store => "store.state",
            Self::Rejected => "row.rejected",
            Self::Config => "config.state",
            Self::Metrics => "metrics.failed",
            Self::ListenerRefused => "listener.refused",
        }
    }
}

/// A line of the log: a JSON object with the time, the event and its fields.
#[derive(Debug)]
pub struct Line(Map<String, Value>);

impl Line {
    /// Returns a line for an event, without further fields.
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

    /// Queues the line for the writer thread; a line that the queue has no room for is
    /// dropped.
    pub fn write(self) {
        let is_state_change = self.is_state_change();
        let mut text = self.to_string();
        text.push('\n');
        writer().push(text, is_state_change);
    }

    /// Returns whether the event is a change of state; these have priority over decisions.
    fn is_state_change(&self) -> bool {
        let number = self.0.get("event").and_then(Value::as_u64);
        number.is_some_and(|number| !(FIRST_DECISION..FIRST_STATE).contains(&number))
    }
}

impl Display for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = serde_json::to_string(&self.0).map_err(|_| std::fmt::Error)?;
        f.write_str(&text)
    }
}

/// A bounded queue of lines for the writer; the instance never blocks on its log.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<String>,
    /// Number of queued lines.
    waiting: Arc<AtomicUsize>,
    dropped: AtomicU64,
}

impl Queue {
    /// Returns a queue and its receiving end.
    pub fn new() -> (Self, Lines) {
        let (sender, receiver) = mpsc::sync_channel(MAX_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let lines = Lines { receiver, waiting: Arc::clone(&waiting) };
        (Self { lines: sender, waiting, dropped: AtomicU64::new(0) }, lines)
    }

    /// Queues a line, or drops and counts it if there is no room.
    ///
    /// Changes of state have reserved room that decisions can't use.
    pub fn push(&self, line: String, is_state_change: bool) {
        let waiting = self.waiting.load(Ordering::Relaxed);
        if !is_state_change && waiting >= MAX_DECISION_LINES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        match self.lines.try_send(line) {
            Ok(()) => {
                self.waiting.fetch_add(1, Ordering::Relaxed);
            }
            Err(_) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// The receiving end of a [`Queue`].
#[derive(Debug)]
pub struct Lines {
    receiver: Receiver<String>,
    waiting: Arc<AtomicUsize>,
}

impl Lines {
    /// Waits for a line and returns all queued lines as one text; returns none once the queue
    /// is dropped.
    pub fn receive_all(&self) -> Option<String> {
        let mut text = self.receiver.recv().ok()?;
        let mut taken = 1;
        while let Ok(line) = self.receiver.try_recv() {
            text.push_str(&line);
            taken += 1;
        }
        self.waiting.fetch_sub(taken, Ordering::Relaxed);
        Some(text)
    }
}

/// Returns the number of lines that this process has dropped.
pub(crate) fn dropped_lines() -> u64 {
    writer().dropped()
}

/// Returns the queue of this process; a thread writes its lines to standard output.
fn writer() -> &'static Queue {
    static WRITER: OnceLock<Queue> = OnceLock::new();
    WRITER.get_or_init(|| {
        let (queue, lines) = Queue::new();
        thread::spawn(move || {
            while let Some(text) = lines.receive_all() {
                // A failure to write the log must not stop the instance.
                let _ = std::io::stdout().write_all(text.as_bytes());
                thread::sleep(BATCH_DELAY);
            }
        });
        queue
    })
}
