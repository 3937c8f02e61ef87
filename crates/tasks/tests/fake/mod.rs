//! Small stand-ins for workers and the store around cells, in virtual time.

mod check;
mod load;
mod worker;
mod world;

#[allow(unused_imports)]
pub use self::check::Checks;
pub use self::load::{Truth, Truths};
#[allow(unused_imports)]
pub use self::worker::Worker;
#[allow(unused_imports)]
pub use self::world::{Faults, Tally, World};
