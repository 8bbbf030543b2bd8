//! How long requests wait to be run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The recent scheduling delay of requests, measured as how late a timer among them fires.
///
/// It shows an overload from any cause and needs no estimate of costs; work that can wait is
/// throttled by it.  Stored in microseconds.
#[derive(Debug, Default)]
pub struct SchedulingDelay(AtomicU64);

impl SchedulingDelay {
    /// The recent delay.
    pub fn now(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }

    /// Records a delay.  Earlier delays decay by half with each one.
    fn record(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.0.store(delay.max(self.0.load(Ordering::Relaxed) / 2), Ordering::Relaxed);
    }

    /// Measures regularly; to be run as one of the requests.
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
