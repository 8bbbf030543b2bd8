//! Machines, as known to the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::{Assignment, MachineLocation, MachineState};
use crate::model::*;
use crate::policy::Policy;

/// A machine with the tasks that are assigned to it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name under which the cloud lists the machine and the worker sends heartbeats.
    pub name: Name,
    /// Machine type.
    pub machine_type: Name,
    /// Zone in which the machine runs.
    pub zone: Name,
    /// Whether the machine is a spot instance, which the cloud may reclaim.
    pub spot: bool,
    /// Total resources of the machine; zero while the machine type is unknown.
    pub size: Resources,
    /// Incarnation of the worker; 0 before the first heartbeat in this term.
    pub incarnation: u64,
    /// Sequence number of the newest heartbeat that was applied.
    pub sequence: u64,
    /// Highest fencing token that the worker has reported.
    pub highest_fencing_token: u64,
    /// When the newest heartbeat in this term arrived; `None` before the first.
    pub last_heartbeat: Option<Instant>,
    /// When the cloud reclaims the machine; `None` without a notice.
    pub reclaim_at: Option<Instant>,
    /// Assignments of the tasks that are, or may be, on the machine.
    pub tasks: BTreeMap<Task, Assignment>,
    /// Exited tasks to be acknowledged, with their attempts.  A shard may still hold their
    /// starts.  An acknowledgement cannot be followed by the same start, because a new leader
    /// sends no start that it has read from the store.
    pub exited: BTreeMap<Task, u64>,
    /// State in the last list of the cloud that had the machine; `None` before the first.
    pub state: Option<MachineState>,
    /// When the cloud last listed the machine; `None` if it has not yet.
    pub last_listed: Option<Instant>,
    /// When this leader first knew the machine.
    pub first_seen: Instant,
    /// When the machine was rented, according to the cloud's list; until it is listed, when
    /// this leader first knew it.
    pub rented_at: Instant,
    /// Why the machine is cordoned, so that no more tasks are assigned to it; `None` if it is
    /// not.
    pub cordon_reason: Option<&'static str>,
    /// When the deletion of the machine was requested; it may be gone at any time from then on.
    pub deletion_sent_at: Option<Instant>,
    /// Since when no task has been assigned to the machine; `None` while one is.
    pub idle_since: Option<Instant>,
    /// Images in the cache with their sizes in GB, the most recently used last.
    pub images: Vec<(Name, f64)>,
    /// Jobs whose failures are attributed to this machine.
    pub failed_jobs: BTreeSet<Name>,
    /// End of the cooldown after a failure; no task is assigned to the machine before.
    pub cooldown_until: Option<Instant>,
    /// Observed speed, relative to that of other machines; 1 before the first observation.
    pub speed: f64,
    /// Number of tasks from which the speed was observed.
    pub speed_samples: u32,
    /// Address at which the worker accepts direct commands; `None` if it has reported no valid
    /// address.
    pub address: Option<std::net::SocketAddr>,
    /// Offset of the machine's fencing token from the lowest token of the term.  Once the
    /// worker has seen a token with a raised offset, it refuses every earlier command that is
    /// still in flight.
    pub fence_offset: u64,
    /// Fence offset under which a start was last sent directly; `None` if none was.
    pub last_direct_fence: Option<u64>,
    /// Fencing token of direct starts that have had no response; `None` if there are none.
    /// They may be carried out at any time until the worker has seen a higher token.
    pub in_doubt_token: Option<u64>,
    /// Whether a direct command is in flight.
    pub command_in_flight: bool,
    /// Whether the reply to a heartbeat waits for the store.  It will carry the commands that
    /// are due, so that none is sent directly.
    pub reply_pending: bool,
    /// When the machine was proved to be gone; `None` while it exists.  The entry is kept for
    /// a while, so that a delayed heartbeat does not register the machine again.
    pub removed_at: Option<Instant>,
}

impl Machine {
    /// Reports whether no command for the worker is due and no response of the worker is
    /// awaited.  All tasks of a settled machine were listed in its last heartbeat and are to
    /// continue.
    pub fn is_settled(&self) -> bool {
        let is_leaving = self.removed_at.is_some() || self.deletion_sent_at.is_some() || self.reclaim_at.is_some();
        let is_awaited = self.in_doubt_token.is_some() || self.command_in_flight || !self.exited.is_empty();
        !is_leaving && !is_awaited && self.tasks.values().all(Assignment::is_settled)
    }

    /// Returns a machine that has sent no heartbeat yet.
    pub fn new(name: Name, machine_type: Name, zone: Name, spot: bool, now: Instant) -> Machine {
        Machine {
            name,
            machine_type,
            zone,
            spot,
            size: Resources::default(),
            incarnation: 0,
            sequence: 0,
            highest_fencing_token: 0,
            last_heartbeat: None,
            reclaim_at: None,
            tasks: BTreeMap::new(),
            exited: BTreeMap::new(),
            state: None,
            last_listed: None,
            first_seen: now,
            rented_at: now,
            cordon_reason: None,
            deletion_sent_at: None,
            idle_since: Some(now),
            images: Vec::new(),
            failed_jobs: BTreeSet::new(),
            cooldown_until: None,
            speed: 1.0,
            speed_samples: 0,
            address: None,
            fence_offset: 0,
            last_direct_fence: None,
            in_doubt_token: None,
            command_in_flight: false,
            reply_pending: false,
            removed_at: None,
        }
    }

    /// Returns the machine type, the zone, and whether the machine is a spot instance.
    pub fn location(&self) -> MachineLocation {
        MachineLocation { machine_type: self.machine_type.clone(), zone: self.zone.clone(), spot: self.spot }
    }

    /// Returns the resources left when every task that may be present is counted.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.size;
        for assignment in self.tasks.values().filter(|assignment| assignment.occupies_resources()) {
            free.subtract(&assignment.spec.resources_per_task());
        }
        free
    }

    /// Reports whether tasks may be assigned to the machine at `now`.
    pub fn is_schedulable(&self, now: Instant, policy: &Policy) -> bool {
        self.incarnation > 0
            && self.removed_at.is_none()
            && self.cordon_reason.is_none()
            && self.deletion_sent_at.is_none()
            && self.reclaim_at.is_none()
            && self.state != Some(MachineState::Failed)
            && self.last_heartbeat.is_some_and(|at| now.duration_since(at) < policy.fresh)
            && self.cooldown_until.is_none_or(|until| until <= now)
            && self.tasks.len() + self.exited.len() < policy.most_tasks
    }

    /// Reports whether an image is in the cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Makes an image of `gb` GB the most recently used one in the cache.  Evicts the least
    /// recently used images while the cache exceeds `cache_gb`, but never the image itself.
    pub fn use_image(&mut self, image: &Name, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.clone(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }
}

/// What the previous leader had learned about a machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineHints {
    /// Observed speed, as in [`Machine::speed`].
    pub speed: f64,
    /// Number of tasks from which the speed was observed.
    pub speed_samples: u32,
    /// Images in the cache with their sizes in GB, the most recently used last.
    pub images: Vec<(Name, f64)>,
    /// When the last heartbeat that the previous leader knew of arrived.
    pub last_heartbeat: Option<Instant>,
}
