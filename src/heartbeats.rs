//! Workers' heartbeats: accepted by the leader, redirected by the other controllers.
//!
//! Without a leader, a controller still renews workers' leases where that is safe: in an outage of
//! the state service, and in a zone that is partitioned from the rest.  Such a reply never carries
//! a command that starts a task.

use std::time::Instant;

use serde::Serialize;

use crate::cluster::raise_token;
use crate::controller::{Controller, ControllerState};
use crate::http::{self, Response};
use crate::leadership::isolation::PartitionSuspicion;
use crate::model::Name;
use crate::operators::telemetry::count;
use crate::runtime::wake_up::with_timeout;
use crate::workers::{
    lease_renewal_reply, Heartbeat, HeartbeatOrigin, HeartbeatOutcome, HeartbeatReply, HeartbeatSource,
};

/// Body of the reply that sends a worker to another controller.
#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "answerTo")]
    controller: &'a str,
}

/// A reply that sends a worker to another controller, by that one's name.
pub(crate) fn redirect(controller: &str) -> Response {
    Response::new(421, &Redirect { controller })
}

/// How a heartbeat reached this controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum HeartbeatRoute {
    /// From the worker itself.
    Direct,
    /// From another controller, in a batch.
    Forwarded,
}

/// When an accepted heartbeat may be answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ReplyTiming {
    /// At once.
    Immediate,
    /// After the commit of a start on the worker's machine, if that does not take too long.
    AfterCommit,
}

