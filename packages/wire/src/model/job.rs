//! Jobs: submissions, outcomes, and the state that users see.

use serde::{Deserialize, Serialize};

use super::{Name, Resources};

/// The shape of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// All tasks at the same time, or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Before everything.
    #[serde(rename = "production")]
    Production,
    /// Before ordinary work.
    #[serde(rename = "high")]
    High,
    /// Ordinary work.
    #[serde(rename = "normal")]
    Normal,
    /// After everything.
    #[serde(rename = "best_effort")]
    Low,
}

/// A submission as users send it and as the store keeps it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct JobSpec {
    /// The job's id, chosen by its user.
    #[serde(rename = "nameId")]
    pub id: Name,
    /// Class, as the objectives name it.
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
    /// Cores a task.
    pub cpus: f64,
    /// Accelerators a task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory a task.
    #[serde(rename = "memGb")]
    pub memory: f64,
    /// Image.
    #[serde(rename = "bundle")]
    pub image: Name,
    /// Resources of the image.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(rename = "hulls", default)]
    pub types: Option<Vec<Name>>,
    /// The only allowed zone.
    #[serde(rename = "bay", default)]
    pub zone: Option<Name>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expectS")]
    pub estimate_s: f64,
    /// Interval of checkpoints, 0 for none.
    #[serde(rename = "markEveryS")]
    pub checkpoint_s: f64,
    /// Time to save.
    #[serde(rename = "markTakesS")]
    pub save_s: f64,
    /// When the job should be complete.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.  Without
    /// any, the stored bytes are those of a version that knows of none.
    #[serde(rename = "awaits", default, deserialize_with = "list_or_null", skip_serializing_if = "Vec::is_empty")]
    pub needs: Vec<Name>,
}

/// Null stands for an empty list; names come in their order, each once.
fn list_or_null<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Vec<Name>, D::Error> {
    let all = Option::<Vec<Name>>::deserialize(d)?.unwrap_or_default();
    let mut seen = std::collections::HashSet::new();
    Ok(all.into_iter().filter(|n| seen.insert(n.clone())).collect())
}

/// Most tasks of one job.
pub const MOST_TASKS: u32 = 100_000;

/// Whether an id has the form the users keep to; only such ids become keys.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("j-").is_some_and(|d| (1..=32).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// What one task takes.
    pub fn size(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory: self.memory }
    }

    /// What makes the submission malformed, if anything does.
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

    /// Most tasks of this job that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether the job may use machines of this type, zone and kind at all.
    pub fn allows(&self, kind: &Name, zone: &Name, spot: bool) -> bool {
        self.types.as_ref().is_none_or(|t| t.contains(kind))
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }
}

/// How a job ended; created once and never changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks completed.
    Done,
    /// Its user withdrew it.
    Cancelled,
}

impl JobOutcome {
    /// The wire's word.
    pub fn as_str(self) -> &'static str {
        match self {
            JobOutcome::Done => "done",
            JobOutcome::Cancelled => "cancelled",
        }
    }
}

/// The stored value of a job's end.
#[derive(Debug, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// How it ended.
    #[serde(rename = "fate")]
    pub outcome: JobOutcome,
}

/// A job's state as users see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Job.
    #[serde(rename = "nameId")]
    pub id: Name,
    /// `pending`, `running`, `done` or `cancelled`.
    pub stage: String,
    /// Completed tasks, for display.
    pub done: u32,
    /// Running tasks, for display.
    pub running: u32,
}

/// A job's state with what it has to do with other jobs, for people who ask why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// Its state.
    #[serde(flatten)]
    pub state: JobState,
    /// Unfinished jobs that it waits for, as far as the controller knows.
    #[serde(rename = "awaits", default)]
    pub waits_for: Vec<Name>,
    /// The cancelled job that it needs, if it is cancelled.
    #[serde(rename = "cancelledWith", default)]
    pub cancelled_with: Option<Name>,
}
