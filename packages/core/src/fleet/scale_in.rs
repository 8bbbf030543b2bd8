//! Scale-in: which machines are returned to the cloud, and which tasks have to
//! leave their machine before.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::headroom::{without_memory, Guarantees};
use super::FleetPlan;
use crate::cluster::{Assignment, Cluster, Job, Machine, MachineState, PartitionScope};
use crate::model::*;
use crate::policy::Policy;

/// Most machines in one deletion request.
const MAX_DELETIONS: usize = 100;
/// Boot time that is assumed of a machine of an unknown type, in seconds.
pub(super) const DEFAULT_BOOT_S: f64 = 60.0;
/// Fewer machines without heartbeats than this are never taken for a partition.
const MIN_PARTITIONED: usize = 3;
/// After how many list lags a machine counts as old: every list should have it.
const LIST_LAGS_UNTIL_OLD: u32 = 4;
/// How many list lags a younger machine may be absent from newer lists.
const LIST_LAGS_ABSENT: u32 = 2;
/// Part of the cancellation deadline within which the worker's own stop is awaited.
const CANCELLATION_SHARE: f64 = 0.45;

/// Why a machine is returned.
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
    /// The reason as operators read it.
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

/// Machines that should send heartbeats, and how many of them do not.
#[derive(Debug, Default, Clone, Copy)]
struct HeartbeatCounts {
    missing: usize,
    expected: usize,
}

impl HeartbeatCounts {
    /// Many machines that fail at once are the network's fault, and they may well
    /// be working.
    fn suggest_partition(&self, policy: &Policy) -> bool {
        self.missing >= MIN_PARTITIONED && self.missing as f64 > self.expected as f64 * policy.silent_share
    }
}

/// What the review of the machines goes by.  Capacity that it gives up is taken off
/// as it goes, so that two machines are not returned for the same spare room.
struct MachineReview<'a> {
    policy: &'a Policy,
    types: &'a BTreeMap<Name, MachineType>,
    jobs: &'a NameMap<Job>,
    zones_with_controller: &'a BTreeSet<Name>,
    partitioned_zones: &'a HashSet<Name>,
    cluster_is_partitioned: bool,
    last_full_list: Option<Instant>,
    /// Idle machines that expected demand needs.
    needed: HashSet<Name>,
    /// Capacity beyond the guarantees.
    spare: Resources,
    /// Free capacity beyond the headroom.
    free: Resources,
    now: Instant,
}

