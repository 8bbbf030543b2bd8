//! What a scale run plays: the target, the steps towards it, and what stops it.

use serde::{Deserialize, Serialize};

use super::role::StateLimits;

/// Hours of a day, in seconds.
const DAY_S: f64 = 86_400.0;
/// Tasks of an array.
pub const ARRAY_TASKS: u32 = 300;
/// Replicas of a service.
pub const SERVICE_TASKS: u32 = 30;
/// Sizes of gangs, with how often each comes: the largest has 64 tasks.
pub const GANG_SIZES: [(u32, u32); 6] = [(2, 8), (4, 8), (8, 6), (16, 4), (32, 2), (64, 1)];
/// How long a gang's task runs, in seconds.
pub const GANG_RUN_S: f64 = 40.0;
/// Shares of a machine's tasks that are replicas and tasks of gangs; the rest is of arrays.
const SERVICE_SHARE: f64 = 0.56;
const GANG_SHARE: f64 = 0.06;
/// Starts a second in the steady phase, as a share of the peak's.
const STEADY_SHARE: f64 = 0.25;
/// What goes by between a task's end and the next one's start in its place, in seconds.
const TURNOVER_S: f64 = 1.5;

/// The size that a run heads for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Regions; each is a cell with services of its own.
    pub regions: usize,
    /// Zones in all.
    pub zones: usize,
    /// Controllers in all.
    pub controllers: usize,
    /// Workers in all.
    pub workers: usize,
    /// Accelerators in all.
    pub accelerators: usize,
    /// Tasks that a worker runs.
    pub tasks_per_worker: usize,
    /// Teams.
    pub teams: usize,
    /// Task starts a second at the peak.
    pub starts_per_s: f64,
    /// Urgent jobs a second.
    pub urgent_per_s: f64,
    /// Machines that are restarted or replaced in a day.
    pub machine_restarts: usize,
}

/// What each region's services allow, and what its control machines are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The state service.
    pub state: StateLimits,
    /// Requests a second to the cloud.
    pub cloud_rps: f64,
    /// How old the cloud's list is, in seconds.
    pub list_lag_s: f64,
    /// Share of a core for each controller; nothing here enforces it.
    pub cores: f64,
    /// Memory of each, in MB.
    pub memory_mb: f64,
    /// Sockets of each.
    pub sockets: usize,
    /// Interval of reports, in seconds.
    pub report_s: f64,
    /// Lease of a worker, in seconds.
    pub lease_s: f64,
    /// How long a gang's task waits for the others, in seconds.
    pub gang_wait_s: f64,
    /// How quickly a gang notices a loss, in seconds.
    pub gang_peer_s: f64,
    /// Within this a cancelled job is gone, in seconds.
    pub cancel_s: f64,
}

/// How long each phase lasts, in seconds; 0 leaves it out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phases {
    /// Until the machines are up and full.
    pub fill_s: f64,
    /// How long new arrivals have before the steady phase and the peak are measured.
    pub settle_s: f64,
    /// Steady load.
    pub steady_s: f64,
    /// The peak of starts.
    pub peak_s: f64,
    /// After the end of each region's leader.
    pub leader_s: f64,
    /// After 40 machines of a region died at once.
    pub machines_s: f64,
    /// With a zone down.
    pub zone_s: f64,
    /// After all controllers of a region ended.
    pub region_s: f64,
    /// A day's restarts of machines.
    pub restarts_s: f64,
}

/// When a run stops whatever it has come to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time of the whole run, in seconds.
    pub time_s: f64,
    /// Memory of all processes together, in GB.
    pub memory_gb: f64,
    /// Processes.
    pub processes: usize,
}

/// A run, as its file has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of arrivals and of the stand-ins' chances.
    pub seed: u64,
    /// Parts of the target, played one after the other.
    pub steps: Vec<f64>,
    /// The target.
    pub target: Target,
    /// A region.
    pub region: Region,
    /// Phases of a step.
    pub phases: Phases,
    /// Bounds.
    pub bounds: Bounds,
}

/// Processes of a region beside its controllers: state service, cloud, workers.
pub const REGION_PROCESSES: usize = 3;

/// A finite number above zero.
fn positive(v: f64) -> bool {
    v.is_finite() && v > 0.0
}

