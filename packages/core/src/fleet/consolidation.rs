//! Consolidation: moves replicas to fewer machines, so that the emptied machines can be
//! returned to the cloud.

use std::time::Instant;

use super::demand::MAX_TASKS_COUNTED;
use super::headroom::{without_memory, Guarantees};
use super::scale_in::DEFAULT_BOOT_S;
use crate::cluster::{Assignment, Cluster, Job, Machine, TaskPhase};
use crate::model::*;

/// Cordon reason of a machine whose replicas move to other machines.
const CONSOLIDATED: &str = "consolidated";

/// A machine that may receive replicas, with the resources that are still free on it.
struct MoveTarget<'a> {
    machine: &'a Machine,
    free: Resources,
}

fn is_replica(task: &Assignment) -> bool {
    task.spec.shape == Shape::Service
}

impl Cluster {
    /// Cordons the on-demand machine with the fewest replicas if other machines can run them.
    ///
    /// After short-lived tasks end, the replicas that ran beside them are spread thinly, and
    /// each would keep a half-empty on-demand machine rented for as long as the replica runs.
    /// Only a few replicas move at a time, to machines of the same zone that already have the
    /// image and run at least as many replicas.  The cordoned machine is drained and then
    /// returned.
    pub(super) fn consolidate_replicas(&mut self, guarantees: &Guarantees, now: Instant) {
        if !self.may_consolidate(now) {
            return;
        }
        let Some(replicas) = self.count_replicas() else { return };
        let max_down = ((replicas.total as f64 * self.policy.move_share) as usize).max(1);
        let Some(source) = self.consolidation_source(now) else { return };
        let moving = source.tasks.len();
        if replicas.down + moving > max_down.max(moving) || !self.can_spare_machine(source, guarantees, now) {
            return;
        }
        if !self.fits_on_others(source, now) {
            return;
        }
        let name = source.name.clone();
        tracing::info!(machine = %name, replicas = moving, "cordoning machine: its replicas fit on other machines");
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.cordon_reason = Some(CONSOLIDATED);
        }
    }

    /// Reports whether replicas may be moved now: the cloud has responded recently, the term (or
    /// the time since the last stall) has lasted for the policy's `settled`, and no zone is
    /// partitioned.
    fn may_consolidate(&self, now: Instant) -> bool {
        // While the cloud does not respond, it accepts no deletion: draining a machine would
        // remove capacity without saving its cost.
        let cloud_answers = self.fleet.last_full_list.is_some_and(|at| now.duration_since(at) < self.policy.fresh);
        cloud_answers
            && now.duration_since(self.term_started_at.max(self.last_stall_ended_at)) >= self.policy.settled
            && self.fleet.partitioned_zones.is_empty()
    }

    /// Counts the replicas.  Returns `None` if a job that is not a service has waiting tasks.
    fn count_replicas(&self) -> Option<ReplicaCounts> {
        let mut counts = ReplicaCounts::default();
        for job in self.jobs.values().filter(|job| job.outcome.is_none() && job.waiting_tasks() > 0) {
            if job.spec.shape != Shape::Service {
                return None;
            }
            counts.down += job.waiting_tasks() as usize;
        }
        let tasks = self.machines.values().flat_map(|machine| machine.tasks.values());
        for replica in tasks.filter(|task| is_replica(task)) {
            counts.total += 1;
            counts.down += usize::from(replica.stop_grace_s.is_some());
        }
        Some(counts)
    }

    /// Returns the on-demand machine with the fewest tasks among those that run only replicas
    /// which have been running for longer than the policy's `settled`.
    fn consolidation_source(&self, now: Instant) -> Option<&Machine> {
        let has_settled = |task: &Assignment| {
            let is_running = task.phase == TaskPhase::Running && task.stop_grace_s.is_none();
            let since = task.running_since.filter(|_| is_running);
            since.is_some_and(|since| now.duration_since(since) > self.policy.settled)
        };
        let may_be_emptied = |machine: &&Machine| {
            machine.is_schedulable(now, &self.policy)
                && !machine.spot
                && !machine.tasks.is_empty()
                && machine.tasks.values().all(|task| is_replica(task) && has_settled(task))
        };
        self.machines.values().filter(may_be_emptied).min_by_key(|machine| machine.tasks.len())
    }

    /// Reports whether all tasks of a machine fit on other machines of its zone that have the
    /// images and run at least as many replicas.
    fn fits_on_others(&self, source: &Machine, now: Instant) -> bool {
        let mut targets: Vec<MoveTarget> = self
            .machines
            .values()
            .filter(|m| m.name != source.name && m.zone == source.zone && m.is_schedulable(now, &self.policy))
            .filter(|m| m.tasks.values().filter(|task| is_replica(task)).count() >= source.tasks.len())
            .map(|machine| MoveTarget { machine, free: machine.free_resources() })
            .collect();
        for task in source.tasks.values() {
            let (spec, size) = (&task.spec, task.spec.resources_per_task());
            let fits = |target: &&mut MoveTarget| {
                let machine = target.machine;
                target.free.fits(&size)
                    && machine.has_image(&spec.image)
                    && spec.allows(&machine.machine_type, &machine.zone, machine.spot)
            };
            let Some(target) = targets.iter_mut().find(fits) else { return false };
            target.free.subtract(&size);
        }
        true
    }

    /// Reports whether the rest of the fleet has enough capacity without this machine: for the
    /// guarantees and their headroom, and for the expected tasks of classes whose start
    /// objective is shorter than the boot time of a machine.
    fn can_spare_machine(&self, machine: &Machine, guarantees: &Guarantees, now: Instant) -> bool {
        let spare = self.capacity_beyond_guarantees(guarantees);
        let free = self.free_beyond_headroom(guarantees, now);
        let size = without_memory(&machine.size);
        let boot_s =
            self.machine_types.get(&machine.machine_type).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let horizon_s = self.policy.horizon_s;
        let keeps_room_for = |spec: &JobSpec| {
            let is_recent = |job: &&Job| {
                job.spec.class == spec.class && now.duration_since(job.first_seen).as_secs_f64() < horizon_s
            };
            let arrived: u32 = self.jobs.values().filter(is_recent).map(|job| job.spec.tasks).sum();
            let expected = f64::from(arrived) * 2.0 * boot_s / horizon_s;
            let lost = machine.size.count_fitting(&spec.resources_per_task(), MAX_TASKS_COUNTED);
            let room = self.startable_tasks(spec, now).saturating_sub(lost);
            room as f64 >= expected.max(self.policy.urgent_room as f64)
        };
        spare.fits(&size)
            && without_memory(&free).fits(&size)
            && self.urgent_class_samples().iter().all(|spec| keeps_room_for(spec))
    }
}

/// The number of replicas on machines, and of those that are being stopped or that wait for a
/// machine.
#[derive(Debug, Default)]
struct ReplicaCounts {
    /// Replicas that are assigned to a machine.
    total: usize,
    /// Replicas that are being stopped or wait for a machine.
    down: usize,
}
