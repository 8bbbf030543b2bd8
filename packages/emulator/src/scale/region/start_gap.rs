//! Measures the gap without task starts after controllers were killed.

use std::time::{Duration, Instant};

/// Task starts have ceased when none occurred for this long.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Measures the time from a fault until tasks start again.  Starts that were already under way at
/// the fault do not count: the gap ends with the first start after a quiet period.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartGap {
    fault_at: Instant,
    started: u64,
    last_start_at: Instant,
    /// Whether starts have ceased since the fault.
    was_quiet: bool,
    next_start: Option<Duration>,
}

impl StartGap {
    /// Begins a measurement with a fault at the current time; `started` is the number of task starts
    /// so far.
    pub(super) fn begin(started: u64) -> StartGap {
        let now = Instant::now();
        StartGap { fault_at: now, started, last_start_at: now, was_quiet: false, next_start: None }
    }

    /// Records that `started` tasks had started by `now`.
    pub(super) fn record(&mut self, started: u64, now: Instant) {
        if started > self.started {
            if self.was_quiet && self.next_start.is_none() {
                self.next_start = Some(now - self.fault_at);
            }
            self.started = started;
            self.last_start_at = now;
        }
        self.was_quiet |= now - self.last_start_at > QUIET_PERIOD;
    }

    /// Returns the time from the fault to the first start after a quiet period, or `None` if there
    /// was none yet.
    pub(super) fn next_start(&self) -> Option<Duration> {
        self.next_start
    }
}
