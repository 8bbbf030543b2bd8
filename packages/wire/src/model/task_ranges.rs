//! Sets of task indexes.

use serde::{Deserialize, Serialize};

/// A set of task indexes as a list of ranges: the tasks of a job array of a hundred thousand
/// are a few numbers.  The ranges are half-open, in ascending order, and do not touch.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(pub(super) Vec<(u32, u32)>);

impl Ranges {
    /// Creates the set of `from..to`.
    pub fn span(from: u32, to: u32) -> Ranges {
        Ranges(if from < to { vec![(from, to)] } else { vec![] })
    }
    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Returns the number of indexes.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b.saturating_sub(*a)).sum()
    }
    /// Whether an index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 <= index);
        self.0.get(position).is_some_and(|range| range.0 <= index)
    }
    /// Adds an index; returns false if it was there already.
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
    /// Removes an index; returns false if it was not there.
    pub fn remove(&mut self, index: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 <= index);
        let Some(&(begin, end)) = self.0.get(position).filter(|range| range.0 <= index) else { return false };
        let remaining = [(begin, index), (index + 1, end)].into_iter().filter(|range| range.0 < range.1);
        self.0.splice(position..=position, remaining);
        true
    }
    /// Iterates over the indexes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..b)
    }
    /// Returns the number of indexes below a limit.
    pub fn below(&self, limit: u32) -> u32 {
        self.0.iter().take_while(|range| range.0 < limit).map(|(begin, end)| (*end).min(limit) - begin).sum()
    }
    /// Returns the largest index.
    pub fn last(&self) -> Option<u32> {
        self.0.last().map(|r| r.1 - 1)
    }
    /// Returns the number of ranges.
    pub fn parts(&self) -> usize {
        self.0.len()
    }
    /// Iterates over the ranges, each as its first index and the index after its last.
    pub fn spans(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.0.iter().copied()
    }
    /// Returns all but the first `count` ranges.
    pub fn without_first_parts(&self, count: usize) -> Ranges {
        Ranges(self.0.iter().skip(count).copied().collect())
    }
    /// Returns the first `count` ranges.
    pub fn first_parts(&self, count: usize) -> Ranges {
        Ranges(self.0.iter().take(count).copied().collect())
    }
}
