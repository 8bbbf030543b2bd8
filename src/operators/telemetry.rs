//! Counters and latencies of one controller, and the status that operators
//! read: who leads and since when, what waits and why, what is in doubt.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::model::Name;

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimedOperation {
    /// A submission, from its arrival to its answer.
    Submission,
    /// A query.
    Query,
    /// A withdrawal.
    Cancellation,
    /// A transaction of the leader's.
    Commit,
    /// A pass over the queue.
    Pass,
    /// A task, from its job's arrival here to its placement.
    Placement,
}

impl TimedOperation {
    const ALL: [(TimedOperation, &'static str); 6] = [
        (TimedOperation::Submission, "submission"),
        (TimedOperation::Query, "query"),
        (TimedOperation::Cancellation, "withdrawal"),
        (TimedOperation::Commit, "commit"),
        (TimedOperation::Pass, "pass"),
        (TimedOperation::Placement, "placement"),
    ];
}

/// What is counted.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests of users.
    pub requests: AtomicU64,
    /// … that were refused for now.
    pub refused: AtomicU64,
    /// … that a sibling answered.
    pub relayed: AtomicU64,
    /// Queries for ids not known here that were refused: too many at once.
    pub lookups_refused: AtomicU64,
    /// Reports taken in.
    pub heartbeats: AtomicU64,
    /// ... that came by way of another controller.
    pub heartbeats_forwarded: AtomicU64,
    /// Reports answered only to renew a lease.
    pub leases_renewed: AtomicU64,
    /// Calls straight to workers, and how many got no answer.
    pub direct: AtomicU64,
    /// … of which without an answer.
    pub direct_lost: AtomicU64,
    /// Transactions in conflict or without an answer.
    pub commits_failed: AtomicU64,
}

/// Adds one.
pub fn count(c: &AtomicU64) {
    c.fetch_add(1, Ordering::Relaxed);
}

/// Counters and latencies.
pub struct Telemetry {
    /// Counters.
    pub counters: Counters,
    /// In microseconds.
    latencies: Mutex<Vec<Histogram<u32>>>,
}

/// Longest latency that is told apart.
const MAX_LATENCY_US: u64 = 3_600_000_000;

impl Default for Telemetry {
    fn default() -> Self {
        // two digits are enough for people, and keep a histogram at some KiB
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).ok();
        let latencies = TimedOperation::ALL.iter().filter_map(|_| histogram()).collect();
        Telemetry { counters: Counters::default(), latencies: Mutex::new(latencies) }
    }
}

/// A latency in short, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// How often.
    pub count: u64,
    /// Half of them took no longer.
    pub p50_ms: f64,
    /// 99 of 100 took no longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Telemetry {
    /// Something took so long.
    pub fn record(&self, what: TimedOperation, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut all = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(h) = all.get_mut(what as usize) {
            h.saturating_record(us.max(1));
        }
    }

    /// The latencies in short.
    pub fn latencies(&self) -> BTreeMap<String, Latency> {
        let all = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        let short = |h: &Histogram<u32>| Latency {
            count: h.len(),
            p50_ms: h.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: h.value_at_quantile(0.99) as f64 / 1e3,
            max_ms: h.max() as f64 / 1e3,
        };
        let some = TimedOperation::ALL.iter().zip(all.iter()).filter(|(_, h)| !h.is_empty());
        some.map(|((_, name), h)| ((*name).to_owned(), short(h))).collect()
    }
}

/// A job that waits, for people.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    /// Job.
    pub id: Name,
    /// Class.
    pub class: Name,
    /// Tasks that wait.
    pub tasks: u32,
    /// For how long.
    pub since_s: f64,
    /// Why.
    pub why: String,
}

/// What the leader knows, in figures.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderStatus {
    /// Term.
    pub term: u64,
    /// For how long it has led.
    pub since_s: f64,
    /// Jobs that are not over.
    pub jobs: usize,
    /// Tasks that wait.
    #[serde(rename = "waiting")]
    pub waiting_tasks: u64,
    /// Tasks that are, or may be, on machines.
    #[serde(rename = "placed")]
    pub assigned_tasks: usize,
    /// Machines by zone and state.
    pub machines: BTreeMap<String, BTreeMap<String, usize>>,
    /// Zones that seem to be cut off.
    #[serde(rename = "cut")]
    pub partitioned_zones: Vec<Name>,
    /// Machines where a start is in doubt.
    pub in_doubt: usize,
    /// Starts that the store lacks.
    #[serde(rename = "unstored")]
    pub unstored_starts: usize,
    /// Pages in the store.
    #[serde(rename = "pages")]
    pub shards: usize,
    /// Jobs that wait for others.
    #[serde(default)]
    #[serde(rename = "held")]
    pub dependent_jobs: usize,
    /// Rentals under way or in doubt.
    pub rentals: usize,
    /// The jobs that wait longest.
    #[serde(rename = "longest")]
    pub longest_waiting: Vec<WaitingJob>,
}

/// A controller's status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Controller.
    pub name: String,
    /// Program.
    pub version: String,
    /// Who leads, as far as known here.
    pub leader: Option<String>,
    /// The state service carries out this controller's requests.
    pub served: bool,
    /// Unfinished jobs known here.
    pub known_jobs: usize,
    /// Ended jobs kept in memory; the others are read when asked for.
    #[serde(default)]
    pub ended_jobs: usize,
    /// Set on the leader.
    pub leading: Option<LeaderStatus>,
    /// Whether jobs that wait for others are taken: every controller has them.
    #[serde(default)]
    #[serde(rename = "chains")]
    pub dependencies_enabled: bool,
    /// Versions of the siblings, as far as they have told; `earlier` of one that
    /// knows of no gates.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
    /// Counters.
    pub counters: BTreeMap<String, u64>,
    /// Latencies.
    pub latencies: BTreeMap<String, Latency>,
}

#[cfg(test)]
mod tests;
