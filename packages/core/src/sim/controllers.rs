//! Three controllers: election, steps, and what reaches them.  Their decisions
//! are the program's own.

use super::*;
use crate::cancellation::{may_lead, may_renew};

pub(super) struct Controller {
    pub(super) until: Ms,
    pub(super) revision: u64,
    /// Its lease.
    lease_id: u64,
    pub(super) cluster: Cluster,
    /// The transaction without an answer yet, its number and when it left.
    pub(super) commit_in_flight: Option<(CommitBatch, u64, Ms)>,
    /// Life number: messages to a former incarnation are dropped.
    pub(super) incarnation: u64,
    pub(super) unmet_demand: Vec<crate::cluster::UnmetDemand>,
}

/// A controller that stands for leader.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Life that it stands for.
    incarnation: u64,
    number: u64,
    sent: Ms,
    lease_id: u64,
    term: u64,
}

impl World {
    /// Those that find no leader, or their own earlier incarnation as leader, stand for
    /// it: read the key and the term, take a lease, and write both, guarded on what
    /// they read.  A process may end between any two of these.
    pub(super) fn elect_leader(&mut self) {
        self.state_store.expire(self.now);
        let ttl = self.policy.ttl.as_millis() as Ms;
        if self.now < self.state_store_outage_until {
            // after an outage every lease has its full time again
            self.state_store.leases.values_mut().for_each(|until| *until = self.state_store_outage_until + ttl);
            return;
        }
        let all_unreachable = self.workers_unreachable_until.iter().all(|t| *t > self.now);
        for i in 0..3 {
            let reaches = self.lease_renewal_blocked_until[i] <= self.now && self.is_served(i);
            if self.down_until[i] > self.now || !reaches || self.controllers[i].is_some() {
                continue;
            }
            if let Some(s) = self.candidates[i] {
                if self.now - s.sent > 1500 {
                    // no answer: it may be carried out yet
                    self.candidates[i] = None;
                }
                continue;
            }
            let free = self.state_store.leader.is_none_or(|(who, _)| who == i);
            // one that is unreachable by workers stands down while others can lead
            if !free || self.workers_unreachable_until[i] > self.now && !all_unreachable || self.rng.u32(0..3) == 0 {
                continue;
            }
            let mut txn = Txn::default();
            txn.require(key::LEADER, self.state_store.revision(key::LEADER));
            txn.require(key::TERM, self.state_store.revision(key::TERM));
            let last = self.state_store.kv.get(key::TERM).and_then(|(d, _)| read_value::<u64>(key::TERM, d.clone()));
            let term = last.unwrap_or(0) + 1;
            txn.writes.push(Write::set(key::LEADER, &term));
            txn.writes.push(Write::set(key::TERM, &term));
            if self.defect == InjectedDefect::ElectWithoutPreconditions {
                txn.preconditions.clear();
            }
            self.last_incarnation += 1;
            self.last_sequence += 1;
            let (incarnation, number, lease_id) = (self.last_incarnation, self.last_sequence, self.last_incarnation);
            self.state_store.leases.insert(lease_id, self.now + ttl);
            self.candidates[i] = Some(Candidate { incarnation, number, sent: self.now, lease_id, term });
            self.send(Message::ElectionRequest { from: i, incarnation, number, lease_id, term, txn });
        }
    }

    /// The store carries out an election, if its lease still lasts.
    fn apply_election(&mut self, who: usize, lease_id: u64, term: u64, txn: &Txn) -> Option<u64> {
        if self.now < self.state_store_outage_until || !self.state_store.leases.contains_key(&lease_id) {
            return None;
        }
        let own = self.state_store.leader.is_some_and(|(w, _)| w == who);
        let revision = self.state_store.apply(txn).ok()?;
        if term <= self.term {
            self.violations.push(format!("term {term} was given before"));
        }
        self.term = self.term.max(term);
        self.elections.0 += 1;
        self.elections.1 += u32::from(own);
        self.state_store.leader = Some((who, lease_id));
        Some(revision)
    }

