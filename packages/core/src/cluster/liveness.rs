//! How long machines are silent, and what is forgotten.

use std::time::{Duration, Instant};

use super::{Cluster, Machine};

impl Cluster {
    /// Machines that there are, up or not.
    pub fn machine_count(&self) -> usize {
        self.machines.values().filter(|m| m.removed_at.is_none()).count()
    }

    /// For how long a machine has been silent.  In a zone without a controller,
    /// of one that has not reported in this term, what the previous leader told
    /// counts, once those that can report have had the time to.  Elsewhere it
    /// does not: a controller in a cut zone hears machines that the previous leader
    /// did not, and a new leader once gave up two hundred of them as the cut
    /// healed.  A gap of this controller's own counts for nothing.
    pub fn time_since_heartbeat(&self, m: &Machine, now: Instant) -> Duration {
        let alone = !self.zones_with_controller.contains(&m.zone);
        let told = || self.machine_hints.get(&m.name).filter(|_| alone).and_then(|l| l.last_heartbeat);
        let own = self.resumed_at > self.term_started_at;
        let waited = now.duration_since(self.term_started_at.max(self.resumed_at)) > self.policy.missed;
        let since = match m.last_heartbeat {
            Some(t) => t.max(self.resumed_at),
            None if waited && !own => told().unwrap_or(self.term_started_at.max(m.first_seen)),
            None => self.term_started_at.max(m.first_seen).max(self.resumed_at),
        };
        now.saturating_duration_since(since)
    }

    /// Forgets jobs that are over and nowhere any more, and machines long
    /// gone whose record is gone too.
    pub fn collect_garbage(&mut self, now: Instant) {
        let keep = self.policy.tombstone;
        self.machines.retain(|_, m| m.removed_at.is_none_or(|t| now.duration_since(t) < keep));
        self.jobs.retain(|_, j| j.outcome.is_none() || !j.assignments.is_empty());
    }
}
