//! The state of one placement pass: the usable machines with what is free, what will be
//! free after stops, and what may be preempted.  It is made once a pass and brought
//! forward with every decision; nothing here changes the leader's state.

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

/// Slots are pruned after this many times as many were examined as are open.
const EXAMINED_UNTIL_PRUNED: usize = 8;

/// A job whose tasks are to be placed.
pub(super) struct PlacementRequest<'a> {
    pub(super) job: &'a Job,
    /// Size of each task.
    pub(super) size: Resources,
    /// Which pools it may use, by the index of the pool.
    pub(super) allowed_pools: Vec<bool>,
    /// Index of its image.
    pub(super) image: usize,
}

/// The pool of a machine, borrowed from it.
#[derive(PartialEq)]
struct PoolRef<'a> {
    kind: &'a Name,
    zone: &'a Name,
    spot: bool,
}

/// A placement pass.
pub(super) struct Pass<'a> {
    pub(super) cluster: &'a Cluster,
    pub(super) now: Instant,
    pub(super) slots: Vec<MachineSlot<'a>>,
    pools: Vec<PoolRef<'a>>,
    pub(super) zones: Vec<&'a Name>,
    /// Slots that might hold some queued task.
    pub(super) open_slots: Vec<usize>,
    /// The open slots by what is free on them, once a dry run has needed it.
    pub(super) classes: Option<MachineClasses>,
    /// The smallest queued task in each respect.
    smallest_task: Resources,
    /// Value of `examined` when the open slots were last pruned.
    pruned_at: usize,
    /// What teams use; empty where no team has a limit or a guarantee.
    pub(super) used: NameMap<Resources>,
    speed_variance: f64,
    free_cpus: f64,
    queued_cpus: f64,
    images: HashMap<&'a Name, usize>,
    /// Waits for each image by slot, as far as estimated.
    pub(super) image_waits: Vec<Vec<Option<ImageWait>>>,
    /// Where tasks of the job that is being placed fit, the best tier first.  Ranked once
    /// for all of its tasks: meanwhile, room only comes back where it was taken on trial.
    pub(super) ranked_slots: Option<Vec<RankedSlot>>,
    /// Of these, the slots whose tier the job's own starts have changed.
    pub(super) reranked_slots: Vec<RankedSlot>,
    /// Tasks that this pass stops, with their machines.
    pub(super) stopped: HashSet<(&'a Name, &'a Task)>,
    /// Machines examined so far: what the pass has cost.
    pub(super) examined: usize,
    /// Jobs that nothing can make room for: the next ones like them need not look again,
    /// as a pass only takes room away.
    pub(super) unplaceable: Vec<Unplaceable<'a>>,
}

/// The smallest of all queued tasks in each respect.
fn smallest_task(queue: &[QueueEntry]) -> Resources {
    let infinite = Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory: f64::INFINITY };
    queue.iter().map(|entry| entry.job.spec.size()).fold(infinite, |a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory: a.memory.min(b.memory),
    })
}

