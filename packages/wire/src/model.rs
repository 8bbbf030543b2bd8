//! The field's terms, and the wire's words at their edge.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A name shared by many places.
pub type Name = Arc<str>;

/// Values by name, with a seeded hash that is quicker than the standard one:
/// a pass looks up the job of every task.
pub type NameMap<V> = std::collections::HashMap<Name, V, foldhash::fast::RandomState>;

/// Where a value stands in a short list; it is added if it is not there.
/// The place of `x` in the list, where it is put if it is not there yet.
pub fn index_of<T: PartialEq>(list: &mut Vec<T>, x: T) -> usize {
    list.iter().position(|y| *y == x).unwrap_or_else(|| {
        list.push(x);
        list.len() - 1
    })
}

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

/// What a task takes of a machine, or what is left of one.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// Cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory.
    pub memory: f64,
}

/// Rounding in sums of decimal amounts must not turn a fit into a refusal.
const SLACK: f64 = 1e-6;

impl Resources {
    /// Whether a task of size `size` fits into these resources.
    pub fn fits(&self, size: &Resources) -> bool {
        size.cpus <= self.cpus + SLACK && size.gpus <= self.gpus + SLACK && size.memory <= self.memory + SLACK
    }

    /// Subtracts `size`; a result below zero is kept as it is.
    pub fn subtract(&mut self, size: &Resources) {
        self.cpus -= size.cpus;
        self.gpus -= size.gpus;
        self.memory -= size.memory;
    }

    /// Adds `size`.
    pub fn add(&mut self, size: &Resources) {
        self.cpus += size.cpus;
        self.gpus += size.gpus;
        self.memory += size.memory;
    }

    /// These resources multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Resources {
        Resources { cpus: self.cpus * factor, gpus: self.gpus * factor, memory: self.memory * factor }
    }

    /// How many tasks of size `size` fit into these resources, at most `most`.
    pub fn count_fitting(&self, size: &Resources, most: usize) -> usize {
        let part = |have: f64, need: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + SLACK) / need).floor().max(0.0)
            }
        };
        let n = part(self.cpus, size.cpus).min(part(self.gpus, size.gpus)).min(part(self.memory, size.memory));
        if n.is_finite() {
            (n as usize).min(most)
        } else {
            most
        }
    }
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

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Task {
    /// The job.
    pub job: Name,
    /// Its number.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl Task {
    /// Reads `j-000412/3`.
    pub fn parse(s: &str) -> Option<Task> {
        let (job, index) = s.split_once('/')?;
        if !valid_id(job) || index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        Some(Task { job: job.into(), index: index.parse().ok()? })
    }
}

impl Serialize for Task {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Task {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let s = std::borrow::Cow::<str>::deserialize(d)?;
        Task::parse(&s).ok_or_else(|| serde::de::Error::custom("not a task"))
    }
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

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    #[serde(rename = "label")]
    pub name: Name,
    /// Cores.
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "memGb")]
    pub memory: f64,
    /// Room for images.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// How fast images arrive.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour, ordinary.
    #[serde(rename = "hourly", default)]
    pub price: f64,
    /// Price an hour, spot.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Usual time to boot.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "bays", default)]
    pub zones: Vec<Name>,
}

impl MachineType {
    /// What an empty machine of this type offers.
    pub fn size(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory: self.memory }
    }
}

/// A set of task numbers, as ranges: an array of a hundred thousand tasks is
/// a few numbers, not a hundred thousand objects.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// The set of `from..to`.
    pub fn span(from: u32, to: u32) -> Ranges {
        Ranges(if from < to { vec![(from, to)] } else { vec![] })
    }
    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// How many numbers it holds.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(a, b)| b.saturating_sub(*a)).sum()
    }
    /// Whether `n` is in it.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= n);
        self.0.get(i).is_some_and(|r| r.0 <= n)
    }
    /// Adds `n`; false if it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < n);
        match self.0.get_mut(i) {
            Some(r) if r.0 <= n && n < r.1 => return false,
            Some(r) if r.1 == n => r.1 += 1,
            Some(r) if n + 1 == r.0 => r.0 = n,
            _ => self.0.insert(i, (n, n + 1)),
        }
        if i + 1 < self.0.len() && self.0[i].1 == self.0[i + 1].0 {
            self.0[i].1 = self.0[i + 1].1;
            self.0.remove(i + 1);
        }
        true
    }
    /// Removes `n`; false if it was not there.
    pub fn remove(&mut self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= n);
        let Some(&(a, b)) = self.0.get(i).filter(|r| r.0 <= n) else { return false };
        let parts = [(a, n), (n + 1, b)].into_iter().filter(|r| r.0 < r.1);
        self.0.splice(i..=i, parts);
        true
    }
    /// The numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..b)
    }
    /// How many of them are below `n`.
    pub fn below(&self, n: u32) -> u32 {
        self.0.iter().take_while(|r| r.0 < n).map(|(a, b)| (*b).min(n) - a).sum()
    }
    /// The largest.
    pub fn last(&self) -> Option<u32> {
        self.0.last().map(|r| r.1 - 1)
    }
    /// How many unbroken ranges it is.
    pub fn parts(&self) -> usize {
        self.0.len()
    }
    /// The unbroken ranges, each from its first number to before its end.
    pub fn spans(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.0.iter().copied()
    }
    /// All but its first `n` unbroken ranges.
    pub fn without_first_parts(&self, n: usize) -> Ranges {
        Ranges(self.0.iter().skip(n).copied().collect())
    }
    /// Its first `n` unbroken ranges.
    pub fn first_parts(&self, n: usize) -> Ranges {
        Ranges(self.0.iter().take(n).copied().collect())
    }
}

#[cfg(test)]
mod tests;
