//! The scenario of a load run, and the reader of its TOML file.

use std::time::Duration;

use coralnotch_wire::example;
use coralnotch_wire::model::{JobSpec, Name};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::faults;
use crate::up::ClusterLimits;

/// Number of controllers in the cluster of a load run.
pub(super) const CONTROLLERS: usize = 3;
/// Maximum number of jobs in a scenario.
const MAX_JOBS: usize = 100_000;

/// The reason why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not valid TOML, or has unknown, missing or mistyped keys.
    #[error("{}", .0.to_string().trim())]
    Syntax(#[source] toml::de::Error),
    /// All problems of the values; the message has one line for each.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

/// The way in which users submit jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Users {
    /// With the client library.
    Library,
    /// Without the client library: one request at a time, retried after a second.
    OneRequest,
}

/// The scenario of a load run; the fields are the keys of its file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the arrival times and of the emulated services.
    #[serde(default = "one")]
    pub seed: u64,
    /// The way in which jobs are submitted.
    pub users: Users,
    /// Number of independent clients, to which the jobs are assigned in rotation.
    #[serde(default = "one")]
    pub clients: u64,
    /// Whether the client library limits retries by its retry budget; without the library, the value has
    /// no effect.
    #[serde(default = "enabled")]
    pub retry_budget: bool,
    /// Mean number of arrivals per second; the arrivals are a Poisson process.
    #[serde(default)]
    pub rate: f64,
    /// Time during which jobs arrive, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Arrival times in seconds since the start of the run; replaces `rate` and `for_s`.
    #[serde(default)]
    pub trace_s: Vec<f64>,
    /// Maximum time to wait for final answers after the last arrival, in seconds.
    pub settle_s: f64,
    /// Whether jobs may be unfinished at the end of the run; a missing answer is then no problem.
    #[serde(default)]
    pub unfinished: bool,
    /// Number of tasks of each job.
    #[serde(default = "one")]
    pub tasks: u64,
    /// Run time of each task, in seconds; the jobs state the same time as their estimate.
    pub expect_s: f64,
    /// Number of machines of each type that can be rented in each zone, counted apart for spot and
    /// on-demand machines.
    #[serde(default = "default_capacity")]
    pub capacity: usize,
    /// Limits of the emulated services and of the controllers.
    #[serde(default)]
    pub cluster: ClusterLimits,
    /// Faults to inject, as in a fault plan; their times count from when the cluster is ready.
    #[serde(default, rename = "fault", skip_serializing)]
    pub faults: Vec<toml::Table>,
}

fn one() -> u64 {
    1
}
fn enabled() -> bool {
    true
}
fn default_capacity() -> usize {
    12
}

impl Scenario {
    /// Parses the text of a scenario file and checks all of its values.
    ///
    /// # Errors
    ///
    /// Returns [`ScenarioError::Syntax`] if the text is not TOML with the keys of a scenario, and
    /// [`ScenarioError::Invalid`] with all problems of the values.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(ScenarioError::Syntax)?;
        let mut problems = scenario.problems();
        if let Err(error) = faults::plan(scenario.faults.clone(), CONTROLLERS) {
            problems.push(error.to_string());
        }
        match problems.is_empty() {
            true => Ok(scenario),
            false => Err(ScenarioError::Invalid(problems)),
        }
    }

    /// Returns the problems of all values except the faults.
    fn problems(&self) -> Vec<String> {
        let is_valid_amount = |value: f64| value.is_finite() && value >= 0.0;
        let amounts = [self.rate, self.for_s, self.settle_s, self.expect_s];
        let expected_jobs = self.rate * self.for_s;
        let checks = [
            (
                amounts.into_iter().all(is_valid_amount),
                "rate, for_s, settle_s and expect_s must be finite and not negative",
            ),
            (
                self.trace_s.iter().all(|at| is_valid_amount(*at)),
                "all times in trace_s must be finite and not negative",
            ),
            (
                self.trace_s.is_empty() == (expected_jobs > 0.0),
                "set either both rate and for_s to more than 0, or trace_s",
            ),
            (
                expected_jobs <= MAX_JOBS as f64 && self.trace_s.len() <= MAX_JOBS,
                "the scenario must not have more than 100000 jobs",
            ),
            ((1..=20_000).contains(&self.clients), "clients must be from 1 to 20000"),
            ((1..=1000).contains(&self.tasks), "tasks must be from 1 to 1000"),
            (
                self.cluster.state_rps >= 10.0 && self.cluster.write_rps >= 10.0,
                "cluster.state_rps and cluster.write_rps must be at least 10",
            ),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, problem)| problem.to_owned()).collect()
    }

    /// Returns the arrival times of the jobs since the start of the run, sorted.  The times depend only
    /// on the scenario and its seed.
    pub fn arrivals(&self) -> Vec<Duration> {
        let mut rng = Rng::with_seed(self.seed);
        let mut arrivals_s: Vec<f64> = self.trace_s.clone();
        let mut at_s = 0.0;
        while self.trace_s.is_empty() && arrivals_s.len() < MAX_JOBS {
            at_s += -(1.0 - rng.f64()).ln() / self.rate;
            if at_s > self.for_s {
                break;
            }
            arrivals_s.push(at_s);
        }
        arrivals_s.sort_by(f64::total_cmp);
        arrivals_s.into_iter().map(Duration::from_secs_f64).collect()
    }

    /// Returns a job of the scenario with this id.
    pub(super) fn job(&self, id: Name) -> JobSpec {
        JobSpec {
            class: "demo".into(),
            team: "demo".into(),
            cpus: 0.5,
            memory_gb: 0.5,
            image: "load-image".into(),
            image_gb: 0.1,
            estimated_run_time_s: self.expect_s,
            ..(*example::job_array(&id, self.tasks as u32)).clone()
        }
    }
}
