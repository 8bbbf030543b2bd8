//! How urgent a job is.

use std::time::{Duration, Instant};

use crate::model::{JobSpec, Priority};

/// How urgent a job is: for itself, and for those that need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    /// The highest rank.
    pub priority: Priority,
    /// The tightest deadline.
    pub deadline: Option<Instant>,
}

impl Urgency {
    /// What a job asks for itself, known since `known`.
    pub fn own(spec: &JobSpec, known: Instant) -> Urgency {
        let due = |s| known.checked_add(Duration::try_from_secs_f64(s).ok()?);
        Urgency { priority: spec.priority, deadline: spec.deadline_s.and_then(due) }
    }

    /// The more urgent of both, in each respect.
    pub fn with(self, o: Urgency) -> Urgency {
        let due = [self.deadline, o.deadline].into_iter().flatten().min();
        Urgency { priority: self.priority.min(o.priority), deadline: due }
    }
}
