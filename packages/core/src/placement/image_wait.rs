//! How long a task waits for its image.

use super::pass::{Ask, Pass};
use crate::cluster::{Assignment, TaskPhase};
use crate::model::*;

impl<'a> Pass<'a> {
    /// How long a task would wait for its image on a machine, and whether the
    /// machine is fetching it already.
    pub fn image_wait(&mut self, ask: &Ask<'a>, slot: usize) -> (f64, bool) {
        if let Some(w) = self.waits[ask.image][slot] {
            return w;
        }
        let (spec, s) = (&ask.job.spec, &self.slots[slot]);
        let w = if s.m.has_image(&spec.image) {
            (0.0, false)
        } else {
            let rate = self.c.types.get(&s.m.kind).map_or(0.0, |t| t.fetch_gb_per_s).max(1e-3);
            let fetching =
                |p: &&Assignment| p.occupies_resources() && matches!(p.phase, TaskPhase::Assigned | TaskPhase::Pulling);
            let mut began = s.fetches.iter().any(|f| f.0 == &spec.image).then_some(self.now);
            // fetches at the same time share the rate
            let mut others: Vec<(&Name, f64)> = s.fetches.iter().filter(|f| f.0 != &spec.image).copied().collect();
            for p in s.m.tasks.values().filter(fetching) {
                if p.spec.image == spec.image {
                    began = Some(began.map_or(p.assigned_at, |b| b.min(p.assigned_at)));
                } else if !s.m.has_image(&p.spec.image) && !others.iter().any(|o| *o.0 == p.spec.image) {
                    others.push((&p.spec.image, p.spec.image_gb));
                }
            }
            let whole = (spec.image_gb + others.iter().map(|o| o.1).sum::<f64>()) / rate;
            let left = began.map_or(whole, |t| (whole - self.now.duration_since(t).as_secs_f64()).max(0.0));
            (left, began.is_some())
        };
        self.waits[ask.image][slot] = Some(w);
        w
    }
}
