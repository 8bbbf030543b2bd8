//! Delivery of messages to their receivers.

use super::*;
use crate::cancellation::{may_lead, may_renew};

/// Maximum number of heartbeats that are kept for replay after the next election.
const MAX_REPLAYED_HEARTBEATS: usize = 40;

impl World {
    /// Delivers a message.  Messages to a paused process are delivered in order when the process
    /// resumes, as if they had waited in its socket.
    pub(super) fn deliver(&mut self, message: Message) {
        let paused_until = message.receiver().map_or(0, |i| self.faults.paused_until[i]);
        if self.now < paused_until {
            self.enqueue(paused_until, message);
            return;
        }
        match message {
            Message::ElectionRequest { from, incarnation, request, lease_id, term, txn } => {
                let outcome = self.apply_election(from, lease_id, term, &txn);
                let response_lost = self.rng.u32(0..10) == 0;
                let outcome = outcome.filter(|_| !response_lost);
                self.send(Message::ElectionResponse { to: from, incarnation, request, outcome });
            }
            Message::ElectionResponse { to, incarnation, request, outcome } => {
                self.receive_election_response(to, incarnation, request, outcome);
            }
            Message::Heartbeat { to, heartbeat, request } if self.may_forward(to) => {
                self.forward_heartbeat(to, heartbeat, request);
            }
            Message::Heartbeat { to, heartbeat, request } => self.receive_heartbeat(to, heartbeat, request),
            Message::ForwardedHeartbeat(forwarded) => self.accept_forwarded_heartbeat(forwarded),
            Message::ForwardingResponse { forwarder, term, heartbeat, accepted } => {
                let now = self.instant_at(self.now);
                match accepted {
                    true => self.forwarding[forwarder].mark_accepted(heartbeat, term, now),
                    false => self.forwarding[forwarder].forget(&heartbeat.machine),
                }
            }
            Message::HeartbeatResponse { machine, request, incarnation, reply } => {
                self.receive_heartbeat_response(machine, request, incarnation, &reply);
            }
            Message::DirectCommandRequest { from, incarnation, command } => {
                self.receive_direct_command(from, incarnation, command);
            }
            Message::DirectCommandResponse { to, incarnation, command, heartbeat } => {
                self.receive_direct_command_response(to, incarnation, &command, heartbeat.as_ref());
            }
            Message::TxnRequest { from, incarnation, request, txn, sent_at } => {
                let outcome = self.apply_txn(from, &txn, sent_at);
                self.send(Message::TxnResponse { to: from, incarnation, request, outcome });
            }
            Message::TxnResponse { to, incarnation, request, outcome } => {
                self.receive_txn_response(to, incarnation, request, outcome);
            }
            Message::JobSubmitted { to, spec, revision } => self.receive_job(to, &spec, revision),
            Message::DeleteMachines { names, from, incarnation } => self.delete_machines(names, from, incarnation),
            Message::MachinesDeleted { names, to, incarnation } => {
                let now = self.instant_at(self.now);
                if let Some(controller) = self.controller_mut(to, incarnation) {
                    controller.cluster.apply_deletion(&names, now);
                }
            }
        }
    }

    /// Handles a worker's heartbeat at a controller.
    fn receive_heartbeat(&mut self, to: usize, mut heartbeat: Heartbeat, request: u64) {
        let may_replay = request != NO_RECEIVER && self.replayed_heartbeats.len() < MAX_REPLAYED_HEARTBEATS;
        if may_replay && self.rng.u32(0..20) == 0 {
            self.replayed_heartbeats.push(heartbeat.clone());
        }
        if self.now < self.faults.workers_unreachable_until[to] {
            return;
        }
        if self.defect == InjectedDefect::OrderHeartbeatsByArrival {
            heartbeat.sequence = self.now;
        }
        let has_expired = self.controllers[to].is_some() && !self.has_lease(to);
        if has_expired && self.is_outage_confirmed(to) {
            self.renew_in_outage(to, &heartbeat, request);
            return;
        }
        let now = self.instant_at(self.now);
        let unchecked = self.defect == InjectedDefect::RenewLeasesUnchecked;
        if !self.has_lease(to) || !unchecked && !may_lead(self.cancellations_complete_as_of(to), &self.policy, now) {
            return;
        }
        let reply = self.controllers[to].as_mut().and_then(|leader| leader.accept_heartbeat(&heartbeat, now));
        if let Some(reply) = reply {
            self.send_heartbeat_response(&heartbeat, request, reply);
        }
    }

