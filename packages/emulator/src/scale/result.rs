//! The result file of a scale run: measurements by step, phase, region and role, in JSON.
//!
//! All times are wall-clock times of a run on one machine.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::scenario::Scenario;

/// Resource usage of the processes of one role during a phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of processes.
    pub processes: usize,
    /// Cores used by one process, as the mean over all processes and the whole phase.
    pub cores: f64,
    /// Largest number of cores that one process used within a sampling interval of about a second.
    pub cores_most: f64,
    /// Largest memory of one process, in MB.
    pub memory_mb: f64,
    /// Largest number of files, nearly all of them connections, that one process had open at the end
    /// of the phase.
    pub files: usize,
}

/// Quantiles of measured times, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of measured times.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest time.
    pub max_ms: f64,
}

impl Quantiles {
    /// Returns the quantiles of a histogram of times in microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Quantiles {
        let at = |q: f64| (histogram.value_at_quantile(q) as f64 / 100.0).round() / 10.0;
        Quantiles { count: histogram.len(), p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99), max_ms: at(1.0) }
    }
}

/// Measurements of one region during one phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RegionFigures {
    /// Workers that were up at the end of the phase.
    pub workers: u64,
    /// Tasks that ran at the end of the phase.
    pub running: u64,
    /// Whether the same controller led, in the same term, at the beginning and the end of the phase.
    pub one_leader: bool,
    /// Task starts per second.
    pub starts_per_s: f64,
    /// Heartbeats of the workers per second.
    pub reports_per_s: f64,
    /// Heartbeats per second that were redirected to another controller or received no answer.
    pub reports_elsewhere_per_s: f64,
    /// Commands per second that controllers sent to workers directly, outside heartbeat replies.
    pub direct_per_s: f64,
    /// Bytes per second of heartbeats, their replies and direct commands, in both directions.
    pub bytes_per_s: f64,
    /// Requests per second from users to the controllers.
    pub user_requests_per_s: f64,
    /// Requests per second to the state service.
    pub state_requests_per_s: f64,
    /// Requests that the state service refused during the phase.
    pub state_refused: u64,
    /// Puts and deletes per second in the state service.
    pub state_changes_per_s: f64,
    /// Keys in the state service at the end of the phase.
    pub state_keys: u64,
    /// Tasks killed because the lease of their worker expired.
    pub killed: u64,
    /// Usage of the controller that leads at the end of the phase.
    pub leader: Usage,
    /// Usage of the other controllers.
    pub followers: Usage,
    /// Usage of the state service.
    pub state: Usage,
    /// Usage of the cloud.
    pub cloud: Usage,
    /// Usage of the process that simulates all workers of the region.
    pub worker_process: Usage,
    /// Time from the kill of the leader, or of all controllers, to the next task start after the gap,
    /// in seconds; `None` without such a fault or such a start.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub next_start_s: Option<f64>,
    /// Service replicas that run at the end of the phase, as a share of those before it.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub replicas_back: Option<f64>,
}

/// Measurements of one phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Name of the phase, for example `steady`.
    pub name: String,
    /// Duration of the phase, in seconds.
    pub seconds: f64,
    /// Measurements of each region.
    pub regions: Vec<RegionFigures>,
    /// Times from the submission of a job to its acceptance.
    pub accept: Quantiles,
    /// Times from the acceptance of an urgent job to the start of all its tasks.
    pub urgent: Quantiles,
    /// Urgent jobs that were accepted and had not started at the end of the phase.
    pub urgent_waiting: u64,
    /// Usage of the process that simulates the users and also starts and measures the other processes.
    pub users: Usage,
    /// Total number of cores that all processes used.
    pub cores_in_all: f64,
}

/// Measurements of one step.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Fraction of the target size.
    pub part: f64,
    /// Phases that were played to their end.
    pub phases: Vec<Phase>,
    /// Observed violations of the protocol and incorrect answers, one line for each.
    pub broken: Vec<String>,
    /// Why the step stopped early; `None` if all phases were played.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub stopped: Option<String>,
}

/// The content of a result file: a scale run, or one of its steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleReport {
    /// Scenario that was played.
    pub scenario: Scenario,
    /// Number of cores of the machine on which all processes ran; 0 if unknown.
    pub machine_cores: usize,
    /// Measurements of each step.
    pub steps: Vec<Step>,
}
