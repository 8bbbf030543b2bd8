//! The HTTP routes: users' requests, workers' heartbeats, health and status.

use std::sync::Arc;
use std::time::Instant;

use crate::controller::Controller;
use crate::http::{Request, Response};
use crate::model::JobState;
use crate::operators::telemetry::{count, TimedOperation};

impl Controller {
    /// Answers one request.
    pub async fn handle_request(self: Arc<Self>, r: Request) -> Response {
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/healthz") => {
                self.lock().last_user_request = Some(Instant::now());
                self.health()
            }
            // a worker comes once in a report interval, and there may be more
            // workers than sockets
            ("POST", "/hello") => Response { seldom: true, ..self.handle_heartbeat(&r.body).await },
            ("GET", "/v2/status") => Response::new(200, &self.status(Instant::now())),
            (_, "/healthz" | "/hello" | "/v2/status") => Response::refuse(405, "wrong method"),
            _ => {
                let c = &self.telemetry.counters;
                count(&c.requests);
                self.lock().last_user_request = Some(Instant::now());
                // apart, or every connection, most of them workers', would be as
                // large as the longest way of a user's request
                let a = Box::pin(self.route_user_request(&r)).await;
                if a.status == 503 {
                    count(&c.refused);
                }
                a
            }
        }
    }

    /// Answers a user's request, here or by a sibling.
    async fn route_user_request(&self, r: &Request) -> Response {
        // refused or cut off from the state service: a sibling may not be
        let cut = self.store.is_failing();
        if cut {
            if let Some(a) = self.relay_to_peer(r).await {
                return a;
            }
        }
        let answer = self.handle_user_request(r).await;
        if !cut && answer.status == 503 && self.store.is_failing() {
            return self.relay_to_peer(r).await.unwrap_or(answer);
        }
        answer
    }

    /// Answers a user's request here.
    pub async fn handle_user_request(&self, r: &Request) -> Response {
        let rest = r.path.strip_prefix("/v2/runs");
        let began = Instant::now();
        match (r.method.as_str(), rest) {
            ("POST", Some("")) => {
                let a = self.submit_job(&r.body).await;
                self.telemetry.record(TimedOperation::Submission, began.elapsed());
                return a;
            }
            (_, Some("")) => return Response::refuse(405, "wrong method"),
            _ => {}
        }
        let Some(rest) = rest.and_then(|r| r.strip_prefix('/')) else { return Response::refuse(404, "no such path") };
        let (id, withdraw) = match rest.strip_suffix("/withdraw") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        if id.is_empty() || id.contains('/') {
            return Response::refuse(404, "no such path");
        }
        let (answer, what) = match (r.method.as_str(), withdraw) {
            ("POST", true) => (self.cancel_job(id).await, TimedOperation::Withdrawal),
            ("GET", false) => (self.query_job(id, r.query == "why").await, TimedOperation::Query),
            _ => return Response::refuse(405, "wrong method"),
        };
        self.telemetry.record(what, began.elapsed());
        answer
    }

    fn health(&self) -> Response {
        let ready = {
            let i = self.lock();
            i.synced && !i.machine_types.is_empty()
        };
        // without the state service a node can still relay, and in an outage
        // it refuses at once: only one that reaches nobody is of no use
        let now = Instant::now();
        let cut = self.store.is_failing() && now.duration_since(self.store.last_served()) > self.policy.ttl;
        if ready && (!cut || self.peers.any_reachable(self.policy.peer_limit * 3, now)) {
            Response::new(200, &JobState { id: "ok".into(), stage: "ok".into(), done: 0, running: 0 })
        } else {
            Response::refuse(503, "not ready")
        }
    }
}

#[cfg(test)]
mod tests;
