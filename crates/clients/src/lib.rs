//! Clients of the platform's table, object store, instance list, workers and endpoints.
//!
//! A client blocks the calling thread until the response or an error arrives. It is
//! cheap to clone and may be shared between threads.
//!
//! # Errors
//!
//! The error of a request states whether the request may have taken effect. It had no
//! effect after [`Error::NotSent`], [`Error::Unavailable`], [`Error::Refused`],
//! [`Error::Conflict`] and [`Error::Exists`]. It may have taken effect after
//! [`Error::Unknown`] and [`Error::Malformed`].

mod error;
mod http;
mod settings;

pub mod endpoint;
pub mod instances;
pub mod object;
pub mod table;
pub mod wire;
pub mod worker;

pub use error::{Error, UnknownCause};
pub use settings::Settings;
