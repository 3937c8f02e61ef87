//! Clients of the platform's table, object store, instance list, workers and endpoints.
//!
//! Every client blocks its thread, is cheap to clone and may be shared between
//! threads. A failed request says what is known of its effect: [`Error::NotSent`],
//! [`Error::Unavailable`] and [`Error::Refused`] had none, [`Error::Unknown`] and
//! [`Error::Malformed`] may have had one.

mod error;
mod http;
mod settings;

pub mod endpoint;
pub mod instances;
pub mod object;
pub mod table;
pub mod wire;
pub mod worker;

pub use error::{Doubt, Error};
pub use settings::Settings;
