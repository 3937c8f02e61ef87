//! Models estimated from reports: sizes, run times, interference and failure rates.

mod estimate;
mod failure;
mod interference;

pub(crate) use self::estimate::Estimates;
pub(crate) use self::failure::{FailureRates, FaultEvidence};
pub(crate) use self::interference::{
    InterferenceModel, Mix, MixHistory, add_to_mix, core_fraction,
};
