//! Emulated machines and their workers: incarnations, leases, fencing tokens, image fetches, gangs
//! and checkpoints.
//!
//! [`WorkerPool`] is a state machine without I/O that receives the current time with each call.  It
//! holds all machines, because the tasks of a gang run on several of them.  It also records each
//! violation of the protocol that is visible on the machines.

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

/// Time limits of the workers, all in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// A worker kills its tasks when its last answered heartbeat was sent longer ago than this.
    pub lease_s: f64,
    /// Longest time that a task of a gang waits for the other tasks before it exits.
    pub gang_wait_s: f64,
    /// Time from the loss of a task of a gang until the other tasks exit.  Also the time from a stop
    /// command within which all tasks of the gang must be stopped for their checkpoint to count.
    pub gang_peer_s: f64,
}

/// Numbers of running tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTasks {
    /// All running tasks.
    pub all: u64,
    /// Running tasks that are replicas of services.
    pub service_replicas: u64,
}

/// The measured start of a job for which [`WorkerPool::request_start_timing`] was called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedStart {
    /// Id of the job.
    pub job: Name,
    /// When the last task of the job began to run.
    pub at: Instant,
}

/// All machines, the uploaded job specs, and the progress of the jobs.
#[derive(Debug)]
pub struct WorkerPool {
    settings: Settings,
    machines: BTreeMap<Name, Machine>,
    /// The machines that hold a record of a task, whatever its phase.
    machines_by_task: HashMap<Task, Vec<Name>>,
    /// Machines that changed since the last call of [`WorkerPool::take_changed_machines`].
    changed_machines: Vec<Name>,
    specs: HashMap<Name, Arc<JobSpec>>,
    /// Jobs whose start is timed, with the number of their tasks that have not started.
    tasks_to_start: HashMap<Name, u32>,
    /// Completed tasks of each job; a completed task does not run again.
    completed_tasks: HashMap<Name, BTreeSet<u32>>,
    /// When the last task of each completed job completed.
    completed_at: HashMap<Name, Instant>,
    /// Saved progress in seconds of the job's estimate.  A gang has one entry, under task index 0.
    saved_progress_s: HashMap<Task, f64>,
    rng: Rng,
    /// Run time of a task in seconds per second of the job's estimate.
    pub runtime_factor: f64,
    /// Recorded violations of the protocol, one line each, which starts with the name of the violated
    /// rule.
    pub violations: Vec<String>,
    /// Number of task attempts that began to run.
    pub started: u64,
    /// Number of tasks that were killed because the lease of their worker expired.
    pub killed: u64,
    /// Timed jobs whose last task began to run; the reader removes the entries.
    pub timed_starts: Vec<TimedStart>,
}

fn duration_from_seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 1e9))
}

/// Removes a machine from the index of the machines that hold a task.
fn remove_task_machine(machines_by_task: &mut HashMap<Task, Vec<Name>>, task: &Task, machine: &str) {
    if let Some(machines) = machines_by_task.get_mut(task) {
        machines.retain(|name| **name != *machine);
        if machines.is_empty() {
            machines_by_task.remove(task);
        }
    }
}

impl WorkerPool {
    /// Creates an empty pool; `runtime_factor` is the run time of a task in seconds per second of the
    /// job's estimate.
    pub fn new(settings: Settings, runtime_factor: f64, rng: Rng) -> WorkerPool {
        WorkerPool {
            settings,
            machines: BTreeMap::new(),
            machines_by_task: HashMap::new(),
            changed_machines: Vec::new(),
            specs: HashMap::new(),
            tasks_to_start: HashMap::new(),
            completed_tasks: HashMap::new(),
            completed_at: HashMap::new(),
            saved_progress_s: HashMap::new(),
            rng,
            runtime_factor,
            violations: Vec::new(),
            started: 0,
            killed: 0,
            timed_starts: Vec::new(),
        }
    }

    /// Stores the spec that a user uploads for the workers.  A second spec for the same job is ignored.
    pub fn upload(&mut self, spec: JobSpec) {
        self.specs.entry(spec.id.clone()).or_insert_with(|| Arc::new(spec));
    }

    /// Requests that the start of a job is timed.  The call has no effect unless the job's spec was
    /// uploaded before.
    pub fn request_start_timing(&mut self, job: &Name) {
        if let Some(spec) = self.specs.get(job) {
            self.tasks_to_start.insert(job.clone(), spec.tasks);
        }
    }

    /// Returns the number of completed tasks of a job.
    pub fn completed_task_count(&self, job: &str) -> usize {
        self.completed_tasks.get(job).map_or(0, BTreeSet::len)
    }

    /// Returns the completed jobs, each with the time at which its last task completed.
    pub fn completed_at(&self) -> &HashMap<Name, Instant> {
        &self.completed_at
    }

    /// Counts the running tasks.
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

    /// Returns all machines by name.
    pub fn machines(&self) -> &BTreeMap<Name, Machine> {
        &self.machines
    }

    /// Adds a booted machine, whose speed is chosen at random within 5% of its type's.
    pub fn add_machine(&mut self, new: NewMachine, now: Instant) {
        let speed = 0.95 + 0.1 * self.rng.f64();
        self.machines.insert(new.name.clone(), Machine::new(new, speed, now));
    }

    /// Records when the cloud will reclaim a machine.
    pub fn schedule_reclaim(&mut self, name: &str, at: Instant) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.reclaim_at = Some(at);
            self.mark_changed(name);
        }
    }

    /// Removes a machine and its tasks.
    pub fn remove_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.remove(name) else { return };
        for task in machine.tasks.keys() {
            remove_task_machine(&mut self.machines_by_task, task, name);
        }
    }

    /// Removes and returns the names of the machines that changed since the last call.  A name can
    /// occur more than once.
    pub fn take_changed_machines(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Reports whether a machine has changed since its last heartbeat.
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
