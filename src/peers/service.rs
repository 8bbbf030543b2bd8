//! Between controllers: gRPC with tonic, over hyper's HTTP/2 on smol.
//!
//! A controller that the state service refuses relays its users' requests to
//! a sibling that is served. A leader in that state asks its siblings whether
//! they are refused too: then it is an outage, nobody can take its place, and
//! it may go on renewing the workers' leases (without commands).

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;

use coralnotch_core::cancellation::{BatchCursor, Cancellation, CancellationBatch, PeerNotice};

use crate::cluster::{Machine, MachineHints};
use crate::controller::Controller;
use crate::http::{Request, Response};
use crate::leadership::feature_gate;
use crate::model::JobOutcome;
use crate::peers::links::wire::peer_server::{Peer, PeerServer};
use crate::peers::links::{from_wire, lock, to_wire, wire, JobProgress, PeerLink, PeerStatus, Work};

/// Controllers that keep what the leader learned of machines.
const MACHINES_KEPT_BY: usize = 3;
/// Requests of one sibling at once.
const MOST_STREAMS: u32 = 64;

impl Controller {
    /// Asks one sibling how it stands.
    async fn poll_peer(&self, l: &PeerLink, progress: bool) {
        let limit = self.policy.peer_limit;
        let (since, cursor) = {
            let i = self.lock();
            (i.synced.then_some(i.revision), i.cancellation_view.next_request(&l.name))
        };
        let ask = wire::StatusRequest {
            without_machines: !self.keeps_machines(),
            progress,
            from: self.config.name.clone(),
            knows: feature_gate::supported_features(),
            withdrawn_since: since,
            withdrawn_life: cursor.incarnation,
            withdrawn_had: cursor.next,
        };
        let sent = Instant::now();
        let answer = self.peers.call(l, limit, |mut c| async move { c.status(ask).await }).await;
        let Some(s) = answer else { return };
        let now = Instant::now();
        if let Some(account) = s.account {
            self.accounts(&l.name, account, sent, now);
        }
        self.record_peer_features(&l.name, s.knows, s.version, now);
        let heard = s.heard_ms.and_then(|ms| now.checked_sub(Duration::from_millis(ms)));
        let seen = PeerStatus { at: now, served: s.served, term: s.term, heard };
        lock(&self.peers.seen).insert(l.name.clone(), seen);
        if progress {
            if s.leads {
                self.lock().forwarding_requested = s.spread;
            }
            if !s.machines.is_empty() {
                *lock(&self.peers.learned) = from_wire(s.machines, &s.images, now);
            }
            *lock(&self.peers.progress) = s
                .jobs
                .into_iter()
                .map(|j| (j.id.as_str().into(), JobProgress { done: j.done, running: j.running }))
                .collect();
        }
    }

    /// Whether this controller is one of the few that keep what the leader learned of machines
    /// for the next one: of many controllers the first by name.
    fn keeps_machines(&self) -> bool {
        self.config.peers.iter().filter(|s| s.name < self.config.name).count() < MACHINES_KEPT_BY
    }

    /// A sibling has accounted for the withdrawals that it knows.
    fn accounts(&self, name: &str, a: wire::Account, sent: Instant, now: Instant) {
        let known = a.known.into_iter().map(|w| Cancellation { revision: w.stamp, id: w.id.into() });
        let a =
            CancellationBatch { incarnation: a.life, cancellations: known.collect(), next: a.next, complete: a.whole };
        for w in &a.cancellations {
            self.apply_stored_outcome(&w.id, JobOutcome::Cancelled, w.revision, now);
        }
        self.lock().cancellation_view.peer_answered(name, sent, &a);
    }

    /// The account that a sibling asks for, if there is no gap in it.
    fn account(&self, r: &wire::StatusRequest) -> Option<wire::Account> {
        let i = self.lock();
        let since = r.withdrawn_since.filter(|_| i.synced)?;
        let cursor = BatchCursor { incarnation: r.withdrawn_life, next: r.withdrawn_had };
        let a = i.cancellations.batch_since(since, cursor)?;
        let known = a.cancellations.into_iter().map(|w| wire::Withdrawal { stamp: w.revision, id: w.id.to_string() });
        Some(wire::Account { life: a.incarnation, known: known.collect(), next: a.next, whole: a.complete })
    }

