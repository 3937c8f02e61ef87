//! The queue of waiting jobs.
//!
//! Jobs are ordered by urgency, then by the share of its quota that their team
//! uses, then by the latest start that meets their deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use sycamorerill_core::clock::Time;
use sycamorerill_core::data;
use sycamorerill_core::model::Urgency;

use crate::cell::key;

data! {
    /// Sort key of a job in the queue; the smallest one goes first.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) struct Position {
        pub(crate) urgency: Reverse<Urgency>,
        /// Whether the latest start had passed when the job was queued; such jobs go last in
        /// their team.
        pub(crate) cannot_meet_deadline: bool,
        /// Latest start that meets the deadline, by the estimated run time.
        pub(crate) latest_start: Time,
        pub(crate) team: key::Team,
        pub(crate) job: key::Job,
    }
}

type Rank = (bool, Time, key::Job);

/// Waiting jobs in the order in which placement tries them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    levels: BTreeMap<Reverse<Urgency>, UrgencyLevel>,
    shares: BTreeMap<key::Team, u64>,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct UrgencyLevel {
    teams: BTreeMap<key::Team, BTreeSet<Rank>>,
    order: BTreeSet<(u64, key::Team)>,
}

/// Share of a team that uses exactly its quota, in millionths.
pub(crate) const FULL_QUOTA: u64 = 1_000_000;

impl UrgencyLevel {
    /// Returns the first job of the team with the smallest share, if below `max_share`.
    fn first(&self, urgency: Reverse<Urgency>, max_share: u64) -> Option<Position> {
        let (_, team) = self.order.first().filter(|(share, _)| *share < max_share)?;
        let (cannot_meet_deadline, latest_start, job) = *self.teams.get(team)?.first()?;
        Some(Position { urgency, cannot_meet_deadline, latest_start, team: *team, job })
    }
}

impl Queue {
    pub(crate) fn insert(&mut self, position: Position) {
        let share = self.share(position.team);
        let level = self.levels.entry(position.urgency).or_default();
        let jobs = level.teams.entry(position.team).or_default();
        if jobs.insert((position.cannot_meet_deadline, position.latest_start, position.job)) {
            self.len += 1;
        }
        level.order.insert((share, position.team));
    }

    pub(crate) fn remove(&mut self, position: Position) {
        let share = self.share(position.team);
        let Some(level) = self.levels.get_mut(&position.urgency) else { return };
        let Some(jobs) = level.teams.get_mut(&position.team) else { return };
        if jobs.remove(&(position.cannot_meet_deadline, position.latest_start, position.job)) {
            self.len -= 1;
        }
        if jobs.is_empty() {
            level.teams.remove(&position.team);
            level.order.remove(&(share, position.team));
        }
    }

    /// Returns the job to place next.
    ///
    /// Teams below their quota precede teams at or above it, regardless of urgency, so that
    /// a team that floods the queue with urgent work can't use the quota of other teams.
    pub(crate) fn first(&self) -> Option<Position> {
        let within =
            self.levels.iter().find_map(|(urgency, level)| level.first(*urgency, FULL_QUOTA));
        within.or_else(|| {
            self.levels.iter().find_map(|(urgency, level)| level.first(*urgency, u64::MAX))
        })
    }

    /// Sets the share that a team uses, in millionths of its quota.
    pub(crate) fn set_share(&mut self, team: key::Team, share: u64) {
        let before = self.share(team);
        self.shares.insert(team, share);
        for level in self.levels.values_mut() {
            if level.order.remove(&(before, team)) {
                level.order.insert((share, team));
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
