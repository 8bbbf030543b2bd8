//! A checker of histories: compares the states of jobs that answers report, from
//! whichever controller, with those that users had received before they asked.  It knows the states of the protocol, but
//! neither who answered nor which clock the times are of.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::fmt::Debug;

use crate::model::Name;

/// The state of a job as an answer reports it, in the order in which a job goes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObservedState {
    /// The job is not known (404), or refused for good (400, 422).
    NotAccepted,
    /// The job is accepted, and neither done nor cancelled.
    Unfinished,
    /// The job is done.
    Done,
    /// The job is cancelled.
    Cancelled,
}

/// An answer that a user has received.  Answers that say nothing of the job (429, 503, 504 and
/// none at all) are no part of a history.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// The job.
    pub id: Name,
    /// When the user sent the request.
    pub sent_at: T,
    /// When the user received the answer.
    pub received_at: T,
    /// The state that it reports.
    pub state: ObservedState,
}

/// Returns what is wrong with a history, one sentence each.
///
/// The answer to a request that was sent after another answer had been received must not report
/// an older state than that one: an accepted job is never unknown again, and a job that is done
/// or cancelled stays so.  A job must not be reported both as done and as cancelled, in whatever
/// order.  And a job must not be known before anybody has submitted it; `submitted_at` has the
/// time at which the first submission of each job was sent.
pub fn find_stale_answers<T: PartialOrd + Copy + Debug>(
    answers: &[Answer<T>],
    submitted_at: &HashMap<Name, T>,
) -> Vec<String> {
    let mut answers_by_job: HashMap<&Name, Vec<&Answer<T>>> = HashMap::new();
    for answer in answers {
        answers_by_job.entry(&answer.id).or_default().push(answer);
    }
    let mut faults = Vec::new();
    for (id, answers) in answers_by_job {
        faults.extend(find_unsubmitted(id, &answers, submitted_at.get(id).copied()));
        faults.extend(find_two_outcomes(id, &answers));
        faults.extend(find_older_states(id, answers));
    }
    faults
}

/// Finds an answer by which a job was accepted before it was submitted.
fn find_unsubmitted<T: PartialOrd + Debug>(
    id: &Name,
    answers: &[&Answer<T>],
    submitted_at: Option<T>,
) -> Option<String> {
    let is_too_early = |answer: &&&Answer<T>| {
        answer.state > ObservedState::NotAccepted && submitted_at.as_ref().is_none_or(|at| answer.received_at < *at)
    };
    let answer = answers.iter().find(is_too_early)?;
    Some(format!("{id} is called {:?} at {:?}, and nobody had submitted it", answer.state, answer.received_at))
}

/// Finds a pair of answers with different outcomes.
fn find_two_outcomes<T: Debug>(id: &Name, answers: &[&Answer<T>]) -> Option<String> {
    let find = |state| answers.iter().find(|answer| answer.state == state);
    let (done, cancelled) = (find(ObservedState::Done)?, find(ObservedState::Cancelled)?);
    Some(format!("{id} is called done at {:?} and cancelled at {:?}", done.received_at, cancelled.received_at))
}

/// Finds the answers that report an older state than one received before they were asked for.
fn find_older_states<T: PartialOrd + Debug>(id: &Name, answers: Vec<&Answer<T>>) -> Vec<String> {
    let mut by_receipt = answers.clone();
    by_receipt.sort_by(|a, b| compare(&a.received_at, &b.received_at));
    let mut by_sending = answers;
    by_sending.sort_by(|a, b| compare(&a.sent_at, &b.sent_at));
    let mut faults = Vec::new();
    let mut received = by_receipt.into_iter().peekable();
    // the latest state that was received before the request at hand was sent
    let mut latest: Option<&Answer<T>> = None;
    for answer in by_sending {
        while let Some(earlier) = received.next_if(|earlier| earlier.received_at < answer.sent_at) {
            if latest.is_none_or(|latest| earlier.state > latest.state) {
                latest = Some(earlier);
            }
        }
        if let Some(latest) = latest.filter(|latest| answer.state < latest.state) {
            faults.push(format!(
                "{id} is called {:?}, asked at {:?}, after {:?} at {:?}",
                answer.state, answer.sent_at, latest.state, latest.received_at
            ));
        }
    }
    faults
}

fn compare<T: PartialOrd>(a: &T, b: &T) -> Ordering {
    a.partial_cmp(b).unwrap_or(Ordering::Equal)
}

#[cfg(test)]
mod tests;
