//! Counters that show whether a run reached the situations that the checker covers.

use std::ops::AddAssign;

/// Number of occurrences of each situation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Coverage {
    /// Requests whose job had ended and was in memory when a controller first evaluated them.
    pub(super) from_memory: u32,
    /// Look-ups that completed.
    pub(super) from_lookup: u32,
    /// Scans that restarted because the watch fell behind the history that the state service
    /// keeps.
    pub(super) restarted_scans: u32,
    /// Submissions and cancellations that were applied but whose response was lost.
    pub(super) lost_responses: u32,
    /// Submissions and cancellations that were delayed and had no response.
    pub(super) delayed_writes: u32,
}

impl Coverage {
    /// Returns all counters.
    pub(super) fn counts(&self) -> [u32; 5] {
        [self.from_memory, self.from_lookup, self.restarted_scans, self.lost_responses, self.delayed_writes]
    }
}

impl AddAssign for Coverage {
    fn add_assign(&mut self, other: Coverage) {
        self.from_memory += other.from_memory;
        self.from_lookup += other.from_lookup;
        self.restarted_scans += other.restarted_scans;
        self.lost_responses += other.lost_responses;
        self.delayed_writes += other.delayed_writes;
    }
}
