//! The urgency of a job: its priority and its deadline.

use std::time::{Duration, Instant};

use crate::model::{JobSpec, Priority};

/// The urgency of a job, either its own or inherited from the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    /// The highest priority of the jobs considered.
    pub priority: Priority,
    /// The earliest deadline of the jobs considered; `None` if none of them has a deadline.
    pub deadline: Option<Instant>,
}

impl Urgency {
    /// Returns the urgency that a job's own spec requests.  The deadline of the spec, in seconds,
    /// counts from `first_seen`; a deadline that is out of range counts as none.
    pub fn own(spec: &JobSpec, first_seen: Instant) -> Urgency {
        let deadline_at = |seconds| first_seen.checked_add(Duration::try_from_secs_f64(seconds).ok()?);
        Urgency { priority: spec.priority, deadline: spec.deadline_s.and_then(deadline_at) }
    }

    /// Returns the higher priority and the earlier deadline of the two.
    pub fn combine(self, other: Urgency) -> Urgency {
        let deadline = [self.deadline, other.deadline].into_iter().flatten().min();
        Urgency { priority: self.priority.min(other.priority), deadline }
    }
}
