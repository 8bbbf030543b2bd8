//! One controller: the state its slices share, behind a short lock.  The ground
//! that they stand on; it must not know any of them.

use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::cluster::UnmetDemand;
use crate::cluster::{Cluster, TeamLimit};
use crate::config::Config;
use crate::http;
use crate::job_index::JobIndex;
use crate::leadership::lease::{LeaderLease, LeaderRecord};
use crate::model::*;
use crate::operators::telemetry::Telemetry;
use crate::peers::links::Peers;
use crate::policy::Policy;
use crate::runtime::executor::SchedulingDelay;
use crate::runtime::rate_limiter::RateLimiter;
use crate::runtime::wake_up::WakeUp;
use crate::state_store::client::StateStore;
use crate::users::queues::{HeartbeatQueue, UserRequestQueues};
use coralnotch_core::cancellation::{may_lead, may_renew, CancellationLog, CancellationNotices, CancellationView};

/// The leader as seen in the store.
#[derive(Debug, Clone)]
pub struct ObservedLeader {
    /// Who and in which term.
    pub record: LeaderRecord,
    /// Stamp of the key.
    pub revision: u64,
}

/// What the slices share.
pub struct ControllerState {
    /// Jobs by id.
    pub jobs: JobIndex,
    /// The watch has caught up once.
    pub synced: bool,
    /// All controllers have jobs that wait for others.
    pub dependencies_enabled: bool,
    /// All controllers forward reports.
    pub forwarding_enabled: bool,
    /// The leader has the others take workers' reports, as far as known.
    pub forwarding_requested: bool,
    /// Revision up to which the watch has been seen.
    pub revision: u64,
    /// The withdrawals that are known here, for siblings' accounts.
    pub cancellations: CancellationLog,
    /// Since when none is missing here.
    pub cancellation_view: CancellationView,
    /// Those whose users are still to be told.
    pub cancellation_notices: CancellationNotices,
    /// Since when this controller knows that all tell by that; see `gate::TOLD`.
    pub notices_enabled_at: Option<Instant>,
    /// Stamp of the record of what is on.
    pub features_revision: u64,
    /// Who leads.
    pub leader: Option<ObservedLeader>,
    /// Our own right to act.
    pub lease: Option<LeaderLease>,
    /// The leader's state, once it is read.
    pub cluster: Option<Cluster>,
    /// Machine types as last seen.
    pub machine_types: Vec<MachineType>,
    /// What found no place in the last pass.
    pub unmet_demand: Vec<UnmetDemand>,
    /// When a worker of another zone last reported here.
    pub last_remote_zone_heartbeat: Option<Instant>,
    /// When any worker last reported here.
    pub last_heartbeat: Option<Instant>,
    /// When a user, or the load balancer for them, last reached this controller.
    pub last_user_request: Option<Instant>,
    /// When this controller was last seen to move, and since when it has
    /// moved without a gap.
    pub stall_detector: Option<StallDetector>,
    /// No pass over the queue before this.
    pub next_pass_at: Option<Instant>,
}

/// Tells when a controller itself stood still while its clocks ran on.
#[derive(Debug, Clone, Copy)]
pub struct StallDetector {
    /// It was moving then.
    pub last_tick: Instant,
    /// It has been moving without a gap since then.
    pub running_since: Instant,
}

impl StallDetector {
    /// It moves at `now`; how long it stood still before, if it did.
    pub fn tick(pulse: &mut Option<StallDetector>, most: Duration, now: Instant) -> Option<Duration> {
        let p = pulse.get_or_insert(StallDetector { last_tick: now, running_since: now });
        let gap = now.saturating_duration_since(p.last_tick);
        p.last_tick = p.last_tick.max(now);
        (gap > most).then(|| {
            p.running_since = now;
            gap
        })
    }
}

