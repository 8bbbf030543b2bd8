//! Workers' heartbeats: accepted by the leader, redirected by the others, and leases renewed in an
//! outage of the state service or in a partitioned zone.

use std::time::Instant;

use serde::Serialize;

use crate::cluster::raise_token;
use crate::controller::{Controller, ControllerState};
use crate::http::{self, Response};
use crate::leadership::lease::PartitionSuspicion;
use crate::model::Name;
use crate::operators::telemetry::count;
use crate::runtime::wake_up::timed;
use crate::workers::{lease_renewal_reply, Heartbeat, HeartbeatOrigin, HeartbeatReply};

#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "answerTo")]
    answer_to: Option<&'a str>,
}

/// Sends a worker to another controller.
pub(crate) fn redirect(to: Option<&str>) -> Response {
    Response::new(421, &Redirect { answer_to: to })
}

impl Controller {
    pub(crate) async fn handle_heartbeat(&self, body: &[u8]) -> Response {
        if self.may_forward(Instant::now()) {
            // apart: few connections wait for the leader at once
            if let Some(answer) = Box::pin(self.forward_heartbeat(body)).await {
                return answer;
            }
        }
        if let Some(elsewhere) = self.redirect_to_leader(body) {
            return elsewhere;
        }
        let report: Heartbeat = match http::decode(body) {
            Ok(r) => r,
            Err(e) => return Response::refuse(400, &e.to_string()),
        };
        if let Some(elsewhere) = self.redirect_to_forwarder(&report.machine, &report.zone, Instant::now()) {
            return elsewhere;
        }
        count(&self.telemetry.counters.reports);
        match self.accept_heartbeat(&report, true) {
            Ok(false) => {}
            Ok(true) => self.wait_for_commit(&[&report]).await,
            Err(r) => return r,
        }
        self.reply_to_heartbeat(&report)
    }

    /// A worker of a zone has reported here.
    pub(crate) fn record_worker_contact(&self, i: &mut ControllerState, zone: &str, now: Instant) {
        i.last_heartbeat = Some(now);
        if *zone != *self.config.zone {
            i.last_remote_zone_heartbeat = Some(now);
        }
    }

    /// Sends a worker to the leader without reading all of its report: after a change of
    /// leader all of them come here first.  Where the state service does not
    /// serve this controller it may have to keep leases, and reads.
    fn redirect_to_leader(&self, body: &[u8]) -> Option<Response> {
        let origin: HeartbeatOrigin = http::decode(body).ok()?;
        let mut i = self.lock();
        let now = Instant::now();
        if i.lease.is_some() || i.cluster.is_some() || self.store.is_failing() {
            return None;
        }
        let leader = i.leader.as_ref().filter(|l| l.record.name != self.config.name)?;
        let answer = redirect(Some(&leader.record.name));
        self.detect_stall(&mut i, now);
        self.record_worker_contact(&mut i, &origin.zone, now);
        Some(answer)
    }

    /// What a report frees is filled with its very answer, if the store is quick about it;
    /// commands leave only once stored.
    pub(crate) async fn wait_for_commit(&self, reports: &[&Heartbeat]) {
        let _ = timed(self.policy.commit_wait, async {
            loop {
                let stored = self.commit_done.listen();
                let pending =
                    self.lock().cluster.as_ref().is_some_and(|c| reports.iter().any(|r| c.has_pending_start(r)));
                if !pending {
                    return;
                }
                stored.await;
            }
        })
        .await;
    }

    /// The leader's answer to a report that it has taken in.
    pub(crate) fn reply_to_heartbeat(&self, report: &Heartbeat) -> Response {
        let mut i = self.lock();
        let now = Instant::now();
        // checked at the moment of answering: the lease may have run out
        if self.may_lead(&i, now) {
            if let Some(c) = i.cluster.as_mut() {
                return Response::new(200, &c.reply_to_heartbeat(report, now));
            }
        }
        Response::refuse(503, "leads no more")
    }

