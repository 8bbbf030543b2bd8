//! The loop in which the leader runs placement passes over the queue.

use std::time::{Duration, Instant};

use crate::controller::{Controller, ControllerState};
use crate::leadership::step_down::StepDownReason;
use crate::operators::telemetry::TimedOperation;

/// Longest wait for a wake-up before the next placement pass.
const PASS_INTERVAL: Duration = Duration::from_millis(500);

impl Controller {
    /// Runs a placement pass after each wake-up, and periodically without one.
    ///
    /// Never returns, so it never ends the term.
    pub(super) async fn run_placement(&self) -> StepDownReason {
        loop {
            self.placement_wake.wait(PASS_INTERVAL).await;
            let next_pass_at = self.lock().next_pass_at;
            if let Some(wait) = next_pass_at.and_then(|at| at.checked_duration_since(Instant::now())) {
                smol::Timer::after(wait).await;
            }
            self.run_placement_pass(&mut self.lock(), Instant::now());
            self.commit_wake.wake();
            self.command_wake.wake();
        }
    }

    /// Runs one placement pass if this controller leads, the cluster's state is loaded and
    /// `next_pass_at` has been reached.  Then sets `next_pass_at` so that passes take no more than
    /// their share of processor time.
    pub fn run_placement_pass(&self, state: &mut ControllerState, now: Instant) {
        if state.next_pass_at.is_some_and(|at| now < at) || !state.is_leader(now) {
            return;
        }
        let Some(cluster) = state.cluster.as_mut() else { return };
        state.unmet_demand = cluster.run_placement_pass(now);
        for wait in cluster.placement_waits.drain(..) {
            self.telemetry.record(TimedOperation::Placement, wait);
        }
        cluster.collect_garbage(now);
        let elapsed = now.elapsed();
        let delay = self.policy.pass_gap.max(self.throttle_delay(elapsed, self.policy.pass_share));
        state.next_pass_at = Some(now + delay);
        self.telemetry.record(TimedOperation::Pass, elapsed);
    }
}