impl Scenario {
    /// Reads a file; the error is all that is wrong with it.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let s: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim().to_owned())?;
        let faults = s.faults();
        match faults.is_empty() {
            true => Ok(s),
            false => Err(faults.join("\n")),
        }
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |ok: bool, what: &str| {
            if !ok {
                faults.push(what.to_owned());
            }
        };
        let (t, r, p, b) = (&self.target, &self.region, &self.phases, &self.bounds);
        must(!self.steps.is_empty(), "steps: at least one");
        must(self.steps.iter().all(|f| positive(*f) && *f <= 1.0), "steps: each above 0 and at most 1");
        must((1..=100).contains(&t.regions), "target.regions: from 1 to 100");
        must(t.zones >= t.regions, "target.zones: at least one a region");
        must(t.controllers >= t.regions, "target.controllers: at least one a region");
        must((1..=50_000).contains(&t.workers), "target.workers: from 1 to 50000");
        must(t.accelerators >= t.workers, "target.accelerators: at least one a worker");
        must((1..=200).contains(&t.tasks_per_worker), "target.tasks_per_worker: from 1 to 200");
        must((1..=100_000).contains(&t.teams), "target.teams: from 1 to 100000");
        must(positive(t.starts_per_s), "target.starts_per_s: above 0");
        must(t.urgent_per_s.is_finite() && t.urgent_per_s >= 0.0, "target.urgent_per_s: 0 or more");
        let limits = [r.state.rps, r.state.write_rps, r.state.value_kb, r.cloud_rps, r.cores, r.memory_mb];
        must(limits.iter().all(|v| positive(*v)), "region: each limit above 0");
        must(r.state.txn_ops >= 4, "region.state.txn_ops: at least 4");
        must(positive(r.report_s) && r.lease_s >= 2.0 * r.report_s, "region.lease_s: at least twice report_s");
        let gang = [r.gang_wait_s, r.gang_peer_s, r.cancel_s];
        must(gang.iter().all(|v| positive(*v)), "region: gang_wait_s, gang_peer_s and cancel_s above 0");
        must(r.list_lag_s.is_finite() && r.list_lag_s >= 0.0, "region.list_lag_s: 0 or more");
        let phases =
            [p.fill_s, p.settle_s, p.steady_s, p.peak_s, p.leader_s, p.machines_s, p.zone_s, p.region_s, p.restarts_s];
        must(phases.iter().all(|v| v.is_finite() && *v >= 0.0), "phases: each 0 or more");
        must(positive(b.time_s), "bounds.time_s: above 0");
        must(positive(b.memory_gb), "bounds.memory_gb: above 0");
        let processes = 1 + t.controllers + REGION_PROCESSES * t.regions;
        must(processes <= b.processes, &format!("bounds.processes: {processes} are needed"));
        faults
    }

    /// What one region of this part of the target is and does.
    pub fn load(&self, part: f64) -> Load {
        let t = &self.target;
        let regions = t.regions as f64;
        let workers = (t.workers as f64 * part / regions).round().max(1.0);
        let tasks = workers * t.tasks_per_worker as f64;
        let peak = t.starts_per_s * part / regions;
        let gang_tasks = tasks * GANG_SHARE;
        let array_tasks = tasks * (1.0 - SERVICE_SHARE - GANG_SHARE);
        let times: u32 = GANG_SIZES.iter().map(|g| g.1).sum();
        let mean_gang = f64::from(GANG_SIZES.iter().map(|g| g.0 * g.1).sum::<u32>()) / f64::from(times);
        let run = |starts: f64| (array_tasks / starts - TURNOVER_S).max(1.0);
        Load {
            workers: workers as usize,
            services: (tasks * SERVICE_SHARE / f64::from(SERVICE_TASKS)).floor() as usize,
            gangs_per_s: gang_tasks / (GANG_RUN_S + TURNOVER_S) / mean_gang,
            steady: Arrays { per_s: peak * STEADY_SHARE / f64::from(ARRAY_TASKS), run_s: run(peak * STEADY_SHARE) },
            peak: Arrays { per_s: peak / f64::from(ARRAY_TASKS), run_s: run(peak) },
            filling: Arrays { per_s: peak / f64::from(ARRAY_TASKS), run_s: run(peak * STEADY_SHARE) },
            urgent_per_s: t.urgent_per_s * part.max(0.25) / regions,
            restarts: (t.machine_restarts as f64 * part / regions).round() as usize,
        }
    }

    /// How often jobs of the target's day arrive on average, beside those of the steady phase.
    pub fn jobs_a_day(&self, part: f64) -> f64 {
        let load = self.load(part);
        (load.steady.per_s + load.gangs_per_s + load.urgent_per_s) * self.target.regions as f64 * DAY_S
    }
}

/// Arrays of [`ARRAY_TASKS`] tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrays {
    /// Jobs a second.
    pub per_s: f64,
    /// How long a task runs, in seconds.
    pub run_s: f64,
}

/// The work of one region.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Workers.
    pub workers: usize,
    /// Services of [`SERVICE_TASKS`] replicas that run throughout.
    pub services: usize,
    /// Gangs a second.
    pub gangs_per_s: f64,
    /// Arrays in all phases but the peak.
    pub steady: Arrays,
    /// Arrays in the peak.
    pub peak: Arrays,
    /// Arrays until the region is full: as many as in the peak, as long as in the others.
    pub filling: Arrays,
    /// Small urgent jobs a second.
    pub urgent_per_s: f64,
    /// Machines that die in the phase of restarts.
    pub restarts: usize,
}
