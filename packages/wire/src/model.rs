//! Jobs, tasks, resources and machine types.  The Rust names are the standard terms; the serde
//! names are those of the protocol.

mod job;
mod machine_type;
mod resources;
mod task;
mod task_ranges;

pub use job::{valid_id, JobExplanation, JobOutcome, JobSpec, JobState, OutcomeRecord, Priority, Shape, MOST_TASKS};
pub use machine_type::MachineType;
pub use resources::Resources;
pub use task::Task;
pub use task_ranges::Ranges;

use std::sync::Arc;

/// A name or id; clones share one allocation.
pub type Name = Arc<str>;

/// Values by name, with a seeded hash that is faster than the standard one: a placement pass
/// looks up the job of every task.
pub type NameMap<V> = std::collections::HashMap<Name, V, foldhash::fast::RandomState>;

/// Returns the index of a value in a short list; the value is appended if it is not there.
pub fn index_of<T: PartialEq>(list: &mut Vec<T>, value: T) -> usize {
    list.iter().position(|present| *present == value).unwrap_or_else(|| {
        list.push(value);
        list.len() - 1
    })
}

#[cfg(test)]
mod tests;
