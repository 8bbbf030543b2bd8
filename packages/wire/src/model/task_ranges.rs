//! Sets of task indexes.

use serde::{Deserialize, Serialize};

/// A set of task numbers, as ranges: an array of a hundred thousand tasks is
/// a few numbers, not a hundred thousand objects.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(pub(super) Vec<(u32, u32)>);

impl Ranges {
    /// The set of `from..to`.
    pub fn span(from: u32, to: u32) -> Ranges {
        Ranges(if from < to { vec![(from, to)] } else { vec![] })
    }
    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// How many numbers it holds.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b.saturating_sub(*a)).sum()
    }
    /// Whether `n` is in it.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= n);
        self.0.get(i).is_some_and(|r| r.0 <= n)
    }
    /// Adds `n`; false if it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < n);
        match self.0.get_mut(i) {
            Some(r) if r.0 <= n && n < r.1 => return false,
            Some(r) if r.1 == n => r.1 += 1,
            Some(r) if n + 1 == r.0 => r.0 = n,
            _ => self.0.insert(i, (n, n + 1)),
        }
        if i + 1 < self.0.len() && self.0[i].1 == self.0[i + 1].0 {
            self.0[i].1 = self.0[i + 1].1;
            self.0.remove(i + 1);
        }
        true
    }
    /// Removes `n`; false if it was not there.
    pub fn remove(&mut self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= n);
        let Some(&(a, b)) = self.0.get(i).filter(|r| r.0 <= n) else { return false };
        let parts = [(a, n), (n + 1, b)].into_iter().filter(|r| r.0 < r.1);
        self.0.splice(i..=i, parts);
        true
    }
    /// The numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..b)
    }
    /// How many of them are below `n`.
    pub fn below(&self, n: u32) -> u32 {
        self.0.iter().take_while(|r| r.0 < n).map(|(a, b)| (*b).min(n) - a).sum()
    }
    /// The largest.
    pub fn last(&self) -> Option<u32> {
        self.0.last().map(|r| r.1 - 1)
    }
    /// How many unbroken ranges it is.
    pub fn parts(&self) -> usize {
        self.0.len()
    }
    /// The unbroken ranges, each from its first number to before its end.
    pub fn spans(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.0.iter().copied()
    }
    /// All but its first `n` unbroken ranges.
    pub fn without_first_parts(&self, n: usize) -> Ranges {
        Ranges(self.0.iter().skip(n).copied().collect())
    }
    /// Its first `n` unbroken ranges.
    pub fn first_parts(&self, n: usize) -> Ranges {
        Ranges(self.0.iter().take(n).copied().collect())
    }
}
