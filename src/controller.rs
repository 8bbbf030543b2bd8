//! A controller: its settings, its clients, and the state that its parts share behind a mutex that
//! is held only briefly.  The parts depend on this module, which must not depend on any of them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::cluster::TeamLimit;
use crate::config::{Config, Team};
use crate::http;
use crate::model::*;
use crate::operators::telemetry::Telemetry;
use crate::peers::links::Peers;
use crate::policy::Policy;
use crate::runtime::rate_limiter::RateLimiter;
use crate::runtime::scheduling_delay::SchedulingDelay;
use crate::runtime::wake_up::WakeUp;
use crate::state_store::client::StateStore;
use crate::users::queues::{HeartbeatQueue, UserRequestQueues};

mod cancellation_view;
mod jobs;
mod stall_detector;
mod state;

pub use stall_detector::StallDetector;
pub use state::{ControllerState, ObservedLeader};

/// The share of the cloud's rate limit that a controller uses.
const CLOUD_RATE_SHARE: f64 = 0.7;

/// The largest burst of calls to the cloud, in seconds of its full rate limit.
const CLOUD_BURST_SECONDS: f64 = 1.4;

/// A controller, which serves users and workers and leads the cluster when elected.
pub struct Controller {
    /// The settings of this controller and of the deployment.
    pub config: Config,
    /// The tunables, as set by the operators' policy file or by the default policy.
    pub policy: Arc<Policy>,
    /// Client of the state service, limited to this controller's share of the store's rate limits.
    pub store: StateStore,
    /// HTTP client for the cloud.
    pub cloud_client: http::Client,
    /// Limits the rate of calls to the cloud.
    pub cloud_rate_limiter: RateLimiter,
    state: Mutex<ControllerState>,
    /// Wakes the leader's placement loop.
    pub placement_wake: WakeUp,
    /// Wakes the leader's commit loop.
    pub commit_wake: WakeUp,
    /// Wakes the leader's loop that fetches outcomes of dependencies.
    pub outcome_fetch_wake: WakeUp,
    /// Connections to the other controllers, and what is known about them.
    pub peers: Peers,
    /// HTTP client for workers.
    pub worker_client: http::Client,
    /// Wakes the leader's loop that sends direct commands.
    pub command_wake: WakeUp,
    /// Signals that a transaction of the leader was applied.
    pub commit_done: event_listener::Event,
    /// Signals that peers have to be notified of a cancellation.
    pub cancellation_to_notify: event_listener::Event,
    /// Signals that a peer has acknowledged a cancellation, or that the leader has found no task of
    /// its job.
    pub cancellation_known: event_listener::Event,
    /// Wakes the election loop when the leader has changed or the initial read is complete.
    pub election_wake: WakeUp,
    /// Queues of user requests that wait for the state service.
    pub user_requests: UserRequestQueues,
    /// Queue of heartbeats that wait to be forwarded to the leader.
    pub heartbeat_queue: HeartbeatQueue,
    /// Counters and latencies for operators.
    pub telemetry: Telemetry,
    /// How long requests of users and workers wait until the executor runs them.
    pub scheduling_delay: SchedulingDelay,
}

impl Controller {
    /// Creates a controller that has not read the state service and runs no tasks.
    pub fn new(config: Config, policy: Policy, now: Instant) -> Controller {
        let policy = Arc::new(policy);
        // The store's limits change without an announcement, so the controller keeps within both
        // the current and the next ones.
        let store_limits = &config.deployment.state.strictest_limits();
        let store_rps = store_limits.rps;
        let cloud_rps = config.deployment.cloud.rps;
        // The write rate allows at most this number of cancellations within `cancel`, the time in
        // which peers may have to be notified of them.
        let max_cancellations = (store_limits.write_rps * policy.cancel.as_secs_f64()).ceil() as usize;
        let state = ControllerState::new(policy.ended_kept, max_cancellations, config.peers.len());
        Controller {
            state: Mutex::new(state),
            store: StateStore::new(config.services.state, store_limits, store_rps * policy.read_share, now),
            cloud_client: http::Client::default(),
            cloud_rate_limiter: RateLimiter::new(cloud_rps * CLOUD_RATE_SHARE, cloud_rps * CLOUD_BURST_SECONDS, now),
            placement_wake: WakeUp::default(),
            commit_wake: WakeUp::default(),
            outcome_fetch_wake: WakeUp::default(),
            peers: Peers::new(&config.peers),
            worker_client: http::Client::new(policy.direct_calls),
            command_wake: WakeUp::default(),
            commit_done: event_listener::Event::new(),
            cancellation_to_notify: event_listener::Event::new(),
            cancellation_known: event_listener::Event::new(),
            election_wake: WakeUp::default(),
            user_requests: UserRequestQueues::new(store_rps * policy.lookup_share, now),
            heartbeat_queue: HeartbeatQueue::default(),
            telemetry: Telemetry::default(),
            scheduling_delay: SchedulingDelay::default(),
            policy,
            config,
        }
    }

    /// Locks the shared state.  The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the least time from the beginning of a placement pass or fleet plan that took
    /// `elapsed` to the beginning of the next one.
    ///
    /// Passes and plans each take no more than `share` of processor time.  When requests are
    /// delayed, the time is at least `lag_rest` times that delay, limited to `lag_rest_most`,
    /// because workers whose heartbeats are not read in time lose the tasks that were assigned to
    /// them.
    pub fn throttle_delay(&self, elapsed: Duration, share: f64) -> Duration {
        let scheduling_delay = self.scheduling_delay.recent();
        let overload_delay = scheduling_delay.mul_f64(self.policy.lag_rest).min(self.policy.lag_rest_most);
        elapsed.div_f64(share).max(overload_delay)
    }

    /// Returns the configured guarantee and limit of each team, by team name.
    pub fn team_limits(&self) -> HashMap<Name, TeamLimit> {
        let resources = |cpus, gpus| Resources { cpus, gpus, memory_gb: 0.0 };
        let limit = |team: &Team| TeamLimit {
            guarantee: resources(team.cpus, team.gpus),
            limit: resources(team.cpus_max, team.gpus_max),
        };
        self.config.deployment.teams.iter().map(|team| (team.name.as_str().into(), limit(team))).collect()
    }
}
