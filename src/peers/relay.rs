//! Relays users' requests to a peer that the state service serves.

use std::time::Instant;

use crate::controller::Controller;
use crate::http::{Request, Response};
use crate::peers::links::{lock, wire, PeerLink};

impl Controller {
    /// Has a sibling answer a user's request.
    pub async fn relay_to_peer(&self, r: &Request) -> Option<Response> {
        let now = Instant::now();
        let fresh = self.policy.peer_limit * 3;
        // those that said they are served first, those that are not never
        let mut order: Vec<(bool, &PeerLink)> = {
            let seen = lock(&self.peers.statuses);
            let state = |l: &PeerLink| {
                seen.get(&l.name).filter(|s| now.duration_since(s.answered_at) < fresh).map(|s| s.served)
            };
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
}
