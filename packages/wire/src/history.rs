//! A consistency checker for histories of answers, for tests and simulations.
//!
//! A history consists of the answers that users have received from any of the controllers.  The checker
//! finds answers that contradict an earlier answer or a submission.  It does not consider
//! which controller has sent an answer.  All times have to come from one clock.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::fmt::Debug;

use crate::model::Name;

/// The state of a job that an answer reports.  Variants compare in the order in which a job goes
/// through the states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservedState {
    /// The job is unknown (status 404), or its submission was rejected permanently (400 or 422).
    NotAccepted,
    /// The job is accepted and has not ended.
    Unfinished,
    /// All tasks of the job have completed.
    Done,
    /// The job was cancelled.
    Cancelled,
}

/// An answer that a user has received, with times of type `T`.
///
/// A history excludes requests without an answer, and answers that report no state of a job (status 429,
/// 503 and 504).
#[derive(Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// Id of the job.
    pub id: Name,
    /// Time at which the user sent the request.
    pub sent_at: T,
    /// Time at which the user received the answer; not before `sent_at`.
    pub received_at: T,
    /// State of the job that the answer reports.
    pub state: ObservedState,
}

/// Returns a description of every inconsistency in a history; the result is empty if there is none.
///
/// `submitted_at` holds the time at which the first submission of each job was sent.  A history is
/// consistent if it has these properties:
///
/// - No answer reports an older state than another answer that was received before the request was
///   sent.  An accepted job is never unknown again, and a job that is done or cancelled stays so.
/// - No job is reported both as done and as cancelled, in either order.
/// - No job is reported as accepted before the first submission was sent.
pub fn find_inconsistencies<T: PartialOrd + Copy + Debug>(
    answers: &[Answer<T>],
    submitted_at: &HashMap<Name, T>,
) -> Vec<String> {
    let mut answers_by_job: HashMap<&Name, Vec<&Answer<T>>> = HashMap::new();
    for answer in answers {
        answers_by_job.entry(&answer.id).or_default().push(answer);
    }
    let mut violations = Vec::new();
    for (id, answers) in answers_by_job {
        violations.extend(find_unsubmitted(id, &answers, submitted_at.get(id).copied()));
        violations.extend(find_conflicting_outcomes(id, &answers));
        violations.extend(find_state_regressions(id, answers));
    }
    violations
}

/// Returns a description of an answer that reports a job as accepted before its first submission was
/// sent, or without any.
fn find_unsubmitted<T: PartialOrd + Debug>(
    id: &Name,
    answers: &[&Answer<T>],
    submitted_at: Option<T>,
) -> Option<String> {
    let is_too_early = |answer: &&&Answer<T>| {
        answer.state > ObservedState::NotAccepted && submitted_at.as_ref().is_none_or(|at| answer.received_at < *at)
    };
    let answer = answers.iter().find(is_too_early)?;
    Some(format!(
        "{id} is reported as {:?} at {:?}, although it had not been submitted by then",
        answer.state, answer.received_at
    ))
}

/// Returns a description of two answers that report different outcomes.
fn find_conflicting_outcomes<T: Debug>(id: &Name, answers: &[&Answer<T>]) -> Option<String> {
    let find = |state| answers.iter().find(|answer| answer.state == state);
    let (done, cancelled) = (find(ObservedState::Done)?, find(ObservedState::Cancelled)?);
    Some(format!("{id} is reported as done at {:?} and as cancelled at {:?}", done.received_at, cancelled.received_at))
}

/// Returns a description of each answer that reports an older state than another answer that was
/// received before the request was sent.
fn find_state_regressions<T: PartialOrd + Debug>(id: &Name, answers: Vec<&Answer<T>>) -> Vec<String> {
    let mut by_receipt = answers.clone();
    by_receipt.sort_by(|a, b| compare(&a.received_at, &b.received_at));
    let mut by_sending = answers;
    by_sending.sort_by(|a, b| compare(&a.sent_at, &b.sent_at));
    let mut violations = Vec::new();
    let mut received = by_receipt.into_iter().peekable();
    // The answer with the latest state among those received before the current request was sent.
    let mut latest: Option<&Answer<T>> = None;
    for answer in by_sending {
        while let Some(earlier) = received.next_if(|earlier| earlier.received_at < answer.sent_at) {
            if latest.is_none_or(|latest| earlier.state > latest.state) {
                latest = Some(earlier);
            }
        }
        if let Some(latest) = latest.filter(|latest| answer.state < latest.state) {
            violations.push(format!(
                "{id} is reported as {:?} to a request sent at {:?}, after {:?} was received at {:?}",
                answer.state, answer.sent_at, latest.state, latest.received_at
            ));
        }
    }
    violations
}

fn compare<T: PartialOrd>(a: &T, b: &T) -> Ordering {
    a.partial_cmp(b).unwrap_or(Ordering::Equal)
}

#[cfg(test)]
mod tests;