    /// Takes a report into the leader's state; whether its answer should wait
    /// for the store.  `direct`: its worker sent it here.
    pub(crate) fn accept_heartbeat(&self, report: &Heartbeat, direct: bool) -> Result<bool, Response> {
        let mut i = self.lock();
        let now = Instant::now();
        self.detect_stall(&mut i, now);
        match direct {
            true => self.record_worker_contact(&mut i, &report.zone, now),
            // workers are heard; what reaches this controller itself only those tell
            false => i.last_heartbeat = Some(now),
        }
        if i.is_leader(now) && !self.may_lead(&i, now) {
            return Err(Response::refuse(503, "does not see the store's changes"));
        }
        if !i.is_leader(now) {
            // an outage of the state service, by the siblings' word: nobody
            // can lead, and our lease outlives it.  The workers' leases are
            // renewed, without commands, for as long as no withdrawal can have
            // been missed; as silence is never a proof here, that is safe even
            // if they were wrong
            let fresh = self.policy.peer_limit * 3;
            let outage =
                i.lease.is_some_and(|a| self.store.is_failing() && self.peers.confirm_outage(a.term, fresh, now))
                    && self.may_renew(&i, now);
            if let Some(c) = i.cluster.as_mut().filter(|_| outage) {
                if c.apply_heartbeat(report, true, now).is_some() {
                    let token = c.fencing_token_for(&report.machine);
                    return Err(Response::new(200, &self.renew_worker_lease(&i, report, token)));
                }
            } else if self.is_partitioned_with_zone(&i, report, now) {
                // a start that is held up on its way finds a higher token: a
                // withdrawal that is known here could not stop it
                let token = if self.notices_required(&i, now) {
                    raise_token(report.fencing_token)
                } else {
                    report.fencing_token
                };
                return Err(Response::new(200, &self.renew_worker_lease(&i, report, token)));
            }
            return Err(match &i.leader {
                Some(l) if l.record.name != self.config.name => redirect(Some(&l.record.name)),
                _ => Response::refuse(503, "no leader is known"),
            });
        }
        let Some(c) = i.cluster.as_mut() else { return Err(Response::refuse(503, "not ready")) };
        match c.apply_heartbeat(report, true, now) {
            None => {
                tracing::error!("{} has seen a token above ours", report.machine);
                return Err(Response::refuse(503, "outdated"));
            }
            Some(false) => return Ok(false),
            Some(true) => {}
        }
        let news = c.queue_changed;
        if news {
            self.run_pass(&mut i, now);
        }
        let Some(c) = i.cluster.as_mut() else { return Ok(false) };
        let pending = c.has_pending_start(report);
        if let Some(m) = c.machines.get_mut(&report.machine) {
            m.reply_pending = pending;
        }
        match (c.queue_changed, news) {
            // the next pass fills what this report has freed, and one
            // transaction stores both
            (true, _) => self.placement_wake.wake(),
            (false, true) => self.commit_wake.wake(),
            _ => {}
        }
        Ok(pending)
    }

    /// Whether this controller seems to be cut off together with its zone:
    /// neither the state service nor any sibling answers, not even with a
    /// refusal, and only workers of its own zone come here.  Then the zone's
    /// workers reach nobody else, and their tasks go on if their leases are
    /// renewed.  As silence is never taken for a proof, the leader outside
    /// starts none of them again.  What is withdrawn outside is not heard of in
    /// here: renewals end in time for it.  Users belong to no zone: where one
    /// comes, or a probe for them, it is this controller alone that is cut off,
    /// and its zone's workers can turn to another.
    fn is_partitioned_with_zone(&self, i: &ControllerState, report: &Heartbeat, now: Instant) -> bool {
        let age = |t: Instant| now.saturating_duration_since(t);
        let state = PartitionSuspicion {
            since_store_answer: age(self.store.last_served()),
            any_answer: !self.store.is_silent() || self.peers.any_reachable(self.policy.peer_limit * 3, now),
            since_remote_zone_heartbeat: i.last_remote_zone_heartbeat.map(age),
            since_user_request: i.last_user_request.map(age),
        };
        *report.zone == *self.config.zone
            && !self.config.peers.is_empty()
            && state.includes_own_zone(self.policy.cut_after)
            && self.may_renew(i, now)
    }

    /// Renews the worker's lease without leading.
    fn renew_worker_lease(&self, i: &ControllerState, report: &Heartbeat, token: u64) -> HeartbeatReply {
        count(&self.telemetry.counters.kept_alive);
        let led = |id: &Name| i.cluster.as_ref().and_then(|c| c.jobs.get(id)).and_then(|j| j.outcome);
        lease_renewal_reply(report, token, |id| {
            i.cancellations.contains(id) || i.jobs.outcome(id).or_else(|| led(id)).is_some()
        })
    }
}

#[cfg(test)]
mod tests;
