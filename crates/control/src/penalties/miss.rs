//! Missed targets, sets of misses and their totals.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use sycamorerill_core::id::{ServiceName, TargetName, TeamName};
use sycamorerill_core::money::Amount;
use sycamorerill_core::{data, value};

use super::Minute;

data! {
    /// Identity of a miss.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct MissId {
        /// Minute derived from the subject, such as that of its deadline.
        ///
        /// It does not depend on the instance that counts the miss, nor on when it does
        /// so.
        pub minute: Minute,
        /// Target that was missed.
        pub target: TargetName,
        /// Hash of the identifier of the call or task that missed the target.
        pub subject: u64,
    }
}

data! {
    /// Missed target with its penalty.
    pub struct Miss {
        /// Identity of the miss.
        pub id: MissId,
        /// Team that the target was promised to.
        pub team: TeamName,
        /// Service that missed the target, or `None` for a job.
        pub service: Option<ServiceName>,
        /// Penalty for the miss.
        pub amount: Amount,
    }
}

/// Set of misses, by identity.
pub type Misses = BTreeMap<MissId, Miss>;

value! {
    /// Key by which totals are grouped.
    pub enum GroupBy {
        /// Group by target.
        Target,
        /// Group by team.
        Team,
        /// Group by service. The misses of jobs are grouped under `-`.
        Service,
    }
}

/// Unknown grouping key in a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a way to group penalties, expected target, team or service")]
pub struct ByError(String);

impl FromStr for GroupBy {
    type Err = ByError;

    fn from_str(text: &str) -> Result<Self, ByError> {
        match text {
            "target" => Ok(Self::Target),
            "team" => Ok(Self::Team),
            "service" => Ok(Self::Service),
            _ => Err(ByError(text.to_owned())),
        }
    }
}

impl fmt::Display for GroupBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Target => "target",
            Self::Team => "team",
            Self::Service => "service",
        })
    }
}

data! {
    /// Total of one group.
    pub struct Total {
        /// Name of the target, team or service.
        pub name: String,
        /// Number of misses.
        pub misses: u64,
        /// Sum of the penalties.
        pub amount: Amount,
    }
}

data! {
    /// Number of misses and sum of penalties by minute, target, team and service.
    #[derive(Default)]
    pub struct Counts {
        pub(crate) by_key: BTreeMap<CountKey, (u64, Amount)>,
    }
}

/// Minute, target, team and service of misses that are counted together.
pub(crate) type CountKey = (Minute, TargetName, TeamName, Option<ServiceName>);

impl Counts {
    /// Counts the misses of a set.
    pub fn of(misses: &Misses) -> Self {
        let mut counts = Self::default();
        misses.values().for_each(|miss| counts.add(miss));
        counts
    }

    fn add(&mut self, miss: &Miss) {
        let key = (miss.id.minute, miss.id.target.clone(), miss.team.clone(), miss.service.clone());
        let (misses, amount) = self.by_key.entry(key).or_default();
        *misses += 1;
        *amount = *amount + miss.amount;
    }

    /// Adds other counts, which must not contain the same misses.
    pub fn extend(&mut self, other: Self) {
        for (key, (misses, amount)) in other.by_key {
            let entry = self.by_key.entry(key).or_default();
            entry.0 += misses;
            entry.1 = entry.1 + amount;
        }
    }
}

/// Returns the totals of the minutes from `from` up to but excluding `to`.
pub fn settle(counts: &Counts, from: Minute, to: Minute, by: GroupBy) -> Vec<Total> {
    let mut totals: BTreeMap<String, (u64, Amount)> = BTreeMap::new();
    for ((minute, target, team, service), (misses, amount)) in &counts.by_key {
        if *minute < from || *minute >= to {
            continue;
        }
        let name = match by {
            GroupBy::Target => target.to_string(),
            GroupBy::Team => team.to_string(),
            GroupBy::Service => service.as_ref().map_or("-".to_owned(), ToString::to_string),
        };
        let total = totals.entry(name).or_default();
        total.0 += misses;
        total.1 = total.1 + *amount;
    }
    let total = |(name, (misses, amount))| Total { name, misses, amount };
    totals.into_iter().map(total).collect()
}
