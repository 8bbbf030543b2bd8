//! An example of a submission, for tests and benchmarks.

use std::sync::Arc;

use crate::model::*;

/// Returns a job array whose tasks need one core each.
pub fn spec(id: &str, tasks: u32) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "x".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory: 1.0,
        image: "img-0".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        needs: Vec::new(),
    })
}