    /// A controller has heard that it leads: it reads all, and begins.
    fn start_leading(&mut self, who: usize, s: Candidate, revision: u64) {
        // old reports reach every controller just as a new leader begins
        for heartbeat in std::mem::take(&mut self.replayed_heartbeats) {
            for to in 0..3 {
                self.last_sequence += 1;
                let (at, heartbeat) = (self.now + self.rng.u64(1..4) * STEP, heartbeat.clone());
                self.in_flight
                    .insert((at, self.last_sequence), Message::Heartbeat { to, heartbeat, number: NO_RECEIVER });
            }
        }
        let ttl = self.policy.ttl.as_millis() as Ms;
        let at = self.at(self.now);
        let mut c = Cluster::new(s.term, self.policy.clone(), self.teams.clone(), at);
        c.set_types(&[machine_type("t")]);
        c.zones_with_controller =
            (0..3).filter(|z| self.zone_without_controller != Some(*z)).map(|z| Name::from(format!("z{z}"))).collect();
        let pages: Vec<_> = self
            .state_store
            .kv
            .iter()
            .filter(|(p, _)| p.starts_with(key::SHARD))
            .map(|(path, (data, revision))| {
                let item = KeyValue { key: path.clone(), value: data.clone(), revision: *revision };
                read_shard(path, &item).expect("own page")
            })
            .collect();
        let begun = started_jobs(pages.iter().map(|p| &p.1));
        for (spec, revision) in self.jobs.values() {
            // what is over is known only where a page names it
            match (self.state_store.outcome(&spec.id), begun.contains(&spec.id)) {
                (None, true) if self.defect != InjectedDefect::BlockStartedJobs => {
                    c.add_started_job(spec.clone(), *revision, None, at)
                }
                (None, _) => c.add_job(self.job_under_defect(spec), *revision, None, at),
                (outcome, true) => c.add_job(spec.clone(), *revision, outcome, at),
                _ => {}
            }
        }
        for (id, page, machines) in pages {
            c.add_shard(id, page, &machines, at);
        }
        c.apply_machine_list(&self.stale_machine_list(), at);
        // an earlier leader goes on believing in itself until its time is up
        self.controllers[who] = Some(Controller {
            until: s.sent + ttl,
            revision,
            lease_id: s.lease_id,
            cluster: c,
            commit_in_flight: None,
            incarnation: s.incarnation,
            unmet_demand: vec![],
        });
    }

    /// A job as a controller takes it in; without what it needs where that is
    /// left out on purpose.
    fn job_under_defect(&self, spec: &Arc<JobSpec>) -> Arc<JobSpec> {
        match self.defect {
            InjectedDefect::IgnoreDependencies => Arc::new(JobSpec { needs: Vec::new(), ..(**spec).clone() }),
            _ => spec.clone(),
        }
    }

    /// A list of the cloud's, of now or of some seconds ago.
    pub(super) fn stale_machine_list(&mut self) -> Vec<ListedMachine> {
        let now: Vec<ListedMachine> = self.workers.iter().filter(|w| w.alive).map(list_entry).collect();
        match self.machine_lists.len() {
            0 => now,
            n => self.machine_lists[self.rng.usize(0..n)].clone(),
        }
    }

