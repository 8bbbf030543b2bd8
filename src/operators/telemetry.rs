//! Counters and latencies of one controller.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// An operation whose latency is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimedOperation {
    /// A submission, from its arrival to its reply.
    Submission,
    /// A query, from its arrival to its reply.
    Query,
    /// A cancellation by a user, from its arrival to its reply.
    Cancellation,
    /// A compare-and-swap of the leader.
    Commit,
    /// A scheduling pass over the queue.
    Pass,
    /// The placement of a task, from the arrival of its job at the leader.
    Placement,
}

impl TimedOperation {
    /// All operations in the order of their discriminants, with their keys in `/v2/status`.
    const ALL: [(TimedOperation, &'static str); 6] = [
        (TimedOperation::Submission, "submission"),
        (TimedOperation::Query, "query"),
        (TimedOperation::Cancellation, "withdrawal"),
        (TimedOperation::Commit, "commit"),
        (TimedOperation::Pass, "pass"),
        (TimedOperation::Placement, "placement"),
    ];
}

/// Counters of events since the start of the controller.
#[derive(Debug, Default)]
pub struct Counters {
    /// Users' requests that reached this controller directly.
    pub requests: AtomicU64,
    /// Users' requests that were refused with 503.
    pub refused: AtomicU64,
    /// Users' requests that a peer answered.
    pub relayed: AtomicU64,
    /// Lookups of unknown ids that were refused because too many others waited.
    pub lookups_refused: AtomicU64,
    /// Heartbeats that this controller has handled itself, including those that others forwarded.
    pub heartbeats: AtomicU64,
    /// Heartbeats that this controller has received from others that forward them.
    pub heartbeats_forwarded: AtomicU64,
    /// Heartbeats whose reply renewed the worker's lease although this controller did not lead.
    pub leases_renewed: AtomicU64,
    /// Direct calls to workers.
    pub direct_calls: AtomicU64,
    /// Direct calls to workers that were not answered.
    pub direct_calls_lost: AtomicU64,
    /// The leader's transactions that were in conflict or not answered.
    pub commits_failed: AtomicU64,
}

/// Adds one to a counter.
pub fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The counters and latency histograms of one controller.
pub struct Telemetry {
    /// The counters, which any part of the controller may increase.
    pub counters: Counters,
    /// One histogram per operation, in microseconds, in the order of [`TimedOperation::ALL`].
    latencies: Mutex<Vec<Histogram<u32>>>,
}

/// Longest latency that is recorded, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 3_600_000_000;

impl Default for Telemetry {
    fn default() -> Self {
        // two significant digits are precise enough for operators and limit a histogram to a few KiB
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).ok();
        let latencies = TimedOperation::ALL.iter().filter_map(|_| histogram()).collect();
        Telemetry { counters: Counters::default(), latencies: Mutex::new(latencies) }
    }
}

/// Summary of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Number of operations.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}

impl Telemetry {
    /// Records the duration of an operation.
    pub fn record(&self, operation: TimedOperation, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut histograms = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(histogram) = histograms.get_mut(operation as usize) {
            histogram.saturating_record(us.max(1));
        }
    }

    /// Returns the latencies of the operations that have been recorded, by their keys in `/v2/status`.
    pub fn latencies(&self) -> BTreeMap<String, Latency> {
        let histograms = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        let summary = |h: &Histogram<u32>| Latency {
            count: h.len(),
            p50_ms: h.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: h.value_at_quantile(0.99) as f64 / 1e3,
            max_ms: h.max() as f64 / 1e3,
        };
        let recorded = TimedOperation::ALL.iter().zip(histograms.iter()).filter(|(_, h)| !h.is_empty());
        recorded.map(|((_, key), h)| ((*key).to_owned(), summary(h))).collect()
    }
}

#[cfg(test)]
mod tests;
