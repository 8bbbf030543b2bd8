//! Selection of the machine for a task: machines that can hold the task are ranked by tier, and
//! the placement switch selects one from the best tier.

use super::image_wait::ImageWait;
use super::pass::{Pass, PlacementRequest};
use super::tai2::{Candidate, CandidatePair, MachineClasses, Selection, SwitchInputs, TaskRun};
use crate::model::*;

/// Cost of adding one machine to the machine classes, in examined machines.
const STEPS_PER_CLASSIFIED_MACHINE: usize = 4;
/// A decision takes one dry run for each of its two candidates.
const DRY_RUNS_PER_DECISION: usize = 2;

/// The tier of a machine for a job; a lower tier is better.  Tiers take precedence over the
/// placement switch.  They are compared field by field, in the order of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementTier {
    /// Whether a task of the job has failed on this machine.
    has_failed_here: bool,
    /// The image wait, in multiples of the policy's `image_share` of the job's start objective, but
    /// at least of `fetch_grain_s`; rounded down.
    coarse_image_wait: u64,
    /// Whether the machine is of the less preferred kind for a job that may use spot machines: an
    /// on-demand machine, or a spot machine for a job in a dependency chain with a deadline.
    is_second_choice: bool,
    /// The image wait, in multiples of the policy's `fetch_grain_s`, rounded up.
    fine_image_wait: u64,
    /// Whether the machine is already fetching the image.
    is_fetching: bool,
}

/// A slot with its tier for the current job; ordered by tier, then by slot index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedSlot {
    pub(super) tier: PlacementTier,
    pub(super) slot: usize,
}

impl<'a> Pass<'a> {
    /// Returns the tier of a machine for the job's tasks.
    pub(super) fn tier(&mut self, request: &PlacementRequest<'a>, slot: usize) -> PlacementTier {
        let job = request.job;
        let fine_unit_s = self.cluster.policy.fetch_grain_s;
        // An image fetch that takes only a small share of the start objective does not justify
        // a more expensive machine.
        let objective_s = self.cluster.start_objective_s(job).unwrap_or(0.0);
        let coarse_unit_s = fine_unit_s.max(objective_s * self.cluster.policy.image_share);
        let machine = self.slots[slot].machine;
        let has_failed_here = !job.failed_on.is_empty() && job.failed_on.contains(&machine.name);
        // If a fetch is needed anyway, a machine that is not fetching the image yet is preferred,
        // because afterwards one more machine has the image in its cache.
        let ImageWait { seconds, is_fetching } = self.image_wait(request, slot);
        // Under a deadline, losing a task with its spot machine costs more than using the free
        // resources of an on-demand machine.
        let is_second_choice = job.spec.spot && machine.spot == job.has_deadline_in_chain();
        PlacementTier {
            has_failed_here,
            coarse_image_wait: (seconds / coarse_unit_s).floor() as u64,
            is_second_choice,
            fine_image_wait: (seconds / fine_unit_s).ceil() as u64,
            is_fetching,
        }
    }

    /// Returns the slots that can hold a task of the job, the best tier first.  Zone constraints
    /// are not checked here.
    fn rank_fitting_slots(&mut self, request: &PlacementRequest<'a>) -> Vec<RankedSlot> {
        self.examined += self.open_slots.len();
        let fits = |index: &usize| {
            let slot = &self.slots[*index];
            slot.remaining_task_capacity > 0 && request.allowed_pools[slot.pool] && slot.free.fits(&request.size)
        };
        let fitting: Vec<usize> = self.open_slots.iter().copied().filter(fits).collect();
        let mut ranked: Vec<RankedSlot> =
            fitting.into_iter().map(|slot| RankedSlot { tier: self.tier(request, slot), slot }).collect();
        ranked.sort_unstable();
        ranked
    }

    /// Selects the machine for one task; `None` if no allowed machine can hold it.  The placement
    /// switch chooses among the machines of the best tier (see [`PlacementTier`]).
    pub(super) fn select_slot(
        &mut self,
        request: &PlacementRequest<'a>,
        tasks_per_zone: &[u32],
        only_zone: Option<usize>,
        later_tasks: &impl Fn() -> Vec<TaskRun>,
    ) -> Option<Selection> {
        let ranked = match self.ranked_slots.take() {
            Some(ranked) => ranked,
            None => self.rank_fitting_slots(request),
        };
        let reranked = std::mem::take(&mut self.reranked_slots);
        let candidates = self.find_candidates(request, tasks_per_zone, only_zone, &ranked, &reranked);
        (self.ranked_slots, self.reranked_slots) = (Some(ranked), reranked);
        let inputs = self.switch_inputs();
        // The queue behind the head is read only if the lookahead decides.
        if !inputs.needs_lookahead() {
            return candidates.decide(&request.size, &inputs, &MachineClasses::default(), &[]);
        }
        self.decide_by_lookahead(request, &candidates, &inputs, &later_tasks())
    }

    /// Returns the candidates of best-fit and fastest-first among the allowed machines of the best
    /// tier.
    fn find_candidates(
        &mut self,
        request: &PlacementRequest<'a>,
        tasks_per_zone: &[u32],
        only_zone: Option<usize>,
        ranked: &[RankedSlot],
        reranked: &[RankedSlot],
    ) -> CandidatePair {
        let mut candidates = CandidatePair::default();
        let mut best_tier: Option<PlacementTier> = None;
        let is_service = request.job.spec.shape == Shape::Service;
        for (position, &RankedSlot { tier, slot: index }) in reranked.iter().chain(ranked).enumerate() {
            let has_original_tier = position >= reranked.len();
            let is_worse = best_tier.is_some_and(|best| tier > best);
            if has_original_tier && is_worse {
                break;
            }
            self.examined += 1;
            let slot = &self.slots[index];
            if is_worse
                || has_original_tier && slot.is_reranked
                || slot.remaining_task_capacity == 0
                || only_zone.is_some_and(|zone| zone != slot.zone)
                || !slot.free.fits(&request.size)
                || !self.may_use_zone(request, tasks_per_zone, index)
            {
                continue;
            }
            if best_tier.is_none_or(|best| tier < best) {
                candidates.clear();
                best_tier = Some(tier);
            }
            let free = if is_service { slot.unused_by_replicas } else { slot.free };
            candidates.consider(Candidate { free, ..self.candidate(index) }, &request.size);
        }
        candidates
    }

    /// Selects between the candidates by the AI2 lookahead over `later_tasks`, the tasks behind the
    /// head of the queue.
    fn decide_by_lookahead(
        &mut self,
        request: &PlacementRequest<'a>,
        candidates: &CandidatePair,
        inputs: &SwitchInputs,
        later_tasks: &[TaskRun],
    ) -> Option<Selection> {
        if self.classes.is_none() && !later_tasks.is_empty() {
            let mut classes = MachineClasses::default();
            self.open_slots.iter().for_each(|slot| classes.add(&self.candidate(*slot)));
            self.examined += self.open_slots.len() * STEPS_PER_CLASSIFIED_MACHINE;
            self.classes = Some(classes);
        }
        let none = MachineClasses::default();
        let classes = self.classes.as_ref().unwrap_or(&none);
        // Each dry run scans the classes once for each run of equal tasks.
        self.examined += classes.len() * DRY_RUNS_PER_DECISION * later_tasks.len();
        candidates.decide(&request.size, inputs, classes, later_tasks)
    }
}
