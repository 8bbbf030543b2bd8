//! Safety rules, checked throughout.

use super::*;

impl World {
    /// The rules, at the moment a task gets onto a machine.
    pub(super) fn check_task_start(&mut self, i: usize, task: &Task, spec: &JobSpec) {
        let on = |w: &TaskProgress| !matches!(w, TaskProgress::Pulling { .. } | TaskProgress::Ended(_));
        let mut used = spec.cpus;
        let mut zones: BTreeMap<Name, u32> = BTreeMap::from([(self.workers[i].zone.clone(), 1)]);
        let mut violations = Vec::new();
        for (j, w) in self.workers.iter().enumerate().filter(|(_, w)| w.alive) {
            for (t, (_, work)) in w.tasks.iter().filter(|(_, (_, w))| on(w)) {
                if (j, t) == (i, task) {
                    continue;
                }
                if t == task {
                    violations.push(format!("ran_twice: {t} on {} and {}", w.name, self.workers[i].name));
                }
                let (other, _) = &self.jobs[&t.job];
                if other.team == spec.team {
                    used += other.cpus;
                }
                if t.job == task.job {
                    *zones.entry(w.zone.clone()).or_insert(0) += 1;
                }
                let _ = work;
            }
        }
        if used > self.quota + 1e-6 {
            violations.push(format!("quota: {} uses {used}", spec.team));
        }
        let w = &self.workers[i];
        if !spec.allows(&"t".into(), &w.zone, w.spot)
            || spec.one_zone && zones.len() > 1
            || zones[&w.zone] > spec.zone_cap()
        {
            violations.push(format!("wrong_place: {task} on {}", w.name));
        }
        self.starts_after_cancellation += u32::from(self.cancellation_confirmed_at.contains_key(&task.job));
        if self.cancellation_confirmed_at.get(&task.job).is_some_and(|t| self.now - t > 60_000) {
            violations.push(format!("ran_cancelled: {task} starts"));
        }
        if let Some(n) = spec.needs.iter().find(|n| self.state_store.outcome(n) != Some(JobOutcome::Done)) {
            violations.push(format!("too_early: {task} starts before {n} is done"));
        }
        self.violations.extend(violations);
    }

    pub(super) fn check_invariants(&mut self) {
        let acts =
            |(i, c): (usize, &Option<Controller>)| c.as_ref().is_some_and(|c| self.now < c.until) && self.is_served(i);
        if !self.controllers.iter().enumerate().any(acts) {
            self.led_since = self.now;
        }
        // a machine that hangs beyond its lease executes nothing any more; that
        // its tasks stay listed here is to catch those who start them again
        let lost = |w: &&Worker| self.now < w.hung_until && self.now.saturating_sub(w.renewed) > 30_000;
        for w in self.workers.iter().filter(|w| w.alive && !lost(w)) {
            for (t, (_, work)) in &w.tasks {
                let on = !matches!(work, TaskProgress::Pulling { .. } | TaskProgress::Ended(_));
                if on && self.cancellation_confirmed_at.get(&t.job).is_some_and(|c| self.now - c > 60_000) {
                    let known = |c: &Controller| {
                        let m = c.cluster.machines.get(&w.name);
                        m.map(|m| {
                            (
                                c.until,
                                c.cluster.term,
                                m.last_heartbeat.is_some(),
                                m.deletion_sent_at.is_some(),
                                m.tasks.get(t).cloned(),
                            )
                        })
                    };
                    let known: Vec<_> = self.controllers.iter().flatten().map(known).collect();
                    let world = (
                        self.cancellation_confirmed_at[&t.job],
                        self.state_store_outage_until,
                        self.zone_partitioned_until,
                        w.hung_until,
                        w.renewed,
                    );
                    self.violations.push(format!("ran_cancelled: {t} on {}: {world:?}, {known:?}", w.name));
                }
            }
        }
        // a job that needs a cancelled one, from when both were known to users
        let mut since: HashMap<&Name, Ms> = HashMap::new();
        for (id, (spec, _)) in &self.jobs {
            let told = |n: &Name| match self.state_store.outcome(n) {
                Some(JobOutcome::Cancelled) => since.get(n).or(self.cancellation_confirmed_at.get(n)).copied(),
                Some(JobOutcome::Done) => None,
                None => since.get(n).copied(),
            };
            let Some(t) = spec.needs.iter().filter_map(told).min().map(|t| t.max(self.submitted_at[id])) else {
                continue;
            };
            // called so too late; or left as it is though somebody leads
            let called = self.now - t > 60_000 && (0..3).any(|i| self.may_report_unfinished(i, id));
            let left = self.state_store.outcome(id).is_none() && self.now - t.max(self.led_since) > 40_000;
            if called || left {
                self.violations.push(format!("orphaned: {id}, whose needs {:?} were cancelled at {t}", spec.needs));
            }
            since.insert(id, t);
        }
        for (id, (spec, _)) in &self.jobs {
            if self.state_store.outcome(id) == Some(JobOutcome::Done) {
                let all =
                    (0..spec.tasks).all(|index| self.task_finished_at.contains_key(&Task { job: id.clone(), index }));
                if !all {
                    self.violations.push(format!("not_done: {id}"));
                }
            }
        }
    }
}
