//! Machines as the leader knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::{Assignment, MachineLocation, MachineState, TaskPhase};
use crate::model::*;
use crate::policy::Policy;

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name.
    pub name: Name,
    /// Type.
    pub kind: Name,
    /// Zone.
    pub zone: Name,
    /// Spot or ordinary.
    pub spot: bool,
    /// What it offers when empty; nothing while its type is unknown.
    pub size: Resources,
    /// The worker's session, 0 before its first report in this term.
    pub incarnation: u64,
    /// Number of the newest report.
    pub sequence: u64,
    /// Highest token it has seen.
    pub highest_fencing_token: u64,
    /// Its newest report in this term.
    pub last_heartbeat: Option<Instant>,
    /// When the cloud takes it away.
    pub reclaim_at: Option<Instant>,
    /// What is, or may be, on it.
    pub tasks: BTreeMap<Task, Assignment>,
    /// Exited tasks to be reaped, with their attempts.  A page may go on
    /// naming them: a new leader starts nothing that it finds on record, so a
    /// reap can't be followed by the same start.
    pub exited: BTreeMap<Task, u64>,
    /// As listed.
    pub state: Option<MachineState>,
    /// When it was last seen in a list, and when first known.
    pub last_listed: Option<Instant>,
    /// When this leader first knew of it.
    pub first_seen: Instant,
    /// When it was rented, as far as known.
    pub rented_at: Instant,
    /// Nothing more is placed here, and why.
    pub cordon_reason: Option<&'static str>,
    /// A deletion was sent: it may vanish at any time from now.
    pub deletion_sent_at: Option<Instant>,
    /// Since when it has been empty.
    pub idle_since: Option<Instant>,
    /// Images it holds, the most recently used last.
    pub images: Vec<(Name, f64)>,
    /// Jobs that failed here and nowhere else.
    pub failed_jobs: BTreeSet<Name>,
    /// Not used before this, after a failure.
    pub cooldown_until: Option<Instant>,
    /// Its speed, as observed, and by how many tasks.
    pub speed: f64,
    /// Tasks observed.
    pub speed_samples: u32,
    /// Where its worker takes direct commands.
    pub address: Option<std::net::SocketAddr>,
    /// Its own part of the token; raising it kills every command in flight.
    pub fence_offset: u64,
    /// The fence under which a start last left for it directly.
    pub last_direct_fence: Option<u64>,
    /// Token of direct starts that were not answered (yet): they may be
    /// carried out at any time until the worker has seen a higher token.
    pub in_doubt_token: Option<u64>,
    /// A direct command is under way.
    pub command_in_flight: bool,
    /// An answer to its report waits for the store and will carry commands.
    pub reply_pending: bool,
    /// Proved to be gone.  The entry stays for a while, so that a report
    /// delivered late does not bring the machine back.
    pub removed_at: Option<Instant>,
}

impl Machine {
    /// Whether nothing is to be told to its worker, and nothing is awaited from it: all that is
    /// on it was listed by its last report and is to go on.
    pub fn is_settled(&self) -> bool {
        let settled = |p: &Assignment| {
            let listed = matches!(p.phase, TaskPhase::Pulling | TaskPhase::WaitingForGang | TaskPhase::Running);
            listed && p.stored && p.confirmed && !p.inherited && p.stop_grace_s.is_none()
        };
        let open = self.removed_at.is_some() || self.deletion_sent_at.is_some() || self.reclaim_at.is_some();
        let awaited = self.in_doubt_token.is_some() || self.command_in_flight || !self.exited.is_empty();
        !open && !awaited && self.tasks.values().all(settled)
    }

    /// A machine of which little is known.
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

    /// Room left, with all that may be present counted.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.size;
        for p in self.tasks.values().filter(|p| p.occupies_resources()) {
            free.subtract(&p.spec.size());
        }
        free
    }

    /// Whether tasks may be placed here now.
    pub fn is_schedulable(&self, now: Instant, policy: &Policy) -> bool {
        self.incarnation > 0
            && self.removed_at.is_none()
            && self.cordon_reason.is_none()
            && self.deletion_sent_at.is_none()
            && self.reclaim_at.is_none()
            && self.state != Some(MachineState::Failed)
            && self.last_heartbeat.is_some_and(|t| now.duration_since(t) < policy.fresh)
            && self.cooldown_until.is_none_or(|t| t <= now)
            && self.tasks.len() + self.exited.len() < policy.most_tasks
    }

    /// Whether it holds an image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(n, _)| &**n == image)
    }

    /// An image was used: it becomes the most recent, the oldest make room.
    pub fn use_image(&mut self, image: &Name, gb: f64, cache_gb: f64) {
        self.images.retain(|(n, _)| n != image);
        self.images.push((image.clone(), gb));
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }
}

/// What was learned of a machine; a hint for the next leader.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineHints {
    /// Its speed, as observed, and by how many tasks.
    pub speed: f64,
    /// Tasks observed.
    pub speed_samples: u32,
    /// Images it holds, the most recently used last.
    pub images: Vec<(Name, f64)>,
    /// Its last report, as far as the previous leader had told.
    pub last_heartbeat: Option<Instant>,
}
