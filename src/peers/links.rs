//! Connections to the peers and gRPC calls over them, with tonic over hyper's HTTP/2 on smol, and
//! what this controller knows about its peers.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;

use coralnotch_core::feature_gate::MemberFeatures;

use crate::cluster::MachineHints;
use crate::model::Name;
use crate::runtime::wake_up::with_timeout;

/// Messages, client and server that are generated from `proto/peer.proto`.
#[allow(missing_docs, clippy::all, clippy::too_many_lines)]
pub mod wire {
    tonic::include_proto!("coralnotch.peer");
}

use wire::peer_client::PeerClient;

/// A future that drives a connection, or a call on one.
pub(crate) type ConnectionTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The executor for hyper, which queues futures for the controller's own executor.
#[derive(Clone)]
pub struct Spawner(pub(crate) smol::channel::Sender<ConnectionTask>);

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
{
    fn execute(&self, future: F) {
        let task: ConnectionTask = Box::pin(async move {
            future.await;
        });
        if self.0.try_send(task).is_err() {
            tracing::error!("dropped a task of a peer connection: the queue of tasks to spawn is full");
        }
    }
}

/// Maximum number of tasks that wait to be spawned; further ones are dropped.
const MAX_PENDING_TASKS: usize = 1024;

/// The status of a peer, from its last reply.
#[derive(Debug, Clone, Copy)]
pub struct PeerStatus {
    /// When the reply arrived.
    pub(crate) answered_at: Instant,
    /// Whether the state service served the peer when it replied.
    pub(crate) served: bool,
    /// Term of the leader that the peer knew; 0 if it knew none.
    pub(crate) term: u64,
    /// When a worker's heartbeat last reached the peer.
    pub(crate) last_heartbeat: Option<Instant>,
}

/// The progress of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct JobProgress {
    /// Number of the job's tasks that are done.
    pub done: u32,
    /// Number of the job's tasks that are running.
    pub running: u32,
}

/// A peer and the connection to it.
pub(crate) struct PeerLink {
    pub(crate) name: String,
    address: SocketAddr,
    /// The open connection; `None` before the first call and after a failed one.
    connection: Mutex<Option<SendRequest<Body>>>,
}

/// The progress of all jobs and when it was counted; `None` before the first request of a peer.
pub(crate) type ProgressCache = Option<(Instant, Vec<wire::Progress>)>;

/// The other controllers of the deployment.
pub struct Peers {
    pub(crate) links: Vec<PeerLink>,
    /// The last status of each peer, by the peer's name.
    pub(crate) statuses: Mutex<HashMap<String, PeerStatus>>,
    /// The progress of jobs, from the leader's last reply.
    pub(crate) progress: Mutex<HashMap<Name, JobProgress>>,
    /// When each peer last requested the progress of jobs from this controller.
    pub(crate) progress_requested_at: Mutex<HashMap<String, Instant>>,
    /// The progress that this controller last counted, for requests that follow shortly after.
    pub(crate) progress_cache: Mutex<ProgressCache>,
    /// Hints about machines (speed, images, last heartbeat), from the leader's last reply.
    pub(crate) machine_hints: Mutex<HashMap<Name, MachineHints>>,
    /// The features that each peer has advertised.
    pub(crate) member_features: Mutex<MemberFeatures>,
    pub(crate) spawner: Spawner,
    pub(crate) connection_tasks: smol::channel::Receiver<ConnectionTask>,
}

/// An HTTP/2 connection that serves as tonic's transport.
pub(crate) struct Channel(SendRequest<Body>);

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

/// Locks a mutex, even if a panic has poisoned it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Peers {
    /// Creates the peers of the settings, without opening connections.
    pub fn new(peers: &[crate::config::Peer]) -> Peers {
        let (task_sender, connection_tasks) = smol::channel::bounded(MAX_PENDING_TASKS);
        let link = |peer: &crate::config::Peer| PeerLink {
            name: peer.name.clone(),
            address: peer.addr,
            connection: Mutex::default(),
        };
        Peers {
            links: peers.iter().map(link).collect(),
            statuses: Mutex::default(),
            progress: Mutex::default(),
            progress_requested_at: Mutex::default(),
            progress_cache: Mutex::default(),
            machine_hints: Mutex::default(),
            member_features: Mutex::default(),
            spawner: Spawner(task_sender),
            connection_tasks,
        }
    }

    /// Returns a client on the link's open connection, or on a new one if there is none; `None` if
    /// the peer cannot be reached.
    async fn connect(&self, link: &PeerLink) -> Option<PeerClient<Channel>> {
        let open = lock(&link.connection).clone().filter(|c| !c.is_closed());
        let connection = match open {
            Some(connection) => connection,
            None => self.open_connection(link).await?,
        };
        let origin =
            http::Uri::builder().scheme("http").authority(link.address.to_string()).path_and_query("/").build().ok()?;
        Some(PeerClient::with_origin(Channel(connection), origin))
    }

    /// Opens a connection to a peer, and keeps it for later calls.
    async fn open_connection(&self, link: &PeerLink) -> Option<SendRequest<Body>> {
        let stream = TcpStream::connect(link.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (connection, driver) = hyper::client::conn::http2::Builder::new(self.spawner.clone())
            .timer(SmolTimer::new())
            .handshake(FuturesIo::new(stream))
            .await
            .ok()?;
        hyper::rt::Executor::execute(&self.spawner, async move {
            let _ = driver.await;
        });
        *lock(&link.connection) = Some(connection.clone());
        Some(connection)
    }

    /// Makes one call that may take at most `limit`.  Returns `None` if the call fails or times out;
    /// the next call then opens a new connection.
    pub(crate) async fn call<T, F>(
        &self,
        link: &PeerLink,
        limit: Duration,
        request: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let answer = with_timeout(limit, async {
            let client = self.connect(link).await?;
            request(client).await.ok()
        })
        .await
        .flatten();
        if answer.is_none() {
            *lock(&link.connection) = None;
        }
        answer.map(tonic::Response::into_inner)
    }

    /// Returns the progress of a job from the leader's last reply; zero if the reply does not have
    /// the job.
    pub fn progress(&self, id: &str) -> JobProgress {
        lock(&self.progress).get(id).copied().unwrap_or_default()
    }

    /// Returns the hints about machines from the leader's last reply.
    pub fn machine_hints(&self) -> HashMap<Name, MachineHints> {
        lock(&self.machine_hints).clone()
    }

    /// Reports whether the peers confirm an outage of the state service, rather than a failure of
    /// this controller alone: at least one peer has replied within `max_age`, and of those that have,
    /// the state service serves none and none knows a later term than `term`.
    pub fn confirm_outage(&self, term: u64, max_age: Duration, now: Instant) -> bool {
        let statuses = lock(&self.statuses);
        let mut recent = statuses.values().filter(|s| now.duration_since(s.answered_at) < max_age).peekable();
        recent.peek().is_some() && recent.all(|s| !s.served && s.term <= term)
    }

    /// Forgets the statuses of the peers, which are outdated after a stall of this controller.
    pub fn reset_after_stall(&self) {
        lock(&self.statuses).clear();
    }

    /// Returns when a worker's heartbeat last reached any peer, according to the peers' last replies.
    pub fn last_worker_contact(&self) -> Option<Instant> {
        lock(&self.statuses).values().filter_map(|s| s.last_heartbeat).max()
    }

    /// Reports whether any peer has replied within `max_age`.
    pub fn any_reachable(&self, max_age: Duration, now: Instant) -> bool {
        lock(&self.statuses).values().any(|s| now.duration_since(s.answered_at) < max_age)
    }
}
