//! Request and response bodies of the operators' HTTP interface.
//!
//! Every body is JSON. A response with a status of 400 or more carries a [`Failure`].

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

/// Path that returns the state of all entry instances.
pub const STATUS_PATH: &str = "/v1/status";
/// Path that returns the configuration and accepts proposals.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of all jobs; a single job has the path `/v1/jobs/NAME`.
pub const JOBS_PATH: &str = "/v1/jobs";
/// Path that starts draining an entry instance.
pub const DRAIN_PATH: &str = "/v1/drain";
/// Path that returns the penalties of a period.
pub const PENALTIES_PATH: &str = "/v1/penalties";
