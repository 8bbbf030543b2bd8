//! The leader's check that heartbeats of workers still reach it.

use std::time::Instant;

use crate::cluster::{Machine, MachineState};
use crate::controller::Controller;
use crate::leadership::isolation::WorkerContact;
use crate::leadership::step_down::StepDownReason;

/// With fewer running machines, missing heartbeats are no evidence of a network fault at the
/// leader.
const MIN_MACHINES: usize = 2;

/// Reports whether a machine runs: it has sent a heartbeat, or the cloud lists it as running, and
/// it is not removed.
fn is_up(machine: &Machine) -> bool {
    let is_running = machine.last_heartbeat.is_some() || machine.state == Some(MachineState::Running);
    machine.removed_at.is_none() && is_running
}

impl Controller {
    /// Returns, and so ends the term, when no heartbeat reaches this controller any more while
    /// workers still reach its peers.  Without a leader that they reach, the leases of the workers
    /// expire.
    ///
    /// Heartbeats that reach a peer distinguish this case from a cluster without workers.  If no
    /// peer responds, the time without heartbeats alone decides.
    pub(super) async fn run_contact_check(&self) -> StepDownReason {
        let mut contact = WorkerContact::default();
        loop {
            smol::Timer::after(self.policy.deaf / 4).await;
            let Some(last_contact) = self.last_worker_contact(Instant::now()) else { continue };
            if last_contact.elapsed() < self.policy.deaf {
                continue;
            }
            self.poll_all_peers(false).await;
            let now = Instant::now();
            let peers_reachable = self.peers.any_reachable(self.policy.deaf_alone, now);
            let last_at_peer = self.peers.last_worker_contact();
            if contact.is_lost(last_contact, last_at_peer, peers_reachable, &self.policy, now) {
                return StepDownReason::NoWorkerContact;
            }
        }
    }

    /// Returns when this leader last received a heartbeat, but no earlier than the beginning of the
    /// term and the end of the last stall; `None` if this controller does not lead or fewer than
    /// [`MIN_MACHINES`] machines run.
    fn last_worker_contact(&self, now: Instant) -> Option<Instant> {
        let mut state = self.lock();
        self.detect_stall(&mut state, now);
        let cluster = state.cluster.as_ref()?;
        let is_leader = state.is_leader(now);
        if !is_leader || cluster.machines.values().filter(|machine| is_up(machine)).count() < MIN_MACHINES {
            return None;
        }
        let last_heartbeat = state.last_heartbeat.unwrap_or(cluster.term_started_at);
        Some(last_heartbeat.max(cluster.term_started_at).max(cluster.last_stall_ended_at))
    }
}
