//! Time since the last heartbeats of machines, and removal of entries that are no longer
//! needed.

use std::time::{Duration, Instant};

use super::{Cluster, Machine};

impl Cluster {
    /// Returns the number of machines that are not known to be gone, whether up or not.
    pub fn machine_count(&self) -> usize {
        self.machines.values().filter(|machine| machine.removed_at.is_none()).count()
    }

    /// Returns the time since a machine's last heartbeat, as far as this controller could have
    /// received one: the time before the end of its last stall does not count.
    ///
    /// For a machine that has sent no heartbeat in this term, the time counts from the start of
    /// the term or from when the machine was first seen.  In a zone without a controller it
    /// counts from the last heartbeat that the previous leader knew of, once this leader has
    /// listened for longer than `missed` without a stall, so that every machine that can send a
    /// heartbeat has had the time to.  In a zone with a controller, that heartbeat is not used:
    /// a controller in a partitioned zone receives heartbeats that the previous leader did not,
    /// and a new leader once gave up two hundred machines as a partition healed.
    pub fn time_since_heartbeat(&self, machine: &Machine, now: Instant) -> Duration {
        let earliest = self.term_started_at.max(machine.first_seen);
        let has_stalled = self.last_stall_ended_at > self.term_started_at;
        let listening_since = self.term_started_at.max(self.last_stall_ended_at);
        let could_have_reported = now.duration_since(listening_since) > self.policy.missed;
        let since = match machine.last_heartbeat {
            Some(heartbeat) => heartbeat.max(self.last_stall_ended_at),
            None if could_have_reported && !has_stalled => {
                self.heartbeat_known_to_previous_leader(machine).unwrap_or(earliest)
            }
            None => earliest.max(self.last_stall_ended_at),
        };
        now.saturating_duration_since(since)
    }

    /// Returns when the last heartbeat that the previous leader knew of arrived; `None` if it
    /// knew of none, or if a controller in the zone may have received later ones.
    fn heartbeat_known_to_previous_leader(&self, machine: &Machine) -> Option<Instant> {
        if self.zones_with_controller.contains(&machine.zone) {
            return None;
        }
        self.machine_hints.get(&machine.name)?.last_heartbeat
    }

    /// Removes ended jobs that have no task on any machine, and machines that were removed so
    /// long ago that no delayed heartbeat of theirs can arrive.
    pub fn collect_garbage(&mut self, now: Instant) {
        let tombstone = self.policy.tombstone;
        self.machines.retain(|_, machine| machine.removed_at.is_none_or(|at| now.duration_since(at) < tombstone));
        self.jobs.retain(|_, job| job.outcome.is_none() || !job.assignments.is_empty());
    }
}
