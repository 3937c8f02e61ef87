//! Sets of numbers that are mostly consecutive.

use std::collections::BTreeMap;

/// A set of numbers, held as ranges.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranges {
    /// Last number of each range, by its first number.
    last: BTreeMap<u32, u32>,
}

impl Ranges {
    /// Returns whether the set contains `number`.
    pub(super) fn contains(&self, number: u32) -> bool {
        self.last.range(..=number).next_back().is_some_and(|(_, last)| *last >= number)
    }

    /// Inserts all numbers from `first` to `last`.
    pub(super) fn insert(&mut self, first: u32, last: u32) {
        if first > last {
            return;
        }
        let (mut first, mut last) = (first, last);
        // Ranges that overlap the new one or adjoin it become part of it.
        while let Some((&begin, &end)) = self.last.range(..=last.saturating_add(1)).next_back() {
            if end.saturating_add(1) < first {
                break;
            }
            self.last.remove(&begin);
            first = first.min(begin);
            last = last.max(end);
        }
        self.last.insert(first, last);
    }

    /// Returns how many numbers the set contains.
    pub(super) fn len(&self) -> u64 {
        self.last.iter().map(|(first, last)| u64::from(last - first) + 1).sum()
    }

    /// Returns the ranges with their first and last numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.last.iter().map(|(first, last)| (*first, *last))
    }
}
