//! The time in which no task starts after controllers were killed.

use std::time::{Duration, Instant};

/// Starts have ceased when there was none for so long.
const QUIET: Duration = Duration::from_secs(1);

/// Measures the time from a fault until tasks start again.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartGap {
    fault_at: Instant,
    started: u64,
    last_start_at: Instant,
    /// Starts have ceased since the fault.
    was_quiet: bool,
    next_start: Option<Duration>,
}

impl StartGap {
    /// Begins with a fault now; `started` is the number of starts so far.
    pub(super) fn begin(started: u64) -> StartGap {
        let now = Instant::now();
        StartGap { fault_at: now, started, last_start_at: now, was_quiet: false, next_start: None }
    }

    /// Records the number of starts at this time.
    pub(super) fn record(&mut self, started: u64, now: Instant) {
        if started > self.started {
            if self.was_quiet && self.next_start.is_none() {
                self.next_start = Some(now - self.fault_at);
            }
            self.started = started;
            self.last_start_at = now;
        }
        self.was_quiet |= now - self.last_start_at > QUIET;
    }

    /// Time from the fault to the first start after a quiet time, if there was one.
    pub(super) fn next_start(&self) -> Option<Duration> {
        self.next_start
    }
}