    /// Tells the siblings of withdrawals whose users wait, each as soon as it can be
    /// reached, and asks the leader among them what is left of these.
    pub async fn run_cancellation_notices(&self) {
        let each = self.peers.links.iter().enumerate().map(|(n, l)| self.tell_one(n, l));
        futures_util::future::join_all(each).await;
    }

    async fn tell_one(&self, n: usize, l: &PeerLink) {
        loop {
            let more = self.cancellation_to_notify.listen();
            let PeerNotice { cancellations: known, has_unacknowledged } = {
                let mut guard = self.lock();
                let i = &mut *guard;
                i.cancellation_notices.for_peer(n, &i.cancellations, &self.policy, Instant::now())
            };
            if known.is_empty() {
                more.await;
                continue;
            }
            if !has_unacknowledged {
                // it knows; what is left of them, the leader may say later
                smol::Timer::after(self.policy.renew / 2).await;
            }
            let told = known.iter().map(|w| wire::Withdrawal { stamp: w.revision, id: w.id.to_string() });
            let ask = wire::TellRequest { known: told.collect() };
            let answer = self.peers.call(l, self.policy.peer_limit, |mut c| async move { c.tell(ask).await }).await;
            let Some(answer) = answer else {
                smol::Timer::after(self.policy.renew / 2).await;
                continue;
            };
            {
                let mut i = self.lock();
                i.cancellation_notices.mark_acknowledged(n, &known);
                answer.clear.iter().for_each(|id| i.cancellation_notices.settle(&id.as_str().into()));
            }
            self.cancellation_known.notify(usize::MAX);
        }
    }

    /// Follows the leader's progress, and in trouble all siblings' state.
    pub async fn run_peer_polling(&self) {
        loop {
            let trouble = self.store.is_failing() || {
                // served, and yet the watch shows nothing: siblings know more
                let i = self.lock();
                i.synced && self.cancellations_complete_as_of(&i).is_some_and(|t| t.elapsed() > self.policy.ttl * 3)
            };
            if self.store.is_unresponsive() {
                // the end of a cut has to be noticed soon
                let _ = self.store.get(crate::state_store::client::key::LEADER).await;
            }
            let (leader, gated) = {
                let i = self.lock();
                (i.leader.as_ref().map(|l| l.record.name.clone()), !i.all_features_enabled())
            };
            // until all is on everybody is asked, and so told what is here
            let asked = self.peers.links.iter().filter(|l| trouble || gated || leader.as_deref() == Some(&l.name));
            futures_util::future::join_all(asked.map(|l| self.poll_peer(l, leader.as_deref() == Some(&l.name)))).await;
            let pause = if trouble { self.policy.peer_limit / 2 } else { self.policy.peer_limit * 3 };
            let pause = if gated { pause.min(self.policy.renew / 2) } else { pause };
            smol::Timer::after(pause).await;
        }
    }

    /// Asks all siblings how they stand, or also what a previous leader had learned
    /// of machines.
    pub async fn poll_all_peers(&self, learned: bool) {
        futures_util::future::join_all(self.peers.links.iter().map(|l| self.poll_peer(l, learned))).await;
    }

    /// Has a sibling answer a user's request.
    pub async fn relay_to_peer(&self, r: &Request) -> Option<Response> {
        let now = Instant::now();
        let fresh = self.policy.peer_limit * 3;
        // those that said they are served first, those that are not never
        let mut order: Vec<(bool, &PeerLink)> = {
            let seen = lock(&self.peers.seen);
            let state = |l: &PeerLink| seen.get(&l.name).filter(|s| now.duration_since(s.at) < fresh).map(|s| s.served);
            self.peers.links.iter().filter(|l| state(l) != Some(false)).map(|l| (state(l).is_none(), l)).collect()
        };
        order.sort_by_key(|o| o.0);
        for (_, l) in order {
            let m = wire::RelayRequest { method: r.method.clone(), path: r.path.clone(), body: r.body.clone() };
            let answer = self.peers.call(l, self.policy.peer_limit, |mut c| async move { c.relay(m).await }).await;
            if let Some(a) = answer.filter(|a| a.status != 503 && (200..600).contains(&a.status)) {
                crate::operators::telemetry::count(&self.telemetry.counters.relayed);
                let retry_after = (a.retry_after_s > 0).then_some(a.retry_after_s);
                return Some(Response { status: a.status as u16, body: a.body, retry_after, seldom: false });
            }
        }
        None
    }

