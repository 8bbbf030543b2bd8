//! Waiting for the acceptance of submitted jobs.

use std::collections::HashSet;
use std::future::pending;
use std::time::Instant;

use coralnotch_client::{Change, FinalAnswer, JobHandle};
use futures_lite::future::or;

use super::answers::{answer_text, AnswerLine};
use super::error::SubmitError;
use crate::commands::output::print_line;
use crate::model::Name;

/// Maximum number of job ids in the error about jobs that were not accepted.
const MAX_EXAMPLES: usize = 3;

/// Waits until each job is accepted or has a final answer, and prints either.  Returns whether no job
/// was refused.
pub(super) async fn wait_for_acceptances(
    handles: &[JobHandle],
    changes: &mut async_broadcast::Receiver<Change>,
    deadline: Option<Instant>,
    as_json: bool,
) -> Result<bool, SubmitError> {
    let mut waiting: HashSet<Name> = handles.iter().map(|handle| handle.id().clone()).collect();
    let mut none_refused = true;
    while !waiting.is_empty() {
        let next_change = async { changes.recv().await.ok() };
        let Some(change) = or(next_change, no_change_until(deadline)).await else {
            let examples = waiting.iter().take(MAX_EXAMPLES).map(|id| id.to_string()).collect();
            return Err(SubmitError::NotAccepted { jobs: waiting.len(), examples });
        };
        if !waiting.remove(&change.id) {
            continue;
        }
        none_refused &= !matches!(change.answer, Some(FinalAnswer::Refused { .. }));
        print_line(&change_text(&change, as_json));
    }
    Ok(none_refused)
}

/// Returns `None` at the deadline; without a deadline, never returns.
async fn no_change_until(deadline: Option<Instant>) -> Option<Change> {
    match deadline {
        Some(deadline) => drop(smol::Timer::at(deadline).await),
        None => pending().await,
    }
    None
}

fn change_text(change: &Change, as_json: bool) -> String {
    let id = &change.id;
    if as_json {
        return serde_json::json!({ "id": id, "accepted": true, "answer": change.answer }).to_string();
    }
    match &change.answer {
        None => format!("{id} is accepted"),
        Some(answer) => answer_text(&AnswerLine { id: id.clone(), answer: answer.clone() }),
    }
}
