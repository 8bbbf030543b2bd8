//! A leader's passes over the queue, its direct commands, and whether workers reach it.

use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::cluster::{Machine, MachineState};
use crate::controller::{Controller, ControllerState};
use crate::http;
use crate::leadership::isolation::WorkerContact;
use crate::leadership::step_down::StepDownReason;
use crate::operators::telemetry::{count, TimedOperation};
use crate::workers::Heartbeat;

impl Controller {
    /// Passes over the queue: when something changed, and now and then.
    pub(super) async fn run_placement(&self) -> StepDownReason {
        loop {
            self.placement_wake.wait(Duration::from_millis(500)).await;
            let next = self.lock().next_pass_at;
            if let Some(wait) = next.and_then(|t| t.checked_duration_since(Instant::now())) {
                smol::Timer::after(wait).await;
            }
            self.run_pass(&mut self.lock(), Instant::now());
            self.commit_wake.wake();
            self.command_wake.wake();
        }
    }

    /// One pass over the queue, if this controller may act and the last one is
    /// long enough ago: passes take no more than their share of the processor.
    pub fn run_pass(&self, i: &mut ControllerState, now: Instant) {
        if i.next_pass_at.is_some_and(|t| now < t) || !i.is_leader(now) {
            return;
        }
        if let Some(c) = i.cluster.as_mut() {
            i.unmet_demand = c.run_placement_pass(now);
            for waited in c.placement_waits.drain(..) {
                self.telemetry.record(TimedOperation::Placement, waited);
            }
            c.collect_garbage(now);
            let took = now.elapsed();
            i.next_pass_at = Some(now + self.policy.pass_gap.max(self.rest_time(took, self.policy.pass_share)));
            self.telemetry.record(TimedOperation::Pass, took);
        }
    }

    /// Sends what should not wait for the next report straight to workers.
    pub(super) async fn run_direct_commands(&self) -> StepDownReason {
        let mut flying = FuturesUnordered::new();
        loop {
            let most = self.policy.direct_calls.saturating_sub(flying.len());
            if most > 0 && self.may_act(Instant::now()) {
                let calls = self.lock().cluster.as_mut().map(|c| c.take_direct_commands(most)).unwrap_or_default();
                for d in calls {
                    flying.push(async move {
                        // read as the bytes leave: this may have stood still
                        // since it was decided
                        if !self.may_act(Instant::now()) {
                            return (d, None);
                        }
                        let body = http::encode(&d.body);
                        let sent = self.worker_client.send(
                            d.address,
                            "POST",
                            "/commands",
                            Some(&body),
                            self.policy.direct_limit,
                        );
                        let report = match sent.await {
                            Ok((200 | 409, body)) => http::decode::<Heartbeat>(&body).ok(),
                            Ok((s, _)) => {
                                tracing::info!("{} answers {s} to commands", d.machine);
                                None
                            }
                            Err(e) => {
                                tracing::debug!("{} commands: {e}", d.machine);
                                None
                            }
                        };
                        (d, report)
                    });
                }
            }
            let next = async {
                match flying.next().await {
                    Some(done) => Some(done),
                    None => std::future::pending().await,
                }
            };
            let woken = async {
                self.command_wake.wait(Duration::from_millis(500)).await;
                None
            };
            if let Some((d, report)) = futures_lite::future::or(next, woken).await {
                if let Some(c) = self.lock().cluster.as_mut() {
                    count(&self.telemetry.counters.direct);
                    if report.is_none() {
                        count(&self.telemetry.counters.direct_lost);
                    }
                    c.apply_direct_result(&d, report.as_ref(), Instant::now());
                    if c.queue_changed {
                        self.placement_wake.wake();
                    }
                }
                self.commit_wake.wake();
            }
        }
    }

    /// A leader that no worker reaches hands over to one that they reach: their
    /// leases run while it listens in vain.  That a sibling hears workers, and
    /// they do not come on to here, tells it from a world without workers.
    pub(super) async fn run_contact_check(&self) -> StepDownReason {
        let mut contact = WorkerContact::default();
        loop {
            smol::Timer::after(self.policy.deaf / 4).await;
            let last = {
                let now = Instant::now();
                let mut i = self.lock();
                self.detect_stall(&mut i, now);
                let Some(c) = &i.cluster else { continue };
                let up = |m: &&Machine| {
                    m.removed_at.is_none() && (m.last_heartbeat.is_some() || m.state == Some(MachineState::Running))
                };
                let last = i.last_heartbeat.unwrap_or(c.term_started_at).max(c.term_started_at).max(c.resumed_at);
                if !i.is_leader(now) || c.machines.values().filter(up).count() < 2 {
                    continue;
                }
                last
            };
            if last.elapsed() < self.policy.deaf {
                continue;
            }
            self.poll_all_peers(false).await;
            let now = Instant::now();
            let answered = self.peers.any_reachable(self.policy.deaf_alone, now);
            if contact.is_lost(last, self.peers.last_worker_contact(), answered, &self.policy, now) {
                return StepDownReason::NoWorkerContact;
            }
        }
    }
}