impl MachineReview<'_> {
    /// Why a machine is to be returned now, if it is.  `unreported` is the time since
    /// its last heartbeat.
    fn review(&mut self, machine: &Machine, unreported: Duration) -> Option<DeletionReason> {
        let policy = self.policy;
        if machine.deletion_sent_at.is_some() {
            // a deletion may be carried out at any time now
            return Some(DeletionReason::AlreadyRequested);
        }
        if machine.state == Some(MachineState::Failed) {
            return Some(DeletionReason::Failed);
        }
        if machine.reclaim_at.is_some_and(|at| at <= self.now) && unreported > policy.fresh / 2 {
            return Some(DeletionReason::Reclaimed);
        }
        if unreported > policy.missed && self.is_missing_from_lists(machine) {
            return Some(DeletionReason::UnresponsiveAndUnlisted);
        }
        if machine.last_heartbeat.is_none() && machine.state != Some(MachineState::Running) && machine.tasks.is_empty()
        {
            return self.has_boot_timed_out(machine, unreported).then_some(DeletionReason::BootTimeout);
        }
        if unreported > policy.silent && !self.cluster_is_partitioned && !self.partitioned_zones.contains(&machine.zone)
        {
            return Some(DeletionReason::Unresponsive);
        }
        if self.has_lost_lease(machine, unreported) {
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
        self.runs_cancelled_job(machine, unreported).then_some(DeletionReason::RunsCancelledJob)
    }

    /// Whether lists that should have a machine lack it.  A machine that has been
    /// listed for long and is absent from the newest list is gone, as a list older
    /// than others would still have it.  That is no proof, but reason enough to
    /// ask for one, a deletion.
    fn is_missing_from_lists(&self, machine: &Machine) -> bool {
        let list_lag = self.policy.list_lag;
        let old_after = list_lag * LIST_LAGS_UNTIL_OLD;
        let Some(last_list) = self.last_full_list else { return false };
        let Some(last_listed) = machine.last_listed else {
            return self.now.duration_since(machine.first_seen) > old_after;
        };
        let is_old = self.now.duration_since(machine.rented_at.min(machine.first_seen)) > old_after;
        last_list > last_listed && (is_old || last_list.duration_since(last_listed) > list_lag * LIST_LAGS_ABSENT)
    }

    /// Whether a machine that has never sent a heartbeat should have booted by now.
    fn has_boot_timed_out(&self, machine: &Machine, unreported: Duration) -> bool {
        let boot_s = self.types.get(&machine.kind).map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
        let limit = Duration::from_secs_f64(boot_s * self.policy.boot_factor);
        self.now.duration_since(machine.rented_at) > limit && unreported > self.policy.fresh
    }

    /// Whether a machine with replicas in a partitioned zone has lost its lease: no
    /// controller inside the zone renews it, so the replicas have stopped by now, and
    /// only a deletion proves it.
    fn has_lost_lease(&self, machine: &Machine, unreported: Duration) -> bool {
        unreported > self.policy.lease_over
            && !self.cluster_is_partitioned
            && self.partitioned_zones.contains(&machine.zone)
            && !self.zones_with_controller.contains(&machine.zone)
            && machine.tasks.values().any(|task| task.occupies_resources() && task.spec.shape == Shape::Service)
    }

    /// Whether a machine has been idle for long enough and nothing needs it.
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

    /// How long a machine may idle.  An empty machine is worth the images that the
    /// next task need not wait for.
    fn idle_limit(&self, machine: &Machine) -> Duration {
        let policy = self.policy;
        let fetch_gb_per_s = self.types.get(&machine.kind).map_or(0.0, |machine_type| machine_type.fetch_gb_per_s);
        let images = &machine.images;
        let mean_image_gb = images.iter().map(|image| image.1).sum::<f64>() / images.len().max(1) as f64;
        let image_worth_s = mean_image_gb / fetch_gb_per_s.max(1e-3) * policy.idle_images;
        policy.idle.max(Duration::from_secs_f64(image_worth_s.min(policy.idle_most)))
    }

    /// Whether tasks of a cancelled job were requested to stop and have not.  Stops of a
    /// cancelled job are pursued to the end, at once where no command arrives.
    fn runs_cancelled_job(&self, machine: &Machine, unreported: Duration) -> bool {
        let deadline = if unreported > self.policy.missed {
            Duration::ZERO
        } else {
            self.policy.cancel.mul_f64(CANCELLATION_SHARE)
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

/// Tasks that have to leave a machine that is cordoned or about to be reclaimed.
fn tasks_to_move(machine: &Machine) -> impl Iterator<Item = Task> + '_ {
    let may_stay = |task: &Assignment| {
        // without checkpoints a stop only loses work, and the task may finish yet
        machine.cordon_reason.is_none() && task.spec.checkpoint_s == 0.0 && task.spec.shape == Shape::Array
    };
    let moving = machine
        .tasks
        .iter()
        .filter(move |(_, task)| task.occupies_resources() && task.stop_grace_s.is_none() && !may_stay(task));
    moving.map(|(id, _)| id.clone())
}

impl Cluster {
    /// Adds machines to return to the plan, and stops what has to leave machines that
    /// are cordoned or reclaimed.
    pub(super) fn plan_scale_in(&mut self, guarantees: &Guarantees, plan: &mut FleetPlan, now: Instant) {
        let policy = self.policy.clone();
        let spare = self.capacity_beyond_guarantees(guarantees);
        let free = self.free_beyond_headroom(guarantees, now);
        let unreported: Vec<Duration> =
            self.machines.values().map(|machine| self.time_since_heartbeat(machine, now)).collect();
        self.detect_partitions(&unreported, now);
        let needed = self.idle_machines_needed(now);
        let mut review = MachineReview {
            policy: &policy,
            types: &self.types,
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
        let machines = self.machines.values_mut().zip(unreported);
        for (machine, unreported) in machines.filter(|(machine, _)| machine.removed_at.is_none()) {
            if let Some(reason) = review.review(machine, unreported) {
                request_deletion(machine, reason, plan, now);
            } else if machine.cordon_reason.is_some() || machine.reclaim_at.is_some() {
                moves.extend(tasks_to_move(machine).map(|task| (machine.name.clone(), task)));
            }
        }
        for (machine, task) in moves {
            self.evict_task(&machine, &task, now);
        }
    }

    /// Tells network partitions from dead machines: where many machines of a zone, or
    /// of the cluster, miss their heartbeats at once, the network is taken for the
    /// cause.
    fn detect_partitions(&mut self, unreported: &[Duration], now: Instant) {
        let policy = &self.policy;
        let should_report = |machine: &Machine| {
            machine.removed_at.is_none()
                && (machine.last_heartbeat.is_some()
                    || machine.state == Some(MachineState::Running)
                    || !machine.tasks.is_empty())
        };
        let mut counts: HashMap<PartitionScope, HeartbeatCounts> = HashMap::new();
        for (machine, unreported) in self.machines.values().zip(unreported).filter(|(m, _)| should_report(m)) {
            let missing = usize::from(*unreported > policy.fresh);
            for scope in [PartitionScope::Cluster, PartitionScope::Zone(machine.zone.clone())] {
                let count = counts.entry(scope).or_default();
                count.missing += missing;
                count.expected += 1;
            }
        }
        // as a partition heals, most machines come back one by one within a heartbeat
        // interval: the last third of them is as much alive as the first
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

/// Puts a machine into the deletion request, unless that is full: then it is
/// left to a later plan.
fn request_deletion(machine: &mut Machine, reason: DeletionReason, plan: &mut FleetPlan, now: Instant) {
    if machine.deletion_sent_at.is_none() {
        let reason = reason.as_str();
        tracing::info!(machine = %machine.name, reason, tasks = machine.tasks.len(), "returning machine");
    }
    if plan.deletions.len() < MAX_DELETIONS {
        machine.deletion_sent_at.get_or_insert(now);
        plan.deletions.push(machine.name.clone());
    }
}
