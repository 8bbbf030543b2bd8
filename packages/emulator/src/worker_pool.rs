//! Machines with their workers, as the protocol describes them: incarnations, leases and fencing
//! tokens, image fetches, gangs, checkpoints.
//!
//! A plain state machine over all machines at once, as gangs span them; every step takes the
//! current time.  It also records each violation of the protocol that can be seen from where tasks
//! run.

mod commands;
mod gang;
mod heartbeat;
mod machine;
mod progress;
mod rules;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{JobSpec, Name, Shape, Task};
use fastrand::Rng;

pub use self::heartbeat::SentHeartbeat;
pub use self::machine::{Machine, NewMachine};

/// How workers behave, all in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// A worker whose last answered heartbeat was sent longer ago kills its tasks.
    pub lease_s: f64,
    /// How long a task of a gang waits for the others.
    pub gang_wait_s: f64,
    /// How quickly a gang notices the loss of a task, and within what time all of its tasks must be
    /// stopped for their checkpoint to count.
    pub gang_peer_s: f64,
}

/// The tasks that run at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTasks {
    /// All of them.
    pub all: u64,
    /// Those that are replicas of services.
    pub service_replicas: u64,
}

/// The start of a job that was to be timed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedStart {
    /// The job.
    pub job: Name,
    /// When its last task began to run.
    pub at: Instant,
}

/// All machines, the uploaded job descriptions, and what came of the jobs.
#[derive(Debug)]
pub struct WorkerPool {
    settings: Settings,
    machines: BTreeMap<Name, Machine>,
    /// The machines that list a task, in any phase.
    machines_by_task: HashMap<Task, Vec<Name>>,
    /// Machines with something to report since the last [`WorkerPool::take_changed`].
    changed_machines: Vec<Name>,
    specs: HashMap<Name, Arc<JobSpec>>,
    /// Jobs whose start is timed, with how many of their tasks have yet to start.
    tasks_to_start: HashMap<Name, u32>,
    /// Completed tasks of each job; their results are kept.
    completed_tasks: HashMap<Name, BTreeSet<u32>>,
    /// When the last task of a job completed.
    completed_at: HashMap<Name, Instant>,
    /// Saved progress, in seconds of the estimate; by job for gangs.
    saved_progress: HashMap<Task, f64>,
    rng: Rng,
    /// Seconds that a task runs for each second of its estimate.
    pub pace: f64,
    /// Violations of the protocol, a line each.
    pub violations: Vec<String>,
    /// Tasks that began to run.
    pub started: u64,
    /// Tasks that were killed because the lease of their worker expired.
    pub killed: u64,
    /// Timed jobs whose last task began to run; whoever reads them takes them out.
    pub timed_starts: Vec<TimedStart>,
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 1e9))
}

/// Removes a machine from those that list a task.
fn unlist(machines_by_task: &mut HashMap<Task, Vec<Name>>, task: &Task, machine: &str) {
    if let Some(machines) = machines_by_task.get_mut(task) {
        machines.retain(|name| **name != *machine);
        if machines.is_empty() {
            machines_by_task.remove(task);
        }
    }
}

impl WorkerPool {
    /// Creates an empty pool; `pace` is how many seconds a task runs for each second of its estimate.
    pub fn new(settings: Settings, pace: f64, rng: Rng) -> WorkerPool {
        WorkerPool {
            settings,
            machines: BTreeMap::new(),
            machines_by_task: HashMap::new(),
            changed_machines: Vec::new(),
            specs: HashMap::new(),
            tasks_to_start: HashMap::new(),
            completed_tasks: HashMap::new(),
            completed_at: HashMap::new(),
            saved_progress: HashMap::new(),
            rng,
            pace,
            violations: Vec::new(),
            started: 0,
            killed: 0,
            timed_starts: Vec::new(),
        }
    }

    /// Stores a job's description, as users upload it for the workers; the first one stays.
    pub fn upload(&mut self, spec: JobSpec) {
        self.specs.entry(spec.id.clone()).or_insert_with(|| Arc::new(spec));
    }

    /// Times the start of a job that was uploaded before.
    pub fn time_start(&mut self, job: &Name) {
        if let Some(spec) = self.specs.get(job) {
            self.tasks_to_start.insert(job.clone(), spec.tasks);
        }
    }

    /// Number of completed tasks of a job.
    pub fn completed_task_count(&self, job: &str) -> usize {
        self.completed_tasks.get(job).map_or(0, BTreeSet::len)
    }

    /// Completed jobs, with when the last task of each completed.
    pub fn completed_at(&self) -> &HashMap<Name, Instant> {
        &self.completed_at
    }

    /// Counts the tasks that run now.
    pub fn running_tasks(&self) -> RunningTasks {
        let mut running = RunningTasks { all: 0, service_replicas: 0 };
        for (task, record) in self.machines.values().flat_map(|machine| &machine.tasks) {
            if !record.phase.is_running() {
                continue;
            }
            running.all += 1;
            let is_replica = self.specs.get(&task.job).is_some_and(|spec| spec.shape == Shape::Service);
            running.service_replicas += u64::from(is_replica);
        }
        running
    }

    /// All machines by name.
    pub fn machines(&self) -> &BTreeMap<Name, Machine> {
        &self.machines
    }

    /// Adds a machine that came up.
    pub fn add_machine(&mut self, new: NewMachine, now: Instant) {
        let speed = 0.95 + 0.1 * self.rng.f64();
        self.machines.insert(new.name.clone(), Machine::new(new, speed, now));
    }

    /// Notes when the cloud will reclaim a machine.
    pub fn schedule_reclaim(&mut self, name: &str, at: Instant) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.reclaim_at = Some(at);
            self.mark_changed(name);
        }
    }

    /// Removes a machine with all that is on it.
    pub fn remove_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.remove(name) else { return };
        for task in machine.tasks.keys() {
            unlist(&mut self.machines_by_task, task, name);
        }
    }

    /// Takes the names of the machines that got something to report since the last call; a name may
    /// be in it more than once.
    pub fn take_changed(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Whether a machine has something to report.
    pub fn has_changed(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|machine| machine.has_changed)
    }

    fn mark_changed(&mut self, name: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.has_changed = true;
            self.changed_machines.push(name.into());
        }
    }
}

#[cfg(test)]
mod tests;