impl ControllerState {
    /// Nothing is known yet; the ledger will keep so many ended jobs, and so many
    /// withdrawals are kept to account for.
    pub fn new(ended_kept: usize, withdrawals: usize, siblings: usize) -> ControllerState {
        // told apart from every other life of this controller
        let life = RandomState::new().build_hasher().finish();
        ControllerState {
            cancellations: CancellationLog::new(life, withdrawals),
            cancellation_view: CancellationView::default(),
            cancellation_notices: CancellationNotices::new(siblings, withdrawals),
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

    /// Whether this controller leads and its lease still lasts.
    pub fn is_leader(&self, now: Instant) -> bool {
        self.lease.is_some_and(|a| now < a.valid_until)
    }

    /// Whether all that this version has is on.
    pub fn all_features_enabled(&self) -> bool {
        self.dependencies_enabled && self.notices_enabled_at.is_some() && self.forwarding_enabled
    }

    /// Whether workers' reports are taken by all controllers and forwarded to the leader.
    pub fn forwards_heartbeats(&self) -> bool {
        self.forwarding_requested && self.forwarding_enabled
    }

    /// Whether this controller leads and finds nothing of a job on any machine.
    pub fn has_no_task_of(&self, id: &Name, now: Instant) -> bool {
        self.is_leader(now) && self.cluster.as_ref().is_some_and(|c| c.has_no_task_of(id))
    }
}

/// A controller.
pub struct Controller {
    /// Settings.
    pub config: Config,
    /// Tunables.
    pub policy: Arc<Policy>,
    /// State service.
    pub store: StateStore,
    /// Client for the cloud.
    pub cloud_client: http::Client,
    /// Calls to the cloud.
    pub cloud_calls: RateLimiter,
    inner: Mutex<ControllerState>,
    /// Something to place.
    pub placement_wake: WakeUp,
    /// Something to store.
    pub commit_wake: WakeUp,
    /// Needed jobs that the store has to be asked about.
    pub outcome_fetch_wake: WakeUp,
    /// The other controllers.
    pub peers: Peers,
    /// Client for the workers.
    pub worker_client: http::Client,
    /// Something to tell workers.
    pub command_wake: WakeUp,
    /// A transaction of the leader's went through.
    pub commit_done: event_listener::Event,
    /// There is a withdrawal to tell siblings of.
    pub cancellation_to_notify: event_listener::Event,
    /// A sibling knows of one, or the leader found nothing of it.
    pub cancellation_known: event_listener::Event,
    /// The leader changed.
    pub election_wake: WakeUp,
    /// Users' requests on their way to the store.
    pub user_requests: UserRequestQueues,
    /// Workers' reports on their way to the leader.
    pub heartbeat_queue: HeartbeatQueue,
    /// Counters and latencies.
    pub telemetry: Telemetry,
    /// How long requests wait for their turn.
    pub scheduling_delay: SchedulingDelay,
}

impl Controller {
    /// A controller that has not started yet.
    pub fn new(config: Config, policy: Policy, now: Instant) -> Controller {
        let most_idle = policy.direct_calls;
        let policy = Arc::new(policy);
        let rps = config.deployment.cloud.rps;
        // nobody says when the limits change: the first write keeps to the later
        let limits = &config.deployment.state.least();
        let store = StateStore::new(config.services.state, limits, limits.rps * policy.read_share, now);
        let lookups = limits.rps * policy.lookup_share;
        // no more can be stored while anybody may have to be told of them
        let withdrawals = limits.write_rps * policy.cancel.as_secs_f64();
        Controller {
            inner: Mutex::new(ControllerState::new(policy.ended_kept, withdrawals.ceil() as usize, config.peers.len())),
            policy,
            store,
            cloud_client: http::Client::default(),
            cloud_calls: RateLimiter::new(rps * 0.7, rps * 1.4, now),
            placement_wake: WakeUp::default(),
            commit_wake: WakeUp::default(),
            outcome_fetch_wake: WakeUp::default(),
            peers: Peers::new(&config.peers),
            worker_client: http::Client::new(most_idle),
            command_wake: WakeUp::default(),
            commit_done: event_listener::Event::new(),
            cancellation_to_notify: event_listener::Event::new(),
            cancellation_known: event_listener::Event::new(),
            election_wake: WakeUp::default(),
            user_requests: UserRequestQueues::new(lookups, now),
            heartbeat_queue: HeartbeatQueue::default(),
            telemetry: Telemetry::default(),
            scheduling_delay: SchedulingDelay::default(),
            config,
        }
    }

    /// The shared state; never held over an await.
    pub fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Every place that is about to judge a silence says first that it moves.
    /// After a gap the silence was this controller's own: whatever it measures
    /// starts anew, so that nobody is taken for dead, cut off or refusing who
    /// merely was not listened to.
    pub fn detect_stall(&self, i: &mut ControllerState, now: Instant) {
        let Some(gap) = StallDetector::tick(&mut i.stall_detector, self.policy.stood_still, now) else { return };
        tracing::info!("stood still for {:.1} s: silences are measured anew", gap.as_secs_f64());
        self.store.reset_after_stall(now);
        self.peers.reset_after_stall();
        if let Some(c) = i.cluster.as_mut() {
            c.resumed_at = now;
        }
    }

    /// Keeps the pulse while nothing else happens.
    pub async fn run_stall_detector(&self) {
        loop {
            smol::Timer::after(self.policy.renew / 2).await;
            self.detect_stall(&mut self.lock(), Instant::now());
        }
    }

    /// How long a pass or a plan that took so long makes the next one wait: each
    /// keeps to its share of the processor, and when requests wait for their
    /// turn, decisions wait for a multiple of that.  Workers that are not heard
    /// lose what has been placed already.
    pub fn rest_time(&self, took: Duration, share: f64) -> Duration {
        let lag = self.scheduling_delay.now().mul_f64(self.policy.lag_rest).min(self.policy.lag_rest_most);
        took.div_f64(share).max(lag)
    }

    /// Since when no withdrawal is missing here that a user was told of before.
    pub fn cancellations_complete_as_of(&self, i: &ControllerState) -> Option<Instant> {
        i.cancellation_view.complete_as_of(self.config.peers.iter().map(|s| s.name.as_str()))
    }

    /// Whether all tell users of withdrawals only when all know.  Whoever does not
    /// know that it is on has a picture older than any on which it is told.
    pub fn notices_required(&self, i: &ControllerState, now: Instant) -> bool {
        i.notices_enabled_at.is_some_and(|t| now.saturating_duration_since(t) >= self.policy.cancel)
    }

    /// Whether what is known of withdrawals is young enough to renew workers'
    /// leases, nobody else's word being had.
    pub fn may_renew(&self, i: &ControllerState, now: Instant) -> bool {
        may_renew(self.cancellations_complete_as_of(i), self.notices_required(i, now), &self.policy, now)
    }

    /// Whether this controller leads, and knows enough to go on leading.
    pub fn may_lead(&self, i: &ControllerState, now: Instant) -> bool {
        i.is_leader(now) && may_lead(self.cancellations_complete_as_of(i), &self.policy, now)
    }

    /// The teams' limits.
    pub fn team_limits(&self) -> HashMap<Name, TeamLimit> {
        let team = |t: &crate::config::Team| {
            let size = |cpus, gpus| Resources { cpus, gpus, memory: 0.0 };
            (t.name.as_str().into(), TeamLimit { guarantee: size(t.cpus, t.gpus), limit: size(t.cpus_max, t.gpus_max) })
        };
        self.config.deployment.teams.iter().map(team).collect()
    }

    /// A job that the watch shows.
    pub fn apply_watched_job(&self, spec: Arc<JobSpec>, stamp: u64, now: Instant) {
        let mut i = self.lock();
        if i.jobs.insert_seen(spec.clone(), stamp) {
            self.add_job_to_cluster(&mut i, spec, stamp, now);
        }
    }

    /// A job that a transaction of this controller's has stored.
    pub fn apply_own_job(&self, spec: Arc<JobSpec>, stamp: u64, now: Instant) {
        let mut i = self.lock();
        if i.jobs.insert_stored(spec.clone(), stamp) {
            self.add_job_to_cluster(&mut i, spec, stamp, now);
        }
    }

    pub(crate) fn add_job_to_cluster(&self, i: &mut ControllerState, spec: Arc<JobSpec>, stamp: u64, now: Instant) {
        let Some(c) = i.cluster.as_mut() else { return };
        c.add_job(spec.clone(), stamp, None, now);
        for n in &spec.needs {
            if c.dependency.is_unknown(n) {
                match i.jobs.outcome(n) {
                    Some(outcome) => c.set_outcome(n, outcome, now),
                    None => self.outcome_fetch_wake.wake(),
                }
            }
        }
        self.placement_wake.wake();
        self.commit_wake.wake();
    }

    /// A job's end, as stored at this revision.
    pub fn apply_stored_outcome(&self, id: &str, outcome: JobOutcome, stamp: u64, now: Instant) {
        let mut i = self.lock();
        if outcome == JobOutcome::Cancelled {
            i.cancellations.record(stamp, id, now);
        }
        i.jobs.apply_outcome(id, outcome);
        self.apply_outcome_to_cluster(&mut i, id, outcome, now);
    }

    pub(crate) fn apply_outcome_to_cluster(
        &self,
        i: &mut ControllerState,
        id: &str,
        outcome: JobOutcome,
        now: Instant,
    ) {
        if let Some(c) = i.cluster.as_mut() {
            c.set_outcome(id, outcome, now);
            self.placement_wake.wake();
            self.commit_wake.wake();
        }
    }
}

#[cfg(test)]
mod tests;
