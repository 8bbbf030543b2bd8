//! Serves the peers: gRPC with tonic, over hyper's HTTP/2 on smol.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;

use crate::cluster::{Machine, MachineHints};
use crate::controller::Controller;
use crate::http::Request;
use crate::leadership::feature_gate;
use crate::model::JobOutcome;
use crate::peers::links::wire::peer_server::{Peer, PeerServer};
use crate::peers::links::{lock, wire, ConnectionTask};
use crate::peers::machine_hints::encode_machine_hints;

/// Requests of one sibling at once.
const MAX_CONCURRENT_STREAMS: u32 = 64;

impl Controller {
    /// Runs what the links need, for as long as the controller runs.
    pub async fn run_peer_connections(self: Arc<Self>, spawn: impl Fn(ConnectionTask)) {
        while let Ok(work) = self.peers.connection_tasks.recv().await {
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
            let conn = hyper::server::conn::http2::Builder::new(self.peers.spawner.clone())
                .timer(SmolTimer::new())
                .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
                .serve_connection(FuturesIo::new(stream), handler);
            hyper::rt::Executor::execute(&self.peers.spawner, async move {
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
        let account = self.0.cancellation_batch(&r);
        if !r.from.is_empty() {
            self.0.record_peer_features(&r.from, r.knows.clone(), String::new(), now);
        }
        if progress && !r.from.is_empty() {
            lock(&self.0.peers.progress_requested_at).insert(r.from.clone(), now);
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
                    encode_machine_hints(up.map(|m| (&m.name, learned(m))), now)
                }
                None => {
                    let known = lock(&self.0.peers.machine_hints);
                    encode_machine_hints(known.iter().map(|(n, l)| (n, l.clone())), now)
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
