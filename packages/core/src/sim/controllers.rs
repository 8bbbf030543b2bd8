//! Three simulated controllers.  Their decisions are made by the production code; the
//! simulation replaces only the I/O.

use super::*;
use crate::cluster::{Machine, TaskPhase, UnmetDemand};

/// Time for which a controller waits for the response to a transaction.
pub(super) const TXN_TIMEOUT: Ms = 1500;
/// A leader that is unreachable for workers gives up its lease when less than this time
/// remains before workers can reach it again.
const HANDOVER_MARGIN: Ms = 8_000;

/// A transaction whose response has not arrived yet.
pub(super) struct CommitInFlight {
    pub(super) batch: CommitBatch,
    pub(super) request: u64,
    sent_at: Ms,
}

/// A controller that was elected and has not yet learned that it lost the leadership.
pub(super) struct Controller {
    /// Time at which the leader lease expires, as far as the controller knows.
    pub(super) lease_until: Ms,
    /// Revision at which the controller wrote the leader key.
    pub(super) leader_revision: u64,
    pub(super) lease_id: u64,
    pub(super) cluster: Cluster,
    pub(super) commit_in_flight: Option<CommitInFlight>,
    /// Incarnation of the controller, which changes with each candidacy.  Responses to an earlier
    /// incarnation are dropped.
    pub(super) incarnation: u64,
    pub(super) unmet_demand: Vec<UnmetDemand>,
}

impl Controller {
    /// Reports whether the leader lease is still valid, as far as the controller knows.
    pub(super) fn has_lease(&self, now: Ms) -> bool {
        now < self.lease_until
    }

    /// Applies a heartbeat and returns the reply, or `None` if a newer heartbeat supersedes it.
    pub(super) fn accept_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> Option<HeartbeatReply> {
        if self.cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, now) == HeartbeatOutcome::Superseded {
            return None;
        }
        if self.cluster.queue_changed {
            self.unmet_demand = self.cluster.run_placement_pass(now);
        }
        Some(self.cluster.reply_to_heartbeat(heartbeat, now))
    }

    /// Applies a defect that takes effect in each step.
    fn inject_defect(&mut self, defect: InjectedDefect) {
        match defect {
            InjectedDefect::UnblockBeforeCommit => {
                let completing = self.cluster.jobs.values().filter(|job| job.is_completing());
                let completing: Vec<Name> = completing.map(|job| job.spec.id.clone()).collect();
                for id in completing {
                    for blocked in self.cluster.dependencies.apply_outcome(&id, JobOutcome::Done) {
                        self.cluster.release_blocked_job(blocked);
                    }
                }
            }
            InjectedDefect::KeepTokenOfDirectStart => {
                self.cluster.machines.values_mut().for_each(|machine| machine.last_direct_fence = None);
            }
            InjectedDefect::SkipCascadingCancellation => {
                let dependents: Vec<Name> = self.cluster.dependencies.dependents_of_cancelled().cloned().collect();
                for id in dependents {
                    self.cluster.dependencies.unblock(&id);
                }
            }
            _ => {}
        }
    }

    /// Applies a defect that takes effect after each placement pass.
    fn inject_pass_defect(&mut self, defect: InjectedDefect, now: Instant) {
        match defect {
            InjectedDefect::ReleaseAfterMissedHeartbeats => {
                let is_overdue =
                    |machine: &&Machine| machine.last_heartbeat.is_some_and(|at| now.duration_since(at).as_secs() >= 5);
                let overdue = self.cluster.machines.values().filter(is_overdue);
                let overdue: Vec<Name> = overdue.map(|machine| machine.name.clone()).collect();
                for name in overdue {
                    self.cluster.release_all_assignments(&name, now);
                }
            }
            InjectedDefect::StartBeforeCommit => {
                let assignments = self.cluster.machines.values_mut().flat_map(|machine| machine.tasks.values_mut());
                assignments.for_each(|assignment| assignment.stored = true);
            }
            _ => {}
        }
    }

    /// Releases the tasks of machines that are missing from a machine list, if `defect` is
    /// `ReleaseUnlistedMachines`.
    fn inject_list_defect(&mut self, defect: InjectedDefect, list: &[ListedMachine], now: Instant) {
        if defect != InjectedDefect::ReleaseUnlistedMachines {
            return;
        }
        let is_listed = |name: &Name| list.iter().any(|listed| listed.name == *name);
        let unlisted: Vec<Name> = self.cluster.machines.keys().filter(|name| !is_listed(name)).cloned().collect();
        for name in unlisted {
            self.cluster.release_all_assignments(&name, now);
        }
    }

    /// Releases the assigned tasks of a machine although a start command without a response
    /// may have been executed.
    pub(super) fn forget_unanswered_start(&mut self, name: &Name, now: Instant) {
        let Some(machine) = self.cluster.machines.get_mut(name) else { return };
        machine.in_doubt_token = None;
        let assigned = machine.tasks.iter().filter(|(_, assignment)| assignment.phase == TaskPhase::Assigned);
        let assigned: Vec<Task> = assigned.map(|(task, _)| task.clone()).collect();
        for task in assigned {
            self.cluster.release_assignment(name, &task, now);
        }
    }
}

impl World {
    /// Returns the controller at an index if it still has the given incarnation.
    pub(super) fn controller_mut(&mut self, i: usize, incarnation: u64) -> Option<&mut Controller> {
        self.controllers[i].as_mut().filter(|controller| controller.incarnation == incarnation)
    }

    /// Reports whether a controller has a valid leader lease, as far as it knows.
    pub(super) fn has_lease(&self, i: usize) -> bool {
        self.controllers[i].as_ref().is_some_and(|controller| controller.has_lease(self.now))
    }

