//! Delivery of each message to its receiver.

use super::*;
use crate::cancellation::{may_lead, may_renew};

impl World {
    pub(super) fn send_heartbeat_response(&mut self, heartbeat: &Heartbeat, number: u64, answer: HeartbeatReply) {
        let Some(machine) = self.workers.iter().position(|w| w.name == heartbeat.machine) else { return };
        self.send(Message::HeartbeatResponse { machine, number, incarnation: heartbeat.incarnation, answer });
    }

    pub(super) fn controller_mut(&mut self, i: usize, incarnation: u64) -> Option<&mut Controller> {
        self.controllers[i].as_mut().filter(|c| c.incarnation == incarnation)
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn deliver(&mut self, m: Message) {
        let now = self.at(self.now);
        if let Some(until) = m.receiver().map(|i| self.paused_until[i]).filter(|t| self.now < *t) {
            // it waits in the socket, in order
            self.last_sequence += 1;
            self.in_flight.insert((until, self.last_sequence), m);
            return;
        }
        match m {
            Message::ElectionRequest { from, incarnation, number, lease_id, term, txn } => {
                let outcome = self.apply_election(from, lease_id, term, &txn);
                // the answer may be lost
                let outcome = if self.rng.u32(0..10) == 0 { None } else { outcome };
                self.send(Message::ElectionResponse { to: from, incarnation, number, outcome });
            }
            Message::ElectionResponse { to, incarnation, number, outcome } => {
                let waits = |s: &mut Candidate| s.incarnation == incarnation && s.number == number;
                let Some(s) = self.candidates[to].take_if(waits) else { return };
                if let Some(revision) = outcome {
                    self.start_leading(to, s, revision);
                }
            }
            Message::ForwardedHeartbeat { by, term, to, message, heartbeat, number } => {
                self.accept_forwarded_heartbeat(by, term, to, message, heartbeat, number);
            }
            Message::ForwardingResponse { by, term, heartbeat, cancellations_complete_as_of } => {
                match cancellations_complete_as_of {
                    true => self.forwarding[by].mark_accepted(heartbeat, term, now),
                    false => self.forwarding[by].forget(&heartbeat.machine),
                }
            }
            Message::Heartbeat { to, heartbeat, number } if self.may_forward(to) => {
                self.forward_heartbeat(to, heartbeat, number);
            }
            Message::Heartbeat { to, mut heartbeat, number } => {
                let t = self.now;
                if number != NO_RECEIVER && self.replayed_heartbeats.len() < 40 && self.rng.u32(0..20) == 0 {
                    self.replayed_heartbeats.push(heartbeat.clone());
                }
                if t < self.workers_unreachable_until[to] {
                    return;
                }
                if self.defect == InjectedDefect::OrderHeartbeatsByArrival {
                    heartbeat.sequence = t;
                }
                let cancellations_complete_as_of = self.cancellations_complete_as_of(to);
                let blind = self.defect == InjectedDefect::RenewLeasesUnchecked;
                if self.controllers[to].as_ref().is_some_and(|c| t >= c.until) && self.is_outage_confirmed(to) {
                    // an outage by the siblings' word: renewals without commands
                    if !blind && !may_renew(cancellations_complete_as_of, self.peer_notices_required, &self.policy, now)
                    {
                        return;
                    }
                    let over = &self.snapshots[to].over;
                    let Some(c) = self.controllers[to].as_mut() else { return };
                    if c.cluster.apply_heartbeat(&heartbeat, true, now).is_none() {
                        return;
                    }
                    let ended =
                        |id: &Name| over.contains(id) || c.cluster.jobs.get(id).is_some_and(|j| j.outcome.is_some());
                    let answer =
                        lease_renewal_reply(&heartbeat, c.cluster.fencing_token_for(&heartbeat.machine), ended);
                    self.send_heartbeat_response(&heartbeat, number, answer);
                    return;
                }
                if !blind && !may_lead(cancellations_complete_as_of, &self.policy, now) {
                    return;
                }
                let Some(c) = self.controllers[to].as_mut().filter(|c| t < c.until) else { return };
                if c.cluster.apply_heartbeat(&heartbeat, true, now).is_none() {
                    return;
                }
                if c.cluster.queue_changed {
                    c.unmet_demand = c.cluster.run_placement_pass(now);
                }
                let answer = c.cluster.reply_to_heartbeat(&heartbeat, now);
                self.send_heartbeat_response(&heartbeat, number, answer);
            }
            Message::HeartbeatResponse { machine, number, incarnation, answer } => {
                let w = &mut self.workers[machine];
                let Some((_, sent)) = w.pending_heartbeat.filter(|f| f.0 == number) else { return };
                if !w.alive
                    || self.now < w.hung_until.max(w.inbound_lost_until)
                    || w.incarnation != incarnation
                    || answer.fencing_token < w.fencing_token
                {
                    return;
                }
                if self.now - sent > 4000 {
                    return;
                }
                w.pending_heartbeat = None;
                w.fencing_token = answer.fencing_token;
                w.renewed = w.renewed.max(sent);
                self.execute_commands(machine, &answer.commands);
            }
            Message::DirectCommandRequest { from, incarnation, call } => {
                let Some(i) = self.workers.iter().position(|w| w.name == call.machine) else { return };
                let held = self.workers[i]
                    .hung_until
                    .max(self.zone_partitioned_until[i % 3])
                    .max(self.workers_unreachable_until[from]);
                if self.now < self.workers[i].inbound_lost_until {
                    // lost, and given up after a while
                    self.last_sequence += 1;
                    let lost = Message::DirectCommandResponse { to: from, incarnation, call, heartbeat: None };
                    self.in_flight.insert((self.now + 1500, self.last_sequence), lost);
                    return;
                }
                if self.workers[i].alive && self.now < held {
                    // carried out when the machine goes on, or its zone is back
                    self.last_sequence += 1;
                    let at = held + STEP;
                    self.in_flight
                        .insert((at, self.last_sequence), Message::DirectCommandRequest { from, incarnation, call });
                    return;
                }
                let mut heartbeat = None;
                if self.workers[i].alive {
                    let w = &mut self.workers[i];
                    if call.body.fencing_token >= w.fencing_token && call.body.incarnation == w.incarnation {
                        w.fencing_token = call.body.fencing_token;
                        self.execute_commands(i, &call.body.commands);
                    }
                    heartbeat = Some(self.workers[i].heartbeat());
                }
                self.send(Message::DirectCommandResponse { to: from, incarnation, call, heartbeat });
            }
            Message::DirectCommandResponse { to, incarnation, call, heartbeat } => {
                if let Some(c) = self.controller_mut(to, incarnation) {
                    // given up for good after a while (see `time_out_direct_commands`)
                    let commit_in_flight = c.cluster.machines.get(&call.machine).is_some_and(|m| m.command_in_flight);
                    let current = c
                        .cluster
                        .machines
                        .get(&call.machine)
                        .is_some_and(|m| m.in_doubt_token.is_none_or(|d| d == call.body.fencing_token));
                    if commit_in_flight && current {
                        c.cluster.apply_direct_result(&call, heartbeat.as_ref(), now);
                    }
                }
            }
            Message::TxnRequest { from, incarnation, number, txn, at } => {
                let size = |w: &Write| match w {
                    Write::Set { data, .. } => serde_json::to_string(data).map_or(0, |s| s.len()),
                    Write::Delete { .. } => 0,
                };
                let large = txn.writes.iter().map(size).max() > Some(self.max_value_bytes);
                if large && at > self.limits_lowered_at {
                    self.violations.push(format!("a value of more than {} bytes", self.max_value_bytes));
                }
                let carried = self.now >= self.state_store_outage_until
                    && self.now >= self.state_store_refuses_until[from]
                    && !large;
                let outcome = carried.then(|| self.state_store.apply(&txn));
                // the answer may be lost
                let lost = self.rng.u32(0..20) == 0;
                let outcome = if lost { None } else { outcome };
                self.send(Message::TxnResponse { to: from, incarnation, number, outcome });
            }
            Message::TxnResponse { to, incarnation, number, outcome } => {
                let items = |s: &StateStore, k: &str| {
                    s.kv.get(k).map(|(data, revision)| KeyValue {
                        key: k.into(),
                        value: data.clone(),
                        revision: *revision,
                    })
                };
                let mut found = Vec::new();
                if let Some(Err(keys)) = &outcome {
                    found = keys.iter().map(|k| (k.clone(), items(&self.state_store, k))).collect();
                }
                let Some(c) = self.controller_mut(to, incarnation) else { return };
                let Some((batch, ..)) = c.commit_in_flight.take_if(|f| f.1 == number) else { return };
                match outcome {
                    Some(Ok(rev)) => {
                        for (id, outcome) in c.cluster.apply_commit(batch, rev, now) {
                            self.record_outcome(to, &id, outcome, rev);
                        }
                    }
                    _ => {
                        c.cluster.restore_uncommitted(batch);
                        for (k, item) in found {
                            c.cluster.reconcile_key(&k, item.as_ref(), now);
                        }
                    }
                }
            }
            Message::JobSubmitted { to, spec, revision } => {
                let outcome = self.state_store.outcome(&spec.id);
                let spec = self.job_under_defect(&spec);
                if let Some(c) = self.controllers[to].as_mut().filter(|_| outcome.is_none()) {
                    c.cluster.add_job(spec, revision, None, now);
                }
            }
            Message::DeleteMachines { names, from, incarnation } => {
                if self.now < self.cloud_outage_until {
                    return;
                }
                for w in self.workers.iter_mut().filter(|w| names.contains(&w.name)) {
                    w.alive = false;
                    w.tasks.clear();
                }
                self.send(Message::MachinesDeleted { names, to: from, incarnation });
                self.scale_out();
            }
            Message::MachinesDeleted { names, to, incarnation } => {
                if let Some(c) = self.controller_mut(to, incarnation) {
                    c.cluster.apply_deletion(&names, now);
                }
            }
        }
    }

    /// DirectCommandRequest commands without an answer are given up after a while.
    pub(super) fn time_out_direct_commands(&mut self) {
        let late: Vec<(usize, u64, DirectCommand)> = self
            .in_flight
            .iter()
            .filter_map(|((at, _), m)| match m {
                Message::DirectCommandRequest { from, incarnation, call }
                | Message::DirectCommandResponse { to: from, incarnation, call, .. }
                    if *at > self.now + 1500 =>
                {
                    Some((*from, *incarnation, call.clone()))
                }
                _ => None,
            })
            .collect();
        let now = self.at(self.now);
        let forget = self.defect == InjectedDefect::ForgetUnansweredStart;
        for (from, incarnation, call) in late {
            if self.now < self.paused_until[from] {
                continue; // it gives up when it wakes
            }
            if let Some(c) = self.controller_mut(from, incarnation) {
                let current = c.cluster.machines.get(&call.machine).is_some_and(|m| {
                    m.command_in_flight && m.in_doubt_token.is_none_or(|d| d == call.body.fencing_token)
                });
                if current {
                    c.cluster.apply_direct_result(&call, None, now);
                    if forget {
                        if let Some(m) = c.cluster.machines.get_mut(&call.machine) {
                            m.in_doubt_token = None;
                            let gone: Vec<Task> = m
                                .tasks
                                .iter()
                                .filter(|(_, p)| p.phase == crate::cluster::TaskPhase::Assigned)
                                .map(|(t, _)| t.clone())
                                .collect();
                            for t in gone {
                                c.cluster.release_assignment(&call.machine, &t, now);
                            }
                        }
                    }
                }
            }
        }
    }
}
