//! Bodies of the operator's HTTP interface, shared by its server and its client.
//!
//! Every body is JSON. An answer with a status of 400 or more carries a
//! [`Failure`].

mod config;
mod failure;
mod jobs;
mod penalties;
mod status;

pub use config::{Accepted, Configuration, Conflict, Proposal};
pub use failure::{Detail, Failure, Kind};
pub use jobs::{Job, JobState, Jobs, Submission, Submitted, TaskSize};
pub use penalties::{Grouping, GroupingError, Penalties, Row, Sum};
pub use status::{Change, Drain, Instance, InstanceState, Status, Store, StoreState};

/// Path of the state of all entry instances.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the configuration.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of the jobs; one job is at this path, `/` and its name.
pub const JOBS_PATH: &str = "/v1/jobs";
/// Path that starts the draining of an entry instance.
pub const DRAIN_PATH: &str = "/v1/drain";
/// Path of the settlement of penalties.
pub const PENALTIES_PATH: &str = "/v1/penalties";
