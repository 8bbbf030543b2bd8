//! An example job for tests, benchmarks and the emulator.

use std::sync::Arc;

use crate::model::*;

/// Returns a job array with `tasks` tasks, each of which needs one core and 1 GB of memory.
///
/// The job has class `c`, team `x`, normal priority and an estimated run time of 10 s per task.  Its
/// tasks may run on every machine type, in every zone and on spot machines.
pub fn job_array(id: &str, tasks: u32) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "x".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img-0".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread_by_zone: false,
        spot: true,
        estimated_run_time_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    })
}
