//! Jobs: submissions, outcomes, and the states that queries report to users.

use serde::{Deserialize, Serialize};

use super::{Name, Resources};

/// How the tasks of a job relate to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// Tasks that run all at the same time or not at all (gang scheduling).
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled; the job never completes by itself.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job.  Variants compare in the order below, so the most urgent one is the smallest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Ranks before every other priority.
    #[serde(rename = "production")]
    Production,
    /// Ranks after [`Priority::Production`] and before [`Priority::Normal`].
    #[serde(rename = "high")]
    High,
    /// Ranks after [`Priority::High`] and before [`Priority::Low`]; meant for ordinary jobs.
    #[serde(rename = "normal")]
    Normal,
    /// Ranks after every other priority.
    #[serde(rename = "best_effort")]
    Low,
}

/// A job as users submit it and as the state service stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobSpec {
    /// Id of the job, chosen by the user; see [`is_valid_job_id`] for the format.
    #[serde(rename = "nameId")]
    pub id: Name,
    /// Name of the job's class, which selects the service-level objectives that apply to the job.
    #[serde(rename = "lane")]
    pub class: Name,
    /// Name of the team to whose limits the job counts.  A job of an unknown team is rejected.
    #[serde(rename = "crew")]
    pub team: Name,
    /// How the tasks relate to one another.
    pub shape: Shape,
    /// Priority over other jobs, as the user has set it.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS_PER_JOB`].
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Number of processor cores per task; may be fractional.
    pub cpus: f64,
    /// Number of accelerators per task; may be fractional.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory per task in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Name of the image that every task runs.
    #[serde(rename = "bundle")]
    pub image: Name,
    /// Size of the image in GB, as stated by the user.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Names of the machine types on which tasks may run; `None` allows all.
    #[serde(rename = "hulls", default)]
    pub machine_types: Option<Vec<Name>>,
    /// Name of the only zone in which tasks may run; `None` allows all.
    #[serde(rename = "bay", default)]
    pub zone: Option<Name>,
    /// Whether all tasks have to run in the same zone, whichever it is.
    pub one_zone: bool,
    /// Whether no zone may have more than half of the tasks, rounded up.
    #[serde(rename = "spread")]
    pub spread_by_zone: bool,
    /// Whether tasks may run on spot machines as well as on on-demand machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// Run time of a task in seconds, as estimated by the user.
    #[serde(rename = "expectS")]
    pub estimated_run_time_s: f64,
    /// Interval between the checkpoints of a task in seconds; 0 if tasks save no checkpoints.
    #[serde(rename = "markEveryS")]
    pub checkpoint_interval_s: f64,
    /// Time that a task takes to save a checkpoint, in seconds.
    #[serde(rename = "markTakesS")]
    pub checkpoint_duration_s: f64,
    /// Time within which the job should complete, in seconds after its submission; `None` if it has
    /// no deadline.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that have to complete before any task of this job starts.
    ///
    /// An empty list is not serialized, so that versions without support for job dependencies can
    /// read the record.  When a job is deserialized, null and an absent field stand for an empty list,
    /// and repeated ids are dropped.
    #[serde(rename = "awaits", default, deserialize_with = "list_or_null", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<Name>,
}

/// Deserializes a list of names, in which null stands for an empty list.  Only the first occurrence
/// of each name is kept.
fn list_or_null<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<Name>, D::Error> {
    let names = Option::<Vec<Name>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = std::collections::HashSet::new();
    Ok(names.into_iter().filter(|name| seen.insert(name.clone())).collect())
}

/// Maximum number of tasks in one job.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

/// Reports whether a job id is valid, that is, `j-` followed by 1 to 32 decimal digits.
///
/// Only valid ids may be used in keys of the state service.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|digits| (1..=32).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit()))
}

impl JobSpec {
    /// Returns the resources that one task requires.
    pub fn resources_per_task(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// Returns why the submission is malformed, or `None` if it is well-formed.
    ///
    /// The text is either the name of the invalid field on the wire or a short reason, and is part of
    /// the error response to the user.  Whether the job can ever run is not checked here.
    pub fn validation_error(&self) -> Option<&'static str> {
        if !is_valid_job_id(&self.id) {
            return Some("nameId");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS_PER_JOB {
            return Some("pieces");
        }
        if !self.dependencies.iter().all(|id| is_valid_job_id(id)) {
            return Some("awaits");
        }
        let amounts = [
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image_gb,
            self.estimated_run_time_s,
            self.checkpoint_interval_s,
            self.checkpoint_duration_s,
        ];
        if !amounts.iter().chain(self.deadline_s.iter()).all(|amount| amount.is_finite() && *amount >= 0.0) {
            return Some("an amount is negative or not finite");
        }
        None
    }

    /// Returns the maximum number of tasks of this job that may run in one zone at the same time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread_by_zone {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Reports whether tasks of the job may run on a machine of this type in this zone.  `spot` says
    /// whether it is a spot machine.
    pub fn allows(&self, machine_type: &Name, zone: &Name, spot: bool) -> bool {
        self.machine_types.as_ref().is_none_or(|types| types.contains(machine_type))
            && self.zone.as_ref().is_none_or(|allowed| allowed == zone)
            && (self.spot || !spot)
    }
}

/// How a job has ended.  An outcome is stored once and never changes afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks of the job have completed.
    Done,
    /// The user has cancelled the job, or a job on which it depends was cancelled.
    Cancelled,
}

impl JobOutcome {
    /// Returns the name of the outcome on the wire, which is also the stage in [`JobState`].
    pub fn as_str(self) -> &'static str {
        match self {
            JobOutcome::Done => "done",
            JobOutcome::Cancelled => "cancelled",
        }
    }
}

/// The record by which the state service stores the outcome of a job.
#[derive(Debug, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// How the job has ended.
    #[serde(rename = "fate")]
    pub outcome: JobOutcome,
}

/// The state of a job as a query reports it to users.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Id of the job.
    #[serde(rename = "nameId")]
    pub id: Name,
    /// Stage of the job: `pending`, `running`, `done` or `cancelled`.
    pub stage: String,
    /// Number of completed tasks.  The number may lag behind and is meant for display only.
    pub done: u32,
    /// Number of running tasks.  The number may lag behind and is meant for display only.
    pub running: u32,
}

/// The state of a job and the dependencies that explain why it does not run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// State of the job; its fields are on the same level as the others on the wire.
    #[serde(flatten)]
    pub state: JobState,
    /// Ids of the unfinished jobs on which the job depends, as far as the replying controller knows
    /// them; empty if the job is cancelled.
    #[serde(rename = "awaits", default)]
    pub unfinished_dependencies: Vec<Name>,
    /// Id of a cancelled job on which this job depends.  `None` if this job is not cancelled, or if
    /// the replying controller knows of no such dependency.
    #[serde(rename = "cancelledWith", default)]
    pub cancelled_with: Option<Name>,
}
