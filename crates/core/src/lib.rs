//! Identifiers, sizes, rates, the clock and the declared model.
//!
//! Everything here is plain data without I/O. The decision crates take a
//! [`clock::Time`] with each event and never read a clock of their own.

mod macros;

pub mod api;
pub mod clock;
pub mod id;
pub mod model;
pub mod money;
pub mod rate;
pub mod size;
