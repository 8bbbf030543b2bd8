//! The scenario file of a scale run: the target size, the steps towards it and the limits of the run.

use serde::{Deserialize, Serialize};

use super::role::StateLimits;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Number of tasks in an array job.
pub const ARRAY_TASKS: u32 = 300;
/// Number of replicas of a service.
pub const SERVICE_REPLICAS: u32 = 30;
/// Gang sizes in tasks, each with its relative frequency.
pub const GANG_SIZES: [(u32, u32); 6] = [(2, 8), (4, 8), (8, 6), (16, 4), (32, 2), (64, 1)];
/// Duration of a gang's tasks, in seconds.
pub const GANG_TASK_DURATION_S: f64 = 40.0;
/// Share of the running tasks that are replicas of services.
const SERVICE_SHARE: f64 = 0.56;
/// Share of the running tasks that belong to gangs; the remaining tasks belong to arrays.
const GANG_SHARE: f64 = 0.06;
/// Task starts per second in the steady phase, as a share of those at the peak.
const STEADY_SHARE: f64 = 0.25;
/// Time between the end of a task and the start of the next task in its place, in seconds.
const TASK_TURNOVER_S: f64 = 1.5;

/// The size of the installation that the largest step reaches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Number of regions; each has its own state service, cloud, workers and controllers.
    pub regions: usize,
    /// Number of zones in all regions together.
    pub zones: usize,
    /// Number of controllers in all regions together.
    pub controllers: usize,
    /// Number of workers in all regions together.
    pub workers: usize,
    /// Number of accelerators in all regions together.
    pub accelerators: usize,
    /// Number of tasks that a worker runs at once.
    pub tasks_per_worker: usize,
    /// Number of teams that submit jobs.
    pub teams: usize,
    /// Task starts per second at the peak, in all regions together.
    pub starts_per_s: f64,
    /// Urgent jobs per second, in all regions together.
    pub urgent_per_s: f64,
    /// Number of machines that are restarted or replaced in a day, in all regions together.
    pub machine_restarts: usize,
}

/// Limits of a region's services, resources of its controllers, and timing of the worker protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Limits of the state service.
    pub state: StateLimits,
    /// Requests per second that the cloud allows.
    pub cloud_rps: f64,
    /// Age of the machine list that the cloud returns, in seconds.
    pub list_lag_s: f64,
    /// Cores of each controller, possibly a fraction of one, as written in the controller's settings.
    /// The run does not enforce this limit.
    pub cores: f64,
    /// Memory of each controller, in MB.
    pub memory_mb: f64,
    /// Number of sockets that each controller may open.
    pub sockets: usize,
    /// Interval between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// How long a task of a gang waits for the other tasks to start, in seconds.
    pub gang_wait_s: f64,
    /// Time within which a gang detects the loss of a task, in seconds.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job have left the machines, in seconds.
    pub cancel_s: f64,
}

/// Duration of each phase in seconds; 0 skips the phase.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phases {
    /// Longest time until the machines are up and filled with tasks.
    pub fill_s: f64,
    /// Time for a new arrival rate to take effect before the steady and peak phases are measured; also
    /// the duration of the phase after the peak.
    pub settle_s: f64,
    /// Phase with steady load and no fault.
    pub steady_s: f64,
    /// Phase with the peak rate of task starts and no fault.
    pub peak_s: f64,
    /// Phase that begins with the kill of each region's leader.
    pub leader_s: f64,
    /// Phase that begins with the simultaneous failure of 40 machines in one region.
    pub machines_s: f64,
    /// Phase in which one zone is down.
    pub zone_s: f64,
    /// Phase that begins with the kill of all controllers of one region.
    pub region_s: f64,
    /// Phase in which as many machines are killed as are restarted in a day.
    pub restarts_s: f64,
}

/// Limits at which a run stops, or is rejected before it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest duration of the whole run, in seconds.
    pub time_s: f64,
    /// Largest total memory of the processes of all regions, in GB.
    pub memory_gb: f64,
    /// Largest number of processes; a scenario that needs more is rejected.
    pub processes: usize,
}

/// A scale run as described by its scenario file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the job arrivals and of the random choices of the emulated services.
    pub seed: u64,
    /// Fractions of the target, above 0 and at most 1, played one after the other.
    pub steps: Vec<f64>,
    /// The size that a step with the fraction 1 reaches.
    pub target: Target,
    /// Settings that all regions share.
    pub region: Region,
    /// Durations of the phases of a step.
    pub phases: Phases,
    /// Limits of the run.
    pub bounds: Bounds,
}

/// Number of processes of a region besides its controllers: state service, cloud and workers.
pub const REGION_PROCESSES: usize = 3;

/// Reports whether a number is finite and above zero.
fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

