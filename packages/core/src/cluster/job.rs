//! Jobs, and the assignments of their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use crate::dependency::Urgency;
use crate::model::*;

/// The phase of an assigned task, as last reported by its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// The start was decided; the machine has not reported the task yet.
    Assigned,
    /// The image of the task is being pulled.
    Pulling,
    /// The task waits for the other tasks of its gang.
    WaitingForGang,
    /// The task runs.
    Running,
    /// The task saves its progress.
    Checkpointing,
    /// The task has completed, and the completion is not stored yet.
    Completed,
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Specification of the job of the task.
    pub spec: Arc<JobSpec>,
    /// Attempt number of the start; the tasks of a gang share one.
    pub attempt: u64,
    /// Incarnation of the worker to which the start is addressed.
    pub incarnation: u64,
    /// Phase of the task, as last reported by the machine.
    pub phase: TaskPhase,
    /// Whether the start is stored, which it must be before it is sent.
    pub stored: bool,
    /// Incarnation and sequence number of the heartbeat after which this leader last sent the
    /// start; `None` if it has not sent it.
    pub start_sent_after: Option<(u64, u64)>,
    /// Whether the stop was sent in a direct command.  Replies to heartbeats repeat the stop.
    pub stop_sent: bool,
    /// Grace of the requested stop in seconds; `None` if no stop is requested.
    pub stop_grace_s: Option<f64>,
    /// When the stop was first requested.
    pub stop_requested_at: Option<Instant>,
    /// Whether an earlier leader made the assignment and no heartbeat has listed it since.
    /// Until then only a heartbeat under this term's token, or of a later incarnation of the
    /// worker, proves that the task is absent.
    pub inherited: bool,
    /// Whether this leader made the assignment, or a heartbeat under this term's token has
    /// listed it.  Until then a heartbeat may be of any age, and its silence about the task
    /// proves nothing.
    pub confirmed: bool,
    /// When the task was assigned, or first seen by this leader.
    pub assigned_at: Instant,
    /// When the task was first seen running; `None` if it was not.
    pub running_since: Option<Instant>,
}

impl Assignment {
    /// Returns the assignment for a start that was just decided and is not stored yet.
    pub fn new(spec: Arc<JobSpec>, attempt: u64, incarnation: u64, now: Instant) -> Assignment {
        Assignment {
            spec,
            attempt,
            incarnation,
            phase: TaskPhase::Assigned,
            stored: false,
            start_sent_after: None,
            stop_sent: false,
            stop_grace_s: None,
            stop_requested_at: None,
            inherited: false,
            confirmed: true,
            assigned_at: now,
            running_since: None,
        }
    }

    /// Reports whether the start may be sent to a worker of this incarnation.  It must be
    /// stored, decided by this leader for that incarnation, and not followed by a request to
    /// stop.
    pub fn may_start(&self, incarnation: u64) -> bool {
        self.phase == TaskPhase::Assigned
            && self.stored
            && !self.inherited
            && self.stop_grace_s.is_none()
            && self.incarnation == incarnation
    }

    /// Reports whether the last heartbeat of the machine listed the task, its start is stored,
    /// and it is to continue.
    pub fn is_settled(&self) -> bool {
        let is_listed = matches!(self.phase, TaskPhase::Pulling | TaskPhase::WaitingForGang | TaskPhase::Running);
        is_listed && self.stored && self.confirmed && !self.inherited && self.stop_grace_s.is_none()
    }

    /// Reports whether the task counts against its machine's resources, its team's quota and
    /// the limit for its zone.
    pub fn occupies_resources(&self) -> bool {
        self.phase != TaskPhase::Completed
    }
}

/// The position of a job in the queue; lower values come first.  A task is preempted only for
/// a job at an earlier position.  With the same order for the queue and for preemption, two
/// tasks cannot preempt each other in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePriority {
    /// Whether the job is neither within its team's guarantee nor of production priority.
    pub is_beyond_guarantee: bool,
    /// Highest priority of the job and of the jobs that depend on it.
    pub priority: Priority,
}

