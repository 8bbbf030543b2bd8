//! Detection of stalls: times in which the controller's process did not run while its clock
//! advanced.

use std::time::{Duration, Instant};

use super::{Controller, ControllerState};

/// Detects stalls by the time between ticks.
#[derive(Debug, Clone, Copy)]
pub struct StallDetector {
    /// When the detector last ticked.
    pub last_tick: Instant,
    /// Since when the controller has been running without a stall.
    pub running_since: Instant,
}

impl StallDetector {
    /// Records that the controller runs at `now`.  Returns the time since the previous tick if that
    /// is longer than `threshold`, which means that the controller was stalled.  The first tick
    /// creates the detector.
    pub fn tick(detector: &mut Option<StallDetector>, threshold: Duration, now: Instant) -> Option<Duration> {
        let detector = detector.get_or_insert(StallDetector { last_tick: now, running_since: now });
        let gap = now.saturating_duration_since(detector.last_tick);
        detector.last_tick = detector.last_tick.max(now);
        if gap <= threshold {
            return None;
        }
        detector.running_since = now;
        Some(gap)
    }
}

impl Controller {
    /// Ticks the stall detector.  Has to be called before every decision that depends on missing
    /// messages.
    ///
    /// After a stall, messages are missing because this controller has not read them yet.  So all
    /// times since a last message are reset, and no worker, peer or service is considered dead,
    /// isolated or failing because of the stall.
    pub fn detect_stall(&self, state: &mut ControllerState, now: Instant) {
        let Some(gap) = StallDetector::tick(&mut state.stall_detector, self.policy.stood_still, now) else { return };
        let seconds = gap.as_secs_f64();
        tracing::info!(
            seconds = %format_args!("{seconds:.1}"),
            "controller was stalled, resetting the times since the last messages"
        );
        self.store.reset_after_stall(now);
        self.peers.reset_after_stall();
        if let Some(cluster) = state.cluster.as_mut() {
            cluster.last_stall_ended_at = now;
        }
    }

    /// Ticks the stall detector periodically.  Never returns.
    pub async fn run_stall_detector(&self) {
        loop {
            smol::Timer::after(self.policy.renew / 2).await;
            self.detect_stall(&mut self.lock(), Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
