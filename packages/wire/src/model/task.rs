//! Tasks of jobs.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{valid_id, Name};

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Task {
    /// The job.
    pub job: Name,
    /// Its number.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl Task {
    /// Reads `j-000412/3`.
    pub fn parse(s: &str) -> Option<Task> {
        let (job, index) = s.split_once('/')?;
        if !valid_id(job) || index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        Some(Task { job: job.into(), index: index.parse().ok()? })
    }
}

impl Serialize for Task {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Task {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let s = std::borrow::Cow::<str>::deserialize(d)?;
        Task::parse(&s).ok_or_else(|| serde::de::Error::custom("not a task"))
    }
}