    /// Runs elections, and one step of each leader that is not paused.
    pub(super) fn step_controllers(&mut self) {
        if self.now.is_multiple_of(1000) {
            self.record_machine_list();
        }
        self.elect_leader();
        for i in 0..3 {
            if self.now >= self.faults.paused_until[i] {
                let stepped = self.controllers[i].take().and_then(|controller| self.step_controller(i, controller));
                self.controllers[i] = stepped;
            }
        }
    }

    /// Runs one step of a controller and returns it, or `None` if it no longer leads.
    fn step_controller(&mut self, i: usize, mut controller: Controller) -> Option<Controller> {
        let now = self.instant_at(self.now);
        self.pause_or_resume(i, &mut controller, now);
        let trusts_expired_lease = self.defect == InjectedDefect::TrustExpiredLease && controller.has_lease(self.now);
        if self.may_hand_over(i) {
            self.state_store.leases.remove(&controller.lease_id);
            return None;
        }
        let own_key = LeaderKey { controller: i, lease_id: controller.lease_id };
        let holds_key = self.state_store.leader == Some(own_key)
            && self.state_store.revision(key::LEADER) == controller.leader_revision;
        let is_served = self.is_served(i) && self.now >= self.faults.lease_renewal_blocked_until[i];
        if is_served && !holds_key && !trusts_expired_lease {
            return None; // the state service reports that the leader lease is lost
        }
        if is_served && holds_key && self.now.is_multiple_of(500) {
            controller.lease_until = self.now + self.lease_ttl();
            self.state_store.leases.insert(controller.lease_id, controller.lease_until);
        }
        if is_served {
            self.fetch_outcomes(&mut controller, now);
        }
        controller.inject_defect(self.defect);
        if controller.has_lease(self.now) {
            if self.now.is_multiple_of(500) {
                self.run_pass(i, &mut controller, now);
            }
            for command in controller.cluster.take_direct_commands(usize::MAX) {
                self.send(Message::DirectCommandRequest { from: i, incarnation: controller.incarnation, command });
            }
        }
        self.commit(i, &mut controller, trusts_expired_lease);
        Some(controller)
    }

    /// Returns the duration of the leader lease.
    pub(super) fn lease_ttl(&self) -> Ms {
        self.policy.ttl.as_millis() as Ms
    }

    /// Starts a scheduled pause of a controller, or records that its last pause has ended.
    fn pause_or_resume(&mut self, i: usize, controller: &mut Controller, now: Instant) {
        if let Some(pause) = self.faults.next_pause.take_if(|pause| pause.controller == i) {
            // messages that the controller sends from here on leave when it resumes
            self.faults.paused_until[i] = self.now + pause.duration;
            if self.defect == InjectedDefect::TrustExpiredLease {
                controller.lease_until += pause.duration;
            }
        } else if self.faults.paused_until[i] > 0 {
            self.faults.paused_until[i] = 0;
            controller.cluster.last_stall_ended_at = now;
        }
    }

    /// Reports whether a leader that workers cannot reach gives up its lease now.  The
    /// production leader asks its peers first; the simulation skips that exchange.
    fn may_hand_over(&self, i: usize) -> bool {
        let until = self.faults.workers_unreachable_until[i];
        let is_unreachable = self.now < until && until - self.now < HANDOVER_MARGIN;
        is_unreachable && self.now >= self.faults.lease_renewal_blocked_until[i]
    }

    /// Reads from the state service the outcomes of dependencies that the controller lacks.
    fn fetch_outcomes(&self, controller: &mut Controller, now: Instant) {
        for id in controller.cluster.dependencies.outcomes_to_fetch(3, Duration::from_secs(1), now) {
            if let Some(outcome) = self.state_store.outcome(&id) {
                controller.cluster.set_outcome(&id, outcome, now);
            }
        }
    }

    /// Runs the periodic work of a leader: placement, garbage collection and fleet planning.
    fn run_pass(&mut self, i: usize, controller: &mut Controller, now: Instant) {
        controller.unmet_demand = controller.cluster.run_placement_pass(now);
        controller.cluster.collect_garbage(now);
        if self.now.is_multiple_of(2000) {
            let list = self.stale_machine_list();
            controller.cluster.apply_machine_list(&list, now);
            controller.inject_list_defect(self.defect, &list, now);
            let plan = controller.cluster.plan_fleet(&controller.unmet_demand, now);
            if !plan.deletions.is_empty() {
                let incarnation = controller.incarnation;
                self.send(Message::DeleteMachines { names: plan.deletions, from: i, incarnation });
            }
        }
        controller.inject_pass_defect(self.defect, now);
    }

    /// Sends the next transaction once the previous one has a response or has timed out.
    fn commit(&mut self, i: usize, controller: &mut Controller, trusts_expired_lease: bool) {
        let sent_at = self.now;
        let is_late = |commit: &mut CommitInFlight| sent_at - commit.sent_at > TXN_TIMEOUT;
        if let Some(CommitInFlight { batch, .. }) = controller.commit_in_flight.take_if(is_late) {
            // the state service may still apply a transaction whose response is missing
            controller.cluster.restore_uncommitted(batch);
        }
        if controller.commit_in_flight.is_some() {
            return;
        }
        let Some(mut batch) = controller.cluster.next_commit(controller.leader_revision, &self.limits) else { return };
        if trusts_expired_lease {
            batch.txn.preconditions.retain(|p| p.key != key::LEADER && !p.key.starts_with(key::SHARD));
        }
        let (request, txn) = (self.last_sequence, batch.txn.clone());
        self.send(Message::TxnRequest { from: i, incarnation: controller.incarnation, request, txn, sent_at });
        controller.commit_in_flight = Some(CommitInFlight { batch, request, sent_at });
    }
}
