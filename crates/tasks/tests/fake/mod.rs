//! Simulated workers and a simulated store for cells, in virtual time.

mod check;
mod profile;
mod worker;
mod world;

#[allow(unused_imports)]
pub(crate) use self::check::Checks;
pub(crate) use self::profile::{Profile, Profiles};
#[allow(unused_imports)]
pub(crate) use self::worker::Worker;
#[allow(unused_imports)]
pub(crate) use self::world::{Faults, Tally, World};
