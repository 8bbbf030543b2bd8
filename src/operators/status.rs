//! How a controller stands, for operators.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::cluster::Machine;
use crate::controller::Controller;
use crate::operators::telemetry::{LeaderStatus, Status, WaitingJob};

/// Most waiting jobs that a status names.
const MAX_WAITING_JOBS: usize = 12;

fn machine_state(m: &Machine, fresh: Duration, now: Instant) -> &'static str {
    match m.last_heartbeat {
        _ if m.deletion_sent_at.is_some() => "being returned",
        None => "not up",
        Some(t) if now.duration_since(t) > fresh => "silent",
        _ if m.cordon_reason.is_some() => "drained",
        _ if m.reclaim_at.is_some() => "taken back soon",
        _ if m.tasks.is_empty() => "idle",
        _ => "busy",
    }
}

impl Controller {
    /// What operators ask for.
    pub fn status(&self, now: Instant) -> Status {
        let i = self.lock();
        let leading = i.cluster.as_ref().filter(|_| i.is_leader(now)).map(|c| {
            let since = |t: Instant| now.duration_since(t).as_secs_f64();
            let mut f = LeaderStatus {
                term: c.term,
                since_s: since(c.term_started_at),
                partitioned_zones: c.fleet.partitioned_zones.iter().cloned().collect(),
                unstored_starts: c.unstored_starts.len(),
                shards: c.shards.len(),
                dependent_jobs: c.dependency.len(),
                rentals: c.fleet.open_rentals.len(),
                ..LeaderStatus::default()
            };
            for m in c.machines.values().filter(|m| m.removed_at.is_none()) {
                let state = machine_state(m, self.policy.fresh, now);
                *f.machines.entry(m.zone.to_string()).or_default().entry(state.into()).or_default() += 1;
                f.assigned_tasks += m.tasks.len();
                f.in_doubt += usize::from(m.in_doubt_token.is_some());
            }
            let open: Vec<_> = c.jobs.values().filter(|j| j.outcome.is_none()).collect();
            f.jobs = open.len();
            f.waiting_tasks = open.iter().map(|j| u64::from(j.pending.len())).sum();
            let mut waiting: Vec<_> = open.into_iter().filter(|j| !j.pending.is_empty()).collect();
            waiting.sort_by_key(|j| j.first_seen);
            let told = |j: &crate::cluster::Job| WaitingJob {
                id: j.spec.id.clone(),
                class: j.spec.class.clone(),
                tasks: j.pending.len(),
                since_s: since(j.first_seen),
                why: j.pending_reason.to_owned(),
            };
            f.longest_waiting = waiting.into_iter().take(MAX_WAITING_JOBS).map(told).collect();
            f
        });
        let c = &self.telemetry.counters;
        let counters = [
            ("requests", &c.requests),
            ("refused", &c.refused),
            ("relayed", &c.relayed),
            ("lookups refused", &c.lookups_refused),
            ("reports", &c.heartbeats),
            ("reports forwarded", &c.heartbeats_forwarded),
            ("kept alive", &c.leases_renewed),
            ("direct calls", &c.direct),
            ("direct calls lost", &c.direct_lost),
            ("commits failed", &c.commits_failed),
        ];
        Status {
            name: self.config.name.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            leader: i.leader.as_ref().map(|l| l.record.name.clone()),
            served: !self.store.is_failing(),
            known_jobs: i.jobs.len(),
            ended_jobs: i.jobs.ended(),
            leading,
            dependencies_enabled: i.dependencies_enabled,
            versions: self.peer_versions(),
            counters: counters.iter().map(|(n, c)| ((*n).to_owned(), c.load(Ordering::Relaxed))).collect(),
            latencies: self.telemetry.latencies(),
        }
    }
}
