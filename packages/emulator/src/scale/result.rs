//! What a scale run measured: figures by role, region and phase, as JSON.  Wall-clock on one
//! machine.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::scenario::Scenario;

/// What processes of a role used in a phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processes.
    pub processes: usize,
    /// Cores that one used, the mean over all and over the phase.
    pub cores: f64,
    /// Most cores that one of them used in a second.
    pub cores_most: f64,
    /// Most memory that one of them held, in MB.
    pub memory_mb: f64,
    /// Most files, nearly all of them connections, that one had open at the end of the phase.
    pub files: usize,
}

/// Times in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// Half were quicker.
    pub p50_ms: f64,
    /// 95 of 100 were quicker.
    pub p95_ms: f64,
    /// 99 of 100 were quicker.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Quantiles {
    /// In short, of a histogram in microseconds.
    pub fn of(h: &Histogram<u64>) -> Quantiles {
        let at = |q: f64| (h.value_at_quantile(q) as f64 / 100.0).round() / 10.0;
        Quantiles { count: h.len(), p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99), max_ms: at(1.0) }
    }
}

/// One region in one phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RegionFigures {
    /// Its workers that were up at the end.
    pub workers: u64,
    /// Tasks that ran at the end.
    pub running: u64,
    /// Whether one controller led throughout.
    pub one_leader: bool,
    /// Starts a second.
    pub starts_per_s: f64,
    /// Reports a second.
    pub reports_per_s: f64,
    /// Reports a second that were sent to another controller or got no answer.
    pub reports_elsewhere_per_s: f64,
    /// Direct commands a second.
    pub direct_per_s: f64,
    /// Bytes a second of reports and their answers, and of direct commands, both ways.
    pub bytes_per_s: f64,
    /// Users' requests a second.
    pub user_requests_per_s: f64,
    /// Requests to the state service a second.
    pub state_requests_per_s: f64,
    /// Requests that it refused.
    pub state_refused: u64,
    /// Puts and deletes a second.
    pub state_changes_per_s: f64,
    /// Keys in the state service at the end.
    pub state_keys: u64,
    /// Tasks killed by leases.
    pub killed: u64,
    /// The leader; of a phase in which another began, who leads at its end.
    pub leader: Usage,
    /// The other controllers.
    pub followers: Usage,
    /// State service.
    pub state: Usage,
    /// Cloud.
    pub cloud: Usage,
    /// The workers' process.
    pub worker_process: Usage,
    /// From the end of the leader, or of all controllers, to the next start, in seconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub next_start_s: Option<f64>,
    /// Share of the replicas that ran before and run at the end.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub replicas_back: Option<f64>,
}

/// One phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// How long it was, in seconds.
    pub seconds: f64,
    /// The regions.
    pub regions: Vec<RegionFigures>,
    /// From submission to acceptance.
    pub accept: Quantiles,
    /// From the acceptance of urgent work to the start of all its tasks.
    pub urgent: Quantiles,
    /// Urgent jobs that were accepted in the phase and had not begun at its end.
    pub urgent_waiting: u64,
    /// The users' process, which also starts and measures the others.
    pub users: Usage,
    /// Cores that all processes used together.
    pub cores_in_all: f64,
}

/// One step.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Part of the target.
    pub part: f64,
    /// Its phases, as far as they were played.
    pub phases: Vec<Phase>,
    /// Rules that were seen broken, and answers that are wrong.
    pub broken: Vec<String>,
    /// Why it ended early, if it did.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub stopped: Option<String>,
}

/// A run, or one step of it, as a file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleReport {
    /// What was to be played.
    pub scenario: Scenario,
    /// Cores of the machine that all of it ran on.
    pub machine_cores: usize,
    /// What came of each step.
    pub steps: Vec<Step>,
}
