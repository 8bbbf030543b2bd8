//! The status that operators read from `/v2/status`: who leads and since when, which jobs wait and
//! why, and which machines are in doubt.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, Job, Machine};
use crate::controller::Controller;
use crate::model::Name;
use crate::operators::telemetry::{Latency, Telemetry};

/// Waiting jobs that a status names.
const MAX_WAITING_JOBS: usize = 12;

/// A job with tasks that wait.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    /// The job.
    pub id: Name,
    /// Its class.
    pub class: Name,
    /// Number of its tasks that wait.
    pub tasks: u32,
    /// How long it is known here, in seconds.
    pub since_s: f64,
    /// Why its tasks wait; empty if no pass has considered it yet.
    pub why: String,
}

/// The leader's part of the status.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Its term.
    pub term: u64,
    /// How long it has led, in seconds.
    pub since_s: f64,
    /// Unfinished jobs.
    pub jobs: usize,
    /// Tasks that wait.
    #[serde(rename = "waiting")]
    pub waiting_tasks: u64,
    /// Tasks that are, or may be, on machines.
    #[serde(rename = "placed")]
    pub assigned_tasks: usize,
    /// Number of machines by zone and state.
    pub machines: BTreeMap<String, BTreeMap<String, usize>>,
    /// Zones that seem to be partitioned from the leader.
    #[serde(rename = "cut")]
    pub partitioned_zones: Vec<Name>,
    /// Machines where it is unknown whether a task has started.
    pub in_doubt: usize,
    /// Starts that are not stored yet.
    #[serde(rename = "unstored")]
    pub unstored_starts: usize,
    /// Shards of assignments in the state service.
    #[serde(rename = "pages")]
    pub shards: usize,
    /// Jobs that wait for their dependencies.
    #[serde(default)]
    #[serde(rename = "held")]
    pub dependent_jobs: usize,
    /// Rentals that are under way or in doubt.
    pub rentals: usize,
    /// The jobs that wait longest, longest first.
    #[serde(rename = "longest")]
    pub longest_waiting: Vec<WaitingJob>,
}

/// A controller's status, as `/v2/status` replies it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the controller.
    pub name: String,
    /// Version of the program.
    pub version: String,
    /// Name of the leader, as far as it is known here.
    pub leader: Option<String>,
    /// Whether the state service serves this controller.
    pub served: bool,
    /// Unfinished jobs known here.
    pub known_jobs: usize,
    /// Ended jobs kept in memory; the others are read on request.
    #[serde(default)]
    pub ended_jobs: usize,
    /// The leader's part, on the leader.
    pub leading: Option<LeaderStatus>,
    /// Whether jobs with dependencies are accepted: every controller has the feature.
    #[serde(default)]
    #[serde(rename = "chains")]
    pub dependencies_enabled: bool,
    /// Versions of the peers, as far as they have advertised them; `earlier` for a version without
    /// feature gates.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Latencies by operation.
    pub latencies: BTreeMap<String, Latency>,
}

impl Controller {
    /// The status of this controller.
    pub fn status(&self, now: Instant) -> Status {
        let state = self.lock();
        let leading = state.cluster.as_ref().filter(|_| state.is_leader(now));
        Status {
            name: self.config.name.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            leader: state.leader.as_ref().map(|l| l.record.name.clone()),
            served: !self.store.is_failing(),
            known_jobs: state.jobs.len(),
            ended_jobs: state.jobs.ended(),
            leading: leading.map(|cluster| leader_status(cluster, self.policy.fresh, now)),
            dependencies_enabled: state.dependencies_enabled,
            versions: self.peer_versions(),
            counters: counters(&self.telemetry),
            latencies: self.telemetry.latencies(),
        }
    }
}

/// The leader's part of the status; machines whose last heartbeat is older than `fresh` miss heartbeats.
fn leader_status(cluster: &Cluster, fresh: Duration, now: Instant) -> LeaderStatus {
    let open: Vec<&Job> = cluster.jobs.values().filter(|j| j.outcome.is_none()).collect();
    let mut status = LeaderStatus {
        term: cluster.term,
        since_s: now.duration_since(cluster.term_started_at).as_secs_f64(),
        jobs: open.len(),
        waiting_tasks: open.iter().map(|j| u64::from(j.pending.len())).sum(),
        partitioned_zones: cluster.fleet.partitioned_zones.iter().cloned().collect(),
        unstored_starts: cluster.unstored_starts.len(),
        shards: cluster.shards.len(),
        dependent_jobs: cluster.dependency.len(),
        rentals: cluster.fleet.open_rentals.len(),
        longest_waiting: longest_waiting(open, now),
        ..LeaderStatus::default()
    };
    for machine in cluster.machines.values().filter(|m| m.removed_at.is_none()) {
        let states = status.machines.entry(machine.zone.to_string()).or_default();
        *states.entry(machine_state(machine, fresh, now).into()).or_default() += 1;
        status.assigned_tasks += machine.tasks.len();
        status.in_doubt += usize::from(machine.in_doubt_token.is_some());
    }
    status
}

/// The jobs with waiting tasks that are known here for longest.
fn longest_waiting(open: Vec<&Job>, now: Instant) -> Vec<WaitingJob> {
    let mut waiting: Vec<&Job> = open.into_iter().filter(|j| !j.pending.is_empty()).collect();
    waiting.sort_by_key(|j| j.first_seen);
    let describe = |job: &Job| WaitingJob {
        id: job.spec.id.clone(),
        class: job.spec.class.clone(),
        tasks: job.pending.len(),
        since_s: now.duration_since(job.first_seen).as_secs_f64(),
        why: job.pending_reason.to_owned(),
    };
    waiting.into_iter().take(MAX_WAITING_JOBS).map(describe).collect()
}

/// A machine's state as the status names it; the first that applies.
fn machine_state(machine: &Machine, fresh: Duration, now: Instant) -> &'static str {
    match machine.last_heartbeat {
        _ if machine.deletion_sent_at.is_some() => "being returned",
        None => "not up",
        Some(t) if now.duration_since(t) > fresh => "silent",
        _ if machine.cordon_reason.is_some() => "drained",
        _ if machine.reclaim_at.is_some() => "taken back soon",
        _ if machine.tasks.is_empty() => "idle",
        _ => "busy",
    }
}

/// The counters by the names that the status gives them.
fn counters(telemetry: &Telemetry) -> BTreeMap<String, u64> {
    let counters = &telemetry.counters;
    let named = [
        ("requests", &counters.requests),
        ("refused", &counters.refused),
        ("relayed", &counters.relayed),
        ("lookups refused", &counters.lookups_refused),
        ("reports", &counters.heartbeats),
        ("reports forwarded", &counters.heartbeats_forwarded),
        ("kept alive", &counters.leases_renewed),
        ("direct calls", &counters.direct_calls),
        ("direct calls lost", &counters.direct_calls_lost),
        ("commits failed", &counters.commits_failed),
    ];
    named.iter().map(|(name, counter)| ((*name).to_owned(), counter.load(Ordering::Relaxed))).collect()
}