/// Running mean of the run times of completed tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RuntimeMean {
    /// Mean run time in seconds; 0 without samples.
    pub mean_s: f64,
    /// Number of tasks in the mean.
    pub samples: u32,
}

impl RuntimeMean {
    /// Adds the run time of one task, in seconds.
    pub fn add(&mut self, runtime_s: f64) {
        self.samples += 1;
        self.mean_s += (runtime_s - self.mean_s) / f64::from(self.samples);
    }
}

/// A job and the state of its tasks, as known to the leader.
#[derive(Debug, Clone)]
pub struct Job {
    /// Specification that the user submitted.
    pub spec: Arc<JobSpec>,
    /// Revision of the stored record.  Jobs arrive in the order of their revisions.
    pub revision: u64,
    /// Outcome of the job; `None` until it has ended.
    pub outcome: Option<JobOutcome>,
    /// Tasks that have completed and are stored as completed.
    pub completed: TaskIndexSet,
    /// Tasks that have completed and are not stored as completed yet.
    pub completed_unstored: TaskIndexSet,
    /// Tasks that are neither completed nor assigned.
    pub pending: TaskIndexSet,
    /// Machines on which each task is or may be, by task index; usually one machine.
    pub assignments: BTreeMap<u32, Vec<Name>>,
    /// Attempt number that the tasks of a gang share; unused for other jobs.
    pub attempt: u64,
    /// Machines on which a task of the job has failed.
    pub failed_on: BTreeSet<Name>,
    /// Mean run time of the completed tasks.
    pub runtime: RuntimeMean,
    /// Quarantine of the job; `None` unless the job seems to be faulty.
    pub quarantine: Option<Quarantine>,
    /// Earliest time at which a task of the job may be assigned.
    pub not_before: Option<Instant>,
    /// When this leader first knew the job.
    pub first_seen: Instant,
    /// Whether the last placement pass found the job within its team's guarantee.
    pub is_within_guarantee: bool,
    /// Urgency of the job, raised to that of the jobs that depend on it.
    pub urgency: Urgency,
    /// Reason why the job is pending, as shown to users; empty if none was set.
    pub pending_reason: &'static str,
}

impl Job {
    /// Returns a job of which no task has run.  All its tasks are pending, or none if it has
    /// an outcome.
    pub fn new(spec: Arc<JobSpec>, revision: u64, outcome: Option<JobOutcome>, now: Instant) -> Job {
        let urgency = Urgency::own(&spec, now);
        let pending = if outcome.is_some() { TaskIndexSet::default() } else { TaskIndexSet::from_range(0, spec.tasks) };
        Job {
            spec,
            revision,
            outcome,
            completed: TaskIndexSet::default(),
            completed_unstored: TaskIndexSet::default(),
            pending,
            assignments: BTreeMap::new(),
            attempt: 0,
            failed_on: BTreeSet::new(),
            runtime: RuntimeMean::default(),
            quarantine: None,
            not_before: None,
            first_seen: now,
            is_within_guarantee: false,
            urgency,
            pending_reason: "",
        }
    }

    /// Reports whether a task of the job has completed, which shows that the job is not faulty.
    pub fn has_completed_task(&self) -> bool {
        !self.completed.is_empty() || !self.completed_unstored.is_empty()
    }

    /// Returns the number of pending tasks that count for the load, the dry run and the size
    /// of the fleet.  Of a quarantined job only one probe at a time counts.  A gang counts
    /// whole, because no smaller part of it can run as a probe.
    pub fn waiting_tasks(&self) -> u32 {
        let pending = self.pending.len();
        match self.quarantine {
            Some(_) if self.spec.shape != Shape::Gang => pending.min(u32::from(self.assignments.is_empty())),
            _ => pending,
        }
    }

