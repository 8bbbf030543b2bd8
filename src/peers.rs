//! Between controllers: gRPC with tonic, over hyper's HTTP/2 on smol.
//!
//! A controller that the state service refuses relays its users' requests to
//! a sibling that is served. A leader in that state asks its siblings whether
//! they are refused too: then it is an outage, nobody can take its place, and
//! it may go on renewing the workers' leases (without commands).

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;

use crate::cluster::{Learned, Machine};
use crate::http::{Request, Response};
use crate::model::Name;
use crate::node::{timed, Node};

/// What protox made of `proto/peer.proto`.
#[allow(missing_docs, clippy::all)]
pub mod wire {
    tonic::include_proto!("coralnotch.peer");
}

use wire::peer_client::PeerClient;
use wire::peer_server::{Peer, PeerServer};

type Work = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Hands futures to the controller's executor.
#[derive(Clone)]
pub struct Spawner(smol::channel::Sender<Work>);

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
{
    fn execute(&self, work: F) {
        let work: Work = Box::pin(async move {
            work.await;
        });
        if self.0.try_send(work).is_err() {
            tracing::error!("no room for another task between controllers");
        }
    }
}

/// Tasks that may wait to be started.
const MOST_WORK: usize = 1024;
/// Requests of one sibling at once.
const MOST_STREAMS: u32 = 64;

/// How a sibling stood when it last answered.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    at: Instant,
    served: bool,
    term: u64,
    /// When a worker last reported there.
    heard: Option<Instant>,
}

struct Link {
    name: String,
    addr: SocketAddr,
    open: Mutex<Option<SendRequest<Body>>>,
}

/// The siblings.
pub struct Peers {
    links: Vec<Link>,
    seen: Mutex<HashMap<String, Seen>>,
    /// Progress of jobs as the leader last told.
    progress: Mutex<HashMap<crate::model::Name, (u32, u32)>>,
    /// What the leader had learned of machines, as it last told.
    learned: Mutex<HashMap<Name, Learned>>,
    spawn: Spawner,
    work: smol::channel::Receiver<Work>,
}

/// What was learned of machines, for the wire: each image once.
fn to_wire<'a>(all: impl Iterator<Item = (&'a Name, Learned)>, now: Instant) -> (Vec<wire::Learned>, Vec<wire::Image>) {
    let (mut machines, mut images) = (Vec::new(), Vec::new());
    let mut known: HashMap<Name, u32> = HashMap::new();
    for (machine, l) in all.filter(|(_, l)| !l.images.is_empty() || l.samples > 0 || l.heard.is_some()) {
        let held = l.images.into_iter().map(|(name, gb)| {
            *known.entry(name).or_insert_with_key(|name| {
                images.push(wire::Image { name: name.to_string(), gb });
                images.len() as u32 - 1
            })
        });
        let images = held.collect();
        let heard_ms = l.heard.map(|t| now.saturating_duration_since(t).as_millis() as u64);
        machines.push(wire::Learned {
            machine: machine.to_string(),
            speed: l.speed,
            samples: l.samples,
            images,
            heard_ms,
        });
    }
    (machines, images)
}

fn from_wire(machines: Vec<wire::Learned>, images: &[wire::Image], now: Instant) -> HashMap<Name, Learned> {
    let names: Vec<(Name, f64)> = images.iter().map(|i| (i.name.as_str().into(), i.gb)).collect();
    // strange figures are no hint
    let sane = |l: &wire::Learned| l.speed.is_finite() && (0.01..=100.0).contains(&l.speed);
    machines
        .into_iter()
        .filter(sane)
        .map(|l| {
            let images = l.images.iter().filter_map(|i| names.get(*i as usize).cloned()).collect();
            let heard = l.heard_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
            (l.machine.as_str().into(), Learned { speed: l.speed, samples: l.samples, images, heard })
        })
        .collect()
}

