//! Jobs, and the tasks of theirs that are or may be somewhere.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use crate::dependency::Urgency;
use crate::model::*;

/// What a placed task is doing, as far as its machine has said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Decided; the machine has not shown it yet.
    Assigned,
    /// Waits for its image.
    Pulling,
    /// Waits for its gang.
    WaitingForGang,
    /// Runs.
    Running,
    /// Saves.
    Checkpointing,
    /// Completed, which is not stored yet.
    Completed,
}

/// A task that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Its job.
    pub spec: Arc<JobSpec>,
    /// The attempt.
    pub attempt: u64,
    /// The worker's session the start is for.
    pub incarnation: u64,
    /// What it does.
    pub phase: TaskPhase,
    /// The start is in the store; only then may the command leave.
    pub stored: bool,
    /// Order of the report whose answer last carried the start.
    pub start_sent_in: Option<(u64, u64)>,
    /// The stop has been sent directly; answers to reports repeat it.
    pub stop_sent: bool,
    /// Stop it, with this grace.
    pub stop_grace_s: Option<f64>,
    /// When the stop was decided.
    pub stop_requested_at: Option<Instant>,
    /// Placed by an earlier leader and not yet confirmed: only a report under
    /// this term's token says anything of its absence.
    pub inherited: bool,
    /// A report under this term's token has listed it, or this leader decided it.  Until
    /// then reports may be of any age, and prove nothing of it.
    pub confirmed: bool,
    /// When it was placed, or first seen.
    pub assigned_at: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
}

impl Assignment {
    /// A start that was just decided.
    pub fn new(spec: Arc<JobSpec>, attempt: u64, session: u64, now: Instant) -> Assignment {
        Assignment {
            spec,
            attempt,
            incarnation: session,
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

    /// Whether it takes room, quota and its zone.
    pub fn occupies_resources(&self) -> bool {
        self.phase != TaskPhase::Completed
    }
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

/// A job with what the leader knows of its tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Stamp of the record: the order of arrival.
    pub revision: u64,
    /// Its end.
    pub outcome: Option<JobOutcome>,
    /// Completed and stored.
    pub completed: Ranges,
    /// Completed, not stored yet.
    pub completed_unstored: Ranges,
    /// Neither done nor placed.
    pub pending: Ranges,
    /// Where its tasks may be; mostly one machine a task.
    pub assignments: BTreeMap<u32, Vec<Name>>,
    /// Attempt of the gang.
    pub attempt: u64,
    /// Machines where a task of it failed.
    pub failed_on: BTreeSet<Name>,
    /// How long its completed tasks ran.
    pub runtime: RuntimeMean,
    /// Since when it has been taken for broken, and what its probes came to.
    pub quarantine: Option<Quarantine>,
    /// Not placed before this.
    pub not_before: Option<Instant>,
    /// When this leader first knew of it.
    pub first_seen: Instant,
    /// It lies within its team's guarantee, as of the last pass.
    pub guaranteed: bool,
    /// How urgent it is, for itself and for those that wait for it.
    pub urgency: Urgency,
    /// Why it waits, for people.
    pub pending_reason: &'static str,
}

impl Job {
    /// A job nothing of which has run.
    pub fn new(spec: Arc<JobSpec>, stamp: u64, outcome: Option<JobOutcome>, now: Instant) -> Job {
        let urgency = Urgency::own(&spec, now);
        let todo = if outcome.is_some() { Ranges::default() } else { Ranges::span(0, spec.tasks) };
        Job {
            spec,
            revision: stamp,
            outcome,
            completed: Ranges::default(),
            completed_unstored: Ranges::default(),
            pending: todo,
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

    /// A task of it completed, so that it is no mistake.
    pub fn has_completed_task(&self) -> bool {
        !self.completed.is_empty() || !self.completed_unstored.is_empty()
    }

    /// How many of its waiting tasks count: for the load, the dry run and the
    /// fleet.  Of a job that seems broken, a probe at a time; a gang has no
    /// smaller probe than itself.
    pub fn waiting_tasks(&self) -> u32 {
        let waiting = self.pending.len();
        match self.quarantine {
            Some(_) if self.spec.shape != Shape::Gang => waiting.min(u32::from(self.assignments.is_empty())),
            _ => waiting,
        }
    }

    /// One more than the last task that was ever placed, as far as is known:
    /// what waits below it was lost or gave way, and has waited its turn.
    pub fn first_never_placed(&self) -> u32 {
        let placed = self.assignments.last_key_value().map(|p| *p.0);
        [placed, self.completed.last(), self.completed_unstored.last()].into_iter().flatten().max().map_or(0, |n| n + 1)
    }

    /// All its tasks completed, but its end is not stored.
    pub fn is_completing(&self) -> bool {
        self.outcome.is_none()
            && self.spec.shape != Shape::Service
            && self.completed.len() + self.completed_unstored.len() >= self.spec.tasks
    }

    /// Its tasks that are or may be somewhere, with their machines.
    pub fn placed_tasks(&self) -> Vec<(Name, Task)> {
        let task = |i: &u32| Task { job: self.spec.id.clone(), index: *i };
        self.assignments.iter().flat_map(|(i, l)| l.iter().map(move |m| (m.clone(), task(i)))).collect()
    }

    /// A job's turn.  Work gives way only to an earlier turn: with one order for
    /// the queue and for giving way, nothing is stopped for work that is then
    /// stopped for it.
    ///
    /// The rank is the highest of its own and of those that wait for it.
    pub fn queue_priority(&self) -> (bool, Priority) {
        let rank = self.urgency.priority;
        (!self.guaranteed && rank != Priority::Production, rank)
    }

    /// Part of a chain that has a deadline: it needs others, or others wait for
    /// it, and one of them is due.
    pub fn has_deadline_in_chain(&self) -> bool {
        let own =
            self.spec.needs.is_empty() && self.urgency.deadline == Urgency::own(&self.spec, self.first_seen).deadline;
        self.urgency.deadline.is_some() && !own
    }

    /// Records that a task is, or may be, on a machine; it is pending no more.
    pub(crate) fn record_assignment(&mut self, index: u32, machine: &Name) {
        self.pending.remove(index);
        let machines = self.assignments.entry(index).or_default();
        if !machines.contains(machine) {
            machines.push(machine.clone());
        }
    }

    /// Puts a task back into the queue if nothing keeps it from there.
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

/// A job that seems to be broken: submitted with a mistake, it fails on every
/// machine until its user withdraws it.
#[derive(Debug, Clone, Copy)]
pub struct Quarantine {
    /// When the last probe was free to start: failures of what had been
    /// started before say nothing new.
    pub since: Instant,
    /// Probes that failed.
    pub probes: u32,
}

/// Tasks that found no machine: what the fleet should grow by.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// Their job.
    pub spec: Arc<JobSpec>,
    /// How many.
    pub count: u32,
    /// Tasks of the job that are or may be in each zone already.
    pub zones: BTreeMap<Name, u32>,
}

/// Whether one more task of the job may be in this zone.
pub fn zone_allows(spec: &JobSpec, zone: &Name, zones: &BTreeMap<Name, u32>) -> bool {
    if spec.one_zone && zones.iter().any(|(z, n)| *n > 0 && z != zone) {
        return false;
    }
    zones.get(zone).copied().unwrap_or(0) < spec.zone_cap()
}

/// Why a job that fails everywhere waits.
pub const QUARANTINED: &str = "its tasks fail everywhere";
