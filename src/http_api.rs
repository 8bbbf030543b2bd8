//! The HTTP routes for users' requests, workers' heartbeats, health probes and the status.

use std::sync::Arc;
use std::time::Instant;

use crate::controller::Controller;
use crate::http::{Request, Response};
use crate::model::JobState;
use crate::operators::telemetry::{increment, TimedOperation};
use crate::users::query::QueryDetail;

impl Controller {
    /// Handles an HTTP request and returns the response.
    pub async fn handle_request(self: Arc<Self>, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => {
                self.lock().last_user_request = Some(Instant::now());
                self.health()
            }
            // a worker sends only one heartbeat per interval, and there may be more workers than
            // sockets, so its connection may be closed after the response
            ("POST", "/hello") => Response { closes_when_scarce: true, ..self.handle_heartbeat(&request.body).await },
            ("GET", "/v2/status") => Response::new(200, &self.status(Instant::now())),
            (_, "/healthz" | "/hello" | "/v2/status") => Response::error(405, "wrong method"),
            _ => {
                increment(&self.telemetry.counters.requests);
                self.lock().last_user_request = Some(Instant::now());
                // boxed, because otherwise the future of every connection would be as large as that of
                // the largest user's request, although most connections are those of workers
                let response = Box::pin(self.route_user_request(&request)).await;
                if response.status == 503 {
                    increment(&self.telemetry.counters.refused);
                }
                response
            }
        }
    }

    /// Handles a user's request here, or relays it to a peer while the state service refuses this
    /// controller or does not respond to it, because the state service may still serve the peer.
    async fn route_user_request(&self, request: &Request) -> Response {
        let was_failing = self.store.is_failing();
        if was_failing {
            if let Some(response) = self.relay_to_peer(request).await {
                return response;
            }
        }
        let response = self.handle_user_request(request).await;
        if !was_failing && response.status == 503 && self.store.is_failing() {
            return self.relay_to_peer(request).await.unwrap_or(response);
        }
        response
    }

    /// Handles a user's request on this controller and returns the response.
    pub async fn handle_user_request(&self, request: &Request) -> Response {
        let jobs_path = request.path.strip_prefix("/v2/runs");
        let started_at = Instant::now();
        match (request.method.as_str(), jobs_path) {
            ("POST", Some("")) => {
                let response = self.submit_job(&request.body).await;
                self.telemetry.record(TimedOperation::Submission, started_at.elapsed());
                return response;
            }
            (_, Some("")) => return Response::error(405, "wrong method"),
            _ => {}
        }
        let Some(job_path) = jobs_path.and_then(|p| p.strip_prefix('/')) else {
            return Response::error(404, "no such path");
        };
        let (id, is_cancellation) = match job_path.strip_suffix("/withdraw") {
            Some(id) => (id, true),
            None => (job_path, false),
        };
        if id.is_empty() || id.contains('/') {
            return Response::error(404, "no such path");
        }
        let (response, operation) = match (request.method.as_str(), is_cancellation) {
            ("POST", true) => (self.cancel_job(id).await, TimedOperation::Cancellation),
            ("GET", false) => {
                let detail = if request.query == "why" { QueryDetail::Explanation } else { QueryDetail::State };
                (self.query_job(id, detail).await, TimedOperation::Query)
            }
            _ => return Response::error(405, "wrong method"),
        };
        self.telemetry.record(operation, started_at.elapsed());
        response
    }

    /// Returns the response to the load balancer's health probe.
    fn health(&self) -> Response {
        let is_ready = {
            let state = self.lock();
            state.synced && !state.machine_types.is_empty()
        };
        // without the state service, a controller can still relay requests to its peers, and in an
        // outage it refuses them immediately; it is unhealthy only if it reaches neither the state
        // service nor any peer
        let now = Instant::now();
        let lost_state_service =
            self.store.is_failing() && now.duration_since(self.store.last_served()) > self.policy.ttl;
        if is_ready && (!lost_state_service || self.peers.any_reachable(self.policy.peer_limit * 3, now)) {
            Response::new(200, &JobState { id: "ok".into(), stage: "ok".into(), done: 0, running: 0 })
        } else {
            Response::error(503, "not ready")
        }
    }
}

#[cfg(test)]
mod tests;
