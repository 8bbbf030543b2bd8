//! Leader election through the state service, and the start of a new leader.

use super::*;

/// Time for which a candidate waits for the response to its election transaction.
const ELECTION_TIMEOUT: Ms = 1500;

/// A controller that waits for the response to its election transaction.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) incarnation: u64,
    pub(super) request: u64,
    sent_at: Ms,
    lease_id: u64,
    term: u64,
}

impl World {
    /// Lets controllers become candidates if they find no leader, or find their own earlier
    /// incarnation as the leader.  A process may crash between any two steps of an election.
    pub(super) fn elect_leader(&mut self) {
        self.state_store.expire_leases(self.now);
        if self.now < self.faults.state_store_outage_until {
            // after an outage, every lease lasts for its full duration again
            let until = self.faults.state_store_outage_until + self.lease_ttl();
            self.state_store.leases.values_mut().for_each(|lease| *lease = until);
            return;
        }
        let all_unreachable = self.faults.workers_unreachable_until.iter().all(|until| *until > self.now);
        for i in 0..3 {
            let may_write = self.faults.lease_renewal_blocked_until[i] <= self.now && self.is_served(i);
            if !may_write || self.controllers[i].is_some() {
                continue;
            }
            if let Some(candidate) = self.candidates[i] {
                if self.now - candidate.sent_at > ELECTION_TIMEOUT {
                    // the state service may still apply a transaction whose response is missing
                    self.candidates[i] = None;
                }
                continue;
            }
            let is_eligible = self.state_store.leader.is_none_or(|leader| leader.controller == i);
            // a controller that workers cannot reach does not stand for election while they can reach
            // another one
            let defers_to_peers = self.faults.workers_unreachable_until[i] > self.now && !all_unreachable;
            if is_eligible && !defers_to_peers && self.rng.u32(0..3) != 0 {
                self.start_candidacy(i);
            }
        }
    }

    /// Starts a candidacy: the controller reads the leader key and the term, acquires a lease,
    /// and sends a transaction that writes both keys if neither has changed since it was read.
    fn start_candidacy(&mut self, i: usize) {
        let term = self.state_store.read::<u64>(key::TERM).unwrap_or(0) + 1;
        let mut txn = Txn::default();
        for path in [key::LEADER, key::TERM] {
            txn.add_precondition(path, self.state_store.revision(path));
            txn.writes.push(Write::set(path, &term));
        }
        if self.defect == InjectedDefect::ElectWithoutPreconditions {
            txn.preconditions.clear();
        }
        self.last_incarnation += 1;
        self.last_sequence += 1;
        let (incarnation, request, lease_id) = (self.last_incarnation, self.last_sequence, self.last_incarnation);
        self.state_store.leases.insert(lease_id, self.now + self.lease_ttl());
        self.candidates[i] = Some(Candidate { incarnation, request, sent_at: self.now, lease_id, term });
        self.send(Message::ElectionRequest { from: i, incarnation, request, lease_id, term, txn });
    }

    /// Applies an election transaction in the state service if the candidate's lease is still
    /// valid.  Returns the revision of the leader key, or `None` if the candidate is not elected.
    pub(super) fn apply_election(&mut self, from: usize, lease_id: u64, term: u64, txn: &Txn) -> Option<u64> {
        if self.now < self.faults.state_store_outage_until || !self.state_store.leases.contains_key(&lease_id) {
            return None;
        }
        let is_reelection = self.state_store.leader.is_some_and(|leader| leader.controller == from);
        let revision = self.state_store.apply(txn).ok()?;
        if term <= self.greatest_term {
            self.violations.push(format!("election in term {term}, which is not greater than all earlier terms"));
        }
        self.greatest_term = self.greatest_term.max(term);
        self.statistics.elections += 1;
        self.statistics.reelections += u32::from(is_reelection);
        self.state_store.leader = Some(LeaderKey { controller: from, lease_id });
        Some(revision)
    }

    /// Handles the response to an election transaction.
    pub(super) fn receive_election_response(&mut self, i: usize, incarnation: u64, request: u64, elected: Option<u64>) {
        let is_current =
            |candidate: &mut Candidate| candidate.incarnation == incarnation && candidate.request == request;
        let Some(candidate) = self.candidates[i].take_if(is_current) else { return };
        if let Some(revision) = elected {
            self.replay_heartbeats();
            self.start_leading(i, candidate, revision);
        }
    }

    /// Sends copies of old heartbeats to every controller, so that they arrive just after a new
    /// leader has started.
    fn replay_heartbeats(&mut self) {
        for heartbeat in std::mem::take(&mut self.replayed_heartbeats) {
            for to in 0..3 {
                let at = self.now + self.rng.u64(1..4) * STEP;
                let heartbeat = heartbeat.clone();
                self.enqueue(at, Message::Heartbeat { to, heartbeat, request: NO_RECEIVER });
            }
        }
    }

    /// Loads the stored records into a new leader and starts it.
    fn start_leading(&mut self, i: usize, candidate: Candidate, leader_revision: u64) {
        let now = self.instant_at(self.now);
        let mut cluster = Cluster::new(candidate.term, self.policy.clone(), self.teams.clone(), now);
        cluster.set_types(&[machine_type("t")]);
        let has_controller = |zone: &usize| self.zone_without_controller != Some(*zone);
        cluster.zones_with_controller =
            (0..3).filter(has_controller).map(|zone| Name::from(format!("z{zone}"))).collect();
        self.load_records(&mut cluster, now);
        cluster.apply_machine_list(&self.stale_machine_list(), now);
        // an earlier leader continues to act as the leader until its lease has expired
        self.controllers[i] = Some(Controller {
            lease_until: candidate.sent_at + self.lease_ttl(),
            leader_revision,
            lease_id: candidate.lease_id,
            cluster,
            commit_in_flight: None,
            incarnation: candidate.incarnation,
            unmet_demand: vec![],
        });
    }

    /// Loads all jobs and shards into a new leader's state.
    fn load_records(&self, cluster: &mut Cluster, now: Instant) {
        let paths = self.state_store.kv.keys().filter(|path| path.starts_with(key::SHARD));
        let entries = paths.filter_map(|path| self.state_store.entry(path));
        let shards: Vec<_> =
            entries.map(|entry| read_shard(&entry.key, &entry).expect("a stored shard is readable")).collect();
        let started = started_jobs(shards.iter().map(|shard| &shard.shard));
        for SubmittedJob { spec, revision } in self.jobs.values() {
            // a job with an outcome is loaded only if a shard names the job
            match (self.state_store.outcome(&spec.id), started.contains(&spec.id)) {
                (None, true) if self.defect != InjectedDefect::BlockStartedJobs => {
                    cluster.add_started_job(spec.clone(), *revision, None, now);
                }
                (None, _) => cluster.add_job(self.spec_under_defect(spec), *revision, None, now),
                (outcome, true) => cluster.add_job(spec.clone(), *revision, outcome, now),
                _ => {}
            }
        }
        for StoredShard { id, shard, locations } in shards {
            cluster.add_shard(id, shard, &locations, now);
        }
    }

    /// Returns the job as a controller adds it: without dependencies if the injected defect is
    /// `IgnoreDependencies`.
    pub(super) fn spec_under_defect(&self, spec: &Arc<JobSpec>) -> Arc<JobSpec> {
        match self.defect {
            InjectedDefect::IgnoreDependencies => Arc::new(JobSpec { dependencies: Vec::new(), ..(**spec).clone() }),
            _ => spec.clone(),
        }
    }
}
