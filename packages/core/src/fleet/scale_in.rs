//! Scale-in: decides which machines are returned to the cloud, and which tasks have to be moved
//! off their machine first.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::headroom::{without_memory, Guarantees};
use super::FleetPlan;
use crate::cluster::{Assignment, Cluster, Job, Machine, MachineState, PartitionScope};
use crate::model::*;
use crate::policy::Policy;

/// Maximum number of machines in one deletion request.
const MAX_DELETIONS: usize = 100;
/// Boot time that is assumed for a machine of an unknown type, in seconds.
pub(super) const DEFAULT_BOOT_S: f64 = 60.0;
/// Minimum number of machines with missing heartbeats for a suspected network partition.
const MIN_PARTITIONED_MACHINES: usize = 3;
/// Age, in multiples of the list lag, from which every list should contain a machine.
const OLD_MACHINE_LIST_LAGS: u32 = 4;
/// Time, in multiples of the list lag, for which newer lists may lack a younger machine that an
/// earlier list contained.
const MAX_ABSENCE_LIST_LAGS: u32 = 2;
/// Share of the cancellation deadline for which the leader waits for a worker to stop the tasks
/// of a cancelled job, before it has the machine deleted.
const GRACEFUL_STOP_SHARE: f64 = 0.45;

/// The reason for returning a machine to the cloud.
#[derive(Debug, Clone, Copy)]
enum DeletionReason {
    AlreadyRequested,
    Failed,
    Reclaimed,
    UnresponsiveAndUnlisted,
    BootTimeout,
    Unresponsive,
    LeaseExpiredInPartition,
    Cordoned(&'static str),
    Idle,
    RunsCancelledJob,
}

impl DeletionReason {
    /// Returns the reason as it appears in the log.
    fn as_str(self) -> &'static str {
        match self {
            Self::AlreadyRequested => "deletion already requested",
            Self::Failed => "failed",
            Self::Reclaimed => "reclaimed by the cloud",
            Self::UnresponsiveAndUnlisted => "unresponsive and not listed",
            Self::BootTimeout => "boot timeout",
            Self::Unresponsive => "unresponsive",
            Self::LeaseExpiredInPartition => "lease expired in a partitioned zone",
            Self::Cordoned(reason) => reason,
            Self::Idle => "idle",
            Self::RunsCancelledJob => "tasks of a cancelled job not stopped",
        }
    }
}

/// The number of machines that should send heartbeats, and of those whose heartbeat is overdue.
#[derive(Debug, Default, Clone, Copy)]
struct HeartbeatCounts {
    missing: usize,
    expected: usize,
}

impl HeartbeatCounts {
    /// Reports whether so many machines miss their heartbeats at once that a network partition is
    /// the likely cause.  The machines may still be running their tasks then.
    fn suggest_partition(&self, policy: &Policy) -> bool {
        self.missing >= MIN_PARTITIONED_MACHINES && self.missing as f64 > self.expected as f64 * policy.silent_share
    }
}

/// The inputs of a review that decides for each machine whether to return it.  The capacity of
/// each idle machine that is returned is subtracted during the review, so that the same spare
/// capacity does not justify the return of two machines.
struct MachineReview<'a> {
    policy: &'a Policy,
    machine_types: &'a BTreeMap<Name, MachineType>,
    jobs: &'a NameMap<Job>,
    zones_with_controller: &'a BTreeSet<Name>,
    partitioned_zones: &'a HashSet<Name>,
    cluster_is_partitioned: bool,
    last_full_list: Option<Instant>,
    /// Idle machines that are needed for expected demand.
    needed: HashSet<Name>,
    /// Capacity beyond the share of the guarantees that is always kept.
    spare: Resources,
    /// Free capacity beyond the headroom.
    free: Resources,
    now: Instant,
}

