//! Measurement of how long requests wait until the executor runs them.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The recent scheduling delay of requests, in microseconds: how late a timer fires in a task that
/// runs among them.
///
/// The delay indicates an overload whatever the cause, without an estimate of the cost of each
/// request.  Work that can wait, such as placement passes, is throttled by it.
#[derive(Debug, Default)]
pub struct SchedulingDelay(AtomicU64);

impl SchedulingDelay {
    /// Returns the recent delay.
    pub fn recent(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }

    /// Records a measured delay.  The recent delay is this one or half of the previous value,
    /// whichever is larger.
    fn record(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.0.store(delay.max(self.0.load(Ordering::Relaxed) / 2), Ordering::Relaxed);
    }

    /// Measures the delay at this interval.  Never returns.  Has to be spawned as a request, not as
    /// a control task.
    pub async fn measure(&self, interval: Duration) {
        loop {
            let due = Instant::now() + interval;
            smol::Timer::at(due).await;
            self.record(due.elapsed());
        }
    }
}

#[cfg(test)]
mod tests;
