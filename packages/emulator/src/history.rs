//! A checker of histories: compares the final answers that users were given with the stored jobs and
//! with the tasks that ran.  The checker depends only on the rules of the protocol, not on which
//! controller gave an answer.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use coralnotch_wire::model::Name;

/// A final answer that a user was given for a job.
#[derive(Debug, Clone, PartialEq)]
pub struct UserAnswer {
    /// Id of the job.
    pub id: Name,
    /// `done`, `cancelled`, or another text that the user accepted as the final answer.
    pub answer: String,
    /// Time at which the user first saw the answer; `None` if the time is unknown.
    pub first_seen_at: Option<Instant>,
}

/// Checks a history and returns the problems found, one line each.
///
/// Each job must be stored once and have exactly one final answer, and a job must not be answered
/// `done` before all of its tasks completed.  `jobs` is the number of jobs that were handed out to the
/// users.  `stored` holds the ids of the stored jobs; `None` skips the checks of the stored jobs.
/// `completed_at` holds the time at which the last task of each completed job completed.
pub fn find_violations(
    jobs: usize,
    answers: &[UserAnswer],
    stored: Option<&HashSet<Name>>,
    completed_at: &HashMap<Name, Instant>,
) -> Vec<String> {
    let mut problems = Vec::new();
    if let Some(stored) = stored.filter(|stored| stored.len() != jobs) {
        problems.push(format!("{} jobs are stored, {jobs} were handed out", stored.len()));
    }
    let mut answers_by_job: HashMap<&Name, &str> = HashMap::new();
    for UserAnswer { id, answer, first_seen_at } in answers {
        if let Some(earlier) = answers_by_job.insert(id, answer) {
            problems.push(format!("{id} is answered twice: {earlier}, then {answer}"));
        }
        if stored.is_some_and(|stored| !stored.contains(id)) {
            problems.push(format!("{id} has a final answer but is not stored"));
        }
        let is_before = |completed_at: &Instant| first_seen_at.is_some_and(|seen| seen < *completed_at);
        if answer == "done" && completed_at.get(id).is_none_or(is_before) {
            problems.push(format!("{id} was answered done before all of its tasks completed"));
        }
    }
    for id in stored.into_iter().flatten().filter(|id| !answers_by_job.contains_key(id)) {
        problems.push(format!("{id} is stored but has no final answer"));
    }
    if answers_by_job.len() != jobs {
        problems.push(format!("{} jobs have a final answer, {jobs} were handed out", answers_by_job.len()));
    }
    problems
}

#[cfg(test)]
mod tests;