    #[expect(clippy::too_many_lines, reason = "longer than the limit since before it; to be divided")]
    pub(super) fn step_controllers(&mut self) {
        if self.now.is_multiple_of(1000) {
            self.machine_lists.push(self.workers.iter().filter(|w| w.alive).map(list_entry).collect());
            if self.machine_lists.len() > 10 {
                self.machine_lists.remove(0);
            }
        }
        self.elect_leader();
        let ttl = self.policy.ttl.as_millis() as Ms;
        for i in 0..3 {
            let now = self.at(self.now);
            if self.now < self.paused_until[i] {
                continue;
            }
            let Some(mut c) = self.controllers[i].take() else { continue };
            if let Some((_, gap)) = self.next_pause.filter(|f| f.0 == i) {
                // from here on nothing leaves before it wakes
                self.next_pause = None;
                self.paused_until[i] = self.now + gap;
                if self.defect == InjectedDefect::TrustExpiredLease {
                    c.until += gap;
                }
            } else if self.paused_until[i] > 0 {
                self.paused_until[i] = 0;
                c.cluster.resumed_at = now;
            }
            let believes = self.defect == InjectedDefect::TrustExpiredLease && self.now < c.until;
            if self.now < self.workers_unreachable_until[i]
                && self.workers_unreachable_until[i] - self.now < 8_000
                && self.now >= self.lease_renewal_blocked_until[i]
            {
                // it has asked its siblings, and hands over
                self.state_store.leases.remove(&c.lease_id);
                continue;
            }
            let holds = self.state_store.leader == Some((i, c.lease_id))
                && self.state_store.revision(key::LEADER) == c.revision;
            let reaches = self.is_served(i) && self.now >= self.lease_renewal_blocked_until[i];
            if reaches && !holds && !believes {
                continue; // its lease is gone, and it hears of it
            }
            if reaches && holds && self.now.is_multiple_of(500) {
                self.state_store.leases.insert(c.lease_id, self.now + ttl);
                c.until = self.now + ttl;
            }
            let acts = self.now < c.until;
            if reaches {
                for n in c.cluster.dependency.outcomes_to_fetch(3, Duration::from_secs(1), now) {
                    if let Some(f) = self.state_store.outcome(&n) {
                        c.cluster.set_outcome(&n, f, now);
                    }
                }
            }
            if self.defect == InjectedDefect::UnblockBeforeCommit {
                let early = c.cluster.jobs.values().filter(|j| j.is_completing()).map(|j| j.spec.id.clone());
                for id in early.collect::<Vec<_>>() {
                    for h in c.cluster.dependency.apply_outcome(&id, JobOutcome::Done) {
                        c.cluster.release_blocked_job(h);
                    }
                }
            }
            if self.defect == InjectedDefect::KeepTokenOfDirectStart {
                c.cluster.machines.values_mut().for_each(|m| m.last_direct_fence = None);
            }
            if self.defect == InjectedDefect::SkipCascadingCancellation {
                for id in c.cluster.dependency.needing_cancelled().cloned().collect::<Vec<_>>() {
                    c.cluster.dependency.unblock(&id);
                }
            }
            if acts && self.now.is_multiple_of(500) {
                c.unmet_demand = c.cluster.run_placement_pass(now);
                c.cluster.collect_garbage(now);
                if self.now.is_multiple_of(2000) {
                    let list = self.stale_machine_list();
                    c.cluster.apply_machine_list(&list, now);
                    if self.defect == InjectedDefect::ReleaseUnlistedMachines {
                        let has = |n: &Name| list.iter().any(|l| l.name == *n);
                        let gone: Vec<Name> = c.cluster.machines.keys().filter(|n| !has(n)).cloned().collect();
                        for n in gone {
                            c.cluster.release_all_assignments(&n, now);
                        }
                    }
                    let plan = c.cluster.plan_fleet(&c.unmet_demand, now);
                    if !plan.delete.is_empty() {
                        self.send(Message::DeleteMachines { names: plan.delete, from: i, incarnation: c.incarnation });
                    }
                }
                if self.defect == InjectedDefect::ReleaseAfterMissedHeartbeats {
                    let quiet = |m: &&crate::cluster::Machine| {
                        m.last_heartbeat.is_some_and(|t| now.duration_since(t).as_secs() >= 5)
                    };
                    let quiet: Vec<Name> = c.cluster.machines.values().filter(quiet).map(|m| m.name.clone()).collect();
                    for n in quiet {
                        c.cluster.release_all_assignments(&n, now);
                    }
                }
                if self.defect == InjectedDefect::StartBeforeCommit {
                    for p in c.cluster.machines.values_mut().flat_map(|m| m.tasks.values_mut()) {
                        p.stored = true;
                    }
                }
            }
            if acts {
                for call in c.cluster.take_direct_commands(usize::MAX) {
                    self.send(Message::DirectCommandRequest { from: i, incarnation: c.incarnation, call });
                }
            }
            if let Some((batch, ..)) = c.commit_in_flight.take_if(|f| self.now - f.2 > 1500) {
                // no answer: it may be carried out yet
                c.cluster.restore_uncommitted(batch);
            }
            if c.commit_in_flight.is_none() {
                if let Some(mut batch) = c.cluster.next_commit(c.revision, &self.limits) {
                    if believes {
                        batch.txn.preconditions.retain(|g| g.key != key::LEADER && !g.key.starts_with(key::SHARD));
                    }
                    let (number, at) = (self.last_sequence, self.now);
                    self.send(Message::TxnRequest {
                        from: i,
                        incarnation: c.incarnation,
                        number,
                        txn: batch.txn.clone(),
                        at,
                    });
                    c.commit_in_flight = Some((batch, number, at));
                }
            }
            self.controllers[i] = Some(c);
        }
    }

