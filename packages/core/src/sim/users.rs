//! Users, who submit and cancel jobs.

use super::*;

impl World {
    pub(super) fn submit_random_job(&mut self) {
        self.submit_job(false);
    }

    /// A user submits a job; `small`: an array of one small task that waits for nothing.
    pub(super) fn submit_job(&mut self, small: bool) {
        let n = self.jobs.len();
        let shape = if small { 0 } else { self.rng.usize(0..3) };
        let shape = [Shape::Array, Shape::Gang, Shape::Service][shape];
        let one_zone = self.rng.u32(0..4) == 0;
        // guests come with many of the smallest tasks
        let tiny = small || shape == Shape::Array && self.rng.u32(0..6) == 0;
        let tasks = if small { 1 } else { self.rng.u32(if tiny { 20..60 } else { 1..6 }) };
        // jobs that were accepted, in whatever state by now
        let named =
            if shape != Shape::Service && n > 0 && !small { [0, 0, 1, 1, 2, 3][self.rng.usize(0..6)] } else { 0 };
        let lately = n.saturating_sub(12);
        let needs = (0..named).map(|_| format!("j-{:06}", self.rng.usize(lately..n)).into());
        let needs: Vec<Name> = needs.filter(|id| self.jobs[id].0.shape != Shape::Service).collect();
        let spec = Arc::new(JobSpec {
            needs,
            team: if self.rng.bool() { "x" } else { "y" }.into(),
            shape,
            priority: [Priority::Production, Priority::High, Priority::Normal, Priority::Low][self.rng.usize(0..4)],
            cpus: if tiny { 0.25 } else { f64::from(self.rng.u32(1..4)) },
            image: format!("img-{}", self.rng.u32(0..3)).into(),
            zone: (self.rng.u32(0..6) == 0).then(|| "z1".into()),
            one_zone,
            spread: !one_zone && self.rng.u32(0..3) == 0,
            spot: self.rng.bool(),
            ..(*spec(&format!("j-{n:06}"), tasks)).clone()
        });
        let mut spec = spec;
        if spec.spread && spec.zone.is_some() {
            Arc::make_mut(&mut spec).zone = None;
        }
        let revision = self.state_store.apply(&submissions_txn([(&*spec, false)].into_iter())).expect("a new job");
        if self.rng.u32(0..12) == 0 {
            self.faulty_jobs.insert(spec.id.clone());
        }
        self.jobs.insert(spec.id.clone(), (spec.clone(), revision));
        self.submitted_at.insert(spec.id.clone(), self.now);
        for to in 0..3 {
            self.send_watch_event(Message::JobSubmitted { to, spec: spec.clone(), revision });
        }
    }

    /// A controller takes a withdrawal, stores it, and tells its user.
    pub(super) fn cancel_random_job(&mut self) -> Option<Name> {
        let by = self.rng.usize(0..3);
        if !self.is_served(by) {
            return None;
        }
        let open: Vec<Name> = self.jobs.keys().filter(|id| self.state_store.outcome(id).is_none()).cloned().collect();
        if open.is_empty() {
            return None;
        }
        let id = open[self.rng.usize(0..open.len())].clone();
        self.cancel_job(by, &id, &open);
        Some(id)
    }

    /// A controller takes the withdrawal of a job; it ends some of those that need it
    /// with it.
    pub(super) fn cancel_job(&mut self, by: usize, id: &Name, open: &[Name]) {
        let mut ends = vec![id.clone()];
        if self.rng.bool() {
            // who takes the withdrawal ends what needs the job, as far as it knows
            ends.extend(open.iter().filter(|o| self.jobs[*o].0.needs.contains(id)).take(2).cloned());
        }
        let txn = cancellations_txn(&ends);
        if let Ok(revision) = self.state_store.apply(&txn) {
            for id in ends {
                self.record_outcome(by, &id, JobOutcome::Cancelled, revision);
                match self.peer_notices_required {
                    true => drop(self.unconfirmed_cancellations.insert(id)),
                    false => drop(self.cancellation_confirmed_at.insert(id, self.now)),
                }
            }
        }
    }
}
