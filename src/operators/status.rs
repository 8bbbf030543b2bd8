//! How a controller stands, for operators.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::cluster::Machine;
use crate::controller::Controller;
use crate::operators::telemetry::{LeaderStatus, Status, Waiting};

/// Most waiting jobs that a status names.
const MOST_NAMED: usize = 12;

fn state_of(m: &Machine, fresh: Duration, now: Instant) -> &'static str {
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
                cut: c.fleet.partitioned_zones.iter().cloned().collect(),
                unstored: c.unstored_starts.len(),
                pages: c.shards.len(),
                held: c.dependency.len(),
                rentals: c.fleet.open_rentals.len(),
                ..LeaderStatus::default()
            };
            for m in c.machines.values().filter(|m| m.removed_at.is_none()) {
                let state = state_of(m, self.policy.fresh, now);
                *f.machines.entry(m.zone.to_string()).or_default().entry(state.into()).or_default() += 1;
                f.placed += m.tasks.len();
                f.in_doubt += usize::from(m.in_doubt_token.is_some());
            }
            let open: Vec<_> = c.jobs.values().filter(|j| j.outcome.is_none()).collect();
            f.jobs = open.len();
            f.waiting = open.iter().map(|j| u64::from(j.pending.len())).sum();
            let mut waiting: Vec<_> = open.into_iter().filter(|j| !j.pending.is_empty()).collect();
            waiting.sort_by_key(|j| j.first_seen);
            let told = |j: &crate::cluster::Job| Waiting {
                id: j.spec.id.clone(),
                class: j.spec.class.clone(),
                tasks: j.pending.len(),
                since_s: since(j.first_seen),
                why: j.pending_reason.to_owned(),
            };
            f.longest = waiting.into_iter().take(MOST_NAMED).map(told).collect();
            f
        });
        let c = &self.telemetry.counters;
        let counters = [
            ("requests", &c.requests),
            ("refused", &c.refused),
            ("relayed", &c.relayed),
            ("lookups refused", &c.lookups_refused),
            ("reports", &c.reports),
            ("reports forwarded", &c.forwarded),
            ("kept alive", &c.kept_alive),
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
            chains: i.dependencies_enabled,
            versions: self.peer_versions(),
            counters: counters.iter().map(|(n, c)| ((*n).to_owned(), c.load(Ordering::Relaxed))).collect(),
            latencies: self.telemetry.latencies(),
        }
    }
}
