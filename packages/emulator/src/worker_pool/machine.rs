//! One machine with its worker: what is on it, and what it last agreed on with the controllers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{MachineType, Name, Task};
use coralnotch_wire::workers::{ExitCause, TaskState, TaskStatus};

/// What a task is doing on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskPhase {
    Pulling,
    WaitingForGang {
        since: Instant,
    },
    Running {
        since: Instant,
    },
    /// Another task of the gang is gone: this one exits at `until`.
    GangMemberLost {
        until: Instant,
    },
    /// Saves a checkpoint until `until`; one of a gang counts if all of the gang's tasks were stopped
    /// by `gang_deadline`.
    Checkpointing {
        until: Instant,
        gang_deadline: Instant,
    },
    Exited {
        cause: ExitCause,
        saved: Option<bool>,
    },
}

impl TaskPhase {
    pub(super) fn exited(cause: ExitCause) -> TaskPhase {
        TaskPhase::Exited { cause, saved: None }
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self, TaskPhase::Running { .. })
    }

    pub(super) fn has_exited(&self) -> bool {
        matches!(self, TaskPhase::Exited { .. })
    }
}

/// One attempt of a task on a machine.
#[derive(Debug, Clone)]
pub(super) struct TaskRecord {
    pub(super) attempt: u64,
    pub(super) phase: TaskPhase,
}

impl TaskRecord {
    /// The attempt as a heartbeat lists it.
    pub(super) fn status(&self, task: &Task) -> TaskStatus {
        let (state, cause, saved) = match self.phase {
            TaskPhase::Pulling => (TaskState::Pulling, None, None),
            TaskPhase::WaitingForGang { .. } => (TaskState::WaitingForGang, None, None),
            TaskPhase::Running { .. } | TaskPhase::GangMemberLost { .. } => (TaskState::Running, None, None),
            TaskPhase::Checkpointing { .. } => (TaskState::Checkpointing, None, None),
            TaskPhase::Exited { cause, saved } => (TaskState::Exited, Some(cause), saved),
        };
        TaskStatus { task: task.clone(), attempt: self.attempt, state, cause, saved }
    }
}

#[derive(Debug)]
struct CachedImage {
    name: Name,
    size_gb: f64,
    /// When the fetch is complete.
    ready_at: Instant,
}

/// The images on a machine, the oldest first.
#[derive(Debug, Default)]
pub(super) struct ImageCache {
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// When an image is, or was, completely fetched; `None` if it is not in the cache.
    pub(super) fn ready_at(&self, name: &Name) -> Option<Instant> {
        self.images.iter().find(|image| image.name == *name).map(|image| image.ready_at)
    }

    /// Adds an image, and evicts the oldest ones until the rest fits or only one is left.
    pub(super) fn insert(&mut self, name: Name, size_gb: f64, ready_at: Instant, capacity_gb: f64) {
        self.images.push(CachedImage { name, size_gb, ready_at });
        while self.images.len() > 1 && self.images.iter().map(|image| image.size_gb).sum::<f64>() > capacity_gb {
            self.images.remove(0);
        }
    }
}

/// A machine that came up.
#[derive(Debug, Clone)]
pub struct NewMachine {
    /// Its name.
    pub name: Name,
    /// Its type.
    pub kind: MachineType,
    /// Its zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Address where its worker takes direct commands.
    pub address: Name,
}

/// A machine with its worker.
#[derive(Debug)]
pub struct Machine {
    /// Type.
    pub kind: MachineType,
    /// Zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Address where its worker takes direct commands.
    pub address: Name,
    /// When the cloud will reclaim it, once the cloud has given notice.
    pub reclaim_at: Option<Instant>,
    /// Something changed that is worth an early heartbeat.
    pub(super) has_changed: bool,
    /// Nothing on it changes by itself before this.
    pub(super) next_change: Instant,
    /// It has tasks of gangs, whose progress depends on other machines.
    pub(super) has_gang_tasks: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: u64,
    /// When the last heartbeat that was answered in time was sent.
    pub(super) lease_renewed: Instant,
    /// Speed relative to its type.
    pub(super) speed: f64,
    pub(super) tasks: BTreeMap<Task, TaskRecord>,
    pub(super) images: ImageCache,
}

impl Machine {
    pub(super) fn new(new: NewMachine, speed: f64, now: Instant) -> Machine {
        Machine {
            kind: new.kind,
            zone: new.zone,
            spot: new.spot,
            address: new.address,
            reclaim_at: None,
            has_changed: true,
            next_change: now,
            has_gang_tasks: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed: now,
            speed,
            tasks: BTreeMap::new(),
            images: ImageCache::default(),
        }
    }

    /// Whether the worker's lease has expired.
    pub(super) fn is_lease_expired(&self, lease: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.lease_renewed) > lease
    }

    /// Seconds of the estimate's work that a task does here in the time since `since`.
    pub(super) fn work_done_s(&self, since: Instant, now: Instant) -> f64 {
        now.saturating_duration_since(since).as_secs_f64() * self.speed
    }
}
