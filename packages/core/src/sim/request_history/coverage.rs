//! Counters which show that a run had something to check.

use std::ops::AddAssign;

/// How often each situation came up.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Coverage {
    /// Requests on ended jobs that were answered from memory.
    pub(super) from_memory: u32,
    /// Requests that were answered by a look-up.
    pub(super) from_lookup: u32,
    /// Scans that began again as the watch was too old.
    pub(super) restarted_scans: u32,
    /// Responses to submissions and cancellations that were lost.
    pub(super) lost_responses: u32,
    /// Submissions and cancellations that came late.
    pub(super) late_writes: u32,
}

impl Coverage {
    /// All counters.
    pub(super) fn counts(&self) -> [u32; 5] {
        [self.from_memory, self.from_lookup, self.restarted_scans, self.lost_responses, self.late_writes]
    }
}

impl AddAssign for Coverage {
    fn add_assign(&mut self, other: Coverage) {
        self.from_memory += other.from_memory;
        self.from_lookup += other.from_lookup;
        self.restarted_scans += other.restarted_scans;
        self.lost_responses += other.lost_responses;
        self.late_writes += other.late_writes;
    }
}