impl<'a> Pass<'a> {
    /// Begins a pass over the queue.
    pub(super) fn new(cluster: &'a Cluster, queue: &[QueueEntry<'a>], now: Instant) -> Pass<'a> {
        let (mut pools, mut zones, mut slots) = (Vec::new(), Vec::new(), Vec::new());
        for machine in cluster.machines.values() {
            let zone = index_of(&mut zones, &machine.zone);
            if !machine.is_schedulable(now, &cluster.policy) || machine.size.cpus <= 0.0 {
                continue;
            }
            let pool = index_of(&mut pools, PoolRef { kind: &machine.kind, zone: &machine.zone, spot: machine.spot });
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
            pruned_at: 0,
            used: if cluster.has_limits() { cluster.team_usage() } else { NameMap::default() },
            speed_variance: variance(slots.iter().map(|slot| slot.machine.speed)),
            free_cpus: slots.iter().map(|slot| slot.free.cpus.max(0.0)).sum(),
            queued_cpus: queue.iter().map(|entry| entry.job.spec.cpus * f64::from(entry.count)).sum(),
            images: HashMap::new(),
            image_waits: Vec::new(),
            ranked_slots: None,
            reranked_slots: Vec::new(),
            stopped: HashSet::new(),
            examined: 0,
            unplaceable: Vec::new(),
            slots,
        }
    }

    /// Leaves out machines that this pass has filled, now and then: between two jobs,
    /// when nothing is taken on trial.
    fn prune_open_slots(&mut self) {
        if self.examined - self.pruned_at > self.open_slots.len() * EXAMINED_UNTIL_PRUNED {
            let (slots, smallest) = (&self.slots, self.smallest_task);
            self.open_slots.retain(|slot| slots[*slot].open_task_slots > 0 && slots[*slot].free.fits(&smallest));
            self.pruned_at = self.examined;
        }
    }

    /// Begins to place tasks of a job.
    pub(super) fn begin_request(&mut self, job: &'a Job) -> PlacementRequest<'a> {
        self.prune_open_slots();
        self.ranked_slots = None;
        for reranked in self.reranked_slots.drain(..) {
            self.slots[reranked.slot].is_reranked = false;
        }
        let spec = &job.spec;
        let next_image = self.images.len();
        let image = *self.images.entry(&spec.image).or_insert(next_image);
        if image == self.image_waits.len() {
            self.image_waits.push(vec![None; self.slots.len()]);
        }
        let allowed_pools = self.pools.iter().map(|pool| spec.allows(pool.kind, pool.zone, pool.spot)).collect();
        PlacementRequest { job, size: spec.size(), allowed_pools, image }
    }

    /// What the paper's switch goes by at this point of the pass.
    pub(super) fn switch_inputs(&self) -> SwitchInputs {
        SwitchInputs {
            variance: self.speed_variance,
            load: self.queued_cpus / self.free_cpus.max(1.0),
            variance_threshold: self.cluster.policy.variance_threshold,
            load_threshold: self.cluster.policy.load_threshold,
        }
    }

    /// A slot as the switch sees it.
    pub(super) fn candidate(&self, at: usize) -> Candidate {
        let slot = &self.slots[at];
        Candidate { at, free: slot.free, whole: slot.machine.size, speed: slot.machine.speed }
    }

    /// Changes the free room of a slot, with the sum over all slots and their classes.
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

    /// Takes the room of a task.
    pub(super) fn take_room(&mut self, slot: usize, size: &Resources) {
        self.update_free(slot, |free| free.subtract(size));
        let slot = &mut self.slots[slot];
        slot.free_after_stops.subtract(size);
        slot.open_task_slots = slot.open_task_slots.saturating_sub(1);
    }

    /// Undoes [`Pass::take_room`].
    pub(super) fn return_room(&mut self, slot: usize, size: &Resources) {
        self.update_free(slot, |free| free.add(size));
        let slot = &mut self.slots[slot];
        slot.free_after_stops.add(size);
        slot.open_task_slots += 1;
    }

    /// Takes the room of a task that is started, counts it for its team, and the fetch of
    /// its image for the machine.
    pub(super) fn start_task(&mut self, request: &PlacementRequest<'a>, slot: usize) {
        self.take_room(slot, &request.size);
        let spec = &request.job.spec;
        if spec.shape == Shape::Service {
            self.slots[slot].free_of_replicas.subtract(&request.size);
        }
        self.used.entry(spec.team.clone()).or_default().add(&request.size);
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

    /// Keeps the changed tier of a slot for the job that is being placed.
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

    /// Logs why a task starts where it does.
    pub(super) fn log_start(&self, request: &PlacementRequest, index: u32, selection: Selection, image_wait_s: f64) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let (spec, inputs) = (&request.job.spec, self.switch_inputs());
        tracing::debug!(
            job = %spec.id,
            index,
            class = %spec.class,
            machine = %self.slots[selection.at].machine.name,
            waited_s = self.now.duration_since(request.job.first_seen).as_secs_f64(),
            policy = ?selection.policy,
            variance = inputs.variance,
            load = inputs.load,
            image_wait_s,
            "task assigned"
        );
    }
}
