//! The right of one incarnation of an instance to write.
//!
//! Each durable write is a transaction that checks the version of the writer's
//! session row. A successor writes that row once and so ends every later write of
//! the old session, whatever that one believes of the time.

mod machine;
mod row;

use std::fmt;

use sycamorerill_core::data;
use sycamorerill_core::id::{Incarnation, InstanceName};

use crate::store::Key;

pub(crate) use machine::{Change, Machine, Purpose};
pub use row::Row;

data! {
    /// Name of the session of one incarnation.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Name {
        /// Instance that writes.
        pub instance: InstanceName,
        /// Incarnation of the instance.
        pub incarnation: Incarnation,
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

/// Returns the row of the session of an instance.
pub fn key(instance: &InstanceName) -> Key {
    Key::new(format!("session/{instance}"))
}
