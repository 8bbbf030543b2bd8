//! Liveness: no job is left waiting for ever.

use super::*;

impl World {
    /// Jobs that a leader still holds back though all they need was done a while
    /// ago (a transaction may stay in doubt for some seconds): nothing else would
    /// show that they never start.
    pub(super) fn blocked_despite_done_dependencies(&self) -> Vec<String> {
        let over = |n: &Name| {
            let long = self.outcome_stored_at.get(n).is_some_and(|t| self.now - t > 15_000);
            long && self.state_store.outcome(n) == Some(JobOutcome::Done)
        };
        let led = self.controllers.iter().flatten().filter(|c| self.now < c.until);
        let held = led.flat_map(|c| c.cluster.dependency.blocked());
        held.filter(|h| h.spec.needs.iter().all(over)).map(|h| h.spec.id.to_string()).collect()
    }

    /// Once all troubles are over, no job is left waiting beside room that fits it, its team
    /// under its limit: at each second for so long, room that was there for as long before
    /// that, eighty seconds in all.  What fails everywhere is probed seldom, and what waits
    /// for others waits rightly.
    pub(super) fn check_starvation(&mut self) {
        const SECONDS: usize = 40;
        let (mut used, mut left): (HashMap<Name, f64>, Vec<f64>) = Default::default();
        for w in &self.workers {
            let mut free = if w.alive && self.now >= w.hung_until { 8.0 } else { 0.0 };
            for (t, (_, work)) in &w.tasks {
                let spec = &self.jobs[&t.job].0;
                if w.alive && !matches!(work, TaskProgress::Ended(_)) {
                    free -= spec.cpus;
                    *used.entry(spec.team.clone()).or_default() += spec.cpus;
                }
            }
            left.push(free);
        }
        self.capacity_samples.push_back((used, left));
        if self.capacity_samples.len() <= SECONDS {
            return;
        }
        self.capacity_samples.pop_front();
        let least =
            |n: usize| self.capacity_samples.iter().map(|s| s.1.get(n).copied().unwrap_or(0.0)).fold(8.0, f64::min);
        let free: Vec<(&Worker, f64)> = self.workers.iter().enumerate().map(|(n, w)| (w, least(n))).collect();
        let started: std::collections::HashSet<&Name> =
            self.workers.iter().flat_map(|w| w.tasks.keys()).map(|t| &t.job).collect();
        let mut waiting = HashMap::new();
        for (id, (spec, _)) in &self.jobs {
            let ready = spec.needs.iter().all(|n| self.state_store.outcome(n) == Some(JobOutcome::Done));
            let done = |index| self.task_finished_at.contains_key(&Task { job: id.clone(), index });
            let begun = started.contains(id) || (0..spec.tasks).any(done);
            if self.state_store.outcome(id).is_some() || begun || !ready || self.faulty_jobs.contains(id) {
                continue;
            }
            let n = if spec.shape == Shape::Gang { spec.tasks } else { 1 };
            let fits = |(w, left): &&(&Worker, f64)| spec.allows(&"t".into(), &w.zone, w.spot) && *left >= spec.cpus;
            let mut zones: BTreeMap<&Name, u32> = BTreeMap::new();
            for (w, left) in free.iter().filter(fits) {
                *zones.entry(&w.zone).or_default() += (left / spec.cpus) as u32;
            }
            let most = zones.values().map(|n| *n.min(&spec.zone_cap()));
            let room = if spec.one_zone { most.max().unwrap_or(0) } else { most.sum() };
            let used =
                self.capacity_samples.iter().filter_map(|s| s.0.get(&spec.team)).fold(0.0, |a: f64, b| a.max(*b));
            // what has ended and is not reported yet counts for the leader
            let slack = 2.0;
            if room >= n && used + spec.cpus * f64::from(n) + slack <= self.quota {
                let since = self.unplaced_since.get(id).copied().unwrap_or(self.now);
                if self.now - since >= SECONDS as u64 * 1000 {
                    self.violations.push(format!("left_waiting: {id} of {n} tasks, {room} would fit"));
                }
                waiting.insert(id.clone(), since);
            }
        }
        self.unplaced_since = waiting;
    }
}