impl Controller {
    /// Answers a worker's heartbeat: through the leader, by a redirect, or from the leader's state.
    pub(crate) async fn handle_heartbeat(&self, body: &[u8]) -> Response {
        if self.may_forward(Instant::now()) {
            // boxed, so that a connection stays small: few of them wait for the leader at once
            if let Some(reply) = Box::pin(self.forward_heartbeat(body)).await {
                return reply;
            }
        }
        if let Some(reply) = self.redirect_to_leader(body) {
            return reply;
        }
        let heartbeat: Heartbeat = match http::decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return Response::refuse(400, &e.to_string()),
        };
        if let Some(reply) = self.redirect_to_forwarder(&heartbeat.machine, &heartbeat.zone, Instant::now()) {
            return reply;
        }
        count(&self.telemetry.counters.heartbeats);
        match self.accept_heartbeat(&heartbeat, HeartbeatRoute::Direct) {
            Ok(ReplyTiming::Immediate) => {}
            Ok(ReplyTiming::AfterCommit) => self.wait_for_commit(&[&heartbeat]).await,
            Err(reply) => return reply,
        }
        self.reply_to_heartbeat(&heartbeat)
    }

    /// Records that a worker of this zone has reached this controller by itself.
    pub(crate) fn record_worker_contact(&self, state: &mut ControllerState, zone: &str, now: Instant) {
        state.last_heartbeat = Some(now);
        if *zone != *self.config.zone {
            state.last_remote_zone_heartbeat = Some(now);
        }
    }

    /// Redirects a worker to the leader after decoding no more than the heartbeat's origin: after a
    /// change of leader all workers come here first.  `None` where this controller may have to renew
    /// leases (it has a lease or a leader's state, or the state service fails), and where no other
    /// leader is known.
    fn redirect_to_leader(&self, body: &[u8]) -> Option<Response> {
        let origin: HeartbeatOrigin = http::decode(body).ok()?;
        let mut state = self.lock();
        let now = Instant::now();
        if state.lease.is_some() || state.cluster.is_some() || self.store.is_failing() {
            return None;
        }
        let leader = state.leader.as_ref().filter(|l| l.record.name != self.config.name)?;
        let reply = redirect(&leader.record.name);
        self.detect_stall(&mut state, now);
        self.record_worker_contact(&mut state, &origin.zone, now);
        Some(reply)
    }

    /// Waits for the commit of starts on the machines of these heartbeats, at most
    /// `policy.commit_wait`: capacity that a heartbeat frees is filled by the reply to that very
    /// heartbeat, and commands are sent only once they are stored.
    pub(crate) async fn wait_for_commit(&self, heartbeats: &[&Heartbeat]) {
        let _ = with_timeout(self.policy.commit_wait, async {
            loop {
                // registered before the check, so that no commit in between is missed
                let committed = self.commit_done.listen();
                let is_pending =
                    self.lock().cluster.as_ref().is_some_and(|c| heartbeats.iter().any(|h| c.has_pending_write(h)));
                if !is_pending {
                    return;
                }
                committed.await;
            }
        })
        .await;
    }

    /// The leader's reply to a heartbeat that it has accepted.
    pub(crate) fn reply_to_heartbeat(&self, heartbeat: &Heartbeat) -> Response {
        let mut state = self.lock();
        let now = Instant::now();
        // checked at the moment of the reply: the lease may have expired meanwhile
        if self.may_lead(&state, now) {
            if let Some(cluster) = state.cluster.as_mut() {
                return Response::new(200, &cluster.reply_to_heartbeat(heartbeat, now));
            }
        }
        Response::refuse(503, "leads no more")
    }

    /// Applies a heartbeat to the leader's state.  The error is the reply of a controller that
    /// does not lead, or cannot accept the heartbeat.
    pub(crate) fn accept_heartbeat(
        &self,
        heartbeat: &Heartbeat,
        route: HeartbeatRoute,
    ) -> Result<ReplyTiming, Response> {
        let mut state = self.lock();
        let now = Instant::now();
        self.detect_stall(&mut state, now);
        match route {
            HeartbeatRoute::Direct => self.record_worker_contact(&mut state, &heartbeat.zone, now),
            // workers are alive, but only direct heartbeats prove that workers reach this controller
            HeartbeatRoute::Forwarded => state.last_heartbeat = Some(now),
        }
        if !state.is_leader(now) {
            return Err(self.reply_without_lease(&mut state, heartbeat, now));
        }
        if !self.may_lead(&state, now) {
            return Err(Response::refuse(503, "does not see the store's changes"));
        }
        self.accept_as_leader(&mut state, heartbeat, now)
    }

    /// Applies a heartbeat and starts what follows from it: a pass or a commit.
    fn accept_as_leader(
        &self,
        state: &mut ControllerState,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<ReplyTiming, Response> {
        let Some(cluster) = state.cluster.as_mut() else { return Err(Response::refuse(503, "not ready")) };
        match cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now) {
            HeartbeatOutcome::Applied => {}
            HeartbeatOutcome::Stale => return Ok(ReplyTiming::Immediate),
            HeartbeatOutcome::Superseded => {
                tracing::error!(machine = %heartbeat.machine, "worker has seen a newer fencing token");
                return Err(Response::refuse(503, "outdated"));
            }
        }
        let queue_changed = cluster.queue_changed;
        if queue_changed {
            self.run_pass(state, now);
        }
        let Some(cluster) = state.cluster.as_mut() else { return Ok(ReplyTiming::Immediate) };
        let has_pending_start = cluster.has_pending_write(heartbeat);
        if let Some(machine) = cluster.machines.get_mut(&heartbeat.machine) {
            machine.reply_pending = has_pending_start;
        }
        if cluster.queue_changed {
            // the next pass fills what this heartbeat has freed, and one transaction stores both
            self.placement_wake.wake();
        } else if !queue_changed {
            self.commit_wake.wake();
        }
        Ok(if has_pending_start { ReplyTiming::AfterCommit } else { ReplyTiming::Immediate })
    }

    /// The reply of a controller without a valid leader lease: a renewal of the worker's lease
    /// where that is safe, else a redirect.
    fn reply_without_lease(&self, state: &mut ControllerState, heartbeat: &Heartbeat, now: Instant) -> Response {
        let renewal = if self.is_store_outage(state, now) && state.cluster.is_some() {
            self.renew_in_outage(state, heartbeat, now)
        } else if self.is_partitioned_with_zone(state, heartbeat, now) {
            Some(self.renew_in_partition(state, heartbeat, now))
        } else {
            None
        };
        renewal.unwrap_or_else(|| match &state.leader {
            Some(leader) if leader.record.name != self.config.name => redirect(&leader.record.name),
            _ => Response::refuse(503, "no leader is known"),
        })
    }

    /// Whether the state service is down for all controllers, as the peers confirm, so that nobody
    /// can succeed this former leader, and no cancellation can have been missed here yet.
    fn is_store_outage(&self, state: &ControllerState, now: Instant) -> bool {
        let fresh = self.policy.peer_limit * 3;
        let is_confirmed =
            state.lease.is_some_and(|l| self.store.is_failing() && self.peers.confirm_outage(l.term, fresh, now));
        is_confirmed && self.may_renew(state, now)
    }

    /// Renews a worker's lease in an outage of the state service, without commands that start
    /// tasks.  As a missing answer is never taken as proof that a machine is lost, this is safe
    /// even if the peers were wrong about the outage.  `None`: the worker has seen a newer token.
    fn renew_in_outage(&self, state: &mut ControllerState, heartbeat: &Heartbeat, now: Instant) -> Option<Response> {
        let cluster = state.cluster.as_mut()?;
        if cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now) == HeartbeatOutcome::Superseded {
            return None;
        }
        let token = cluster.fencing_token_for(&heartbeat.machine);
        Some(Response::new(200, &self.renew_worker_lease(state, heartbeat, token)))
    }

    /// Renews a worker's lease in a partitioned zone.
    fn renew_in_partition(&self, state: &ControllerState, heartbeat: &Heartbeat, now: Instant) -> Response {
        // a delayed start meets a higher token then: a cancellation that is known here could not
        // stop it otherwise
        let token = if self.notices_required(state, now) {
            raise_token(heartbeat.fencing_token)
        } else {
            heartbeat.fencing_token
        };
        Response::new(200, &self.renew_worker_lease(state, heartbeat, token))
    }

    /// Whether this controller seems to be partitioned from the others together with its zone:
    /// neither the state service nor any peer answers, not even with a refusal, and only workers of
    /// its own zone come here.
    ///
    /// Such workers reach no other controller, and their tasks keep running if their leases are
    /// renewed.  The leader outside starts none of these tasks again, as it never takes a missing
    /// answer as proof.  Cancellations made outside are not known in here: renewals end in time for
    /// them.  Users belong to no zone: where a user, or a health probe of the load balancer, comes
    /// here, this controller alone is cut off, and its zone's workers can reach another one.
    fn is_partitioned_with_zone(&self, state: &ControllerState, heartbeat: &Heartbeat, now: Instant) -> bool {
        let age = |t: Instant| now.saturating_duration_since(t);
        let suspicion = PartitionSuspicion {
            since_store_answer: age(self.store.last_served()),
            any_answer: !self.store.is_unresponsive() || self.peers.any_reachable(self.policy.peer_limit * 3, now),
            since_remote_zone_heartbeat: state.last_remote_zone_heartbeat.map(age),
            since_user_request: state.last_user_request.map(age),
        };
        *heartbeat.zone == *self.config.zone
            && !self.config.peers.is_empty()
            && suspicion.includes_own_zone(self.policy.cut_after)
            && self.may_renew(state, now)
    }

    /// A reply that renews the worker's lease without leading, and stops tasks of ended jobs.
    fn renew_worker_lease(&self, state: &ControllerState, heartbeat: &Heartbeat, token: u64) -> HeartbeatReply {
        count(&self.telemetry.counters.leases_renewed);
        let outcome_in_cluster =
            |id: &Name| state.cluster.as_ref().and_then(|c| c.jobs.get(id)).and_then(|j| j.outcome);
        lease_renewal_reply(heartbeat, token, |id| {
            state.cancellations.contains(id) || state.jobs.outcome(id).or_else(|| outcome_in_cluster(id)).is_some()
        })
    }
}

#[cfg(test)]
mod tests;
