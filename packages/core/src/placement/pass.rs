//! The state of one placement pass: the schedulable machines with their free resources, the
//! resources that stopping tasks will free, and the tasks that may be preempted.  It is built at
//! the start of the pass and updated with every decision.  Nothing here changes the cluster state.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use super::image_wait::ImageWait;
use super::machine_slot::{ImageFetch, MachineSlot, SlotLocation};
use super::preemption_cost::Unplaceable;
use super::queue::QueueEntry;
use super::ranking::RankedSlot;
use super::tai2::{variance, Candidate, MachineClasses, Selection, SwitchInputs};
use crate::cluster::{Cluster, Job};
use crate::model::*;

/// The open slots are pruned once the number of slots examined since the last pruning exceeds this
/// multiple of the number of open slots.
const PRUNE_EXAMINED_MULTIPLE: usize = 8;

/// A job whose tasks are to be placed.
pub(super) struct PlacementRequest<'a> {
    pub(super) job: &'a Job,
    /// Resources that each task requests.
    pub(super) size: Resources,
    /// Whether the job may use each pool, by pool index.
    pub(super) allowed_pools: Vec<bool>,
    /// Index of the job's image in [`Pass::images`].
    pub(super) image_index: usize,
}

/// The pool of a machine, with names borrowed from the machine.
#[derive(PartialEq)]
struct PoolRef<'a> {
    machine_type: &'a Name,
    zone: &'a Name,
    spot: bool,
}

/// A placement pass.
pub(super) struct Pass<'a> {
    pub(super) cluster: &'a Cluster,
    pub(super) now: Instant,
    pub(super) slots: Vec<MachineSlot<'a>>,
    /// Pools of the schedulable machines, by pool index.
    pools: Vec<PoolRef<'a>>,
    /// Zones of all machines, by zone index.
    pub(super) zones: Vec<&'a Name>,
    /// Indices of the slots that may hold at least one queued task.
    pub(super) open_slots: Vec<usize>,
    /// The open slots grouped by free resources; `None` until the first dry run of the pass.
    pub(super) classes: Option<MachineClasses>,
    /// Minimum of each resource over all queued tasks.
    smallest_task: Resources,
    examined_at_last_pruning: usize,
    /// Resources that each team uses; empty if no team has a limit or a guarantee.
    pub(super) used_by_team: NameMap<Resources>,
    speed_variance: f64,
    free_cpus: f64,
    queued_cpus: f64,
    /// Index of each image that a request of this pass uses.
    images: HashMap<&'a Name, usize>,
    /// Estimated wait for each image on each slot, by image index and slot index; `None` where
    /// there is no current estimate.
    pub(super) image_waits: Vec<Vec<Option<ImageWait>>>,
    /// Slots that can hold a task of the current job, the best tier first; `None` until they are
    /// ranked.  One ranking serves all tasks of a job, because while the job is being placed
    /// resources are released only where a trial plan had allocated them.
    pub(super) ranked_slots: Option<Vec<RankedSlot>>,
    /// Slots whose tier has changed through starts of the current job, with the new tier.
    pub(super) reranked_slots: Vec<RankedSlot>,
    /// Tasks that this pass plans to stop, with their machines.
    pub(super) planned_stops: HashSet<(&'a Name, &'a Task)>,
    /// Number of machines examined so far, as the measure of the pass's cost.
    pub(super) examined: usize,
    /// Jobs for which preemption cannot free enough resources.  The search is not repeated for
    /// similar jobs, because available resources only decrease during a pass.
    pub(super) unplaceable: Vec<Unplaceable<'a>>,
}

/// Returns the minimum of each resource over all queued tasks.
fn smallest_task(queue: &[QueueEntry]) -> Resources {
    let infinite = Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory_gb: f64::INFINITY };
    queue.iter().map(|entry| entry.job.spec.resources_per_task()).fold(infinite, |a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory_gb: a.memory_gb.min(b.memory_gb),
    })
}

