//! Three controllers, whose decisions are the production code's own.

use super::*;

pub(super) struct Controller {
    pub(super) until: Ms,
    pub(super) revision: u64,
    /// Its lease.
    pub(super) lease_id: u64,
    pub(super) cluster: Cluster,
    /// The transaction without an answer yet, its number and when it left.
    pub(super) commit_in_flight: Option<(CommitBatch, u64, Ms)>,
    /// Life number: messages to a former incarnation are dropped.
    pub(super) incarnation: u64,
    pub(super) unmet_demand: Vec<crate::cluster::UnmetDemand>,
}

impl World {
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
}
