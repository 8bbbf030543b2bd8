//! The one home of tunables.  Each is a ratio to a figure of the settings
//! where that can be.

use std::time::Duration;

use crate::config::Config;

/// All tunables, worked out for one deployment.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Life of the leader's lease.
    pub ttl: Duration,
    /// Interval of renewals.
    pub renew: Duration,
    /// A machine is used while its newest report is younger than this.
    pub fresh: Duration,
    /// A machine silent for so long is returned, and its tasks replaced.
    pub silent: Duration,
    /// A leader that hears no worker for so long hands over.
    pub deaf: Duration,
    /// Share of the machines that may be silent before silence is taken for
    /// the network's.
    pub silent_share: f64,
    /// Most tasks on a machine, so that its record fits into a value.
    pub most_tasks: usize,
    /// An empty machine is returned after so long.
    pub idle: Duration,
    /// A machine that is not up after so many times its usual boot time is
    /// given back.
    pub boot_factor: f64,
    /// Heterogeneity from which machines count as different (the paper's).
    pub variance_threshold: f64,
    /// Load from which the queue counts as long (the paper's).
    pub load_threshold: f64,
    /// Tasks that a dry run looks at.
    pub dry_run_tasks: usize,
    /// Interval of the cloud's list.
    pub list_every: Duration,
    /// How long a list may lag.
    pub list_lag: Duration,
    /// No capacity: how long that kind is not asked for again.
    pub capacity_rest: Duration,
    /// Share of all guarantees that is kept on hand, busy or not: a guarantee
    /// is worth nothing without the machines.
    pub kept_share: f64,
    /// … but no more than so many times what is in use.
    pub kept_multiple: f64,
    /// … but no more than so many times what is in use.
    pub headroom_multiple: f64,
    /// Share of all guarantees that is kept free for what comes next.
    pub headroom_share: f64,
    /// Queued work of arrays is to be done within this.
    pub horizon_s: f64,
    /// Rest of a machine or a job after a failure, doubled by each further.
    pub failure_rest: Duration,
    /// Within this a cancelled job's tasks have to be gone.
    pub cancel: Duration,
    /// How long a machine that is gone is remembered.
    pub tombstone: Duration,
    /// The tasks of an array count as arriving so long after one another.
    pub task_spacing_s: f64,
    /// Work within a guarantee should start within this.
    pub guarantee_wait_s: f64,
    /// How long a sibling may take to answer.
    pub peer_limit: Duration,
    /// How long a direct command may take.
    pub direct_limit: Duration,
    /// How long an answer to a report waits for the store.
    pub commit_wait: Duration,
    /// Waits for images that differ by less than this count as equal.
    pub fetch_grain_s: f64,
    /// Drift of a steady clock.
    pub drift: f64,
}

impl Policy {
    /// The defaults for a deployment.
    pub fn new(config: &Config) -> Policy {
        let w = &config.deployment.workers;
        let s = Duration::from_secs_f64;
        let ttl = (w.lease_s / 8.0).max(2.0);
        Policy {
            ttl: s(ttl),
            renew: s(ttl / 5.0),
            fresh: s(w.report_s * 2.5),
            silent: s((w.report_s * 6.0).min(w.lease_s * 0.75)),
            deaf: s(w.report_s * 3.5),
            silent_share: 0.34,
            most_tasks: ((config.deployment.state.value_kb * 1024.0 / 72.0) as usize).max(4),
            idle: s(w.lease_s * 1.0),
            boot_factor: 4.0,
            variance_threshold: 0.05,
            load_threshold: 1.0,
            dry_run_tasks: 64,
            list_every: s((config.deployment.cloud.list_lag_s / 2.0).clamp(1.0, 5.0)),
            list_lag: s(config.deployment.cloud.list_lag_s),
            capacity_rest: s(w.lease_s / 2.0),
            kept_share: 1.0,
            kept_multiple: 2.0,
            headroom_multiple: 0.5,
            headroom_share: 0.2,
            horizon_s: w.lease_s * 2.0,
            failure_rest: s(w.report_s * 2.0),
            cancel: s(w.cancel_s),
            tombstone: s(w.lease_s * 20.0),
            task_spacing_s: w.report_s * 0.8,
            guarantee_wait_s: w.lease_s * 0.8,
            peer_limit: s(w.report_s / 3.0),
            direct_limit: s(w.report_s / 2.0),
            commit_wait: s(w.report_s / 10.0),
            fetch_grain_s: w.report_s,
            drift: 0.0005,
        }
    }
}
