//! The siblings as this controller knows them, and gRPC calls to them: tonic
//! over hyper's HTTP/2 on smol.

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
use crate::runtime::wake_up::timed;

/// What protox made of `proto/peer.proto`.
#[allow(missing_docs, clippy::all, clippy::too_many_lines)]
pub mod wire {
    tonic::include_proto!("coralnotch.peer");
}

use wire::peer_client::PeerClient;

pub(crate) type ConnectionTask = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Hands futures to the controller's executor.
#[derive(Clone)]
pub struct Spawner(pub(crate) smol::channel::Sender<ConnectionTask>);

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
{
    fn execute(&self, work: F) {
        let work: ConnectionTask = Box::pin(async move {
            work.await;
        });
        if self.0.try_send(work).is_err() {
            tracing::error!("no room for another task between controllers");
        }
    }
}

/// Tasks that may wait to be started.
const MAX_PENDING_TASKS: usize = 1024;

/// How a sibling stood when it last answered.
#[derive(Debug, Clone, Copy)]
pub struct PeerStatus {
    pub(crate) answered_at: Instant,
    pub(crate) served: bool,
    pub(crate) term: u64,
    /// When a worker last reported there.
    pub(crate) last_heartbeat: Option<Instant>,
}

/// How far a job has come.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct JobProgress {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are running.
    pub running: u32,
}

pub(crate) struct PeerLink {
    pub(crate) name: String,
    addr: SocketAddr,
    connection: Mutex<Option<SendRequest<Body>>>,
}

/// The siblings.
pub struct Peers {
    pub(crate) links: Vec<PeerLink>,
    pub(crate) statuses: Mutex<HashMap<String, PeerStatus>>,
    /// Progress of jobs as the leader last told.
    pub(crate) progress: Mutex<HashMap<Name, JobProgress>>,
    /// When each sibling last asked this controller for the progress of jobs.
    pub(crate) progress_requested_at: Mutex<HashMap<String, Instant>>,
    /// The progress that was told last, for those that ask soon after.
    pub(crate) progress_cache: Mutex<Option<(Instant, Vec<wire::Progress>)>>,
    /// What the leader had learned of machines, as it last told.
    pub(crate) machine_hints: Mutex<HashMap<Name, MachineHints>>,
    /// What each has shown that it has.
    pub(crate) roster: Mutex<MemberFeatures>,
    pub(crate) spawner: Spawner,
    pub(crate) connection_tasks: smol::channel::Receiver<ConnectionTask>,
}

/// One HTTP/2 connection as tonic's transport.
pub(crate) struct Channel(SendRequest<Body>);

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, r: http::Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(r))
    }
}

pub(crate) fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Peers {
    /// The siblings of the settings.
    pub fn new(siblings: &[crate::config::Peer]) -> Peers {
        let (s, work) = smol::channel::bounded(MAX_PENDING_TASKS);
        let link =
            |s: &crate::config::Peer| PeerLink { name: s.name.clone(), addr: s.addr, connection: Mutex::default() };
        Peers {
            links: siblings.iter().map(link).collect(),
            statuses: Mutex::default(),
            progress: Mutex::default(),
            progress_requested_at: Mutex::default(),
            progress_cache: Mutex::default(),
            machine_hints: Mutex::default(),
            roster: Mutex::default(),
            spawner: Spawner(s),
            connection_tasks: work,
        }
    }

    async fn connect(&self, l: &PeerLink) -> Option<PeerClient<Channel>> {
        let open = lock(&l.connection).clone().filter(|s| !s.is_closed());
        let send = match open {
            Some(s) => s,
            None => {
                let stream = TcpStream::connect(l.addr).await.ok()?;
                let _ = stream.set_nodelay(true);
                let (send, conn) = hyper::client::conn::http2::Builder::new(self.spawner.clone())
                    .timer(SmolTimer::new())
                    .handshake(FuturesIo::new(stream))
                    .await
                    .ok()?;
                hyper::rt::Executor::execute(&self.spawner, async move {
                    let _ = conn.await;
                });
                *lock(&l.connection) = Some(send.clone());
                send
            }
        };
        let origin =
            http::Uri::builder().scheme("http").authority(l.addr.to_string()).path_and_query("/").build().ok()?;
        Some(PeerClient::with_origin(Channel(send), origin))
    }

    /// One call; a link that fails is opened anew the next time.
    pub(crate) async fn call<T, F>(
        &self,
        l: &PeerLink,
        limit: Duration,
        work: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let answer = timed(limit, async {
            let client = self.connect(l).await?;
            work(client).await.ok()
        })
        .await
        .flatten();
        if answer.is_none() {
            *lock(&l.connection) = None;
        }
        answer.map(tonic::Response::into_inner)
    }

    /// Done and running tasks of a job, as the leader last told.
    pub fn progress(&self, id: &str) -> JobProgress {
        lock(&self.progress).get(id).copied().unwrap_or_default()
    }

    /// What the leader had learned of machines, as it last told.
    pub fn machine_hints(&self) -> HashMap<Name, MachineHints> {
        lock(&self.machine_hints).clone()
    }

    /// Whether siblings answered lately, all of them refused by the state
    /// service and none of a later term: an outage, not our own trouble.
    pub fn confirm_outage(&self, term: u64, fresh: Duration, now: Instant) -> bool {
        let seen = lock(&self.statuses);
        let mut lately = seen.values().filter(|s| now.duration_since(s.answered_at) < fresh).peekable();
        lately.peek().is_some() && lately.all(|s| !s.served && s.term <= term)
    }

    /// This controller stood still: what it knew of the siblings is old.
    pub fn reset_after_stall(&self) {
        lock(&self.statuses).clear();
    }

    /// When a worker last reported to any sibling, as far as they told.
    pub fn last_worker_contact(&self) -> Option<Instant> {
        lock(&self.statuses).values().filter_map(|s| s.last_heartbeat).max()
    }

    /// Whether there are siblings, and some answered lately.
    pub fn any_reachable(&self, fresh: Duration, now: Instant) -> bool {
        lock(&self.statuses).values().any(|s| now.duration_since(s.answered_at) < fresh)
    }
}
