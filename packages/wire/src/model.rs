//! Jobs, tasks, resources and machine types.
//!
//! Rust identifiers are the usual terms of cluster schedulers.  Where the protocol has another name
//! for a field or value, a serde attribute sets the name on the wire.

mod job;
mod machine_type;
mod resources;
mod task;
mod task_ranges;

pub use job::{
    is_valid_job_id, JobExplanation, JobOutcome, JobSpec, JobState, OutcomeRecord, Priority, Shape, MAX_TASKS_PER_JOB,
};
pub use machine_type::MachineType;
pub use resources::Resources;
pub use task::Task;
pub use task_ranges::TaskIndexSet;

use std::sync::Arc;

/// A name or an id of a job, machine, team or similar object.  Clones share one allocation.
pub type Name = Arc<str>;

/// A hash map from names to values.
///
/// The hasher is seeded and faster than that of the standard library, because a placement pass looks
/// up the job of every task.
pub type NameMap<V> = std::collections::HashMap<Name, V, foldhash::fast::RandomState>;

/// Returns the index of the first element equal to `value`, and appends `value` if there is none.
///
/// The search is linear, so the list should be short.
pub fn index_of<T: PartialEq>(list: &mut Vec<T>, value: T) -> usize {
    list.iter().position(|present| *present == value).unwrap_or_else(|| {
        list.push(value);
        list.len() - 1
    })
}

#[cfg(test)]
mod tests;
