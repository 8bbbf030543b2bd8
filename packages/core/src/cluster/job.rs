//! Jobs, and the assignments of their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use crate::dependency::Urgency;
use crate::model::*;

/// The phase of an assigned task, as far as its machine has reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// The start is decided; the machine has not reported the task yet.
    Assigned,
    /// It waits for its image.
    Pulling,
    /// It waits for its gang.
    WaitingForGang,
    /// It runs.
    Running,
    /// It saves its progress.
    Checkpointing,
    /// It has completed, which is not stored yet.
    Completed,
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Its job.
    pub spec: Arc<JobSpec>,
    /// The attempt.
    pub attempt: u64,
    /// The incarnation of the worker that the start is for.
    pub incarnation: u64,
    /// Its phase.
    pub phase: TaskPhase,
    /// The start is in the store; only then may it be sent.
    pub stored: bool,
    /// Incarnation and sequence of the heartbeat after which the start was last sent.
    pub start_sent_in: Option<(u64, u64)>,
    /// The stop has been sent directly; replies to heartbeats repeat it.
    pub stop_sent: bool,
    /// It is to stop, with this grace in seconds.
    pub stop_grace_s: Option<f64>,
    /// When the stop was requested.
    pub stop_requested_at: Option<Instant>,
    /// Assigned by an earlier leader and not listed in a heartbeat since: only a heartbeat
    /// under this term's token proves its absence.
    pub inherited: bool,
    /// A heartbeat under this term's token has listed it, or this leader decided it.  Until
    /// then heartbeats may be of any age, and prove nothing about it.
    pub confirmed: bool,
    /// When it was assigned, or first seen.
    pub assigned_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
}

impl Assignment {
    /// A start that was just decided.
    pub fn new(spec: Arc<JobSpec>, attempt: u64, incarnation: u64, now: Instant) -> Assignment {
        Assignment {
            spec,
            attempt,
            incarnation,
            phase: TaskPhase::Assigned,
            stored: false,
            start_sent_in: None,
            stop_sent: false,
            stop_grace_s: None,
            stop_requested_at: None,
            inherited: false,
            confirmed: true,
            assigned_at: now,
            running_since: None,
        }
    }

    /// Whether its start may be sent to a worker of this incarnation: it is stored, was
    /// decided for that incarnation by this leader, and is not to be stopped.
    pub fn may_start(&self, incarnation: u64) -> bool {
        self.phase == TaskPhase::Assigned
            && self.stored
            && !self.inherited
            && self.stop_grace_s.is_none()
            && self.incarnation == incarnation
    }

    /// Whether it was listed in the last heartbeat of its machine, is stored, and is to
    /// continue.
    pub fn is_settled(&self) -> bool {
        let is_listed = matches!(self.phase, TaskPhase::Pulling | TaskPhase::WaitingForGang | TaskPhase::Running);
        is_listed && self.stored && self.confirmed && !self.inherited && self.stop_grace_s.is_none()
    }

    /// Whether it counts against its machine, its team's quota and its zone.
    pub fn occupies_resources(&self) -> bool {
        self.phase != TaskPhase::Completed
    }
}

/// The position of a job in the queue, the first in order first.  Work is preempted only for
/// work of an earlier position: with one order for the queue and for preemption, nothing is
/// stopped for work that is then stopped for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePriority {
    /// The job is neither within its team's guarantee nor production.
    pub is_beyond_guarantee: bool,
    /// The priority.
    pub priority: Priority,
}

/// The mean run time of completed tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RuntimeMean {
    /// The mean, in seconds.
    pub mean_s: f64,
    /// How many tasks it is the mean of.
    pub samples: u32,
}

impl RuntimeMean {
    /// Adds the run time of one more task, in seconds.
    pub fn add(&mut self, runtime_s: f64) {
        self.samples += 1;
        self.mean_s += (runtime_s - self.mean_s) / f64::from(self.samples);
    }
}

/// A job, with what the leader knows of its tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Revision of its record, which is the order of arrival.
    pub revision: u64,
    /// Its outcome, once it is over.
    pub outcome: Option<JobOutcome>,
    /// Tasks that have completed, which is stored.
    pub completed: Ranges,
    /// Tasks that have completed, which is not stored yet.
    pub completed_unstored: Ranges,
    /// Tasks that are neither completed nor assigned.
    pub pending: Ranges,
    /// Machines on which its tasks are or may be, mostly one for each task.
    pub assignments: BTreeMap<u32, Vec<Name>>,
    /// The attempt of a gang.
    pub attempt: u64,
    /// Machines where a task of it failed.
    pub failed_on: BTreeSet<Name>,
    /// How long its completed tasks ran.
    pub runtime: RuntimeMean,
    /// Set while the job is taken to be faulty.
    pub quarantine: Option<Quarantine>,
    /// No task of it is assigned before this.
    pub not_before: Option<Instant>,
    /// When this leader first knew the job.
    pub first_seen: Instant,
    /// It is within its team's guarantee, as of the last pass.
    pub guaranteed: bool,
    /// The urgency of the job itself and of those that wait for it.
    pub urgency: Urgency,
    /// Why it waits, as users see it.
    pub pending_reason: &'static str,
}