/// One HTTP/2 connection as tonic's transport.
struct Channel(SendRequest<Body>);

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

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Peers {
    /// The siblings of the settings.
    pub fn new(siblings: &[crate::config::Sibling]) -> Peers {
        let (s, work) = smol::channel::bounded(MOST_WORK);
        let link = |s: &crate::config::Sibling| Link { name: s.name.clone(), addr: s.addr, open: Mutex::default() };
        Peers {
            links: siblings.iter().map(link).collect(),
            seen: Mutex::default(),
            progress: Mutex::default(),
            learned: Mutex::default(),
            spawn: Spawner(s),
            work,
        }
    }

    async fn client(&self, l: &Link) -> Option<PeerClient<Channel>> {
        let open = lock(&l.open).clone().filter(|s| !s.is_closed());
        let send = match open {
            Some(s) => s,
            None => {
                let stream = TcpStream::connect(l.addr).await.ok()?;
                let _ = stream.set_nodelay(true);
                let (send, conn) = hyper::client::conn::http2::Builder::new(self.spawn.clone())
                    .timer(SmolTimer::new())
                    .handshake(FuturesIo::new(stream))
                    .await
                    .ok()?;
                hyper::rt::Executor::execute(&self.spawn, async move {
                    let _ = conn.await;
                });
                *lock(&l.open) = Some(send.clone());
                send
            }
        };
        let origin =
            http::Uri::builder().scheme("http").authority(l.addr.to_string()).path_and_query("/").build().ok()?;
        Some(PeerClient::with_origin(Channel(send), origin))
    }

    /// One call; a link that fails is opened anew the next time.
    async fn call<T, F>(&self, l: &Link, limit: Duration, work: impl FnOnce(PeerClient<Channel>) -> F) -> Option<T>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let answer = timed(limit, async {
            let client = self.client(l).await?;
            work(client).await.ok()
        })
        .await
        .flatten();
        if answer.is_none() {
            *lock(&l.open) = None;
        }
        answer.map(tonic::Response::into_inner)
    }

    /// Done and running tasks of a job, as the leader last told.
    pub fn progress(&self, id: &str) -> (u32, u32) {
        lock(&self.progress).get(id).copied().unwrap_or_default()
    }

    /// What the leader had learned of machines, as it last told.
    pub fn learned(&self) -> HashMap<Name, Learned> {
        lock(&self.learned).clone()
    }

    /// Whether siblings answered lately, all of them refused by the state
    /// service and none of a later term: an outage, not our own trouble.
    pub fn outage(&self, term: u64, fresh: Duration, now: Instant) -> bool {
        let seen = lock(&self.seen);
        let mut lately = seen.values().filter(|s| now.duration_since(s.at) < fresh).peekable();
        lately.peek().is_some() && lately.all(|s| !s.served && s.term <= term)
    }

    /// This controller stood still: what it knew of the siblings is old.
    pub fn woke(&self) {
        lock(&self.seen).clear();
    }

    /// When a worker last reported to any sibling, as far as they told.
    pub fn heard(&self) -> Option<Instant> {
        lock(&self.seen).values().filter_map(|s| s.heard).max()
    }

    /// Whether there are siblings, and some answered lately.
    pub fn reachable(&self, fresh: Duration, now: Instant) -> bool {
        lock(&self.seen).values().any(|s| now.duration_since(s.at) < fresh)
    }
}

impl Node {
    /// Asks one sibling how it stands.
    async fn ask(&self, l: &Link, progress: bool) {
        let limit = self.policy.peer_limit;
        let answer =
            self.peers.call(l, limit, |mut c| async move { c.status(wire::StatusRequest { progress }).await }).await;
        let Some(s) = answer else { return };
        let now = Instant::now();
        let heard = s.heard_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        let seen = Seen { at: now, served: s.served, term: s.term, heard };
        lock(&self.peers.seen).insert(l.name.clone(), seen);
        if progress {
            if !s.machines.is_empty() {
                *lock(&self.peers.learned) = from_wire(s.machines, &s.images, now);
            }
            *lock(&self.peers.progress) =
                s.jobs.into_iter().map(|j| (j.id.as_str().into(), (j.done, j.running))).collect();
        }
    }

    /// Follows the leader's progress, and in trouble all siblings' state.
    pub async fn follow(&self) {
        loop {
            let trouble = self.store.failing();
            if self.store.silent() {
                // the end of a cut has to be noticed soon
                let _ = self.store.get(crate::store::key::LEADER).await;
            }
            let leader = self.lock().leader.as_ref().map(|l| l.record.name.clone());
            let asked = self.peers.links.iter().filter(|l| trouble || leader.as_deref() == Some(&l.name));
            futures_util::future::join_all(asked.map(|l| self.ask(l, leader.as_deref() == Some(&l.name)))).await;
            let pause = if trouble { self.policy.peer_limit / 2 } else { self.policy.peer_limit * 3 };
            smol::Timer::after(pause).await;
        }
    }

    /// Asks all siblings how they stand, or also what a forerunner had learned
    /// of machines.
    pub async fn ask_all(&self, learned: bool) {
        futures_util::future::join_all(self.peers.links.iter().map(|l| self.ask(l, learned))).await;
    }

    /// Has a sibling answer a user's request.
    pub async fn relay(&self, r: &Request) -> Option<Response> {
        let now = Instant::now();
        let fresh = self.policy.peer_limit * 3;
        // those that said they are served first, those that are not never
        let mut order: Vec<(bool, &Link)> = {
            let seen = lock(&self.peers.seen);
            let state = |l: &Link| seen.get(&l.name).filter(|s| now.duration_since(s.at) < fresh).map(|s| s.served);
            self.peers.links.iter().filter(|l| state(l) != Some(false)).map(|l| (state(l).is_none(), l)).collect()
        };
        order.sort_by_key(|o| o.0);
        for (_, l) in order {
            let m = wire::RelayRequest { method: r.method.clone(), path: r.path.clone(), body: r.body.clone() };
            let answer = self.peers.call(l, self.policy.peer_limit, |mut c| async move { c.relay(m).await }).await;
            if let Some(a) = answer.filter(|a| a.status != 503 && (200..600).contains(&a.status)) {
                crate::telemetry::count(&self.telemetry.counters.relayed);
                let retry_after = (a.retry_after_s > 0).then_some(a.retry_after_s);
                return Some(Response { status: a.status as u16, body: a.body, retry_after, seldom: false });
            }
        }
        None
    }

