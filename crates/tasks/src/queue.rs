//! Jobs that wait, by urgency, then by the share that their team holds, then by
//! the latest instant at which they can start and meet their deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;
use sycamorerill_core::data;
use sycamorerill_core::model::Urgency;

use crate::cell::key;

data! {
    /// Place of a job in the queue; the least one goes first.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) struct Position {
        pub(crate) urgency: Reverse<Urgency>,
        /// Whether the deadline can't be met any more; such jobs go last in their team.
        pub(crate) hopeless: bool,
        /// Latest start that meets the deadline.
        pub(crate) start: Time,
        pub(crate) team: key::Team,
        pub(crate) job: key::Job,
    }
}

type Rank = (bool, Time, key::Job);

/// Waiting jobs in the order in which they are tried.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    bands: BTreeMap<Reverse<Urgency>, Band>,
    shares: BTreeMap<key::Team, u64>,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Band {
    teams: BTreeMap<key::Team, BTreeSet<Rank>>,
    order: BTreeSet<(u64, key::Team)>,
}

/// Share of a team that holds its whole quota.
pub(crate) const WHOLE_QUOTA: u64 = 1_000_000;

impl Band {
    /// Returns the first job of the team with the least share, if that is below `most`.
    fn first(&self, urgency: Reverse<Urgency>, most: u64) -> Option<Position> {
        let (_, team) = self.order.first().filter(|(share, _)| *share < most)?;
        let (hopeless, start, job) = *self.teams.get(team)?.first()?;
        Some(Position { urgency, hopeless, start, team: *team, job })
    }
}

impl Queue {
    pub(crate) fn insert(&mut self, position: Position) {
        let share = self.share(position.team);
        let band = self.bands.entry(position.urgency).or_default();
        let jobs = band.teams.entry(position.team).or_default();
        if jobs.insert((position.hopeless, position.start, position.job)) {
            self.len += 1;
        }
        band.order.insert((share, position.team));
    }

    pub(crate) fn remove(&mut self, position: Position) {
        let share = self.share(position.team);
        let Some(band) = self.bands.get_mut(&position.urgency) else { return };
        let Some(jobs) = band.teams.get_mut(&position.team) else { return };
        if jobs.remove(&(position.hopeless, position.start, position.job)) {
            self.len -= 1;
        }
        if jobs.is_empty() {
            band.teams.remove(&position.team);
            band.order.remove(&(share, position.team));
        }
    }

    /// Returns the job that goes first.
    ///
    /// Teams within their quota go before those that borrow, whatever the urgency, so that
    /// a team that floods the queue with urgent work doesn't take the quota of others.
    pub(crate) fn first(&self) -> Option<Position> {
        let within =
            self.bands.iter().find_map(|(urgency, band)| band.first(*urgency, WHOLE_QUOTA));
        within.or_else(|| {
            self.bands.iter().find_map(|(urgency, band)| band.first(*urgency, u64::MAX))
        })
    }

    /// Sets the share that a team holds, in millionths of its quota.
    pub(crate) fn set_share(&mut self, team: key::Team, share: u64) {
        let before = self.share(team);
        self.shares.insert(team, share);
        for band in self.bands.values_mut() {
            if band.order.remove(&(before, team)) {
                band.order.insert((share, team));
            }
        }
    }

    pub(crate) fn share(&self, team: key::Team) -> u64 {
        self.shares.get(&team).copied().unwrap_or(0)
    }

    pub(crate) const fn len(&self) -> usize {
        self.len
    }
}
