//! Jobs: submissions, outcomes, and the state that users see.

use serde::{Deserialize, Serialize};

use super::{Name, Resources};

/// The shape of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// Tasks that run all at the same time or not at all.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Before all other jobs.
    #[serde(rename = "production")]
    Production,
    /// Before ordinary jobs.
    #[serde(rename = "high")]
    High,
    /// Ordinary jobs.
    #[serde(rename = "normal")]
    Normal,
    /// After all other jobs.
    #[serde(rename = "best_effort")]
    Low,
}

/// A submitted job, as users send it and as the store keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobSpec {
    /// Id, chosen by the user.
    #[serde(rename = "nameId")]
    pub id: Name,
    /// Class, which selects the service-level objectives.
    #[serde(rename = "lane")]
    pub class: Name,
    /// Team.
    #[serde(rename = "crew")]
    pub team: Name,
    /// Shape.
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Cores per task.
    pub cpus: f64,
    /// Accelerators per task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory per task, in GB.
    #[serde(rename = "memGb")]
    pub memory: f64,
    /// Image.
    #[serde(rename = "bundle")]
    pub image: Name,
    /// Size of the image, in GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows all.
    #[serde(rename = "hulls", default)]
    pub types: Option<Vec<Name>>,
    /// The only allowed zone; `None` allows all.
    #[serde(rename = "bay", default)]
    pub zone: Option<Name>,
    /// Whether all tasks have to run in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "expectS")]
    pub estimate_s: f64,
    /// Interval between checkpoints, in seconds; 0 for none.
    #[serde(rename = "markEveryS")]
    pub checkpoint_s: f64,
    /// Time that a checkpoint takes, in seconds.
    #[serde(rename = "markTakesS")]
    pub save_s: f64,
    /// When the job should be done, in seconds after its submission.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.  Without any, the field is
    /// not stored, so that versions without job dependencies can read the record.
    #[serde(rename = "awaits", default, deserialize_with = "list_or_null", skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<Name>,
}

/// Reads a list of names, or null for an empty list; of repeated names only the first is kept.
fn list_or_null<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Vec<Name>, D::Error> {
    let all = Option::<Vec<Name>>::deserialize(d)?.unwrap_or_default();
    let mut seen = std::collections::HashSet::new();
    Ok(all.into_iter().filter(|name| seen.insert(name.clone())).collect())
}

/// Maximum number of tasks of a job.
pub const MOST_TASKS: u32 = 100_000;

/// Whether a job id has the form of the protocol: `j-` and 1 to 32 digits.  Only such ids become
/// keys of the store.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("j-").is_some_and(|d| (1..=32).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Returns the resources that one task needs.
    pub fn size(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory: self.memory }
    }

    /// Returns what makes the submission malformed, if anything does: the name of the field, or a
    /// short text.
    pub fn validation_error(&self) -> Option<&'static str> {
        if !valid_id(&self.id) {
            return Some("nameId");
        }
        if self.tasks == 0 || self.tasks > MOST_TASKS {
            return Some("pieces");
        }
        if !self.needs.iter().all(|n| valid_id(n)) {
            return Some("awaits");
        }
        let amounts =
            [self.cpus, self.gpus, self.memory, self.image_gb, self.estimate_s, self.checkpoint_s, self.save_s];
        if !amounts.iter().chain(self.deadline_s.iter()).all(|v| v.is_finite() && *v >= 0.0) {
            return Some("an amount is negative or not finite");
        }
        None
    }

    /// Returns the maximum number of tasks of this job in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether tasks of the job may run on machines of this type, in this zone, and on spot machines
    /// if `spot`.
    pub fn allows(&self, kind: &Name, zone: &Name, spot: bool) -> bool {
        self.types.as_ref().is_none_or(|t| t.contains(kind))
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }
}

/// How a job has ended.  An outcome is stored once and never changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All its tasks have completed.
    Done,
    /// Its user has cancelled it, or a job that it depends on was cancelled.
    Cancelled,
}

impl JobOutcome {
    /// Returns the name of the outcome in the protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            JobOutcome::Done => "done",
            JobOutcome::Cancelled => "cancelled",
        }
    }
}

/// The stored record of an outcome.
#[derive(Debug, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The outcome.
    #[serde(rename = "fate")]
    pub outcome: JobOutcome,
}

/// The state of a job as users see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: Name,
    /// `pending`, `running`, `done` or `cancelled`.
    pub stage: String,
    /// Number of completed tasks, for display only.
    pub done: u32,
    /// Number of running tasks, for display only.
    pub running: u32,
}

/// The state of a job with its dependencies, to explain why it does not run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// The state of the job.
    #[serde(flatten)]
    pub state: JobState,
    /// Unfinished jobs that it depends on, as far as the controller knows.
    #[serde(rename = "awaits", default)]
    pub waits_for: Vec<Name>,
    /// If the job is cancelled: a cancelled job that it depends on, if there is one.
    #[serde(rename = "cancelledWith", default)]
    pub cancelled_with: Option<Name>,
}
