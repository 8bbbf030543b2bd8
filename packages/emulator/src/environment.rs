//! The environment of the controllers, served over TCP on one thread: the state service, the cloud,
//! the workers and the load balancer.
//!
//! The state machines of the other modules hold the logic; this module does their I/O and calls them
//! as time passes.

mod load_balancer;
mod machines;
mod services;
mod worker;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coralnotch_wire::http::ServerLimits;
use coralnotch_wire::model::Name;
use fastrand::Rng;
use serde::{Deserialize, Serialize};

pub use self::machines::BootedMachine;

use self::machines::RunningWorker;
use crate::balancer::Balancer;
use crate::cloud::Cloud;
use crate::state::State;
use crate::worker_pool::WorkerPool;

/// Interval at which machines and the cloud are advanced and watches are polled.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of open connections of an emulated service.
const MAX_CONNECTIONS: usize = 4000;

/// Name and address of a controller, as the workers and the load balancer use them.
#[derive(Debug, Clone)]
pub struct Controller {
    /// Name by which other controllers refer to the controller in redirections.
    pub name: String,
    /// Address on which the controller listens for users and workers.
    pub addr: SocketAddr,
}

/// Counts of the users' requests in each second.
#[derive(Debug, Clone)]
pub struct RequestCounts {
    started_at: Instant,
    /// Number of requests in each second since the counting started.
    pub per_second: Vec<u64>,
}

impl RequestCounts {
    /// Starts counting at the present time.
    pub fn start() -> RequestCounts {
        RequestCounts { started_at: Instant::now(), per_second: Vec::new() }
    }

    fn add(&mut self, requests: u64) {
        let second = self.started_at.elapsed().as_secs() as usize;
        self.per_second.resize(self.per_second.len().max(second + 1), 0);
        self.per_second[second] += requests;
    }
}

/// Counts of the messages between workers and controllers, and the sizes of the HTTP messages in
/// bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Heartbeats that workers sent.
    #[serde(rename = "reports")]
    pub heartbeats: u64,
    /// Heartbeats answered with status 200.
    pub answered: u64,
    /// Heartbeats answered with status 421, which redirects the worker to another controller.
    pub redirected: u64,
    /// Heartbeats with any other answer, or without an answer.
    pub failed: u64,
    /// Total size of the heartbeats in bytes.
    #[serde(rename = "report_bytes")]
    pub heartbeat_bytes: u64,
    /// Total size of the answers to heartbeats in bytes.
    pub answer_bytes: u64,
    /// Direct requests that workers answered.
    pub direct: u64,
    /// Total size of direct requests and their answers in bytes.
    pub direct_bytes: u64,
}

/// The emulated services, machines and load balancer around the controllers.
pub struct Environment {
    /// The state service.
    pub state: RefCell<State>,
    /// The cloud.
    pub cloud: RefCell<Cloud>,
    /// The machines and their workers.
    pub worker_pool: RefCell<WorkerPool>,
    /// The load balancer's view of the controllers.
    pub balancer: RefCell<Balancer>,
    /// Random number generator of the cloud, of the fault injection, and of the workers' choice of
    /// controllers and heartbeat delays.
    pub rng: RefCell<Rng>,
    /// Counts of the users' requests; `None` until counting starts.
    pub request_counts: RefCell<Option<RequestCounts>>,
    /// Indexes of the controllers whose requests the state service refuses.
    pub refused_controllers: RefCell<HashSet<usize>>,
    /// Delay that is added to each answer of the state service.
    pub state_response_delay: Cell<Duration>,
    controllers: Vec<Controller>,
    /// Nominal interval of a worker's heartbeats in seconds.
    heartbeat_interval_s: f64,
    workers: RefCell<HashMap<Name, RunningWorker>>,
    /// IP address on which the workers listen.
    pub host: Cell<IpAddr>,
    /// Counts of the messages between workers and controllers so far.
    pub traffic: Cell<Traffic>,
}

impl Environment {
    /// Creates an environment for these controllers; `heartbeat_interval_s` is the nominal interval
    /// of a worker's heartbeats in seconds.
    pub fn new(
        state: State,
        cloud: Cloud,
        worker_pool: WorkerPool,
        controllers: Vec<Controller>,
        heartbeat_interval_s: f64,
        rng: Rng,
    ) -> Rc<Environment> {
        Rc::new(Environment {
            state: RefCell::new(state),
            cloud: RefCell::new(cloud),
            worker_pool: RefCell::new(worker_pool),
            balancer: RefCell::new(Balancer::new(controllers.len())),
            rng: RefCell::new(rng),
            request_counts: RefCell::default(),
            refused_controllers: RefCell::default(),
            state_response_delay: Cell::default(),
            controllers,
            heartbeat_interval_s,
            workers: RefCell::default(),
            host: Cell::new(Ipv4Addr::LOCALHOST.into()),
            traffic: Cell::default(),
        })
    }
}

/// Returns the limits of an emulated service's HTTP server.  They are wide, because faults are
/// injected by other means.
fn server_limits() -> ServerLimits {
    ServerLimits {
        max_connections: MAX_CONNECTIONS,
        scarce_connections: MAX_CONNECTIONS,
        idle_timeout: Duration::from_secs(600),
        transfer_timeout: Duration::from_secs(60),
        response_timeout: Duration::from_secs(600),
    }
}