    fn send_heartbeat_response(&mut self, heartbeat: &Heartbeat, number: u64, answer: HeartbeatReply) {
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

    /// Whether a heartbeat that comes to a controller goes on to the leader.
    fn may_forward(&self, i: usize) -> bool {
        let leads = self.controllers[i].as_ref().is_some_and(|c| self.now < c.until);
        let up = self.now >= self.down_until[i] && self.now >= self.workers_unreachable_until[i];
        self.forwards_heartbeats && up && !leads && self.now >= self.peers_unreachable_until[i]
    }

    /// Sends a heartbeat on to whoever leads by what is known there, which may be old.
    fn forward_heartbeat(&mut self, by: usize, heartbeat: Heartbeat, number: u64) {
        let believes = |c: &Option<Controller>| c.as_ref().is_some_and(|c| self.now < c.until);
        let leaders: Vec<usize> = (0..3).filter(|i| *i != by && believes(&self.controllers[*i])).collect();
        if leaders.is_empty() {
            return;
        }
        let to = leaders[self.rng.usize(0..leaders.len())];
        if self.now < self.peers_unreachable_until[to] {
            return;
        }
        let Some(term) = self.controllers[to].as_ref().map(|c| c.cluster.term) else { return };
        let message = self.forwarding[by].message(&heartbeat, term);
        self.send(Message::ForwardedHeartbeat { by, term, to, message, heartbeat, number });
    }

    /// The leader takes a forwarded heartbeat, in full or as a sign of incarnation.
    fn accept_forwarded_heartbeat(
        &mut self,
        by: usize,
        term: u64,
        to: usize,
        message: ForwardedHeartbeat,
        heartbeat: Heartbeat,
        number: u64,
    ) {
        let now = self.at(self.now);
        let cancellations_complete_as_of = self.cancellations_complete_as_of(to);
        let leads = may_lead(cancellations_complete_as_of, &self.policy, now);
        let careless = self.defect == InjectedDefect::AcceptAnyUnchangedHeartbeat;
        let acts = |c: &&mut Controller| self.now < c.until && c.cluster.term == term;
        let Some(c) = self.controllers[to].as_mut().filter(acts).filter(|_| leads) else { return };
        let answer = match &message {
            ForwardedHeartbeat::Full => {
                if c.cluster.apply_heartbeat(&heartbeat, true, now).is_none() {
                    return;
                }
                if c.cluster.queue_changed {
                    c.unmet_demand = c.cluster.run_placement_pass(now);
                }
                Some(c.cluster.reply_to_heartbeat(&heartbeat, now))
            }
            // taken for news, however late it comes
            ForwardedHeartbeat::UnchangedHeartbeat(u) if careless => {
                let last = c.cluster.machines.get(&u.machine).map_or(0, |m| m.sequence);
                let news = Heartbeat { sequence: last + 1, ..heartbeat.clone() };
                c.cluster.apply_heartbeat(&news, true, now).map(|_| c.cluster.reply_to_heartbeat(&news, now))
            }
            ForwardedHeartbeat::UnchangedHeartbeat(u) => c.cluster.apply_unchanged(u, now),
        };
        let Some(answer) = answer else {
            return self.send(Message::ForwardingResponse { by, term, heartbeat, cancellations_complete_as_of: false });
        };
        self.unchanged_forwarded += u32::from(message != ForwardedHeartbeat::Full);
        self.send_heartbeat_response(&heartbeat, number, answer);
        self.send(Message::ForwardingResponse { by, term, heartbeat, cancellations_complete_as_of: true });
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
