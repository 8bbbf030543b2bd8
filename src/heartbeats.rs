//! Handling of workers' heartbeats.  The leader accepts them; the other controllers forward them to
//! the leader, or redirect the worker to it.
//!
//! Without a valid leader lease, a controller still renews workers' leases where that is safe: as the
//! former leader in an outage of the state service, and in a zone that is partitioned from the rest.
//! A reply that renews a lease in this way never carries a command that starts a task.

use std::time::Instant;

use serde::Serialize;

use crate::cluster::raise_token;
use crate::controller::{Controller, ControllerState};
use crate::http::{self, Response};
use crate::leadership::isolation::PartitionSuspicion;
use crate::model::Name;
use crate::operators::telemetry::increment;
use crate::runtime::wake_up::with_timeout;
use crate::workers::{
    lease_renewal_reply, Heartbeat, HeartbeatOrigin, HeartbeatOutcome, HeartbeatReply, HeartbeatSource,
};

/// Body of the reply that redirects a worker to another controller.
#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "answerTo")]
    controller: &'a str,
}

/// Returns a reply that redirects a worker to the controller with this name.
pub(crate) fn redirect(controller: &str) -> Response {
    Response::new(421, &Redirect { controller })
}

/// The way by which a heartbeat reached this controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum HeartbeatRoute {
    /// The worker sent it to this controller.
    Direct,
    /// Another controller forwarded it in a batch.
    Forwarded,
}

/// The time at which the reply to an accepted heartbeat is made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ReplyTiming {
    /// Immediately.
    Immediate,
    /// Once the pending task starts on the worker's machine are committed, but at the latest after
    /// `policy.commit_wait`.
    AfterCommit,
}

