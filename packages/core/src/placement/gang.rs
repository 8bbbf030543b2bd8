//! Placement of gangs.

use super::pass::{Ask, Pass};
use super::{tai2, Decisions, Start};
use crate::cluster::{Assignment, Cluster, TaskPhase};
use crate::model::*;

impl Cluster {
    /// Places a gang: all of its tasks, or none.  Before its start, lost
    /// tasks are replaced under the same attempt.
    pub(super) fn place_gang<'a>(
        &self,
        ask: &Ask<'a>,
        pass: &mut Pass<'a>,
        later: impl Fn() -> Vec<(Resources, usize)>,
        out: &mut Decisions,
    ) -> Option<(u32, Vec<u32>)> {
        let (job, spec) = (ask.job, &ask.job.spec);
        // what of it is still somewhere
        let placed = job.placed_tasks();
        let old: Vec<&Assignment> = placed.iter().filter_map(|(m, t)| self.machines.get(m)?.tasks.get(t)).collect();
        let keeps = |p: &&Assignment| {
            matches!(p.phase, TaskPhase::Assigned | TaskPhase::Pulling | TaskPhase::WaitingForGang)
                && p.stop_grace_s.is_none()
                && !p.inherited
                && p.attempt == job.attempt
        };
        if !old.iter().all(keeps) {
            // the last attempt must be off its machines first
            out.whys.push((spec.id.clone(), "its last attempt is not over"));
            return None;
        }
        let n = job.pending.len();
        if !pass.allows(ask, n) {
            out.whys.push((spec.id.clone(), "its team is at its limit"));
            return None;
        }
        let present = pass.zones_of(ask);
        // with one zone for all, each zone is tried; else any
        let free_choice = spec.one_zone && present.iter().all(|n| *n == 0);
        let tries: Vec<Option<usize>> = if free_choice { (0..present.len()).map(Some).collect() } else { vec![None] };
        let mut best: Option<(f64, Vec<(usize, tai2::How)>)> = None;
        for only in tries {
            let mut zones = present.clone();
            let (mut picks, mut slowest) = (Vec::new(), 0.0f64);
            for _ in 0..n {
                let Some((slot, how)) = pass.choose(ask, &zones, only, &later) else { break };
                pass.take(slot, &ask.size);
                zones[pass.slots[slot].zone] += 1;
                slowest = slowest.max(pass.image_wait(ask, slot).0);
                picks.push((slot, how));
            }
            for (slot, _) in &picks {
                pass.give_back(*slot, &ask.size);
            }
            if picks.len() as u32 == n && best.as_ref().is_none_or(|b| slowest < b.0) {
                best = Some((slowest, picks));
            }
        }
        let Some((slowest, picks)) = best else { return Some((n, present)) };
        if let Some(aim) = self.wait_aim(job).filter(|a| job.quarantine.is_none() && slowest > *a) {
            if self.hold_or_preempt(ask, n, &present, pass, (aim, slowest), out) == n {
                return None;
            }
        }
        let mut tasks = Vec::with_capacity(picks.len());
        for (index, (slot, how)) in job.pending.iter().zip(picks) {
            let wait = pass.image_wait(ask, slot).0;
            pass.explain(ask, index, slot, how, wait);
            pass.start(ask, slot);
            tasks.push((index, pass.slots[slot].m.name.clone()));
        }
        let attempt = (!old.is_empty()).then_some(job.attempt);
        out.starts.push(Start { job: spec.id.clone(), tasks, attempt });
        None
    }
}
