//! Bounds on what the clients of a listener can hold of an instance: decisions without I/O.

mod budget;
mod limits;
mod report;
mod table;

pub use self::budget::{BodyId, Budget, Reservation};
pub use self::limits::{Limits, Machine};
pub(crate) use self::report::Reports;
pub use self::report::{Kind, Reason};
pub use self::table::{Admission, ConnectionId, Table};
