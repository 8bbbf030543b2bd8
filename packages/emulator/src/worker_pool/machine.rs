//! One machine with its worker: tasks, cached images, and the lease and fencing token of the
//! worker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{MachineType, Name, Task};
use coralnotch_wire::workers::{ExitCause, TaskState, TaskStatus};

/// Phase of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskPhase {
    Pulling,
    WaitingForGang {
        since: Instant,
    },
    Running {
        since: Instant,
    },
    /// Another task of the gang is lost; this task exits at `until` and is reported as running until
    /// then.
    GangMemberLost {
        until: Instant,
    },
    /// The task saves a checkpoint until `until`.  The checkpoint of a gang counts only if all of its
    /// tasks were stopped by `gang_deadline`.
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

/// An attempt of a task on a machine.
#[derive(Debug, Clone)]
pub(super) struct TaskRecord {
    pub(super) attempt: u64,
    pub(super) phase: TaskPhase,
}

impl TaskRecord {
    /// Returns the entry for this attempt in a heartbeat.
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
    /// When the fetch completes or completed.
    ready_at: Instant,
}

/// The images on a machine in the order of their fetches, the oldest first.
#[derive(Debug, Default)]
pub(super) struct ImageCache {
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Returns when the fetch of an image completes or completed; `None` if it is not in the cache.
    pub(super) fn ready_at(&self, name: &Name) -> Option<Instant> {
        self.images.iter().find(|image| image.name == *name).map(|image| image.ready_at)
    }

    /// Adds an image, and evicts the oldest images until the rest fits or only one image is left.
    pub(super) fn insert(&mut self, name: Name, size_gb: f64, ready_at: Instant, capacity_gb: f64) {
        self.images.push(CachedImage { name, size_gb, ready_at });
        while self.images.len() > 1 && self.images.iter().map(|image| image.size_gb).sum::<f64>() > capacity_gb {
            self.images.remove(0);
        }
    }
}

/// A booted machine that is to be added to the pool.
#[derive(Debug, Clone)]
pub struct NewMachine {
    /// Name of the machine, which the cloud assigns.
    pub name: Name,
    /// Machine type.
    pub kind: MachineType,
    /// Zone in which the machine was rented.
    pub zone: Name,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Address on which the worker accepts direct commands.
    pub address: Name,
}

/// A machine and the state of its worker.
#[derive(Debug)]
pub struct Machine {
    /// Machine type.
    pub kind: MachineType,
    /// Zone in which the machine was rented.
    pub zone: Name,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Address on which the worker accepts direct commands.
    pub address: Name,
    /// When the cloud will reclaim the machine; `None` until the cloud gives notice.
    pub reclaim_at: Option<Instant>,
    /// Whether a change since the last heartbeat warrants an early heartbeat.
    pub(super) has_changed: bool,
    /// No task on the machine changes its phase by itself before this time, tasks of gangs excepted.
    pub(super) next_change_at: Instant,
    /// Whether the machine has tasks of gangs, whose progress depends on other machines.
    pub(super) has_gang_tasks: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: u64,
    /// When the heartbeat that last renewed the lease was sent, or the incarnation began.
    pub(super) lease_renewed_at: Instant,
    /// Speed relative to the nominal speed of the machine type.
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
            next_change_at: now,
            has_gang_tasks: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed_at: now,
            speed,
            tasks: BTreeMap::new(),
            images: ImageCache::default(),
        }
    }

    /// Reports whether the worker's lease of this duration has expired.
    pub(super) fn is_lease_expired(&self, lease: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.lease_renewed_at) > lease
    }

    /// Returns the work that a task did on this machine since `since`, in seconds at nominal speed.
    pub(super) fn work_done_s(&self, since: Instant, now: Instant) -> f64 {
        now.saturating_duration_since(since).as_secs_f64() * self.speed
    }
}
