//! The gRPC service for the peers, with tonic over hyper's HTTP/2 on smol.
//!
//! A controller that the state service refuses relays its users' requests to a peer that is served.
//! A leader that is refused requests its peers' statuses.  If the state service refuses the peers
//! too, it is an outage: no other controller can become leader, and the leader may continue to renew
//! the workers' leases, without commands that start tasks.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use smol::net::TcpListener;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use tonic::body::Body;

use crate::cluster::{Cluster, Machine, MachineHints};
use crate::controller::Controller;
use crate::http::Request;
use crate::leadership::feature_gate;
use crate::model::JobOutcome;
use crate::peers::links::wire::peer_server::{Peer, PeerServer};
use crate::peers::links::{lock, wire, ConnectionTask};
use crate::peers::machine_hints::encode_machine_hints;

/// Maximum number of concurrent requests on a peer's connection.
const MAX_CONCURRENT_STREAMS: u32 = 64;
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

impl Controller {
    /// Spawns the tasks that drive the connections to and from peers, for as long as the controller
    /// runs.
    pub async fn run_peer_connections(self: Arc<Self>, spawn: impl Fn(ConnectionTask)) {
        while let Ok(task) = self.peers.connection_tasks.recv().await {
            spawn(task);
        }
    }

    /// Accepts and serves connections of peers, for as long as the controller runs.
    pub async fn serve_peers(self: Arc<Self>, listener: TcpListener) {
        let service = PeerServer::new(PeerService { controller: self.clone() });
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::error!(error = %e, "failed to accept a peer connection");
                    smol::Timer::after(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            let handler = hyper::service::service_fn(move |request: http::Request<Incoming>| {
                let mut service = service.clone();
                async move { tower_service::Service::call(&mut service, request.map(Body::new)).await }
            });
            let connection = hyper::server::conn::http2::Builder::new(self.peers.spawner.clone())
                .timer(SmolTimer::new())
                .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
                .serve_connection(FuturesIo::new(stream), handler);
            hyper::rt::Executor::execute(&self.peers.spawner, async move {
                let _ = connection.await;
            });
        }
    }

    /// Applies a peer's notice of cancellations.  If this controller leads, the response has the ids
    /// of those jobs that have no task left on any machine.
    fn accept_notice(&self, notice: wire::TellRequest) -> wire::TellResponse {
        let now = Instant::now();
        for cancellation in &notice.known {
            self.apply_stored_outcome(&cancellation.id, JobOutcome::Cancelled, cancellation.stamp, now);
        }
        let state = self.lock();
        let ids = notice.known.into_iter().map(|cancellation| cancellation.id);
        wire::TellResponse { clear: ids.filter(|id| state.has_no_task_of(&id.as_str().into(), now)).collect() }
    }

    /// Returns the response to a peer's request for this controller's status.
    fn reply_to_status(&self, request: wire::StatusRequest) -> wire::StatusResponse {
        let now = Instant::now();
        let account = self.cancellation_batch(&request);
        if !request.from.is_empty() {
            // a request does not contain the peer's version; its status responses do
            self.record_peer_features(&request.from, request.knows, String::new(), now);
            if request.progress {
                lock(&self.peers.progress_requested_at).insert(request.from, now);
            }
        }
        let jobs = if request.progress { self.recent_progress(now) } else { Vec::new() };
        let (machines, images) = if request.progress && !request.without_machines {
            self.encode_known_machine_hints(now)
        } else {
            Default::default()
        };
        let leads = self.may_act(Instant::now());
        let served = !self.store.is_failing();
        let state = self.lock();
        wire::StatusResponse {
            served,
            term: state.leader.as_ref().map_or(0, |l| l.record.term),
            leads,
            jobs,
            machines,
            images,
            heard_ms: state.last_heartbeat.map(|t| t.elapsed().as_millis() as u64),
            knows: feature_gate::supported_features(),
            version: feature_gate::VERSION.to_owned(),
            account,
            spread: state.forwarding_requested && leads,
        }
    }

    /// Encodes the known hints about machines: from the leader's state if this controller has it,
    /// otherwise from the leader's last reply.
    fn encode_known_machine_hints(&self, now: Instant) -> (Vec<wire::Learned>, Vec<wire::Image>) {
        let state = self.lock();
        match state.cluster.as_ref() {
            Some(cluster) => {
                let existing = cluster.machines.values().filter(|m| m.removed_at.is_none());
                encode_machine_hints(existing.map(|m| (&m.name, hints_of(cluster, m))), now)
            }
            None => {
                let known = lock(&self.peers.machine_hints);
                encode_machine_hints(known.iter().map(|(name, hints)| (name, hints.clone())), now)
            }
        }
    }
}

/// Returns the hints about a machine from the leader's state.
fn hints_of(cluster: &Cluster, machine: &Machine) -> MachineHints {
    let last_heartbeat = machine.last_heartbeat.or_else(|| cluster.machine_hints.get(&machine.name)?.last_heartbeat);
    MachineHints {
        speed: machine.speed,
        speed_samples: machine.speed_samples,
        images: machine.images.clone(),
        last_heartbeat,
    }
}

/// The gRPC service of one controller.
struct PeerService {
    controller: Arc<Controller>,
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn relay(
        &self,
        request: tonic::Request<wire::RelayRequest>,
    ) -> Result<tonic::Response<wire::RelayResponse>, tonic::Status> {
        let relayed = request.into_inner();
        let request = Request { method: relayed.method, path: relayed.path, query: String::new(), body: relayed.body };
        // a relayed request is not relayed again: it is answered here or refused
        let response = self.controller.handle_user_request(&request).await;
        Ok(tonic::Response::new(wire::RelayResponse {
            status: response.status.into(),
            body: response.body,
            retry_after_s: response.retry_after.unwrap_or(0),
        }))
    }

    async fn report(
        &self,
        request: tonic::Request<wire::ReportBatch>,
    ) -> Result<tonic::Response<wire::ReportAnswers>, tonic::Status> {
        Ok(tonic::Response::new(self.controller.accept_batch(request.into_inner()).await))
    }

    async fn tell(
        &self,
        request: tonic::Request<wire::TellRequest>,
    ) -> Result<tonic::Response<wire::TellResponse>, tonic::Status> {
        Ok(tonic::Response::new(self.controller.accept_notice(request.into_inner())))
    }

    async fn status(
        &self,
        request: tonic::Request<wire::StatusRequest>,
    ) -> Result<tonic::Response<wire::StatusResponse>, tonic::Status> {
        Ok(tonic::Response::new(self.controller.reply_to_status(request.into_inner())))
    }
}