impl Controller {
    /// Replies to a worker's heartbeat: with the leader's reply if the heartbeat was forwarded, with
    /// a redirect, or from this controller's own state.
    pub(crate) async fn handle_heartbeat(&self, body: &[u8]) -> Response {
        if self.may_forward(Instant::now()) {
            // boxed to keep the future of a connection small: only few connections wait for the
            // leader at the same time
            if let Some(reply) = Box::pin(self.forward_heartbeat(body)).await {
                return reply;
            }
        }
        if let Some(reply) = self.redirect_to_leader(body) {
            return reply;
        }
        let heartbeat: Heartbeat = match http::decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return Response::error(400, &e.to_string()),
        };
        if let Some(reply) = self.redirect_to_forwarder(&heartbeat.machine, &heartbeat.zone, Instant::now()) {
            return reply;
        }
        increment(&self.telemetry.counters.heartbeats);
        match self.accept_heartbeat(&heartbeat, HeartbeatRoute::Direct) {
            Ok(ReplyTiming::Immediate) => {}
            Ok(ReplyTiming::AfterCommit) => self.wait_for_commit(&[&heartbeat]).await,
            Err(reply) => return reply,
        }
        self.reply_to_heartbeat(&heartbeat)
    }

    /// Records that a heartbeat from a worker of `zone` has reached this controller directly.
    pub(crate) fn record_worker_contact(&self, state: &mut ControllerState, zone: &str, now: Instant) {
        state.last_heartbeat = Some(now);
        if *zone != *self.config.zone {
            state.last_remote_zone_heartbeat = Some(now);
        }
    }

    /// Returns a redirect to the leader.  Only the origin of the heartbeat is decoded, which keeps
    /// the reply cheap: after a change of leader, every worker first has to be redirected.
    ///
    /// Returns `None` if the origin cannot be decoded, if no other leader is known, or if this
    /// controller may have to renew leases: it holds the leader lease or a leader's state, or the
    /// state service fails.
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

    /// Waits until the starts on the machines of these heartbeats are committed, for at most
    /// `policy.commit_wait`.
    ///
    /// Commands are sent only after they are stored.  With this wait, the reply to a heartbeat can
    /// already start tasks on the capacity that the same heartbeat has reported as free.
    pub(crate) async fn wait_for_commit(&self, heartbeats: &[&Heartbeat]) {
        let _ = with_timeout(self.policy.commit_wait, async {
            loop {
                // register before the check, so that a commit between the two is not missed
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

    /// Returns the leader's reply to a heartbeat that it has accepted.
    pub(crate) fn reply_to_heartbeat(&self, heartbeat: &Heartbeat) -> Response {
        let mut state = self.lock();
        let now = Instant::now();
        // check again: the lease may have expired since the heartbeat was accepted
        if self.may_lead(&state, now) {
            if let Some(cluster) = state.cluster.as_mut() {
                return Response::new(200, &cluster.reply_to_heartbeat(heartbeat, now));
            }
        }
        Response::error(503, "leads no more")
    }

    /// Applies a heartbeat to the leader's state, and returns when to reply.
    ///
    /// # Errors
    ///
    /// Returns the reply to the worker if this controller does not lead or cannot accept the
    /// heartbeat.
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
            // a forwarded heartbeat shows that the worker is alive, but not that it can reach this
            // controller
            HeartbeatRoute::Forwarded => state.last_heartbeat = Some(now),
        }
        if !state.is_leader(now) {
            return Err(self.reply_without_lease(&mut state, heartbeat, now));
        }
        if !self.may_lead(&state, now) {
            return Err(Response::error(503, "does not see the store's changes"));
        }
        self.accept_as_leader(&mut state, heartbeat, now)
    }

    /// Applies a heartbeat as the leader, then runs a scheduling pass if the queue has changed, and
    /// otherwise requests a commit.
    fn accept_as_leader(
        &self,
        state: &mut ControllerState,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Result<ReplyTiming, Response> {
        let Some(cluster) = state.cluster.as_mut() else { return Err(Response::error(503, "not ready")) };
        match cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now) {
            HeartbeatOutcome::Applied => {}
            HeartbeatOutcome::Stale => return Ok(ReplyTiming::Immediate),
            HeartbeatOutcome::Superseded => {
                tracing::error!(machine = %heartbeat.machine, "rejected a heartbeat with a newer fencing token");
                return Err(Response::error(503, "outdated"));
            }
        }
        let queue_changed = cluster.queue_changed;
        if queue_changed {
            self.run_placement_pass(state, now);
        }
        let Some(cluster) = state.cluster.as_mut() else { return Ok(ReplyTiming::Immediate) };
        let has_pending_start = cluster.has_pending_write(heartbeat);
        if let Some(machine) = cluster.machines.get_mut(&heartbeat.machine) {
            machine.reply_pending = has_pending_start;
        }
        if cluster.queue_changed {
            // the next pass assigns the capacity that this heartbeat has freed, and one transaction
            // stores both changes
            self.placement_wake.wake();
        } else if !queue_changed {
            self.commit_wake.wake();
        }
        Ok(if has_pending_start { ReplyTiming::AfterCommit } else { ReplyTiming::Immediate })
    }

    /// Returns the reply of a controller without a valid leader lease: a renewal of the worker's
    /// lease if that is safe, otherwise a redirect to the leader, or a refusal if no other leader
    /// is known.
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
            _ => Response::error(503, "no leader is known"),
        })
    }

    /// Reports whether the state service is down for all controllers and this former leader may renew
    /// leases.  The peers have to confirm the outage, so that no other controller can become leader,
    /// and the view of cancellations has to be so recent that none can have been missed.
    fn is_store_outage(&self, state: &ControllerState, now: Instant) -> bool {
        let max_status_age = self.policy.peer_limit * 3;
        let is_confirmed = state
            .lease
            .is_some_and(|l| self.store.is_failing() && self.peers.confirm_outage(l.term, max_status_age, now));
        is_confirmed && self.may_renew(state, now)
    }

    /// Renews a worker's lease in an outage of the state service, without commands that start
    /// tasks.  The renewal is safe even if the peers were wrong about the outage, because a leader
    /// never takes a missing response as proof that a machine is lost.
    ///
    /// Returns `None` if the worker has seen a newer fencing token.
    fn renew_in_outage(&self, state: &mut ControllerState, heartbeat: &Heartbeat, now: Instant) -> Option<Response> {
        let cluster = state.cluster.as_mut()?;
        if cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now) == HeartbeatOutcome::Superseded {
            return None;
        }
        let token = cluster.fencing_token_for(&heartbeat.machine);
        Some(Response::new(200, &self.renew_worker_lease(state, heartbeat, token)))
    }

    /// Renews the lease of a worker in the zone with which this controller is partitioned.
    fn renew_in_partition(&self, state: &ControllerState, heartbeat: &Heartbeat, now: Instant) -> Response {
        // with the raised token the worker rejects a start command that arrives late, which could
        // otherwise start a task whose cancellation is known here
        let token = if self.notices_required(state, now) {
            raise_token(heartbeat.fencing_token)
        } else {
            heartbeat.fencing_token
        };
        Response::new(200, &self.renew_worker_lease(state, heartbeat, token))
    }

    /// Reports whether this controller seems to be partitioned from the others together with its
    /// zone: neither the state service nor any peer responds, not even with a refusal, and only
    /// workers of its own zone reach this controller.
    ///
    /// These workers cannot reach any other controller, and their tasks keep running if their leases
    /// are renewed.  The leader outside the partition does not start these tasks again, because it
    /// never takes a missing response as proof that a machine is lost.  Cancellations that are stored
    /// outside the partition are not known here, so renewals end before such a cancellation has to
    /// take effect (`may_renew`).
    ///
    /// Users belong to no zone.  If a user or a health probe of the load balancer reaches this
    /// controller, only this controller is isolated, and the workers of its zone can reach another
    /// one.
    fn is_partitioned_with_zone(&self, state: &ControllerState, heartbeat: &Heartbeat, now: Instant) -> bool {
        let age = |t: Instant| now.saturating_duration_since(t);
        let suspicion = PartitionSuspicion {
            since_store_response: age(self.store.last_served()),
            any_response: !self.store.is_unresponsive() || self.peers.any_reachable(self.policy.peer_limit * 3, now),
            since_remote_zone_heartbeat: state.last_remote_zone_heartbeat.map(age),
            since_user_request: state.last_user_request.map(age),
        };
        *heartbeat.zone == *self.config.zone
            && !self.config.peers.is_empty()
            && suspicion.includes_own_zone(self.policy.cut_after)
            && self.may_renew(state, now)
    }

    /// Returns a reply that renews the worker's lease and stops the tasks of ended jobs, for a
    /// controller that does not lead.
    fn renew_worker_lease(&self, state: &ControllerState, heartbeat: &Heartbeat, token: u64) -> HeartbeatReply {
        increment(&self.telemetry.counters.leases_renewed);
        let outcome_in_cluster =
            |id: &Name| state.cluster.as_ref().and_then(|c| c.jobs.get(id)).and_then(|j| j.outcome);
        lease_renewal_reply(heartbeat, token, |id| {
            state.cancellations.contains(id) || state.jobs.outcome(id).or_else(|| outcome_in_cluster(id)).is_some()
        })
    }
}

#[cfg(test)]
mod tests;
