//! Identifiers, sizes, rates, the clock and the configuration model.
//!
//! Apart from [`clock::Clock`], which reads the system clock, this crate is plain
//! data without I/O. The crates that make scheduling decisions receive a
//! [`clock::Time`] with each event and never read a clock themselves.

mod macros;

pub mod api;
pub mod clock;
pub mod id;
pub mod model;
pub mod money;
pub mod rate;
pub mod size;
