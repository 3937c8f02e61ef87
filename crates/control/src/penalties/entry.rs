//! Misses, sets of misses and their totals.

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
    pub struct Id {
        /// Minute that follows from the subject, never from who counts or when.
        pub minute: Minute,
        /// Target that was missed.
        pub target: TargetName,
        /// Hash of the identity of the call or task that missed it.
        pub subject: u64,
    }
}

data! {
    /// One miss.
    pub struct Entry {
        /// Identity of the miss.
        pub id: Id,
        /// Team that the target is promised to.
        pub team: TeamName,
        /// Service that missed it, or nothing for a job.
        pub service: Option<ServiceName>,
        /// Penalty.
        pub amount: Amount,
    }
}

/// Set of misses.
pub type Misses = BTreeMap<Id, Entry>;

value! {
    /// What totals are grouped by.
    pub enum By {
        /// The target.
        Target,
        /// The team.
        Team,
        /// The service; the misses of jobs stand under `-`.
        Service,
    }
}

/// Text that is not a way to group totals.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a way to group penalties, expected target, team or service")]
pub struct ByError(String);

impl FromStr for By {
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

impl fmt::Display for By {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Target => "target",
            Self::Team => "team",
            Self::Service => "service",
        })
    }
}

data! {
    /// Misses of one name and what they cost.
    pub struct Total {
        /// Target, team or service.
        pub name: String,
        /// Number of misses.
        pub misses: u64,
        /// Sum of the penalties.
        pub amount: Amount,
    }
}

data! {
    /// Misses by minute, target, team and service.
    #[derive(Default)]
    pub struct Counts {
        pub(crate) by_key: BTreeMap<CountKey, (u64, Amount)>,
    }
}

/// Minute, target, team and service of misses that are counted together.
pub(crate) type CountKey = (Minute, TargetName, TeamName, Option<ServiceName>);

impl Counts {
    /// Counts a set of misses.
    pub fn of(misses: &Misses) -> Self {
        let mut counts = Self::default();
        misses.values().for_each(|entry| counts.add(entry));
        counts
    }

    fn add(&mut self, entry: &Entry) {
        let key =
            (entry.id.minute, entry.id.target.clone(), entry.team.clone(), entry.service.clone());
        let (misses, amount) = self.by_key.entry(key).or_default();
        *misses += 1;
        *amount = *amount + entry.amount;
    }

    /// Adds the counts of another hour.
    pub fn extend(&mut self, other: Self) {
        for (key, (misses, amount)) in other.by_key {
            let entry = self.by_key.entry(key).or_default();
            entry.0 += misses;
            entry.1 = entry.1 + amount;
        }
    }
}

/// Returns the totals of the minutes from `from` up to and without `to`.
pub fn settle(counts: &Counts, from: Minute, to: Minute, by: By) -> Vec<Total> {
    let mut totals: BTreeMap<String, (u64, Amount)> = BTreeMap::new();
    for ((minute, target, team, service), (misses, amount)) in &counts.by_key {
        if *minute < from || *minute >= to {
            continue;
        }
        let name = match by {
            By::Target => target.to_string(),
            By::Team => team.to_string(),
            By::Service => service.as_ref().map_or("-".to_owned(), ToString::to_string),
        };
        let total = totals.entry(name).or_default();
        total.0 += misses;
        total.1 = total.1 + *amount;
    }
    let total = |(name, (misses, amount))| Total { name, misses, amount };
    totals.into_iter().map(total).collect()
}