impl MachineReview<'_> {
    /// Returns the reason to return a machine now, if there is one.  `since_heartbeat` is the
    /// time since the last heartbeat of the machine.
    fn review(&mut self, machine: &Machine, since_heartbeat: Duration) -> Option<DeletionReason> {
        let policy = self.policy;
        if machine.deletion_sent_at.is_some() {
            // The cloud may execute the earlier request at any time, so the machine cannot be
            // kept.  The request is repeated until the cloud confirms it.
            return Some(DeletionReason::AlreadyRequested);
        }
        if machine.state == Some(MachineState::Failed) {
            return Some(DeletionReason::Failed);
        }
        if machine.reclaim_at.is_some_and(|at| at <= self.now) && since_heartbeat > policy.fresh / 2 {
            return Some(DeletionReason::Reclaimed);
        }
        if since_heartbeat > policy.missed && self.is_missing_from_lists(machine) {
            return Some(DeletionReason::UnresponsiveAndUnlisted);
        }
        if machine.last_heartbeat.is_none() && machine.state != Some(MachineState::Running) && machine.tasks.is_empty()
        {
            return self.has_boot_timed_out(machine, since_heartbeat).then_some(DeletionReason::BootTimeout);
        }
        if since_heartbeat > policy.silent
            && !self.cluster_is_partitioned
            && !self.partitioned_zones.contains(&machine.zone)
        {
            return Some(DeletionReason::Unresponsive);
        }
        if self.has_expired_lease(machine, since_heartbeat) {
            return Some(DeletionReason::LeaseExpiredInPartition);
        }
        if let Some(reason) = machine.cordon_reason.filter(|_| machine.tasks.is_empty()) {
            return Some(DeletionReason::Cordoned(reason));
        }
        if self.is_surplus(machine) {
            self.spare.subtract(&machine.size);
            self.free.subtract(&machine.size);
            return Some(DeletionReason::Idle);
        }
        self.runs_cancelled_job(machine, since_heartbeat).then_some(DeletionReason::RunsCancelledJob)
    }

    /// Reports whether the machine is absent from lists that should contain it.
    ///
    /// A machine that is old and is absent from the newest list is probably gone, because even an
    /// outdated list would contain it.  The absence does not prove this, so the machine is
    /// deleted, and the response of the cloud to the deletion is the proof.
    fn is_missing_from_lists(&self, machine: &Machine) -> bool {
        let list_lag = self.policy.list_lag;
        let old_after = list_lag * OLD_MACHINE_LIST_LAGS;
        let Some(last_list) = self.last_full_list else { return false };
        let Some(last_listed) = machine.last_listed else {
            return self.now.duration_since(machine.first_seen) > old_after;
        };
        let is_old = self.now.duration_since(machine.rented_at.min(machine.first_seen)) > old_after;
        last_list > last_listed && (is_old || last_list.duration_since(last_listed) > list_lag * MAX_ABSENCE_LIST_LAGS)
    }

    /// Reports whether a machine that has never sent a heartbeat has exceeded its boot timeout.
    fn has_boot_timed_out(&self, machine: &Machine, since_heartbeat: Duration) -> bool {
        let boot_s =
            self.machine_types.get(&machine.machine_type).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let limit = Duration::from_secs_f64(boot_s * self.policy.boot_factor);
        self.now.duration_since(machine.rented_at) > limit && since_heartbeat > self.policy.fresh
    }

    /// Reports whether a machine with replicas in a partitioned zone has an expired lease.  If no
    /// controller inside the zone renews the lease, the replicas have stopped by then, and only
    /// a deletion of the machine proves it.
    fn has_expired_lease(&self, machine: &Machine, since_heartbeat: Duration) -> bool {
        since_heartbeat > self.policy.lease_over
            && !self.cluster_is_partitioned
            && self.partitioned_zones.contains(&machine.zone)
            && !self.zones_with_controller.contains(&machine.zone)
            && machine.tasks.values().any(|task| task.occupies_resources() && task.spec.shape == Shape::Service)
    }

    /// Reports whether a machine has been idle for longer than its limit and is not needed for
    /// guarantees, headroom or expected demand.
    fn is_surplus(&self, machine: &Machine) -> bool {
        let idle_limit = self.idle_limit(machine);
        let size = without_memory(&machine.size);
        machine.idle_since.is_some_and(|since| self.now.duration_since(since) > idle_limit)
            && machine.tasks.is_empty()
            && machine.last_heartbeat.is_some()
            && self.now.duration_since(machine.rented_at) > idle_limit
            && self.spare.fits(&size)
            && !self.needed.contains(&machine.name)
            && without_memory(&self.free).fits(&size)
    }

    /// Returns how long a machine may stay idle before it is returned.  The limit grows with the
    /// time to fetch a cached image of average size, because the next task that uses a cached
    /// image starts without that delay.
    fn idle_limit(&self, machine: &Machine) -> Duration {
        let policy = self.policy;
        let fetch_gb_per_s =
            self.machine_types.get(&machine.machine_type).map_or(0.0, |machine_type| machine_type.fetch_gb_per_s);
        let images = &machine.images;
        let mean_image_gb = images.iter().map(|image| image.1).sum::<f64>() / images.len().max(1) as f64;
        let image_limit_s = mean_image_gb / fetch_gb_per_s.max(1e-3) * policy.idle_images;
        policy.idle.max(Duration::from_secs_f64(image_limit_s.min(policy.idle_most)))
    }

    /// Reports whether tasks of a cancelled job are still running after the worker should have
    /// stopped them.  The worker has [`GRACEFUL_STOP_SHARE`] of the cancellation deadline for it,
    /// but no time at all if its heartbeats are missing, because it receives no command then.
    fn runs_cancelled_job(&self, machine: &Machine, since_heartbeat: Duration) -> bool {
        let deadline = if since_heartbeat > self.policy.missed {
            Duration::ZERO
        } else {
            self.policy.cancel.mul_f64(GRACEFUL_STOP_SHARE)
        };
        machine.tasks.values().any(|task| {
            let is_cancelled =
                self.jobs.get(&task.spec.id).is_none_or(|job| job.outcome == Some(JobOutcome::Cancelled));
            is_cancelled
                && task.occupies_resources()
                && task.stop_requested_at.is_some_and(|at| self.now.duration_since(at) > deadline)
        })
    }
}

