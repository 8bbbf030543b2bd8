//! Counters and latencies of one controller, and the status that operators
//! read: who leads and since when, what waits and why, what is in doubt.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::cluster::Machine;
use crate::model::Name;
use crate::node::Node;

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timed {
    /// A submission, from its arrival to its answer.
    Submission,
    /// A query.
    Query,
    /// A withdrawal.
    Withdrawal,
    /// A transaction of the leader's.
    Commit,
    /// A pass over the queue.
    Pass,
    /// A task, from its job's arrival here to its placement.
    Placement,
}

impl Timed {
    const ALL: [(Timed, &'static str); 6] = [
        (Timed::Submission, "submission"),
        (Timed::Query, "query"),
        (Timed::Withdrawal, "withdrawal"),
        (Timed::Commit, "commit"),
        (Timed::Pass, "pass"),
        (Timed::Placement, "placement"),
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
    pub reports: AtomicU64,
    /// Reports answered only to renew a lease.
    pub kept_alive: AtomicU64,
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
const LONGEST_US: u64 = 3_600_000_000;

impl Default for Telemetry {
    fn default() -> Self {
        // two digits are enough for people, and keep a histogram at some KiB
        let histogram = || Histogram::new_with_bounds(1, LONGEST_US, 2).ok();
        let latencies = Timed::ALL.iter().filter_map(|_| histogram()).collect();
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
    pub fn took(&self, what: Timed, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
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
        let some = Timed::ALL.iter().zip(all.iter()).filter(|(_, h)| !h.is_empty());
        some.map(|((_, name), h)| ((*name).to_owned(), short(h))).collect()
    }
}

/// A job that waits, for people.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
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
pub struct Figures {
    /// Term.
    pub term: u64,
    /// For how long it has led.
    pub since_s: f64,
    /// Jobs that are not over.
    pub jobs: usize,
    /// Tasks that wait.
    pub waiting: u64,
    /// Tasks that are, or may be, on machines.
    pub placed: usize,
    /// Machines by zone and state.
    pub machines: BTreeMap<String, BTreeMap<String, usize>>,
    /// Zones that seem to be cut off.
    pub cut: Vec<Name>,
    /// Machines where a start is in doubt.
    pub in_doubt: usize,
    /// Starts that the store lacks.
    pub unstored: usize,
    /// Pages in the store.
    pub pages: usize,
    /// Rentals under way or in doubt.
    pub rentals: usize,
    /// The jobs that wait longest.
    pub longest: Vec<Waiting>,
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
    pub leading: Option<Figures>,
    /// Counters.
    pub counters: BTreeMap<String, u64>,
    /// Latencies.
    pub latencies: BTreeMap<String, Latency>,
}

/// Most waiting jobs that a status names.
const MOST_NAMED: usize = 12;

fn state_of(m: &Machine, fresh: Duration, now: Instant) -> &'static str {
    match m.heard {
        _ if m.deleting.is_some() => "being returned",
        None => "not up",
        Some(t) if now.duration_since(t) > fresh => "silent",
        _ if m.drain.is_some() => "drained",
        _ if m.notice.is_some() => "taken back soon",
        _ if m.tasks.is_empty() => "idle",
        _ => "busy",
    }
}

impl Node {
    /// What operators ask for.
    pub fn status(&self, now: Instant) -> Status {
        let i = self.lock();
        let leading = i.cluster.as_ref().filter(|_| i.acts(now)).map(|c| {
            let since = |t: Instant| now.duration_since(t).as_secs_f64();
            let mut f = Figures {
                term: c.term,
                since_s: since(c.began),
                cut: c.fleet.cut.iter().cloned().collect(),
                unstored: c.unstored.len(),
                pages: c.pages.len(),
                rentals: c.fleet.open.len(),
                ..Figures::default()
            };
            for m in c.machines.values().filter(|m| m.gone.is_none()) {
                let state = state_of(m, self.policy.fresh, now);
                *f.machines.entry(m.zone.to_string()).or_default().entry(state.into()).or_default() += 1;
                f.placed += m.tasks.len();
                f.in_doubt += usize::from(m.doubt.is_some());
            }
            let open: Vec<_> = c.jobs.values().filter(|j| j.fate.is_none()).collect();
            f.jobs = open.len();
            f.waiting = open.iter().map(|j| u64::from(j.todo.len())).sum();
            let mut waiting: Vec<_> = open.into_iter().filter(|j| !j.todo.is_empty()).collect();
            waiting.sort_by_key(|j| j.known);
            let told = |j: &crate::cluster::Job| Waiting {
                id: j.spec.id.clone(),
                class: j.spec.class.clone(),
                tasks: j.todo.len(),
                since_s: since(j.known),
                why: j.why.to_owned(),
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
            ("kept alive", &c.kept_alive),
            ("direct calls", &c.direct),
            ("direct calls lost", &c.direct_lost),
            ("commits failed", &c.commits_failed),
        ];
        Status {
            name: self.config.name.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            leader: i.leader.as_ref().map(|l| l.record.name.clone()),
            served: !self.store.failing(),
            known_jobs: i.ledger.len(),
            ended_jobs: i.ledger.ended(),
            leading,
            counters: counters.iter().map(|(n, c)| ((*n).to_owned(), c.load(Ordering::Relaxed))).collect(),
            latencies: self.telemetry.latencies(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn latencies_are_told_in_milliseconds() {
        let t = Telemetry::default();
        for ms in 1..=100 {
            t.took(Timed::Query, Duration::from_millis(ms));
        }
        t.took(Timed::Commit, Duration::from_secs(100_000));
        let all = t.latencies();
        assert_eq!(all.len(), 2);
        let q = all["query"];
        assert_eq!(q.count, 100);
        assert!((q.p50_ms - 50.0).abs() < 1.0 && (q.p99_ms - 99.0).abs() < 1.0 && (q.max_ms - 100.0).abs() < 1.0);
    }
}
