//! Identification of a task by its job and its index.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{is_valid_job_id, Name};

/// Identifies one task of a job.
///
/// The text form, also on the wire, is `job/index`, such as `j-000412/3`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Task {
    /// Id of the job.
    pub job: Name,
    /// Index of the task in its job, starting at 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl Task {
    /// Parses the text form, such as `j-000412/3`.
    ///
    /// Returns `None` if the job id is not valid (see [`is_valid_job_id`]), or if the index is not a decimal
    /// number that fits into 32 bits.
    pub fn parse(text: &str) -> Option<Task> {
        let (job, index) = text.split_once('/')?;
        if !is_valid_job_id(job) || index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        Some(Task { job: job.into(), index: index.parse().ok()? })
    }
}

impl Serialize for Task {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Task {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        Task::parse(&text)
            .ok_or_else(|| serde::de::Error::custom("expected a task in the form job/index, such as j-000412/3"))
    }
}
