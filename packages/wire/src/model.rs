//! The field's terms, and the wire's words at their edge.

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

/// A name shared by many places.
pub type Name = Arc<str>;

/// Values by name, with a seeded hash that is quicker than the standard one:
/// a pass looks up the job of every task.
pub type NameMap<V> = std::collections::HashMap<Name, V, foldhash::fast::RandomState>;

/// Where a value stands in a short list; it is added if it is not there.
/// The place of `x` in the list, where it is put if it is not there yet.
pub fn index_of<T: PartialEq>(list: &mut Vec<T>, x: T) -> usize {
    list.iter().position(|y| *y == x).unwrap_or_else(|| {
        list.push(x);
        list.len() - 1
    })
}

#[cfg(test)]
mod tests;