    /// Returns the index after the highest task that is known to have been assigned.  Pending
    /// tasks below that index were lost or preempted, and have waited in the queue before.
    pub fn first_never_assigned_index(&self) -> u32 {
        let assigned = self.assignments.last_key_value().map(|(index, _)| *index);
        let last = [assigned, self.completed.last(), self.completed_unstored.last()].into_iter().flatten().max();
        last.map_or(0, |index| index + 1)
    }

    /// Reports whether all tasks have completed and the outcome is not stored yet.
    pub fn is_completing(&self) -> bool {
        self.outcome.is_none()
            && self.spec.shape != Shape::Service
            && self.completed.len() + self.completed_unstored.len() >= self.spec.tasks
    }

    /// Returns the assigned tasks with their machines.  A task that may be on several machines is
    /// returned once for each of them.
    pub fn assigned_tasks(&self) -> Vec<(Name, Task)> {
        let task = |index: u32| Task { job: self.spec.id.clone(), index };
        let assignments = self.assignments.iter();
        assignments.flat_map(|(index, machines)| machines.iter().map(move |m| (m.clone(), task(*index)))).collect()
    }

    /// Returns the position of the job in the queue.
    pub fn queue_priority(&self) -> QueuePriority {
        let priority = self.urgency.priority;
        QueuePriority { is_beyond_guarantee: !self.is_within_guarantee && priority != Priority::Production, priority }
    }

    /// Reports whether the job belongs to a chain of dependencies with a deadline: the job has
    /// a deadline of its own and depends on other jobs, or a dependent's deadline applies.
    pub fn has_deadline_in_chain(&self) -> bool {
        let own_deadline = Urgency::own(&self.spec, self.first_seen).deadline;
        let is_own = self.spec.dependencies.is_empty() && self.urgency.deadline == own_deadline;
        self.urgency.deadline.is_some() && !is_own
    }

    /// Records that a task is, or may be, on a machine, and removes it from the pending tasks.
    pub(crate) fn record_assignment(&mut self, index: u32, machine: &Name) {
        self.pending.remove(index);
        let machines = self.assignments.entry(index).or_default();
        if !machines.contains(machine) {
            machines.push(machine.clone());
        }
    }

    /// Queues a task again, unless the job has ended or the task is assigned or completed.
    pub fn requeue(&mut self, index: u32) {
        if self.outcome.is_none()
            && index < self.spec.tasks
            && !self.assignments.contains_key(&index)
            && !self.completed.contains(index)
            && !self.completed_unstored.contains(index)
        {
            self.pending.insert(index);
        }
    }
}

/// The quarantine of a job that seems to be faulty.  A job that was submitted with a mistake
/// fails on every machine until its user cancels it, so a quarantined job runs only one task
/// at a time, as a probe.
#[derive(Debug, Clone, Copy)]
pub struct Quarantine {
    /// Earliest time at which the next probe may start.  The failure of a task that was assigned
    /// before gives no new evidence and does not count as a failed probe.
    pub next_probe_at: Instant,
    /// Number of probes that have failed.
    pub probes: u32,
}

/// Tasks that fit on no machine, for which the fleet should scale out.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// Specification of the job of the tasks.
    pub spec: Arc<JobSpec>,
    /// Number of tasks without a machine.
    pub count: u32,
    /// Number of tasks of the job that are already assigned, by zone.
    pub zones: BTreeMap<Name, u32>,
}

/// Reports whether one more task of the job may be placed in `zone`; `zones` has the number
/// of its tasks that are already assigned, by zone.
pub fn zone_allows(spec: &JobSpec, zone: &Name, zones: &BTreeMap<Name, u32>) -> bool {
    if spec.one_zone && zones.iter().any(|(other, tasks)| *tasks > 0 && other != zone) {
        return false;
    }
    zones.get(zone).copied().unwrap_or(0) < spec.max_tasks_per_zone()
}

/// Pending reason of a quarantined job.
pub const QUARANTINED_REASON: &str = "its tasks fail everywhere";
