//! Jobs that wait, by urgency, then by the share that their team holds, then by
//! the latest instant at which they can start and meet their deadline.

use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;
use sycamorerill_core::data;
use sycamorerill_core::model::Urgency;

use crate::cell::key;

data! {
    /// Place of a job in the queue.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) struct Position {
        pub(crate) urgency: Urgency,
        pub(crate) team: key::Team,
        /// Whether the deadline can't be met any more; such jobs go last in their team.
        pub(crate) hopeless: bool,
        /// Latest start that meets the deadline.
        pub(crate) start: Time,
        pub(crate) job: key::Job,
    }
}

type Rank = (bool, Time, key::Job);

/// Waiting jobs in the order in which they are tried.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    bands: BTreeMap<Urgency, Band>,
    shares: BTreeMap<key::Team, u64>,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Band {
    teams: BTreeMap<key::Team, BTreeSet<Rank>>,
    order: BTreeSet<(u64, key::Team)>,
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
    pub(crate) fn first(&self) -> Option<Position> {
        self.bands.iter().rev().find_map(|(urgency, band)| {
            let (_, team) = band.order.first()?;
            let (hopeless, start, job) = *band.teams.get(team)?.first()?;
            Some(Position { urgency: *urgency, team: *team, hopeless, start, job })
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
