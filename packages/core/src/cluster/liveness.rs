//! How long machines have been unresponsive, and what may be forgotten.

use std::time::{Duration, Instant};

use super::{Cluster, Machine};

impl Cluster {
    /// How many machines there are, up or not.
    pub fn machine_count(&self) -> usize {
        self.machines.values().filter(|machine| machine.removed_at.is_none()).count()
    }

    /// The time since a machine's last heartbeat.  A stall of this controller counts for
    /// nothing.
    ///
    /// In a zone without a controller, for a machine that has sent no heartbeat in this
    /// term, the last heartbeat that the previous leader knew of counts, once machines
    /// that can send one have had the time to.  Elsewhere it does not: a controller in a
    /// partitioned zone receives heartbeats that the previous leader did not, and a new
    /// leader once gave up two hundred machines as a partition healed.
    pub fn time_since_heartbeat(&self, machine: &Machine, now: Instant) -> Duration {
        let earliest = self.term_started_at.max(machine.first_seen);
        let has_stalled = self.resumed_at > self.term_started_at;
        let listening_since = self.term_started_at.max(self.resumed_at);
        let could_have_reported = now.duration_since(listening_since) > self.policy.missed;
        let since = match machine.last_heartbeat {
            Some(heartbeat) => heartbeat.max(self.resumed_at),
            None if could_have_reported && !has_stalled => {
                self.heartbeat_known_to_previous_leader(machine).unwrap_or(earliest)
            }
            None => earliest.max(self.resumed_at),
        };
        now.saturating_duration_since(since)
    }

    /// The last heartbeat that the previous leader knew of, if it may be relied upon.
    fn heartbeat_known_to_previous_leader(&self, machine: &Machine) -> Option<Instant> {
        if self.zones_with_controller.contains(&machine.zone) {
            return None;
        }
        self.machine_hints.get(&machine.name)?.last_heartbeat
    }

    /// Forgets jobs that are over and have no task on any machine, and machines that were
    /// removed so long ago that no late heartbeat of theirs can arrive.
    pub fn collect_garbage(&mut self, now: Instant) {
        let tombstone = self.policy.tombstone;
        self.machines.retain(|_, machine| machine.removed_at.is_none_or(|at| now.duration_since(at) < tombstone));
        self.jobs.retain(|_, job| job.outcome.is_none() || !job.assignments.is_empty());
    }
}
