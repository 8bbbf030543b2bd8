//! The state that the parts of a controller share behind a mutex.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Instant;

use coralnotch_core::cancellation::{CancellationLog, CancellationNotices, CancellationView};

use super::StallDetector;
use crate::cluster::{Cluster, UnmetDemand};
use crate::job_index::JobIndex;
use crate::leadership::lease::{LeaderLease, LeaderRecord};
use crate::model::*;

/// The leader, as last read from the state service or shown by the watch.
#[derive(Debug, Clone)]
pub struct ObservedLeader {
    /// Name and term of the leader.
    pub record: LeaderRecord,
    /// Revision of the leader key with this record.
    pub revision: u64,
}

/// The state of a controller; see [`Controller::lock`](super::Controller::lock).
pub struct ControllerState {
    /// The unfinished jobs, and a limited number of ended jobs.
    pub jobs: JobIndex,
    /// Whether the initial read of the state service has been completed once.
    pub synced: bool,
    /// Whether the feature of job dependencies is enabled.
    pub dependencies_enabled: bool,
    /// Whether the feature of forwarded heartbeats is enabled.
    pub forwarding_enabled: bool,
    /// Whether the leader requests that the other controllers accept and forward heartbeats, as
    /// last known here.
    pub forwarding_requested: bool,
    /// Revision of the state service up to which the watch has shown all changes.
    pub revision: u64,
    /// The cancellations known to this controller, from which peers are notified.
    pub cancellations: CancellationLog,
    /// How recent this controller's view of cancellations is.
    pub cancellation_view: CancellationView,
    /// Cancellations that still have to be confirmed to users, and which peers have acknowledged
    /// them.
    pub cancellation_notices: CancellationNotices,
    /// When this controller learned that confirmed cancellations
    /// (`coralnotch_core::feature_gate::CONFIRMED_CANCELLATIONS`) are enabled; `None` if they are
    /// not known to be.
    pub notices_enabled_at: Option<Instant>,
    /// Revision of the stored feature gates, as last seen; 0 if there are none.
    pub features_revision: u64,
    /// The current leader, as observed in the state service; `None` if there is none.
    pub leader: Option<ObservedLeader>,
    /// This controller's leadership lease; `None` while it does not lead.
    pub lease: Option<LeaderLease>,
    /// The leader's state of the cluster; `None` while this controller does not lead or is still
    /// loading the state.
    pub cluster: Option<Cluster>,
    /// The machine types, as last reported by the cloud, or read from the state service until then.
    pub machine_types: Vec<MachineType>,
    /// The demand that the last placement pass could not place.
    pub unmet_demand: Vec<UnmetDemand>,
    /// When this controller last received a heartbeat from a worker in another zone; `None` if
    /// never.
    pub last_remote_zone_heartbeat: Option<Instant>,
    /// When this controller last received a heartbeat of any worker, directly or forwarded; `None`
    /// if never.
    pub last_heartbeat: Option<Instant>,
    /// When a request of a user or a probe of a load balancer last reached this controller; `None`
    /// if never.
    pub last_user_request: Option<Instant>,
    /// The stall detector; `None` before its first tick.
    pub stall_detector: Option<StallDetector>,
    /// Earliest time of the next placement pass; `None` if there was no pass yet.
    pub next_pass_at: Option<Instant>,
}

impl ControllerState {
    /// Creates the state of a controller that has read nothing.  It keeps at most `ended_kept`
    /// ended jobs and `max_cancellations` cancellations.  `peers` is the number of other
    /// controllers.
    pub fn new(ended_kept: usize, max_cancellations: usize, peers: usize) -> ControllerState {
        // A random number, which distinguishes this incarnation of the controller from all others.
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

    /// Reports whether this controller has been elected and its lease is valid at `now`.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.lease.is_some_and(|lease| now < lease.valid_until)
    }

    /// Reports whether all features of this version are enabled.
    pub fn all_features_enabled(&self) -> bool {
        self.dependencies_enabled && self.notices_enabled_at.is_some() && self.forwarding_enabled
    }

    /// Reports whether controllers other than the leader accept heartbeats and forward them to the
    /// leader.
    pub fn forwards_heartbeats(&self) -> bool {
        self.forwarding_requested && self.forwarding_enabled
    }

    /// Reports whether this controller leads and knows that no machine has, or may still get, a
    /// task of an ended job.
    pub fn has_no_task_of(&self, id: &Name, now: Instant) -> bool {
        self.is_leader(now) && self.cluster.as_ref().is_some_and(|cluster| cluster.has_no_task_of(id))
    }
}
