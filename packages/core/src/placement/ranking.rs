//! Where a task fits, and the machine that is selected for it: the tiers of machines
//! first, then the paper's switch among the machines of the best tier.

use super::image_wait::ImageWait;
use super::pass::{Pass, PlacementRequest};
use super::tai2::{Candidate, CandidatePair, MachineClasses, Selection, SwitchInputs, TaskRun};
use crate::model::*;

/// Steps that adding one machine to the classes counts as.
const STEPS_PER_CLASSIFIED_MACHINE: usize = 4;
/// Dry runs of one decision: one for each candidate.
const DRY_RUNS: usize = 2;

/// What comes before the switch; a lower tier is better.  The fields count in their
/// order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacementTier {
    /// The job has failed on this machine.
    has_failed_here: bool,
    /// The wait for the image, in units that matter to the job.
    image_wait_in_patience: u64,
    /// Ordinary for a job that may use spot machines, or spot for one with a deadline.
    is_second_choice: bool,
    /// The wait for the image, in the policy's units.
    image_wait_in_grains: u64,
    /// The image is being fetched already.
    is_fetching: bool,
}

/// A slot with its tier for the job that is being placed; ordered by tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedSlot {
    pub(super) tier: PlacementTier,
    pub(super) slot: usize,
}

impl<'a> Pass<'a> {
    /// The tier of a machine for the job's tasks.
    pub(super) fn tier(&mut self, request: &PlacementRequest<'a>, slot: usize) -> PlacementTier {
        let job = request.job;
        let grain_s = self.cluster.policy.fetch_grain_s;
        // an image that takes a small part of the time within which the task should
        // start is no reason for an expensive machine
        let objective_s = self.cluster.start_objective_s(job).unwrap_or(0.0);
        let patience_s = grain_s.max(objective_s * self.cluster.policy.image_share);
        let machine = self.slots[slot].machine;
        let has_failed_here = !job.failed_on.is_empty() && job.failed_on.contains(&machine.name);
        // where a fetch is needed anyway, one that has not begun warms a machine more
        let ImageWait { seconds, is_fetching } = self.image_wait(request, slot);
        // under a deadline a task that is lost with its machine costs more than the room
        // that an ordinary machine has left
        let is_second_choice = job.spec.spot && machine.spot == job.has_deadline_in_chain();
        PlacementTier {
            has_failed_here,
            image_wait_in_patience: (seconds / patience_s).floor() as u64,
            is_second_choice,
            image_wait_in_grains: (seconds / grain_s).ceil() as u64,
            is_fetching,
        }
    }

    /// Slots where the job's tasks fit, whatever the zones, the best tier first.
    fn rank_fitting_slots(&mut self, request: &PlacementRequest<'a>) -> Vec<RankedSlot> {
        self.examined += self.open_slots.len();
        let fits = |index: &usize| {
            let slot = &self.slots[*index];
            slot.open_task_slots > 0 && request.allowed_pools[slot.pool] && slot.free.fits(&request.size)
        };
        let fitting: Vec<usize> = self.open_slots.iter().copied().filter(fits).collect();
        let mut ranked: Vec<RankedSlot> =
            fitting.into_iter().map(|slot| RankedSlot { tier: self.tier(request, slot), slot }).collect();
        ranked.sort_unstable();
        ranked
    }

    /// Selects the machine for one task: among the allowed ones those that start it
    /// soonest (the image is there), then spot before ordinary for jobs that may use
    /// both, and within these by the paper's switch.
    pub(super) fn select_slot(
        &mut self,
        request: &PlacementRequest<'a>,
        tasks_per_zone: &[u32],
        only_zone: Option<usize>,
        later: &impl Fn() -> Vec<TaskRun>,
    ) -> Option<Selection> {
        let ranked = match self.ranked_slots.take() {
            Some(ranked) => ranked,
            None => self.rank_fitting_slots(request),
        };
        let reranked = std::mem::take(&mut self.reranked_slots);
        let candidates = self.find_candidates(request, tasks_per_zone, only_zone, &ranked, &reranked);
        (self.ranked_slots, self.reranked_slots) = (Some(ranked), reranked);
        let inputs = self.switch_inputs();
        // the queue behind the head is looked at only where the lookahead decides
        if !inputs.needs_lookahead() {
            return candidates.decide(&request.size, &inputs, &MachineClasses::default(), &[]);
        }
        self.decide_by_lookahead(request, &candidates, &inputs, &later())
    }

    /// The candidates of both policies among the allowed machines of the best tier.
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
            let has_first_tier = position >= reranked.len();
            let is_worse = best_tier.is_some_and(|best| tier > best);
            if has_first_tier && is_worse {
                break;
            }
            self.examined += 1;
            let slot = &self.slots[index];
            if is_worse
                || has_first_tier && slot.is_reranked
                || slot.open_task_slots == 0
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
            let free = if is_service { slot.free_of_replicas } else { slot.free };
            candidates.consider(Candidate { free, ..self.candidate(index) }, &request.size);
        }
        candidates
    }

    /// Decides by AI2, with the tasks `later` in the queue.
    fn decide_by_lookahead(
        &mut self,
        request: &PlacementRequest<'a>,
        candidates: &CandidatePair,
        inputs: &SwitchInputs,
        later: &[TaskRun],
    ) -> Option<Selection> {
        if self.classes.is_none() && !later.is_empty() {
            let mut classes = MachineClasses::default();
            self.open_slots.iter().for_each(|slot| classes.add(&self.candidate(*slot)));
            self.examined += self.open_slots.len() * STEPS_PER_CLASSIFIED_MACHINE;
            self.classes = Some(classes);
        }
        let none = MachineClasses::default();
        let classes = self.classes.as_ref().unwrap_or(&none);
        // each dry run goes through the classes once for each run of tasks
        self.examined += classes.len() * DRY_RUNS * later.len();
        candidates.decide(&request.size, inputs, classes, later)
    }
}
