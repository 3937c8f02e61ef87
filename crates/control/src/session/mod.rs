//! Sessions: the right of one incarnation of an instance to write to the store.
//!
//! Each transaction of an instance checks the version of its session row. A successor
//! fences the session by writing that row, so all later writes of the old session fail,
//! even while the old instance still considers itself alive.

mod machine;
mod row;

use std::fmt;

use sycamorerill_core::data;
use sycamorerill_core::id::{Incarnation, InstanceName};

use crate::store::Key;

pub(crate) use machine::{Change, Machine, Purpose};
pub use row::Row;

data! {
    /// Identifier of the session of one incarnation.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Name {
        /// Instance that owns the session.
        pub instance: InstanceName,
        /// Incarnation that opened the session.
        pub incarnation: Incarnation,
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

/// Returns the key of an instance's session row.
pub fn key(instance: &InstanceName) -> Key {
    Key::new(format!("session/{instance}"))
}
