//! One controller: its settings, its clients, and the state that its parts share behind a short
//! lock.  It must not depend on any of these parts.

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

/// The controller's share of the cloud's rate limit.
const CLOUD_RATE_SHARE: f64 = 0.7;

/// The burst of calls to the cloud, in seconds of its rate limit.
const CLOUD_BURST_SECONDS: f64 = 1.4;

/// A controller.
pub struct Controller {
    /// Settings.
    pub config: Config,
    /// The operators' policy.
    pub policy: Arc<Policy>,
    /// Client of the state store.
    pub store: StateStore,
    /// HTTP client for the cloud.
    pub cloud_client: http::Client,
    /// Rate limit of calls to the cloud.
    pub cloud_rate_limiter: RateLimiter,
    state: Mutex<ControllerState>,
    /// Wakes the placement loop.
    pub placement_wake: WakeUp,
    /// Wakes the commit loop.
    pub commit_wake: WakeUp,
    /// Wakes the loop that fetches outcomes of dependencies.
    pub outcome_fetch_wake: WakeUp,
    /// The other controllers.
    pub peers: Peers,
    /// HTTP client for workers.
    pub worker_client: http::Client,
    /// Wakes the loop that sends direct commands.
    pub command_wake: WakeUp,
    /// A transaction of the leader was applied.
    pub commit_done: event_listener::Event,
    /// There is a cancellation of which peers have to be notified.
    pub cancellation_to_notify: event_listener::Event,
    /// A peer has acknowledged a cancellation, or the leader found no task of its job.
    pub cancellation_known: event_listener::Event,
    /// Wakes the election loop, as the leader has changed.
    pub election_wake: WakeUp,
    /// User requests that wait for the state store.
    pub user_requests: UserRequestQueues,
    /// Heartbeats that wait to be forwarded to the leader.
    pub heartbeat_queue: HeartbeatQueue,
    /// Counters and latencies.
    pub telemetry: Telemetry,
    /// How long requests wait to be run.
    pub scheduling_delay: SchedulingDelay,
}

impl Controller {
    /// A controller that has not started yet.
    pub fn new(config: Config, policy: Policy, now: Instant) -> Controller {
        let policy = Arc::new(policy);
        // changes of the limits are not announced: both the earlier and the later ones are kept
        let store_limits = &config.deployment.state.least();
        let store_rps = store_limits.rps;
        let cloud_rps = config.deployment.cloud.rps;
        // no more can be stored in the time in which somebody may have to be notified of them
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

    /// The shared state; never held over an await.
    pub fn lock(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// How long the next placement pass or fleet plan has to wait after one that took `elapsed`.
    ///
    /// Each keeps to its share of the processor; and when requests wait to be run, decisions
    /// wait for a multiple of that, as workers whose heartbeats are not read lose the tasks
    /// that were assigned to them.
    pub fn throttle_delay(&self, elapsed: Duration, share: f64) -> Duration {
        let delay = self.scheduling_delay.now();
        let delay_rest = delay.mul_f64(self.policy.lag_rest).min(self.policy.lag_rest_most);
        elapsed.div_f64(share).max(delay_rest)
    }

    /// The configured quota of each team.
    pub fn team_limits(&self) -> HashMap<Name, TeamLimit> {
        let resources = |cpus, gpus| Resources { cpus, gpus, memory: 0.0 };
        let limit = |team: &Team| TeamLimit {
            guarantee: resources(team.cpus, team.gpus),
            limit: resources(team.cpus_max, team.gpus_max),
        };
        self.config.deployment.teams.iter().map(|team| (team.name.as_str().into(), limit(team))).collect()
    }
}