impl<'a> Pass<'a> {
    /// Creates the state of a pass over `queue`.
    pub(super) fn new(cluster: &'a Cluster, queue: &[QueueEntry<'a>], now: Instant) -> Pass<'a> {
        let (mut pools, mut zones, mut slots) = (Vec::new(), Vec::new(), Vec::new());
        for machine in cluster.machines.values() {
            let zone = index_of(&mut zones, &machine.zone);
            if !machine.is_schedulable(now, &cluster.policy) || machine.size.cpus <= 0.0 {
                continue;
            }
            let pool = index_of(
                &mut pools,
                PoolRef { machine_type: &machine.machine_type, zone: &machine.zone, spot: machine.spot },
            );
            slots.push(MachineSlot::new(machine, SlotLocation { pool, zone }, cluster));
        }
        let smallest_task = smallest_task(queue);
        let open_slots = (0..slots.len()).filter(|slot| slots[*slot].free.fits(&smallest_task)).collect();
        Pass {
            cluster,
            now,
            pools,
            zones,
            open_slots,
            classes: None,
            smallest_task,
            examined_at_last_pruning: 0,
            used_by_team: if cluster.has_limits() { cluster.team_usage() } else { NameMap::default() },
            speed_variance: variance(slots.iter().map(|slot| slot.machine.speed)),
            free_cpus: slots.iter().map(|slot| slot.free.cpus.max(0.0)).sum(),
            queued_cpus: queue.iter().map(|entry| entry.job.spec.cpus * f64::from(entry.count)).sum(),
            images: HashMap::new(),
            image_waits: Vec::new(),
            ranked_slots: None,
            reranked_slots: Vec::new(),
            planned_stops: HashSet::new(),
            examined: 0,
            unplaceable: Vec::new(),
            slots,
        }
    }

    /// Removes the slots that this pass has filled from `open_slots`, once enough slots have been
    /// examined since the last pruning.  Called only between two jobs, when no resources are
    /// allocated for a trial plan.
    fn prune_open_slots(&mut self) {
        if self.examined - self.examined_at_last_pruning > self.open_slots.len() * PRUNE_EXAMINED_MULTIPLE {
            let (slots, smallest) = (&self.slots, self.smallest_task);
            self.open_slots
                .retain(|slot| slots[*slot].remaining_task_capacity > 0 && slots[*slot].free.fits(&smallest));
            self.examined_at_last_pruning = self.examined;
        }
    }

    /// Prepares the pass for placing tasks of `job`.
    pub(super) fn begin_request(&mut self, job: &'a Job) -> PlacementRequest<'a> {
        self.prune_open_slots();
        self.ranked_slots = None;
        for reranked in self.reranked_slots.drain(..) {
            self.slots[reranked.slot].is_reranked = false;
        }
        let spec = &job.spec;
        let next_image = self.images.len();
        let image_index = *self.images.entry(&spec.image).or_insert(next_image);
        if image_index == self.image_waits.len() {
            self.image_waits.push(vec![None; self.slots.len()]);
        }
        let allowed_pools =
            self.pools.iter().map(|pool| spec.allows(pool.machine_type, pool.zone, pool.spot)).collect();
        PlacementRequest { job, size: spec.resources_per_task(), allowed_pools, image_index }
    }

    /// Returns the inputs of the placement switch at this point of the pass.
    pub(super) fn switch_inputs(&self) -> SwitchInputs {
        SwitchInputs {
            variance: self.speed_variance,
            load: self.queued_cpus / self.free_cpus.max(1.0),
            variance_threshold: self.cluster.policy.variance_threshold,
            load_threshold: self.cluster.policy.load_threshold,
        }
    }

    /// Returns a slot as a candidate of the placement switch.
    pub(super) fn candidate(&self, slot: usize) -> Candidate {
        let machine_slot = &self.slots[slot];
        Candidate { slot, free: machine_slot.free, total: machine_slot.machine.size, speed: machine_slot.machine.speed }
    }

    /// Changes the free resources of a slot, and updates the sum of free cores and the machine
    /// classes accordingly.
    pub(super) fn update_free(&mut self, slot: usize, change: impl FnOnce(&mut Resources)) {
        let before = self.candidate(slot);
        let free = &mut self.slots[slot].free;
        self.free_cpus -= free.cpus.max(0.0);
        change(free);
        self.free_cpus += free.cpus.max(0.0);
        let after = self.candidate(slot);
        if let Some(classes) = self.classes.as_mut() {
            classes.remove(&before);
            classes.add(&after);
        }
    }

    /// Allocates the resources of one task on a slot.
    pub(super) fn allocate(&mut self, slot: usize, size: &Resources) {
        self.update_free(slot, |free| free.subtract(size));
        let slot = &mut self.slots[slot];
        slot.free_after_stops.subtract(size);
        slot.remaining_task_capacity = slot.remaining_task_capacity.saturating_sub(1);
    }

    /// Reverts [`Pass::allocate`].
    pub(super) fn release(&mut self, slot: usize, size: &Resources) {
        self.update_free(slot, |free| free.add(size));
        let slot = &mut self.slots[slot];
        slot.free_after_stops.add(size);
        slot.remaining_task_capacity += 1;
    }

    /// Records the start of a task on a slot: allocates its resources and adds them to the team's
    /// usage.  Also records the image fetch, unless the machine has the image or an earlier start of
    /// this pass already fetches it there.
    pub(super) fn start_task(&mut self, request: &PlacementRequest<'a>, slot: usize) {
        self.allocate(slot, &request.size);
        let spec = &request.job.spec;
        if spec.shape == Shape::Service {
            self.slots[slot].unused_by_replicas.subtract(&request.size);
        }
        self.used_by_team.entry(spec.team.clone()).or_default().add(&request.size);
        let machine_slot = &mut self.slots[slot];
        let is_fetched = machine_slot.fetches.iter().any(|fetch| *fetch.image == spec.image);
        if machine_slot.machine.has_image(&spec.image) || is_fetched {
            return;
        }
        machine_slot.fetches.push(ImageFetch { image: &spec.image, size_gb: spec.image_gb });
        for waits in &mut self.image_waits {
            waits[slot] = None;
        }
        self.rerank(request, slot);
    }

    /// Records the changed tier of a slot for the current job.
    fn rerank(&mut self, request: &PlacementRequest<'a>, slot: usize) {
        let tier = self.tier(request, slot);
        match self.reranked_slots.iter_mut().find(|reranked| reranked.slot == slot) {
            Some(reranked) => reranked.tier = tier,
            None => {
                self.slots[slot].is_reranked = true;
                self.reranked_slots.push(RankedSlot { tier, slot });
            }
        }
    }

    /// Logs a task's start at debug level, with the inputs that led to the selected machine.
    pub(super) fn log_start(&self, request: &PlacementRequest, index: u32, selection: Selection, image_wait_s: f64) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let (spec, inputs) = (&request.job.spec, self.switch_inputs());
        tracing::debug!(
            job = %spec.id,
            index,
            class = %spec.class,
            machine = %self.slots[selection.slot].machine.name,
            waited_s = self.now.duration_since(request.job.first_seen).as_secs_f64(),
            policy = ?selection.policy,
            variance = inputs.variance,
            load = inputs.load,
            image_wait_s,
            "task assigned"
        );
    }
}
