//! Relaying of users' requests to a peer that the state service serves.

use std::time::Instant;

use crate::controller::Controller;
use crate::http::{Request, Response};
use crate::operators::telemetry::increment;
use crate::peers::links::{lock, wire, PeerLink};

impl Controller {
    /// Relays a user's request to the peers one after another, until one of them answers it with a
    /// status other than 503.  Returns `None` if none does.
    pub async fn relay_to_peer(&self, request: &Request) -> Option<Response> {
        for link in self.relay_candidates(Instant::now()) {
            let message = wire::RelayRequest {
                method: request.method.clone(),
                path: request.path.clone(),
                body: request.body.clone(),
            };
            let answer =
                self.peers.call(link, self.policy.peer_limit, |mut client| async move { client.relay(message).await });
            if let Some(relayed) = answer.await.filter(|a| a.status != 503 && (200..600).contains(&a.status)) {
                increment(&self.telemetry.counters.relayed);
                let retry_after = (relayed.retry_after_s > 0).then_some(relayed.retry_after_s);
                return Some(Response {
                    status: relayed.status as u16,
                    body: relayed.body,
                    retry_after,
                    closes_when_scarce: false,
                });
            }
        }
        None
    }

    /// Returns the peers that may be able to answer a request: first those that the state service
    /// serves according to a recent status, then those without a recent status.  Peers that are not
    /// served according to a recent status are left out.
    fn relay_candidates(&self, now: Instant) -> Vec<&PeerLink> {
        let max_status_age = self.policy.peer_limit * 3;
        let statuses = lock(&self.peers.statuses);
        let is_served = |link: &PeerLink| {
            let status = statuses.get(&link.name).filter(|s| now.duration_since(s.answered_at) < max_status_age);
            status.map(|s| s.served)
        };
        let candidates = self.peers.links.iter().filter(|l| is_served(l) != Some(false));
        let (mut served, unknown): (Vec<_>, Vec<_>) = candidates.partition(|l| is_served(l).is_some());
        served.extend(unknown);
        served
    }
}