    /// Runs what the links need, for as long as the controller runs.
    pub async fn run_peer_connections(self: Arc<Self>, spawn: impl Fn(Work)) {
        while let Ok(work) = self.peers.work.recv().await {
            spawn(work);
        }
    }

    /// Serves the siblings.
    pub async fn serve_peers(self: Arc<Self>, listener: TcpListener) {
        let service = PeerServer::new(PeerService(self.clone()));
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
struct PeerService(Arc<Controller>);

#[tonic::async_trait]
impl Peer for PeerService {
    async fn relay(
        &self,
        r: tonic::Request<wire::RelayRequest>,
    ) -> Result<tonic::Response<wire::RelayResponse>, tonic::Status> {
        let r = r.into_inner();
        // answered here or not at all: a relayed request is not relayed again
        let a = self
            .0
            .handle_user_request(&Request { method: r.method, path: r.path, query: String::new(), body: r.body })
            .await;
        Ok(tonic::Response::new(wire::RelayResponse {
            status: a.status.into(),
            body: a.body,
            retry_after_s: a.retry_after.unwrap_or(0),
        }))
    }

    async fn report(
        &self,
        r: tonic::Request<wire::ReportBatch>,
    ) -> Result<tonic::Response<wire::ReportAnswers>, tonic::Status> {
        Ok(tonic::Response::new(self.0.accept_batch(r.into_inner()).await))
    }

    async fn tell(
        &self,
        r: tonic::Request<wire::TellRequest>,
    ) -> Result<tonic::Response<wire::TellResponse>, tonic::Status> {
        let (known, now) = (r.into_inner().known, Instant::now());
        for w in &known {
            self.0.apply_stored_outcome(&w.id, JobOutcome::Cancelled, w.stamp, now);
        }
        let i = self.0.lock();
        let clear = known.into_iter().map(|w| w.id).filter(|id| i.has_no_task_of(&id.as_str().into(), now)).collect();
        Ok(tonic::Response::new(wire::TellResponse { clear }))
    }

    async fn status(
        &self,
        r: tonic::Request<wire::StatusRequest>,
    ) -> Result<tonic::Response<wire::StatusResponse>, tonic::Status> {
        let r = r.into_inner();
        let (progress, now) = (r.progress, Instant::now());
        let account = self.0.account(&r);
        if !r.from.is_empty() {
            self.0.record_peer_features(&r.from, r.knows.clone(), String::new(), now);
        }
        if progress && !r.from.is_empty() {
            lock(&self.0.peers.asked).insert(r.from.clone(), now);
        }
        let jobs = if progress { self.0.recent_progress(now) } else { Vec::new() };
        let (machines, images) = match progress && !r.without_machines {
            false => Default::default(),
            true => match self.0.lock().cluster.as_ref() {
                Some(c) => {
                    let up = c.machines.values().filter(|m| m.removed_at.is_none());
                    let learned = |m: &Machine| {
                        let heard = m.last_heartbeat.or_else(|| c.machine_hints.get(&m.name)?.last_heartbeat);
                        MachineHints {
                            speed: m.speed,
                            speed_samples: m.speed_samples,
                            images: m.images.clone(),
                            last_heartbeat: heard,
                        }
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
        let served = !self.0.store.is_failing();
        let (term, heard, spread) = {
            let i = self.0.lock();
            (i.leader.as_ref().map_or(0, |l| l.record.term), i.last_heartbeat, i.forwarding_requested)
        };
        let heard_ms = heard.map(|t| t.elapsed().as_millis() as u64);
        let (knows, version) = (feature_gate::supported_features(), feature_gate::VERSION.to_owned());
        let spread = spread && leads;
        let s = wire::StatusResponse {
            served,
            term,
            leads,
            jobs,
            machines,
            images,
            heard_ms,
            knows,
            version,
            account,
            spread,
        };
        Ok(tonic::Response::new(s))
    }
}
