//! The status that operators read from `/v2/status`: the leader and how long it has led, the jobs
//! that wait and the reasons, and the number of machines whose task starts are uncertain.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, Job, Machine};
use crate::controller::Controller;
use crate::model::Name;
use crate::operators::telemetry::{Latency, Telemetry};

/// Maximum number of waiting jobs that a status lists.
const MAX_WAITING_JOBS: usize = 12;

/// A job with tasks that wait to be assigned to machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    /// Id of the job.
    pub id: Name,
    /// Class of the job.
    pub class: Name,
    /// Number of the job's tasks that wait.
    pub tasks: u32,
    /// How long the leader has known the job, in seconds.
    pub since_s: f64,
    /// Why the job's tasks wait; empty if no scheduling pass has considered the job yet.
    pub why: String,
}

/// The leader's part of the status.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Term of the leader.
    pub term: u64,
    /// Time since the start of the leader's term, in seconds.
    pub since_s: f64,
    /// Number of unfinished jobs.
    pub jobs: usize,
    /// Number of tasks that wait to be assigned to machines.
    #[serde(rename = "waiting")]
    pub waiting_tasks: u64,
    /// Number of assignments of tasks that are, or may be, on machines.
    #[serde(rename = "placed")]
    pub assigned_tasks: usize,
    /// Number of machines by zone and state.
    pub machines: BTreeMap<String, BTreeMap<String, usize>>,
    /// Zones that seem to be partitioned from the leader.
    #[serde(rename = "cut")]
    pub partitioned_zones: Vec<Name>,
    /// Number of machines for which it is unknown whether a task has started.
    pub in_doubt: usize,
    /// Number of task starts that are not stored yet.
    #[serde(rename = "unstored")]
    pub unstored_starts: usize,
    /// Number of shards of assignments in the state service.
    #[serde(rename = "pages")]
    pub shards: usize,
    /// Number of jobs that wait for their dependencies.
    #[serde(default)]
    #[serde(rename = "held")]
    pub dependent_jobs: usize,
    /// Number of rentals whose request is in progress, or whose result is unknown.
    pub rentals: usize,
    /// The jobs with waiting tasks that the leader has known for longest, the oldest first.
    #[serde(rename = "longest")]
    pub longest_waiting: Vec<WaitingJob>,
}

/// A controller's status, as `/v2/status` returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the controller.
    pub name: String,
    /// Version of the program.
    pub version: String,
    /// Name of the leader; `None` if this controller knows none.
    pub leader: Option<String>,
    /// Whether the state service serves this controller.
    pub served: bool,
    /// Number of unfinished jobs that this controller knows.
    pub known_jobs: usize,
    /// Number of ended jobs in memory.  Other ended jobs are read from the state service on request.
    #[serde(default)]
    pub ended_jobs: usize,
    /// The leader's part of the status; `None` on other controllers.
    pub leading: Option<LeaderStatus>,
    /// Whether jobs with dependencies are accepted, which requires that every controller supports
    /// the feature.
    #[serde(default)]
    #[serde(rename = "chains")]
    pub dependencies_enabled: bool,
    /// Versions of the peers by the peers' names, as far as they have advertised them.  `earlier`
    /// stands for a version without feature gates.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
    /// Values of the counters by name, since the start of the controller.
    pub counters: BTreeMap<String, u64>,
    /// Summaries of latencies by operation; operations that have not occurred are left out.
    pub latencies: BTreeMap<String, Latency>,
}

impl Controller {
    /// Returns the status of this controller.
    pub fn status(&self, now: Instant) -> Status {
        let state = self.lock();
        let leading = state.cluster.as_ref().filter(|_| state.is_leader(now));
        Status {
            name: self.config.name.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            leader: state.leader.as_ref().map(|l| l.record.name.clone()),
            served: !self.store.is_failing(),
            known_jobs: state.jobs.len(),
            ended_jobs: state.jobs.ended_count(),
            leading: leading.map(|cluster| leader_status(cluster, self.policy.fresh, now)),
            dependencies_enabled: state.dependencies_enabled,
            versions: self.peer_versions(),
            counters: counters(&self.telemetry),
            latencies: self.telemetry.latencies(),
        }
    }
}

/// Returns the leader's part of the status.  Machines whose last heartbeat is older than
/// `max_heartbeat_age` are counted as silent.
fn leader_status(cluster: &Cluster, max_heartbeat_age: Duration, now: Instant) -> LeaderStatus {
    let unfinished_jobs: Vec<&Job> = cluster.jobs.values().filter(|j| j.outcome.is_none()).collect();
    let mut status = LeaderStatus {
        term: cluster.term,
        since_s: now.duration_since(cluster.term_started_at).as_secs_f64(),
        jobs: unfinished_jobs.len(),
        waiting_tasks: unfinished_jobs.iter().map(|j| u64::from(j.pending.len())).sum(),
        partitioned_zones: cluster.fleet.partitioned_zones.iter().cloned().collect(),
        unstored_starts: cluster.unstored_starts.len(),
        shards: cluster.shards.len(),
        dependent_jobs: cluster.dependencies.len(),
        rentals: cluster.fleet.open_rentals.len(),
        longest_waiting: longest_waiting(unfinished_jobs, now),
        ..LeaderStatus::default()
    };
    for machine in cluster.machines.values().filter(|m| m.removed_at.is_none()) {
        let counts = status.machines.entry(machine.zone.to_string()).or_default();
        *counts.entry(machine_state(machine, max_heartbeat_age, now).into()).or_default() += 1;
        status.assigned_tasks += machine.tasks.len();
        status.in_doubt += usize::from(machine.in_doubt_token.is_some());
    }
    status
}

/// Returns the jobs with waiting tasks that the leader has known for longest, the oldest first.
fn longest_waiting(unfinished_jobs: Vec<&Job>, now: Instant) -> Vec<WaitingJob> {
    let mut waiting_jobs: Vec<&Job> = unfinished_jobs.into_iter().filter(|j| !j.pending.is_empty()).collect();
    waiting_jobs.sort_by_key(|j| j.first_seen);
    let describe = |job: &Job| WaitingJob {
        id: job.spec.id.clone(),
        class: job.spec.class.clone(),
        tasks: job.pending.len(),
        since_s: now.duration_since(job.first_seen).as_secs_f64(),
        why: job.pending_reason.to_owned(),
    };
    waiting_jobs.into_iter().take(MAX_WAITING_JOBS).map(describe).collect()
}

/// Returns a machine's state as the status shows it.  If several states apply, the first one counts.
fn machine_state(machine: &Machine, max_heartbeat_age: Duration, now: Instant) -> &'static str {
    match machine.last_heartbeat {
        _ if machine.deletion_sent_at.is_some() => "being returned",
        None => "not up",
        Some(t) if now.duration_since(t) > max_heartbeat_age => "silent",
        _ if machine.cordon_reason.is_some() => "drained",
        _ if machine.reclaim_at.is_some() => "taken back soon",
        _ if machine.tasks.is_empty() => "idle",
        _ => "busy",
    }
}

/// Returns the values of the counters by their names in the status.
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
