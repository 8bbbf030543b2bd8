//! Estimates of how long a task waits until a machine has fetched its image.

use std::time::Instant;

use super::machine_slot::{ImageFetch, MachineSlot};
use super::pass::{Pass, PlacementRequest};
use crate::cluster::{Assignment, TaskPhase};
use crate::model::*;

/// Lower bound of the assumed fetch rate, in GB per second.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// The wait for an image on a machine.
#[derive(Clone, Copy)]
pub(super) struct ImageWait {
    /// Estimated time until the machine has the image, in seconds.
    pub(super) seconds: f64,
    /// Whether the machine is already fetching the image.
    pub(super) is_fetching: bool,
}

impl<'a> Pass<'a> {
    /// Returns how long a task of the job would wait for its image on a machine.  The estimate is
    /// cached for each image and machine until another fetch begins on the machine.
    pub(super) fn image_wait(&mut self, request: &PlacementRequest<'a>, slot: usize) -> ImageWait {
        if let Some(wait) = self.image_waits[request.image_index][slot] {
            return wait;
        }
        let (spec, machine_slot) = (&request.job.spec, &self.slots[slot]);
        let wait = if machine_slot.machine.has_image(&spec.image) {
            ImageWait { seconds: 0.0, is_fetching: false }
        } else {
            let machine_type = self.cluster.machine_types.get(&machine_slot.machine.machine_type);
            let fetch_gb_per_s = machine_type.map_or(0.0, |t| t.fetch_gb_per_s).max(MIN_FETCH_GB_PER_S);
            estimate_fetch(spec, machine_slot, fetch_gb_per_s, self.now)
        };
        self.image_waits[request.image_index][slot] = Some(wait);
        wait
    }
}

/// Estimates the wait for an image that a machine does not have.
fn estimate_fetch(spec: &JobSpec, slot: &MachineSlot, fetch_gb_per_s: f64, now: Instant) -> ImageWait {
    let may_fetch = |task: &&Assignment| {
        task.occupies_resources() && matches!(task.phase, TaskPhase::Assigned | TaskPhase::Pulling)
    };
    let mut began = slot.fetches.iter().any(|fetch| *fetch.image == spec.image).then_some(now);
    // Concurrent fetches share the fetch rate.
    let other_fetches = slot.fetches.iter().filter(|fetch| *fetch.image != spec.image);
    let mut others: Vec<ImageFetch> = other_fetches.copied().collect();
    for task in slot.machine.tasks.values().filter(may_fetch) {
        let image = &task.spec.image;
        if *image == spec.image {
            began = Some(began.map_or(task.assigned_at, |earliest| earliest.min(task.assigned_at)));
        } else if !slot.machine.has_image(image) && !others.iter().any(|other| other.image == image) {
            others.push(ImageFetch { image, size_gb: task.spec.image_gb });
        }
    }
    let total_s = (spec.image_gb + others.iter().map(|other| other.size_gb).sum::<f64>()) / fetch_gb_per_s;
    let remaining_s = began.map_or(total_s, |began| (total_s - now.duration_since(began).as_secs_f64()).max(0.0));
    ImageWait { seconds: remaining_s, is_fetching: began.is_some() }
}
