//! Waiting for the final answers of submitted jobs.

use std::io::{self, IsTerminal};
use std::time::Instant;

use coralnotch_client::{Error, FinalAnswer, JobHandle};
use futures_util::stream::{FuturesUnordered, StreamExt};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use super::answers::{answer_text, AnswerLine, AnswersFile};
use super::error::SubmitError;
use super::SubmitOptions;
use crate::commands::output::print_line;

/// Waits for the final answer of each job, writes the answer out and then removes the job from the
/// journal.  Returns whether all jobs are done.
pub(super) async fn wait_for_answers(
    handles: Vec<JobHandle>,
    job_count: usize,
    mut answers: Option<AnswersFile>,
    deadline: Option<Instant>,
    options: &SubmitOptions,
) -> Result<bool, SubmitError> {
    let bar = progress_bar(job_count as u64, handles.len() as u64);
    let mut waiting: FuturesUnordered<_> = handles.into_iter().map(|handle| wait_until(handle, deadline)).collect();
    let (mut all_done, mut unanswered) = (true, 0);
    while let Some((handle, result)) = waiting.next().await {
        let answer = match result {
            Err(Error::Deadline { .. }) => {
                unanswered += 1;
                continue;
            }
            other => other?,
        };
        all_done &= answer == FinalAnswer::Done;
        let line = AnswerLine { id: handle.id().clone(), answer };
        match answers.as_mut() {
            Some(file) => file.add(&line).map_err(SubmitError::WriteAnswer)?,
            None if options.json => print_line(&serde_json::to_string(&line).unwrap_or_default()),
            None => bar.suspend(|| print_line(&answer_text(&line))),
        }
        bar.inc(1);
        // removes the job from the journal, which is safe only after its answer is written out
        handle.acknowledge().await?;
    }
    bar.finish_and_clear();
    if unanswered > 0 {
        return Err(SubmitError::Unanswered { jobs: unanswered, has_journal: options.journal.is_some() });
    }
    Ok(all_done)
}

async fn wait_until(handle: JobHandle, deadline: Option<Instant>) -> (JobHandle, Result<FinalAnswer, Error>) {
    let result = match deadline {
        Some(deadline) => handle.wait_until(deadline).await,
        None => handle.wait().await,
    };
    (handle, result)
}

/// Returns a progress bar, which is hidden for a single job or if standard error is no terminal.
fn progress_bar(job_count: u64, unanswered: u64) -> ProgressBar {
    let bar = match job_count > 1 && io::stderr().is_terminal() {
        true => ProgressBar::with_draw_target(Some(job_count), ProgressDrawTarget::stderr()),
        false => ProgressBar::hidden(),
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} answered, {elapsed}") {
        bar.set_style(style);
    }
    bar.set_position(job_count.saturating_sub(unanswered));
    bar
}
