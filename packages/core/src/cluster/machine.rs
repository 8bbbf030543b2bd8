//! Machines, as the leader knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::{Assignment, MachineLocation, MachineState};
use crate::model::*;
use crate::policy::Policy;

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: Name,
    /// Its type.
    pub kind: Name,
    /// Its zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Its resources; nothing while its type is unknown.
    pub size: Resources,
    /// The incarnation of its worker, 0 before the first heartbeat in this term.
    pub incarnation: u64,
    /// Sequence number of the newest heartbeat.
    pub sequence: u64,
    /// Highest token that the worker has seen.
    pub highest_fencing_token: u64,
    /// When the newest heartbeat in this term arrived.
    pub last_heartbeat: Option<Instant>,
    /// When the cloud reclaims it.
    pub reclaim_at: Option<Instant>,
    /// Tasks that are, or may be, on it.
    pub tasks: BTreeMap<Task, Assignment>,
    /// Exited tasks to be acknowledged, with their attempts.  A shard may still name them:
    /// a new leader starts nothing that it finds on record, so that an acknowledgement
    /// cannot be followed by the same start.
    pub exited: BTreeMap<Task, u64>,
    /// Its state in the last list of the cloud.
    pub state: Option<MachineState>,
    /// When it was last in a list of the cloud.
    pub last_listed: Option<Instant>,
    /// When this leader first knew the machine.
    pub first_seen: Instant,
    /// When it was rented, as far as known.
    pub rented_at: Instant,
    /// Why it is cordoned, if it is: no more tasks are assigned to it.
    pub cordon_reason: Option<&'static str>,
    /// When its deletion was sent: it may be gone at any time from then on.
    pub deletion_sent_at: Option<Instant>,
    /// Since when it has been empty.
    pub idle_since: Option<Instant>,
    /// Images in its cache with their size in GB, the most recently used last.
    pub images: Vec<(Name, f64)>,
    /// Jobs whose failures are held against this machine.
    pub failed_jobs: BTreeSet<Name>,
    /// After a failure: no task is assigned to it before this.
    pub cooldown_until: Option<Instant>,
    /// Its speed as observed, 1 for the usual speed.
    pub speed: f64,
    /// How many tasks its speed was observed by.
    pub speed_samples: u32,
    /// The address at which its worker accepts direct commands.
    pub address: Option<std::net::SocketAddr>,
    /// The offset of its token from the term's lowest.  Raising it makes the worker refuse
    /// every command in flight.
    pub fence_offset: u64,
    /// The fence offset under which a start was last sent directly.
    pub last_direct_fence: Option<u64>,
    /// Token of direct starts without a response (yet): they may be carried out at any time
    /// until the worker has seen a higher token.
    pub in_doubt_token: Option<u64>,
    /// A direct command is in flight.
    pub command_in_flight: bool,
    /// A reply to its heartbeat waits for the store, and will carry commands.
    pub reply_pending: bool,
    /// When it was proved to be gone.  The entry stays for a while, so that a heartbeat
    /// delivered late does not register the machine again.
    pub removed_at: Option<Instant>,
}

impl Machine {
    /// Whether there is no command for its worker and no response awaited from it: all its
    /// tasks were listed in its last heartbeat and are to continue.
    pub fn is_settled(&self) -> bool {
        let is_leaving = self.removed_at.is_some() || self.deletion_sent_at.is_some() || self.reclaim_at.is_some();
        let is_awaited = self.in_doubt_token.is_some() || self.command_in_flight || !self.exited.is_empty();
        !is_leaving && !is_awaited && self.tasks.values().all(Assignment::is_settled)
    }

    /// A machine that has sent no heartbeat yet.
    pub fn new(name: Name, kind: Name, zone: Name, spot: bool, now: Instant) -> Machine {
        Machine {
            name,
            kind,
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

    /// Its type, its zone, and whether it is a spot instance.
    pub fn location(&self) -> MachineLocation {
        MachineLocation { kind: self.kind.clone(), zone: self.zone.clone(), spot: self.spot }
    }

    /// Resources left, with all that may be present counted.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.size;
        for assignment in self.tasks.values().filter(|assignment| assignment.occupies_resources()) {
            free.subtract(&assignment.spec.size());
        }
        free
    }

    /// Whether tasks may be assigned to it now.
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

    /// Whether an image is in its cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Makes an image the most recently used.  The least recently used are evicted when the
    /// cache exceeds `cache_gb`.
    pub fn use_image(&mut self, image: &Name, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.clone(), gb));
        while self.images.len() > 1 && self.images.iter().map(|(_, gb)| gb).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }
}

/// What the previous leader had learned of a machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineHints {
    /// Its speed as observed, 1 for the usual speed.
    pub speed: f64,
    /// How many tasks its speed was observed by.
    pub speed_samples: u32,
    /// Images in its cache with their size in GB, the most recently used last.
    pub images: Vec<(Name, f64)>,
    /// When its last heartbeat arrived, as far as the previous leader knew.
    pub last_heartbeat: Option<Instant>,
}
