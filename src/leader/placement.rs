//! The leader's placement passes over the queue.

use std::time::{Duration, Instant};

use crate::controller::{Controller, ControllerState};
use crate::leadership::step_down::StepDownReason;
use crate::operators::telemetry::TimedOperation;

/// Longest time between two passes.
const PASS_INTERVAL: Duration = Duration::from_millis(500);

impl Controller {
    /// Runs a placement pass whenever something has changed, and regularly.  Never ends the
    /// term.
    pub(super) async fn run_placement(&self) -> StepDownReason {
        loop {
            self.placement_wake.wait(PASS_INTERVAL).await;
            let next_pass_at = self.lock().next_pass_at;
            if let Some(wait) = next_pass_at.and_then(|at| at.checked_duration_since(Instant::now())) {
                smol::Timer::after(wait).await;
            }
            self.run_pass(&mut self.lock(), Instant::now());
            self.commit_wake.wake();
            self.command_wake.wake();
        }
    }

    /// Runs one placement pass, if this controller may act and the last pass is long enough ago:
    /// passes keep to their share of the processor.
    pub fn run_pass(&self, state: &mut ControllerState, now: Instant) {
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
        let rest = self.policy.pass_gap.max(self.rest_time(elapsed, self.policy.pass_share));
        state.next_pass_at = Some(now + rest);
        self.telemetry.record(TimedOperation::Pass, elapsed);
    }
}