/// Returns the tasks that have to be moved off a machine that is cordoned or is about to be
/// reclaimed by the cloud.
fn tasks_to_move(machine: &Machine) -> impl Iterator<Item = Task> + '_ {
    let may_stay = |task: &Assignment| {
        // A task without checkpoints would lose all its work, and may still finish before the
        // machine is reclaimed.
        machine.cordon_reason.is_none() && task.spec.checkpoint_interval_s == 0.0 && task.spec.shape == Shape::Array
    };
    let moving = machine
        .tasks
        .iter()
        .filter(move |(_, task)| task.occupies_resources() && task.stop_grace_s.is_none() && !may_stay(task));
    moving.map(|(id, _)| id.clone())
}

impl Cluster {
    /// Adds the machines to return to the plan, and stops the tasks that have to be moved off
    /// machines that are cordoned or are about to be reclaimed.
    pub(super) fn plan_scale_in(&mut self, guarantees: &Guarantees, plan: &mut FleetPlan, now: Instant) {
        let policy = self.policy.clone();
        let spare = self.capacity_beyond_guarantees(guarantees);
        let free = self.free_beyond_headroom(guarantees, now);
        let since_heartbeat: Vec<Duration> =
            self.machines.values().map(|machine| self.time_since_heartbeat(machine, now)).collect();
        self.detect_partitions(&since_heartbeat, now);
        let needed = self.idle_machines_needed(now);
        let mut review = MachineReview {
            policy: &policy,
            machine_types: &self.machine_types,
            jobs: &self.jobs,
            zones_with_controller: &self.zones_with_controller,
            partitioned_zones: &self.fleet.partitioned_zones,
            cluster_is_partitioned: self.fleet.last_seen_partitioned.contains_key(&PartitionScope::Cluster),
            last_full_list: self.fleet.last_full_list,
            needed,
            spare,
            free,
            now,
        };
        let mut moves: Vec<(Name, Task)> = Vec::new();
        let machines = self.machines.values_mut().zip(since_heartbeat);
        for (machine, since_heartbeat) in machines.filter(|(machine, _)| machine.removed_at.is_none()) {
            if let Some(reason) = review.review(machine, since_heartbeat) {
                request_deletion(machine, reason, plan, now);
            } else if machine.cordon_reason.is_some() || machine.reclaim_at.is_some() {
                moves.extend(tasks_to_move(machine).map(|task| (machine.name.clone(), task)));
            }
        }
        for (machine, task) in moves {
            self.evict_task(&machine, &task, now);
        }
    }

    /// Distinguishes network partitions from failed machines.  If many machines of a zone, or of
    /// the whole cluster, miss their heartbeats at once, a partition is assumed.  `since_heartbeat`
    /// holds the time since the last heartbeat of each machine, in the order of `machines`.
    fn detect_partitions(&mut self, since_heartbeat: &[Duration], now: Instant) {
        let policy = &self.policy;
        let should_report = |machine: &Machine| {
            machine.removed_at.is_none()
                && (machine.last_heartbeat.is_some()
                    || machine.state == Some(MachineState::Running)
                    || !machine.tasks.is_empty())
        };
        let mut counts: HashMap<PartitionScope, HeartbeatCounts> = HashMap::new();
        for (machine, since_heartbeat) in self.machines.values().zip(since_heartbeat).filter(|(m, _)| should_report(m))
        {
            let missing = usize::from(*since_heartbeat > policy.fresh);
            for scope in [PartitionScope::Cluster, PartitionScope::Zone(machine.zone.clone())] {
                let count = counts.entry(scope).or_default();
                count.missing += missing;
                count.expected += 1;
            }
        }
        // When a partition heals, the machines send heartbeats one by one within a heartbeat
        // interval.  The partition is therefore assumed for a while longer, so that the last
        // third of the machines is not deleted shortly before their heartbeats arrive.
        let last_seen = &mut self.fleet.last_seen_partitioned;
        let partitioned = counts.into_iter().filter(|(_, count)| count.suggest_partition(policy));
        last_seen.extend(partitioned.map(|(scope, _)| (scope, now)));
        last_seen.retain(|_, seen| now.saturating_duration_since(*seen) < policy.missed);
        let zones = last_seen.keys().filter_map(|scope| match scope {
            PartitionScope::Cluster => None,
            PartitionScope::Zone(zone) => Some(zone.clone()),
        });
        self.fleet.partitioned_zones = zones.collect();
    }
}

/// Adds a machine to the deletion request of the plan.  If the request is full, the machine is
/// left to a later plan.
fn request_deletion(machine: &mut Machine, reason: DeletionReason, plan: &mut FleetPlan, now: Instant) {
    if machine.deletion_sent_at.is_none() {
        let reason = reason.as_str();
        tracing::info!(machine = %machine.name, reason, tasks = machine.tasks.len(), "returning machine to the cloud");
    }
    if plan.deletions.len() < MAX_DELETIONS {
        machine.deletion_sent_at.get_or_insert(now);
        plan.deletions.push(machine.name.clone());
    }
}
