//! Everything around the controllers, over TCP on one thread: the state service, the cloud, the
//! workers and the load balancer.
//!
//! The plain state machines of the other modules decide; here their decisions are carried out.

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

/// Interval at which time passes for machines and watches.
const TICK: Duration = Duration::from_millis(20);
/// Connections that an emulated service accepts at once.
const MAX_CONNECTIONS: usize = 4000;

/// A controller, as workers and the load balancer know it.
#[derive(Debug, Clone)]
pub struct Controller {
    /// Its name.
    pub name: String,
    /// Where it listens for users and workers.
    pub addr: SocketAddr,
}

/// Users' requests in each second.
#[derive(Debug, Clone)]
pub struct RequestCounts {
    began: Instant,
    /// Requests in each second since the count began.
    pub per_second: Vec<u64>,
}

impl RequestCounts {
    /// Begins to count.
    pub fn begin() -> RequestCounts {
        RequestCounts { began: Instant::now(), per_second: Vec::new() }
    }

    fn add(&mut self, requests: u64) {
        let second = self.began.elapsed().as_secs() as usize;
        self.per_second.resize(self.per_second.len().max(second + 1), 0);
        self.per_second[second] += requests;
    }
}

/// Messages between workers and controllers; sizes are those of the HTTP messages in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Heartbeats sent.
    #[serde(rename = "reports")]
    pub heartbeats: u64,
    /// Heartbeats answered with 200.
    pub answered: u64,
    /// Heartbeats answered with another controller's name.
    pub redirected: u64,
    /// Heartbeats with another answer or none.
    pub failed: u64,
    /// Size of the heartbeats.
    #[serde(rename = "report_bytes")]
    pub heartbeat_bytes: u64,
    /// Size of the answers to heartbeats.
    pub answer_bytes: u64,
    /// Direct commands.
    pub direct: u64,
    /// Size of direct commands and of their answers.
    pub direct_bytes: u64,
}

/// Everything around the controllers.
pub struct Environment {
    /// State service.
    pub state: RefCell<State>,
    /// Cloud.
    pub cloud: RefCell<Cloud>,
    /// Machines with their workers.
    pub worker_pool: RefCell<WorkerPool>,
    /// Load balancer.
    pub balancer: RefCell<Balancer>,
    /// Source of all random choices.
    pub rng: RefCell<Rng>,
    /// Users' requests, once they are counted.
    pub request_counts: RefCell<Option<RequestCounts>>,
    /// Indexes of the controllers that the state service refuses.
    pub refused: RefCell<HashSet<usize>>,
    /// How much longer the state service's answers take.
    pub delay: Cell<Duration>,
    controllers: Vec<Controller>,
    /// Ordinary interval of a worker's heartbeats, in seconds.
    heartbeat_interval_s: f64,
    workers: RefCell<HashMap<Name, RunningWorker>>,
    /// Address that the workers listen on.
    pub host: Cell<IpAddr>,
    /// Messages between workers and controllers so far.
    pub traffic: Cell<Traffic>,
}

impl Environment {
    /// Creates an environment around these controllers; `heartbeat_interval_s` is the ordinary
    /// interval of a worker's heartbeats, in seconds.
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
            refused: RefCell::default(),
            delay: Cell::default(),
            controllers,
            heartbeat_interval_s,
            workers: RefCell::default(),
            host: Cell::new(Ipv4Addr::LOCALHOST.into()),
            traffic: Cell::default(),
        })
    }
}

/// Limits of an emulated service's HTTP server; they are wide, as faults are injected elsewhere.
fn server_limits() -> ServerLimits {
    ServerLimits {
        connections: MAX_CONNECTIONS,
        scarce: MAX_CONNECTIONS,
        idle: Duration::from_secs(600),
        arrive: Duration::from_secs(60),
        answer: Duration::from_secs(600),
    }
}