impl Job {
    /// A job of which no task has run.
    pub fn new(spec: Arc<JobSpec>, revision: u64, outcome: Option<JobOutcome>, now: Instant) -> Job {
        let urgency = Urgency::own(&spec, now);
        let pending = if outcome.is_some() { Ranges::default() } else { Ranges::span(0, spec.tasks) };
        Job {
            spec,
            revision,
            outcome,
            completed: Ranges::default(),
            completed_unstored: Ranges::default(),
            pending,
            assignments: BTreeMap::new(),
            attempt: 0,
            failed_on: BTreeSet::new(),
            runtime: RuntimeMean::default(),
            quarantine: None,
            not_before: None,
            first_seen: now,
            guaranteed: false,
            urgency,
            pending_reason: "",
        }
    }

    /// Whether any task of it has completed, so that the job is not faulty.
    pub fn has_completed_task(&self) -> bool {
        !self.completed.is_empty() || !self.completed_unstored.is_empty()
    }

    /// How many of its pending tasks count, for the load, the dry run and the size of the
    /// fleet.  Of a quarantined job one probe at a time counts; a gang has no smaller probe
    /// than itself.
    pub fn waiting_tasks(&self) -> u32 {
        let pending = self.pending.len();
        match self.quarantine {
            Some(_) if self.spec.shape != Shape::Gang => pending.min(u32::from(self.assignments.is_empty())),
            _ => pending,
        }
    }

    /// The task after the last one that was ever assigned, as far as is known.  Pending
    /// tasks below it were lost or preempted, and have waited in the queue already.
    pub fn first_never_assigned(&self) -> u32 {
        let assigned = self.assignments.last_key_value().map(|(index, _)| *index);
        let last = [assigned, self.completed.last(), self.completed_unstored.last()].into_iter().flatten().max();
        last.map_or(0, |index| index + 1)
    }

    /// Whether all its tasks have completed, and its outcome is not stored yet.
    pub fn is_completing(&self) -> bool {
        self.outcome.is_none()
            && self.spec.shape != Shape::Service
            && self.completed.len() + self.completed_unstored.len() >= self.spec.tasks
    }

    /// Its assigned tasks, with their machines.
    pub fn assigned_tasks(&self) -> Vec<(Name, Task)> {
        let task = |index: u32| Task { job: self.spec.id.clone(), index };
        let assignments = self.assignments.iter();
        assignments.flat_map(|(index, machines)| machines.iter().map(move |m| (m.clone(), task(*index)))).collect()
    }

    /// Its position in the queue.  The priority in it is the highest of the job's own and
    /// of those that wait for it.
    pub fn queue_priority(&self) -> QueuePriority {
        let priority = self.urgency.priority;
        QueuePriority { is_beyond_guarantee: !self.guaranteed && priority != Priority::Production, priority }
    }

    /// Whether it is part of a chain of dependencies that has a deadline: it needs other
    /// jobs, or others need it, and one of them has a deadline.
    pub fn has_deadline_in_chain(&self) -> bool {
        let own_deadline = Urgency::own(&self.spec, self.first_seen).deadline;
        let is_own = self.spec.needs.is_empty() && self.urgency.deadline == own_deadline;
        self.urgency.deadline.is_some() && !is_own
    }

    /// Records that a task is, or may be, on a machine; it is pending no more.
    pub(crate) fn record_assignment(&mut self, index: u32, machine: &Name) {
        self.pending.remove(index);
        let machines = self.assignments.entry(index).or_default();
        if !machines.contains(machine) {
            machines.push(machine.clone());
        }
    }

    /// Queues a task again, unless its job is over or the task is assigned or completed.
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

/// The quarantine of a job that seems to be faulty: submitted with a mistake, it fails on
/// every machine until its user cancels it.  It runs one task at a time, as a probe.
#[derive(Debug, Clone, Copy)]
pub struct Quarantine {
    /// When the last probe was allowed to start: failures of tasks that were assigned
    /// before prove nothing new.
    pub since: Instant,
    /// How many probes have failed.
    pub probes: u32,
}

/// Tasks for which there is no machine: what the fleet should scale out by.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// Their job.
    pub spec: Arc<JobSpec>,
    /// How many tasks.
    pub count: u32,
    /// How many tasks of the job are assigned in each zone already.
    pub zones: BTreeMap<Name, u32>,
}

/// Whether one more task of the job may be in this zone.
pub fn zone_allows(spec: &JobSpec, zone: &Name, zones: &BTreeMap<Name, u32>) -> bool {
    if spec.one_zone && zones.iter().any(|(other, tasks)| *tasks > 0 && other != zone) {
        return false;
    }
    zones.get(zone).copied().unwrap_or(0) < spec.zone_cap()
}

/// Why a quarantined job waits.
pub const QUARANTINED: &str = "its tasks fail everywhere";