impl Scenario {
    /// Parses the text of a scenario file.
    ///
    /// # Errors
    ///
    /// Returns a description of all problems, one line for each; a syntax error is reported alone.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| error.to_string().trim().to_owned())?;
        let problems = scenario.problems();
        match problems.is_empty() {
            true => Ok(scenario),
            false => Err(problems.join("\n")),
        }
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut require = |condition: bool, problem: &str| {
            if !condition {
                problems.push(problem.to_owned());
            }
        };
        let (target, region, phases, bounds) = (&self.target, &self.region, &self.phases, &self.bounds);
        require(!self.steps.is_empty(), "steps: at least one is required");
        require(self.steps.iter().all(|v| is_positive(*v) && *v <= 1.0), "steps: each must be above 0 and at most 1");
        require((1..=100).contains(&target.regions), "target.regions: must be from 1 to 100");
        require(target.zones >= target.regions, "target.zones: at least one is required for each region");
        require(target.controllers >= target.regions, "target.controllers: at least one is required for each region");
        require((1..=50_000).contains(&target.workers), "target.workers: must be from 1 to 50000");
        require(target.accelerators >= target.workers, "target.accelerators: at least one is required for each worker");
        require((1..=200).contains(&target.tasks_per_worker), "target.tasks_per_worker: must be from 1 to 200");
        require((1..=100_000).contains(&target.teams), "target.teams: must be from 1 to 100000");
        require(is_positive(target.starts_per_s), "target.starts_per_s: must be above 0");
        require(
            target.urgent_per_s.is_finite() && target.urgent_per_s >= 0.0,
            "target.urgent_per_s: must be 0 or more",
        );
        let limits = [
            region.state.rps,
            region.state.write_rps,
            region.state.value_kb,
            region.cloud_rps,
            region.cores,
            region.memory_mb,
        ];
        require(limits.iter().all(|v| is_positive(*v)), "region: each limit must be above 0");
        require(region.state.txn_ops >= 4, "region.state.txn_ops: must be at least 4");
        require(
            is_positive(region.report_s) && region.lease_s >= 2.0 * region.report_s,
            "region.lease_s: must be at least twice report_s, and report_s above 0",
        );
        let gang_times = [region.gang_wait_s, region.gang_peer_s, region.cancel_s];
        require(
            gang_times.iter().all(|v| is_positive(*v)),
            "region: gang_wait_s, gang_peer_s and cancel_s must be above 0",
        );
        require(region.list_lag_s.is_finite() && region.list_lag_s >= 0.0, "region.list_lag_s: must be 0 or more");
        let durations = [
            phases.fill_s,
            phases.settle_s,
            phases.steady_s,
            phases.peak_s,
            phases.leader_s,
            phases.machines_s,
            phases.zone_s,
            phases.region_s,
            phases.restarts_s,
        ];
        require(durations.iter().all(|v| v.is_finite() && *v >= 0.0), "phases: each duration must be 0 or more");
        require(is_positive(bounds.time_s), "bounds.time_s: must be above 0");
        require(is_positive(bounds.memory_gb), "bounds.memory_gb: must be above 0");
        let processes = 1 + target.controllers + REGION_PROCESSES * target.regions;
        require(processes <= bounds.processes, &format!("bounds.processes: {processes} are needed"));
        problems
    }

    /// Returns the size and work of one region at the fraction `part` of the target.
    pub fn load(&self, part: f64) -> Load {
        let target = &self.target;
        let regions = target.regions as f64;
        let workers = (target.workers as f64 * part / regions).round().max(1.0);
        let tasks = workers * target.tasks_per_worker as f64;
        let peak = target.starts_per_s * part / regions;
        let gang_tasks = tasks * GANG_SHARE;
        let array_tasks = tasks * (1.0 - SERVICE_SHARE - GANG_SHARE);
        let total_weight: u32 = GANG_SIZES.iter().map(|gang| gang.1).sum();
        let mean_gang_tasks =
            f64::from(GANG_SIZES.iter().map(|gang| gang.0 * gang.1).sum::<u32>()) / f64::from(total_weight);
        let task_duration = |starts: f64| (array_tasks / starts - TASK_TURNOVER_S).max(1.0);
        Load {
            workers: workers as usize,
            services: (tasks * SERVICE_SHARE / f64::from(SERVICE_REPLICAS)).floor() as usize,
            gangs_per_s: gang_tasks / (GANG_TASK_DURATION_S + TASK_TURNOVER_S) / mean_gang_tasks,
            steady: Arrays {
                per_s: peak * STEADY_SHARE / f64::from(ARRAY_TASKS),
                task_duration_s: task_duration(peak * STEADY_SHARE),
            },
            peak: Arrays { per_s: peak / f64::from(ARRAY_TASKS), task_duration_s: task_duration(peak) },
            filling: Arrays {
                per_s: peak / f64::from(ARRAY_TASKS),
                task_duration_s: task_duration(peak * STEADY_SHARE),
            },
            urgent_per_s: target.urgent_per_s * part.max(0.25) / regions,
            restarts: (target.machine_restarts as f64 * part / regions).round() as usize,
        }
    }

    /// Returns the number of jobs per day, in all regions together, at the arrival rates of the steady
    /// phase.
    pub fn jobs_per_day(&self, part: f64) -> f64 {
        let load = self.load(part);
        (load.steady.per_s + load.gangs_per_s + load.urgent_per_s) * self.target.regions as f64 * SECONDS_PER_DAY
    }
}

/// Arrival of array jobs with [`ARRAY_TASKS`] tasks each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrays {
    /// Jobs per second.
    pub per_s: f64,
    /// Duration of each task, in seconds.
    pub task_duration_s: f64,
}

/// The size and work of one region.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Number of workers.
    pub workers: usize,
    /// Number of services, with [`SERVICE_REPLICAS`] replicas each, that run during the whole step.
    pub services: usize,
    /// Gangs per second.
    pub gangs_per_s: f64,
    /// Arrays in all phases except the peak.
    pub steady: Arrays,
    /// Arrays at the peak.
    pub peak: Arrays,
    /// Arrays until the region is full: they arrive at the peak rate, with the task duration of the
    /// steady phase.
    pub filling: Arrays,
    /// Urgent jobs per second.
    pub urgent_per_s: f64,
    /// Number of machines killed in the restarts phase.
    pub restarts: usize,
}
