//! A checker of histories: what users were told against what was stored and
//! what ran.  It knows the protocol's rules and nothing of who was asked.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use coralnotch_wire::model::Name;

/// A final answer that a user was given.
#[derive(Debug, Clone, PartialEq)]
pub struct Given {
    /// The job.
    pub id: Name,
    /// `done`, `cancelled`, or something else that its user took for an end.
    pub answer: String,
    /// When it was first seen, if that is known.
    pub seen: Option<Instant>,
}

/// What is wrong: jobs stored against jobs handed out, answers against jobs,
/// and answers against what had run by then.  `stored` is `None` where nobody
/// can say.
pub fn check(
    jobs: usize,
    answers: &[Given],
    stored: Option<&HashSet<Name>>,
    completed: &HashMap<Name, Instant>,
) -> Vec<String> {
    let mut wrong = Vec::new();
    if let Some(s) = stored.filter(|s| s.len() != jobs) {
        wrong.push(format!("{} jobs are stored, {jobs} were handed out", s.len()));
    }
    let mut first: HashMap<&Name, &str> = HashMap::new();
    for g in answers {
        if let Some(before) = first.insert(&g.id, &g.answer) {
            wrong.push(format!("{} is answered twice: {before}, then {}", g.id, g.answer));
        }
        if stored.is_some_and(|s| !s.contains(&g.id)) {
            wrong.push(format!("{} is answered and not stored", g.id));
        }
        if g.answer == "done" && completed.get(&g.id).is_none_or(|t| g.seen.is_some_and(|s| s < *t)) {
            wrong.push(format!("{} is called done before it is", g.id));
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
