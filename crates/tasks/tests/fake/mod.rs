//! Small stand-ins for workers and the store around cells, in virtual time.

mod check;
mod load;
mod worker;
mod world;

#[allow(unused_imports)]
pub(crate) use self::check::Checks;
pub(crate) use self::load::{Truth, Truths};
#[allow(unused_imports)]
pub(crate) use self::worker::Worker;
#[allow(unused_imports)]
pub(crate) use self::world::{Faults, Tally, World};
