//! Sets of task indexes, stored as ranges.

use serde::{Deserialize, Serialize};

/// A set of task indexes, stored as a list of ranges.
///
/// All tasks of a job array of 100,000 tasks take a single range.  Each range is half-open and not
/// empty.  Ranges are in ascending order, and there is a gap between any two of them.  These
/// properties are not checked when a set is deserialized.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskIndexSet(pub(super) Vec<(u32, u32)>);

impl TaskIndexSet {
    /// Creates the set of all indexes from `from` up to but not including `to`; it is empty if
    /// `from >= to`.
    pub fn from_range(from: u32, to: u32) -> TaskIndexSet {
        TaskIndexSet(if from < to { vec![(from, to)] } else { vec![] })
    }
    /// Reports whether the set contains no index.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Returns the number of indexes in the set, not the number of ranges (see [`TaskIndexSet::range_count`]).
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(begin, end)| end.saturating_sub(*begin)).sum()
    }
    /// Reports whether an index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 <= index);
        self.0.get(position).is_some_and(|range| range.0 <= index)
    }
    /// Adds an index.  Returns whether the index was newly added, that is, false if the set already
    /// contained it.
    pub fn insert(&mut self, index: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 < index);
        match self.0.get_mut(position) {
            Some(range) if range.0 <= index && index < range.1 => return false,
            Some(range) if range.1 == index => range.1 += 1,
            Some(range) if index + 1 == range.0 => range.0 = index,
            _ => self.0.insert(position, (index, index + 1)),
        }
        let next = position + 1;
        if next < self.0.len() && self.0[position].1 == self.0[next].0 {
            self.0[position].1 = self.0[next].1;
            self.0.remove(next);
        }
        true
    }
    /// Removes an index.  Returns whether the set contained the index.
    pub fn remove(&mut self, index: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 <= index);
        let Some(&(begin, end)) = self.0.get(position).filter(|range| range.0 <= index) else { return false };
        let remaining = [(begin, index), (index + 1, end)].into_iter().filter(|range| range.0 < range.1);
        self.0.splice(position..=position, remaining);
        true
    }
    /// Returns an iterator over the indexes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(begin, end)| begin..end)
    }
    /// Returns the number of indexes that are less than `limit`.
    pub fn count_below(&self, limit: u32) -> u32 {
        self.0.iter().take_while(|range| range.0 < limit).map(|(begin, end)| (*end).min(limit) - begin).sum()
    }
    /// Returns the largest index; `None` if the set is empty.
    pub fn last(&self) -> Option<u32> {
        self.0.last().map(|range| range.1 - 1)
    }
    /// Returns the number of ranges by which the set is stored.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }
    /// Returns an iterator over the ranges in ascending order.  Each range is a pair of its first
    /// index and the index after its last.
    pub fn ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.0.iter().copied()
    }
    /// Returns the set of the indexes in all ranges but the first `count`.
    pub fn without_first_ranges(&self, count: usize) -> TaskIndexSet {
        TaskIndexSet(self.0.iter().skip(count).copied().collect())
    }
    /// Returns the set of the indexes in the first `count` ranges, or the whole set if it has fewer.
    pub fn first_ranges(&self, count: usize) -> TaskIndexSet {
        TaskIndexSet(self.0.iter().take(count).copied().collect())
    }
}
