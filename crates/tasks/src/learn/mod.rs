//! What is learned from reports: sizes, run times, interference and faults.

mod fault;
mod pair;
mod size;

pub(crate) use self::fault::{Faults, Standing};
pub(crate) use self::pair::{Mix, Mixes, Pairs, add, part};
pub(crate) use self::size::Sizes;
