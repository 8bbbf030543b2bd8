//! A checker of histories: what users were told of jobs, by whichever controller, against
//! what they had been told before they asked.  It knows the protocol's words and nothing
//! of who answered, nor of what clock the hours are.

use std::collections::HashMap;

use crate::model::Name;

/// What an answer said of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Said {
    /// It is not known (404), or refused for good (400, 422).
    Never,
    /// It is accepted, and neither done nor cancelled.
    Unfinished,
    /// It is done.
    Done,
    /// It is cancelled.
    Cancelled,
}

/// An answer that a user was given.  Those that say nothing of the job (429, 503, 504,
/// none at all) are no part of a history.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// The job.
    pub id: Name,
    /// When the request left the user.
    pub sent: T,
    /// When the user had the answer.
    pub had: T,
    /// What it said.
    pub said: Said,
}

/// What is wrong with a history.  An answer to a request that was sent after another
/// answer was had is never older than that one: once accepted, a job is never unknown;
/// once it is done or cancelled it stays so.  A job is not called both, in whatever order;
/// and nothing is known of one that nobody had submitted by then (`submitted`: when the
/// first submission left).
pub fn older<T: PartialOrd + Copy + std::fmt::Debug>(
    answers: &[Answer<T>],
    submitted: &HashMap<Name, T>,
) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut of: HashMap<&Name, Vec<&Answer<T>>> = HashMap::new();
    for a in answers {
        of.entry(&a.id).or_default().push(a);
    }
    for (id, list) in of {
        if let Some(a) = list.iter().find(|a| a.said > Said::Never && submitted.get(id).is_none_or(|t| a.had < *t)) {
            wrong.push(format!("{id} is called {:?} at {:?}, and nobody had submitted it", a.said, a.had));
        }
        let says = |s: Said| list.iter().find(|a| a.said == s);
        if let (Some(d), Some(c)) = (says(Said::Done), says(Said::Cancelled)) {
            wrong.push(format!("{id} is called done at {:?} and cancelled at {:?}", d.had, c.had));
        }
        // the latest word that was had before each request was sent
        let mut had: Vec<_> = list.clone();
        had.sort_by(|a, b| a.had.partial_cmp(&b.had).unwrap_or(std::cmp::Ordering::Equal));
        let mut sent = list;
        sent.sort_by(|a, b| a.sent.partial_cmp(&b.sent).unwrap_or(std::cmp::Ordering::Equal));
        let (mut n, mut last): (usize, Option<&Answer<T>>) = (0, None);
        for a in sent {
            while let Some(h) = had.get(n).filter(|h| h.had < a.sent) {
                if last.is_none_or(|l| h.said > l.said) {
                    last = Some(h);
                }
                n += 1;
            }
            if let Some(l) = last.filter(|l| a.said < l.said) {
                wrong.push(format!(
                    "{id} is called {:?}, asked at {:?}, after {:?} at {:?}",
                    a.said, a.sent, l.said, l.had
                ));
            }
        }
    }
    wrong
}

#[cfg(test)]
mod tests;
