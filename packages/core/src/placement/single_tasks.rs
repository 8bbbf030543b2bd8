//! Placement of tasks that start one by one.

use super::pass::{Ask, Pass};
use super::queue::Entry;
use super::{Decisions, Start};
use crate::cluster::Cluster;
use crate::model::*;

impl Cluster {
    /// Places tasks of an array or service one by one.  Returns how many
    /// found no room, and where the job's tasks are by zone; `None` if room
    /// is not what they lack.
    pub(super) fn place_each<'a>(
        &self,
        ask: &Ask<'a>,
        entry: Entry<'a>,
        pass: &mut Pass<'a>,
        later: impl Fn() -> Vec<(Resources, usize)>,
        out: &mut Decisions,
    ) -> Option<(u32, Vec<u32>)> {
        let job = ask.job;
        let mut zones = pass.zones_of(ask);
        let aim = self.wait_aim(job);
        let mut tasks: Vec<(u32, Name)> = Vec::new();
        let mut blocked = false;
        for index in entry.tasks() {
            if !pass.allows(ask, 1) {
                out.whys.push((job.spec.id.clone(), "its team is at its limit"));
                break;
            }
            let Some((slot, how)) = pass.choose(ask, &zones, None, &later) else {
                blocked = true;
                break;
            };
            // fetching the image would make it late: rather take room, if that
            // may be, where the image is
            let wait = pass.image_wait(ask, slot).0;
            if job.quarantine.is_none() && aim.is_some_and(|aim| wait > aim) {
                let limits = (aim.unwrap_or(wait), wait);
                if self.hold_or_preempt(ask, 1, &zones, pass, limits, out) == 1 {
                    continue;
                }
            }
            pass.explain(ask, index, slot, how, wait);
            pass.start(ask, slot);
            zones[pass.slots[slot].zone] += 1;
            tasks.push((index, pass.slots[slot].m.name.clone()));
        }
        let left = entry.count - tasks.len() as u32;
        if !tasks.is_empty() {
            out.starts.push(Start { job: job.spec.id.clone(), tasks, attempt: None });
        }
        blocked.then(|| (pass.room_in_limit(ask, left), zones))
    }
}
