//! A checker of histories: compares the answers that users were given with the stored jobs and with
//! what ran.  It knows the protocol's rules, and nothing of which controller answered.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use coralnotch_wire::model::Name;

/// A final answer that a user was given.
#[derive(Debug, Clone, PartialEq)]
pub struct Given {
    /// The job.
    pub id: Name,
    /// `done`, `cancelled`, or another text that its user took for a final answer.
    pub answer: String,
    /// When the user first saw it, if that is known.
    pub seen: Option<Instant>,
}

/// Checks a history and returns what is wrong, a line each: the number of stored jobs, the answers of
/// each job, and answers that came before the job had run.  `jobs` is the number of jobs that were
/// handed out; `stored` is `None` if it is not known what is stored.
pub fn check(
    jobs: usize,
    answers: &[Given],
    stored: Option<&HashSet<Name>>,
    completed_at: &HashMap<Name, Instant>,
) -> Vec<String> {
    let mut wrong = Vec::new();
    if let Some(stored) = stored.filter(|stored| stored.len() != jobs) {
        wrong.push(format!("{} jobs are stored, {jobs} were handed out", stored.len()));
    }
    let mut first: HashMap<&Name, &str> = HashMap::new();
    for Given { id, answer, seen } in answers {
        if let Some(earlier) = first.insert(id, answer) {
            wrong.push(format!("{id} is answered twice: {earlier}, then {answer}"));
        }
        if stored.is_some_and(|stored| !stored.contains(id)) {
            wrong.push(format!("{id} is answered and not stored"));
        }
        let is_before = |completed_at: &Instant| seen.is_some_and(|seen| seen < *completed_at);
        if answer == "done" && completed_at.get(id).is_none_or(is_before) {
            wrong.push(format!("{id} is called done before it is"));
        }
    }
    for id in stored.into_iter().flatten().filter(|id| !first.contains_key(id)) {
        wrong.push(format!("{id} is stored and has no answer"));
    }
    if first.len() != jobs {
        wrong.push(format!("{} jobs have an answer, {jobs} were handed out", first.len()));
    }
    wrong
}

#[cfg(test)]
mod tests;