    /// Renews a worker's lease, without giving commands, at a controller whose leader lease has
    /// expired in a state service outage that its peers confirm.
    fn renew_in_outage(&mut self, to: usize, heartbeat: &Heartbeat, request: u64) {
        let now = self.instant_at(self.now);
        let unchecked = self.defect == InjectedDefect::RenewLeasesUnchecked;
        let complete_as_of = self.cancellations_complete_as_of(to);
        if !unchecked && !may_renew(complete_as_of, self.peer_notices_required, &self.policy, now) {
            return;
        }
        let ended_jobs = &self.snapshots[to].ended_jobs;
        let Some(cluster) = self.controllers[to].as_mut().map(|controller| &mut controller.cluster) else { return };
        if cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now) == HeartbeatOutcome::Superseded {
            return;
        }
        let has_ended =
            |id: &Name| ended_jobs.contains(id) || cluster.jobs.get(id).is_some_and(|job| job.outcome.is_some());
        let token = cluster.fencing_token_for(&heartbeat.machine);
        let reply = lease_renewal_reply(heartbeat, token, has_ended);
        self.send_heartbeat_response(heartbeat, request, reply);
    }

    /// Sends the reply to the worker that sent the heartbeat.
    pub(super) fn send_heartbeat_response(&mut self, heartbeat: &Heartbeat, request: u64, reply: HeartbeatReply) {
        let Some(machine) = self.workers.iter().position(|worker| worker.name == heartbeat.machine) else { return };
        self.send(Message::HeartbeatResponse { machine, request, incarnation: heartbeat.incarnation, reply });
    }

    /// Applies a controller's transaction in the state service, unless it is refused.  Returns
    /// `None` if the controller gets no response.
    fn apply_txn(&mut self, from: usize, txn: &Txn, sent_at: Ms) -> Option<Result<u64, Vec<String>>> {
        let size = |write: &Write| match write {
            Write::Set { data, .. } => serde_json::to_string(data).map_or(0, |json| json.len()),
            Write::Delete { .. } => 0,
        };
        let is_too_large = txn.writes.iter().map(size).max() > Some(self.max_value_bytes);
        if is_too_large && sent_at > self.limits_lowered_at {
            self.violations.push(format!(
                "transaction writes a value of more than {} bytes, the lowered limit",
                self.max_value_bytes
            ));
        }
        let is_refused = self.now < self.faults.state_store_outage_until
            || self.now < self.faults.state_store_refuses_until[from]
            || is_too_large;
        let outcome = (!is_refused).then(|| self.state_store.apply(txn));
        let response_lost = self.rng.u32(0..20) == 0;
        outcome.filter(|_| !response_lost)
    }

    /// Applies the result of a transaction to the state of the controller that sent it.
    fn receive_txn_response(
        &mut self,
        to: usize,
        incarnation: u64,
        request: u64,
        outcome: Option<Result<u64, Vec<String>>>,
    ) {
        let now = self.instant_at(self.now);
        let conflicts = outcome.as_ref().and_then(|result| result.as_ref().err()).into_iter().flatten();
        let stored: Vec<_> = conflicts.map(|path| (path.clone(), self.state_store.entry(path))).collect();
        let Some(controller) = self.controller_mut(to, incarnation) else { return };
        let is_current = |commit: &mut CommitInFlight| commit.request == request;
        let Some(CommitInFlight { batch, .. }) = controller.commit_in_flight.take_if(is_current) else { return };
        if let Some(Ok(revision)) = outcome {
            for (id, outcome) in controller.cluster.apply_commit(batch, revision, now) {
                self.record_outcome(to, &id, outcome, revision);
            }
            return;
        }
        controller.cluster.restore_uncommitted(batch);
        for (path, entry) in stored {
            controller.cluster.reconcile_key(&path, entry.as_ref(), now);
        }
    }

    /// Adds a new job that a controller's watch shows, unless the job already has an outcome.
    fn receive_job(&mut self, to: usize, spec: &Arc<JobSpec>, revision: u64) {
        if self.state_store.outcome(&spec.id).is_some() {
            return;
        }
        let now = self.instant_at(self.now);
        let spec = self.spec_under_defect(spec);
        if let Some(controller) = self.controllers[to].as_mut() {
            controller.cluster.add_job(spec, revision, None, now);
        }
    }
}
