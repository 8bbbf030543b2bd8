//! The state that the parts of a controller share.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Instant;

use coralnotch_core::cancellation::{CancellationLog, CancellationNotices, CancellationView};

use super::StallDetector;
use crate::cluster::{Cluster, UnmetDemand};
use crate::job_index::JobIndex;
use crate::leadership::lease::{LeaderLease, LeaderRecord};
use crate::model::*;

/// The leader as seen in the store.
#[derive(Debug, Clone)]
pub struct ObservedLeader {
    /// Its name and term.
    pub record: LeaderRecord,
    /// Revision of the leader key.
    pub revision: u64,
}

/// The state that the parts of a controller share.
pub struct ControllerState {
    /// Jobs by id.
    pub jobs: JobIndex,
    /// The store has been read completely once.
    pub synced: bool,
    /// Job dependencies are enabled.
    pub dependencies_enabled: bool,
    /// Forwarding of heartbeats is enabled.
    pub forwarding_enabled: bool,
    /// The leader asks the other controllers to accept heartbeats, as far as known here.
    pub forwarding_requested: bool,
    /// Revision up to which the watch has shown all changes.
    pub revision: u64,
    /// The cancellations that are known here, to be sent to peers.
    pub cancellations: CancellationLog,
    /// Since when no cancellation is missing here.
    pub cancellation_view: CancellationView,
    /// Cancellations that are still to be confirmed to users.
    pub cancellation_notices: CancellationNotices,
    /// Since when this controller knows that confirmed cancellations are enabled; see
    /// `coralnotch_core::feature_gate::CONFIRMED_CANCELLATIONS`.
    pub notices_enabled_at: Option<Instant>,
    /// Revision of the stored feature gates.
    pub features_revision: u64,
    /// The leader.
    pub leader: Option<ObservedLeader>,
    /// This controller's own lease, while it leads.
    pub lease: Option<LeaderLease>,
    /// The leader's state of the cluster, once it is loaded.
    pub cluster: Option<Cluster>,
    /// Machine types as last seen.
    pub machine_types: Vec<MachineType>,
    /// What the last placement pass could not place.
    pub unmet_demand: Vec<UnmetDemand>,
    /// When this controller last received a heartbeat from a worker of another zone.
    pub last_remote_zone_heartbeat: Option<Instant>,
    /// When this controller last received a heartbeat.
    pub last_heartbeat: Option<Instant>,
    /// When a user, or a load balancer's probe, last reached this controller.
    pub last_user_request: Option<Instant>,
    /// Detects stalls of this controller.
    pub stall_detector: Option<StallDetector>,
    /// No placement pass before this time.
    pub next_pass_at: Option<Instant>,
}

impl ControllerState {
    /// The state of a controller that has read nothing yet.  It will keep up to `ended_kept`
    /// ended jobs and up to `max_cancellations` cancellations.
    pub fn new(ended_kept: usize, max_cancellations: usize, peers: usize) -> ControllerState {
        // distinguishes this incarnation of the controller from every other one
        let incarnation = RandomState::new().build_hasher().finish();
        ControllerState {
            cancellations: CancellationLog::new(incarnation, max_cancellations),
            cancellation_view: CancellationView::default(),
            cancellation_notices: CancellationNotices::new(peers, max_cancellations),
            notices_enabled_at: None,
            features_revision: 0,
            last_user_request: None,
            jobs: JobIndex::new(ended_kept),
            synced: false,
            dependencies_enabled: false,
            forwarding_enabled: false,
            forwarding_requested: false,
            revision: 0,
            leader: None,
            lease: None,
            cluster: None,
            machine_types: Vec::new(),
            unmet_demand: Vec::new(),
            last_remote_zone_heartbeat: None,
            last_heartbeat: None,
            stall_detector: None,
            next_pass_at: None,
        }
    }

    /// Whether this controller leads and its lease is valid.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.lease.is_some_and(|lease| now < lease.valid_until)
    }

    /// Whether all features of this version are enabled.
    pub fn all_features_enabled(&self) -> bool {
        self.dependencies_enabled && self.notices_enabled_at.is_some() && self.forwarding_enabled
    }

    /// Whether all controllers accept heartbeats and forward them to the leader.
    pub fn forwards_heartbeats(&self) -> bool {
        self.forwarding_requested && self.forwarding_enabled
    }

    /// Whether this controller leads and knows of no task of a job on any machine.
    pub fn has_no_task_of(&self, id: &Name, now: Instant) -> bool {
        self.is_leader(now) && self.cluster.as_ref().is_some_and(|cluster| cluster.has_no_task_of(id))
    }
}
