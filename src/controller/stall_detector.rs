//! Detection of stalls: times in which a controller did not run while its clocks did.

use std::time::{Duration, Instant};

use super::{Controller, ControllerState};

/// Detects stalls from the gaps between its ticks.
#[derive(Debug, Clone, Copy)]
pub struct StallDetector {
    /// The last tick.
    pub last_tick: Instant,
    /// Since when the controller has run without a stall.
    pub running_since: Instant,
}

impl StallDetector {
    /// The controller runs at `now`; returns how long it was stalled before, if it was for
    /// longer than `limit`.  The first tick creates the detector.
    pub fn tick(detector: &mut Option<StallDetector>, limit: Duration, now: Instant) -> Option<Duration> {
        let detector = detector.get_or_insert(StallDetector { last_tick: now, running_since: now });
        let gap = now.saturating_duration_since(detector.last_tick);
        detector.last_tick = detector.last_tick.max(now);
        if gap <= limit {
            return None;
        }
        detector.running_since = now;
        Some(gap)
    }
}

impl Controller {
    /// Ticks the stall detector.  Called before every decision that rests on missing messages.
    ///
    /// After a stall they are missing because this controller did not read them: everything
    /// measured from the last message starts anew, so that nobody is taken for dead, cut off or
    /// refusing whose messages were merely not read.
    pub fn detect_stall(&self, state: &mut ControllerState, now: Instant) {
        let Some(gap) = StallDetector::tick(&mut state.stall_detector, self.policy.stood_still, now) else { return };
        let seconds = gap.as_secs_f64();
        tracing::info!(seconds = %format_args!("{seconds:.1}"), "controller stalled, heartbeat ages reset");
        self.store.reset_after_stall(now);
        self.peers.reset_after_stall();
        if let Some(cluster) = state.cluster.as_mut() {
            cluster.resumed_at = now;
        }
    }

    /// Ticks the stall detector regularly.
    pub async fn run_stall_detector(&self) {
        loop {
            smol::Timer::after(self.policy.renew / 2).await;
            self.detect_stall(&mut self.lock(), Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
