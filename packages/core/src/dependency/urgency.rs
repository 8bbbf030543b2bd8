//! How urgent a job is.

use std::time::{Duration, Instant};

use crate::model::{JobSpec, Priority};

/// How urgent a job is, on its own account or for the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    /// The highest priority.
    pub priority: Priority,
    /// The earliest deadline.
    pub deadline: Option<Instant>,
}

impl Urgency {
    /// Returns the urgency that a job asks for itself; its deadline counts from `first_seen`.
    pub fn own(spec: &JobSpec, first_seen: Instant) -> Urgency {
        let deadline_at = |seconds| first_seen.checked_add(Duration::try_from_secs_f64(seconds).ok()?);
        Urgency { priority: spec.priority, deadline: spec.deadline_s.and_then(deadline_at) }
    }

    /// Returns the more urgent of both, in each respect.
    pub fn with(self, other: Urgency) -> Urgency {
        let deadline = [self.deadline, other.deadline].into_iter().flatten().min();
        Urgency { priority: self.priority.min(other.priority), deadline }
    }
}
