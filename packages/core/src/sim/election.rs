//! Leader election over the state service, and the start of a new leader.

use super::*;

/// A controller that stands for leader.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Life that it stands for.
    pub(super) incarnation: u64,
    pub(super) number: u64,
    pub(super) sent: Ms,
    pub(super) lease_id: u64,
    pub(super) term: u64,
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
    pub(super) fn apply_election(&mut self, who: usize, lease_id: u64, term: u64, txn: &Txn) -> Option<u64> {
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
    pub(super) fn start_leading(&mut self, who: usize, s: Candidate, revision: u64) {
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
    pub(super) fn job_under_defect(&self, spec: &Arc<JobSpec>) -> Arc<JobSpec> {
        match self.defect {
            InjectedDefect::IgnoreDependencies => Arc::new(JobSpec { needs: Vec::new(), ..(**spec).clone() }),
            _ => spec.clone(),
        }
    }
}