    /// Runs what the links need, for as long as the controller runs.
    pub async fn peer_work(self: Arc<Self>, spawn: impl Fn(Work)) {
        while let Ok(work) = self.peers.work.recv().await {
            spawn(work);
        }
    }

    /// Serves the siblings.
    pub async fn serve_peers(self: Arc<Self>, listener: TcpListener) {
        let service = PeerServer::new(Desk(self.clone()));
        loop {
            let stream = match listener.accept().await {
                Ok((s, _)) => s,
                Err(e) => {
                    tracing::error!("accept from controllers: {e}");
                    smol::Timer::after(Duration::from_millis(100)).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            let handler = hyper::service::service_fn(move |r: http::Request<Incoming>| {
                let mut service = service.clone();
                async move { tower_service::Service::call(&mut service, r.map(Body::new)).await }
            });
            let conn = hyper::server::conn::http2::Builder::new(self.peers.spawn.clone())
                .timer(SmolTimer::new())
                .max_concurrent_streams(MOST_STREAMS)
                .serve_connection(FuturesIo::new(stream), handler);
            hyper::rt::Executor::execute(&self.peers.spawn, async move {
                let _ = conn.await;
            });
        }
    }
}

/// The serving side.
struct Desk(Arc<Node>);

#[tonic::async_trait]
impl Peer for Desk {
    async fn relay(
        &self,
        r: tonic::Request<wire::RelayRequest>,
    ) -> Result<tonic::Response<wire::RelayResponse>, tonic::Status> {
        let r = r.into_inner();
        // answered here or not at all: a relayed request is not relayed again
        let a = self.0.user(&Request { method: r.method, path: r.path, query: String::new(), body: r.body }).await;
        Ok(tonic::Response::new(wire::RelayResponse {
            status: a.status.into(),
            body: a.body,
            retry_after_s: a.retry_after.unwrap_or(0),
        }))
    }

    async fn status(
        &self,
        r: tonic::Request<wire::StatusRequest>,
    ) -> Result<tonic::Response<wire::StatusResponse>, tonic::Status> {
        let progress = r.into_inner().progress;
        let now = Instant::now();
        let jobs = if progress { self.0.progress() } else { Vec::new() };
        let (machines, images) = match progress {
            false => Default::default(),
            true => match self.0.lock().cluster.as_ref() {
                Some(c) => {
                    let up = c.machines.values().filter(|m| m.gone.is_none());
                    let learned = |m: &Machine| {
                        let heard = m.heard.or_else(|| c.learned.get(&m.name)?.heard);
                        Learned { speed: m.speed, samples: m.samples, images: m.images.clone(), heard }
                    };
                    to_wire(up.map(|m| (&m.name, learned(m))), now)
                }
                None => {
                    let known = lock(&self.0.peers.learned);
                    to_wire(known.iter().map(|(n, l)| (n, l.clone())), now)
                }
            },
        };
        let leads = self.0.may_act(Instant::now());
        let served = !self.0.store.failing();
        let (term, heard) = {
            let i = self.0.lock();
            (i.leader.as_ref().map_or(0, |l| l.record.term), i.heard)
        };
        let heard_ms = heard.map(|t| t.elapsed().as_millis() as u64);
        Ok(tonic::Response::new(wire::StatusResponse { served, term, leads, jobs, machines, images, heard_ms }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// What one leader learned reaches the next as it was.
        #[test]
        fn learned_survives_the_wire(
            all in prop::collection::btree_map(
                "i-[0-9]{4}",
                (0.1f64..10.0, 1u32..9, prop::collection::vec(0usize..5, 0..4), prop::option::of(0u64..9000)),
                0..20,
            ),
        ) {
            let now = Instant::now() + Duration::from_secs(10);
            let image = |i: &usize| (Name::from(format!("img-{i}")), *i as f64 + 1.0);
            let all: HashMap<Name, Learned> = all
                .into_iter()
                .map(|(n, (speed, samples, held, heard_ms))| {
                    let heard = heard_ms.map(|ms| now - Duration::from_millis(ms));
                    (n.as_str().into(), Learned { speed, samples, images: held.iter().map(image).collect(), heard })
                })
                .collect();
            let (machines, images) = to_wire(all.iter().map(|(n, l)| (n, l.clone())), now);
            prop_assert!(images.len() <= 5);
            prop_assert_eq!(from_wire(machines, &images, now), all);
        }
    }
}
