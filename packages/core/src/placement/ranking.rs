//! Where a task fits, and the machine that is chosen.

use super::pass::{Ask, Pass};
use super::tai2::{Candidate, Classes, How, Picks};
use crate::model::*;

/// What comes before the picks: a machine where the job has failed is last, then
/// the wait for the image where it matters, spot before ordinary for those that
/// may, the wait in full, and a fetch that is under way.
pub(super) type Tier = (bool, u64, bool, u64, bool);

impl<'a> Pass<'a> {
    /// The tier of a machine for a job's tasks.
    pub(super) fn tier(&mut self, ask: &Ask<'a>, slot: usize) -> Tier {
        let grain = self.c.policy.fetch_grain_s;
        // an image that takes a small part of the time within which the task should
        // start is no reason for a dear machine
        let patience = grain.max(self.c.wait_aim(ask.job).unwrap_or(0.0) * self.c.policy.image_share);
        let m = self.slots[slot].m;
        let failed = !ask.job.failed_on.is_empty() && ask.job.failed_on.contains(&m.name);
        // where a fetch is needed anyway, a fresh one warms a machine more
        let (wait, fetching) = self.image_wait(ask, slot);
        // under a deadline a task that is lost with its machine costs more than
        // the room that an ordinary one has left
        let dear = ask.job.spec.spot && m.spot == ask.job.has_deadline_in_chain();
        (failed, (wait / patience).floor() as u64, dear, (wait / grain).ceil() as u64, fetching)
    }

    /// Where the job's tasks fit at all, whatever the zones, by tier.
    pub(super) fn fitting(&mut self, ask: &Ask<'a>) -> Vec<(Tier, usize)> {
        self.looks += self.open.len();
        let fits = |i: &usize| {
            let s = &self.slots[*i];
            s.room > 0 && ask.allowed[s.pool] && s.free.fits(&ask.size)
        };
        let all: Vec<usize> = self.open.iter().copied().filter(fits).collect();
        let mut all: Vec<(Tier, usize)> = all.into_iter().map(|i| (self.tier(ask, i), i)).collect();
        all.sort_unstable();
        all
    }

    /// The machine for one task: among the allowed ones those that start it
    /// soonest (the image is there), then spot before ordinary for jobs that
    /// may, and within these by the paper's switch.
    pub fn choose(
        &mut self,
        ask: &Ask<'a>,
        zones: &[u32],
        only: Option<usize>,
        later: &impl Fn() -> Vec<(Resources, usize)>,
    ) -> Option<(usize, How)> {
        let fits = match self.fits.take() {
            Some(f) => f,
            None => self.fitting(ask),
        };
        let mut picks = Picks::default();
        let mut best: Option<Tier> = None;
        let service = ask.job.spec.shape == Shape::Service;
        let moved = std::mem::take(&mut self.moved);
        for (n, &(tier, i)) in moved.iter().chain(&fits).enumerate() {
            if n >= moved.len() && best.is_some_and(|b| tier > b) {
                break;
            }
            self.looks += 1;
            let s = &self.slots[i];
            if best.is_some_and(|b| tier > b)
                || n >= moved.len() && s.moved
                || s.room == 0
                || only.is_some_and(|z| z != s.zone)
                || !s.free.fits(&ask.size)
                || !self.zone_ok(ask, zones, i)
            {
                continue;
            }
            if best.is_none_or(|b| tier < b) {
                picks.clear();
                best = Some(tier);
            }
            let left = if service { s.lasting } else { s.free };
            picks.show(Candidate { free: left, ..self.candidate(i) }, &ask.size);
        }
        (self.fits, self.moved) = (Some(fits), moved);
        let weather = self.weather();
        // the queue behind the head is looked at only where the dry run is
        let looks = (weather.variance >= weather.variance_threshold) == (weather.load >= weather.load_threshold);
        if !looks {
            return picks.decide(&ask.size, &weather, &Classes::default(), &[]);
        }
        let later = later();
        if self.classes.is_none() && !later.is_empty() {
            let mut all = Classes::default();
            self.open.iter().for_each(|i| all.add(&self.candidate(*i)));
            self.looks += self.open.len() * 4;
            self.classes = Some(all);
        }
        let none = Classes::default();
        let all = self.classes.as_ref().unwrap_or(&none);
        // two dry runs, each of which goes through the classes once a run
        self.looks += all.len() * 2 * later.len();
        picks.decide(&ask.size, &weather, all, &later)
    }
}
