//! Whether workers still reach the leader.

use std::time::Instant;

use crate::cluster::{Machine, MachineState};
use crate::controller::Controller;
use crate::leadership::isolation::WorkerContact;
use crate::leadership::step_down::StepDownReason;

/// With fewer machines that are up, missing heartbeats say nothing about the leader.
const MIN_MACHINES: usize = 2;

fn is_up(machine: &Machine) -> bool {
    let is_running = machine.last_heartbeat.is_some() || machine.state == Some(MachineState::Running);
    machine.removed_at.is_none() && is_running
}

impl Controller {
    /// Steps down in favour of a controller that workers reach once none reaches this one, as
    /// their leases expire meanwhile.
    ///
    /// Peers that receive heartbeats from workers which do not arrive here tell this case from a
    /// cluster without workers.
    pub(super) async fn run_contact_check(&self) -> StepDownReason {
        let mut contact = WorkerContact::default();
        loop {
            smol::Timer::after(self.policy.deaf / 4).await;
            let Some(last) = self.last_worker_contact(Instant::now()) else { continue };
            if last.elapsed() < self.policy.deaf {
                continue;
            }
            self.poll_all_peers(false).await;
            let now = Instant::now();
            let peers_answer = self.peers.any_reachable(self.policy.deaf_alone, now);
            let last_at_peer = self.peers.last_worker_contact();
            if contact.is_lost(last, last_at_peer, peers_answer, &self.policy, now) {
                return StepDownReason::NoWorkerContact;
            }
        }
    }

    /// When a worker last reached this leader, counted at the earliest from the beginning of the
    /// term or the end of a stall; `None` if there is nothing to judge by.
    fn last_worker_contact(&self, now: Instant) -> Option<Instant> {
        let mut state = self.lock();
        self.detect_stall(&mut state, now);
        let cluster = state.cluster.as_ref()?;
        let is_leader = state.is_leader(now);
        if !is_leader || cluster.machines.values().filter(|machine| is_up(machine)).count() < MIN_MACHINES {
            return None;
        }
        let last_heartbeat = state.last_heartbeat.unwrap_or(cluster.term_started_at);
        Some(last_heartbeat.max(cluster.term_started_at).max(cluster.resumed_at))
    }
}
