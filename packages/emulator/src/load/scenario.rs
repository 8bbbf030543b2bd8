//! The scenario of a load run, as its file has it.

use std::time::Duration;

use coralnotch_wire::example;
use coralnotch_wire::model::{JobSpec, Name};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::faults;
use crate::up::Size;

/// Controllers of a cluster.
pub(super) const CONTROLLERS: usize = 3;
/// Most jobs of a scenario.
const MAX_JOBS: usize = 100_000;

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file is not TOML, or not a scenario.
    #[error("{}", .0.to_string().trim())]
    Syntax(#[source] toml::de::Error),
    /// All that is wrong with its values, a line each.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

/// How jobs are submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Users {
    /// The client library.
    Library,
    /// One request at a time, repeated after a second, without the client library.
    OneRequest,
}

/// A scenario, as its file has it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the arrivals and of the emulated services.
    #[serde(default = "one")]
    pub seed: u64,
    /// Who submits.
    pub users: Users,
    /// Independent clients, to which the jobs are given in rotation.
    #[serde(default = "one")]
    pub clients: u64,
    /// With the library: whether its retry budget is in force.
    #[serde(default = "yes")]
    pub retry_budget: bool,
    /// Arrivals a second, at random times.
    #[serde(default)]
    pub rate: f64,
    /// For how long jobs arrive, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Arrivals at given times instead, in seconds.
    #[serde(default)]
    pub trace_s: Vec<f64>,
    /// How long to wait for answers after the last arrival, in seconds.
    pub settle_s: f64,
    /// Jobs may be unfinished at the end: no answer is missing then.
    #[serde(default)]
    pub unfinished: bool,
    /// Tasks of a job.
    #[serde(default = "one")]
    pub tasks: u64,
    /// Time of a task, in seconds.
    pub expect_s: f64,
    /// Machines of each type, zone and kind.
    #[serde(default = "dozen")]
    pub capacity: usize,
    /// How much the services allow.
    #[serde(default)]
    pub cluster: Size,
    /// What goes wrong, from when the cluster is ready.
    #[serde(default, rename = "fault", skip_serializing)]
    pub faults: Vec<toml::Table>,
}

fn one() -> u64 {
    1
}
fn yes() -> bool {
    true
}
fn dozen() -> usize {
    12
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// [`ScenarioError::Invalid`] with all that is wrong with it.
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

    fn problems(&self) -> Vec<String> {
        let is_amount = |value: f64| value.is_finite() && value >= 0.0;
        let amounts = [self.rate, self.for_s, self.settle_s, self.expect_s];
        let expected_jobs = self.rate * self.for_s;
        let checks = [
            (amounts.into_iter().all(is_amount), "a time or rate is negative"),
            (self.trace_s.iter().all(|at| is_amount(*at)), "trace_s has a negative time"),
            (self.trace_s.is_empty() == (expected_jobs > 0.0), "either rate and for_s, or trace_s"),
            (expected_jobs <= MAX_JOBS as f64 && self.trace_s.len() <= MAX_JOBS, "more than 100000 jobs"),
            ((1..=20_000).contains(&self.clients), "clients: from 1 to 20000"),
            ((1..=1000).contains(&self.tasks), "tasks: from 1 to 1000"),
            (self.cluster.state_rps >= 10.0 && self.cluster.write_rps >= 10.0, "cluster: rates of at least 10"),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, problem)| problem.to_owned()).collect()
    }

    /// When jobs arrive, from the start of the run.
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

    pub(super) fn job(&self, id: Name) -> JobSpec {
        JobSpec {
            class: "demo".into(),
            team: "demo".into(),
            cpus: 0.5,
            memory: 0.5,
            image: "load-image".into(),
            image_gb: 0.1,
            estimate_s: self.expect_s,
            ..(*example::spec(&id, self.tasks as u32)).clone()
        }
    }
}
