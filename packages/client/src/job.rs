//! The state machine of one job on its way to its final answer.  It says which
//! action is next and when, and applies outcomes in whatever order they come.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{JobSpec, JobState, Shape};

use crate::model::{Action, FinalAnswer, JobRecord, Outcome, Progress, Transition};
use crate::retry::Backoff;

/// When jobs are retried and queried.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Delays before retries.
    pub backoff: Backoff,
    /// Least time between two queries of a job.
    pub min_poll_interval: Duration,
    /// Most time between two queries of a job.
    pub max_poll_interval: Duration,
}

/// Share of a job's expected remaining time after which it is queried again.
const POLL_SHARE: f64 = 0.5;
/// A query is at most this share of its interval early or late, so that jobs
/// that were accepted together are not queried together.
const POLL_SPREAD: f64 = 0.25;

/// A job that is pursued.
#[derive(Debug, Clone)]
pub struct Job {
    spec: Arc<JobSpec>,
    /// When a controller first answered that it has the job.
    accepted_at: Option<Instant>,
    cancel_requested: bool,
    /// The final answer, recorded or not.
    answer: Option<FinalAnswer>,
    /// Whether the final answer is in the journal.
    is_recorded: bool,
    progress: Progress,
    /// Consecutive failures of the present action.
    failed_attempts: u32,
    /// When the next action is due.
    due_at: Instant,
}

impl Job {
    /// A job without a final answer, as it was when the journal was last written.
    pub fn new(spec: Arc<JobSpec>, accepted: bool, cancel_requested: bool, now: Instant) -> Job {
        Job {
            spec,
            accepted_at: accepted.then_some(now),
            cancel_requested,
            answer: None,
            is_recorded: false,
            progress: Progress::default(),
            failed_attempts: 0,
            due_at: now,
        }
    }

    /// A job as its record has it.  A recorded answer is final.
    pub fn from_record(record: JobRecord, now: Instant) -> Job {
        let is_recorded = record.answer.is_some();
        let job = Job::new(Arc::new(record.spec), record.accepted, record.cancel_requested, now);
        Job { answer: record.answer, is_recorded, ..job }
    }

    /// The submission.
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// Whether a controller has accepted the job.
    pub fn is_accepted(&self) -> bool {
        self.accepted_at.is_some()
    }

    /// Whether the final answer is known, recorded or not.
    pub fn has_ended(&self) -> bool {
        self.answer.is_some()
    }

    /// Whether the user has requested the cancellation of the job.
    pub fn is_cancel_requested(&self) -> bool {
        self.cancel_requested
    }

    /// The final answer, once it is recorded; it never changes.
    pub fn answer(&self) -> Option<&FinalAnswer> {
        self.answer.as_ref().filter(|_| self.is_recorded)
    }

    /// The final answer that is still to be recorded.
    pub fn unrecorded_answer(&self) -> Option<&FinalAnswer> {
        self.answer.as_ref().filter(|_| !self.is_recorded)
    }

    /// The latest known progress; it never goes back to an older state.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Whether the next action repeats one that failed.
    pub fn is_retry(&self) -> bool {
        self.failed_attempts > 0
    }

    /// When the next action is due; `None` once the final answer is recorded.
    pub fn due_at(&self) -> Option<Instant> {
        (!self.is_recorded).then_some(self.due_at)
    }

    /// The next action.
    pub fn action(&self) -> Action {
        match (&self.answer, self.accepted_at, self.cancel_requested) {
            (Some(_), ..) => Action::RecordAnswer,
            // a cancellation waits for the acceptance: while a submission is in
            // doubt, nothing else tells whether there is a job to cancel
            (None, None, _) => Action::Submit,
            (None, Some(_), true) => Action::Cancel,
            (None, Some(_), false) => Action::Query,
        }
    }

    /// Requests the cancellation; whether that is a new request for a job that
    /// has not ended.
    pub fn request_cancellation(&mut self, now: Instant) -> bool {
        let is_new = !self.cancel_requested && self.answer.is_none();
        self.cancel_requested |= is_new;
        if is_new && self.accepted_at.is_some() {
            (self.due_at, self.failed_attempts) = (now, 0);
        }
        is_new
    }

    /// Postpones the next action without counting a failure.
    pub fn postpone(&mut self, until: Instant) {
        self.due_at = self.due_at.max(until);
    }

    /// The final answer was written to the journal.
    pub fn mark_recorded(&mut self) {
        self.is_recorded = self.answer.is_some();
    }

    /// The final answer could not be written to the journal.
    pub fn retry_recording(&mut self, timing: &Timing, jitter: f64, now: Instant) {
        self.schedule_retry(None, timing, jitter, now);
    }

    /// Applies the outcome of a request, whenever it comes.  `jitter` is a random
    /// share, 0 to 1.
    pub fn apply_outcome(
        &mut self,
        action: Action,
        outcome: Outcome,
        timing: &Timing,
        jitter: f64,
        now: Instant,
    ) -> Transition {
        if self.answer.is_some() {
            return Transition::Unchanged;
        }
        match outcome {
            Outcome::State(state) => self.apply_state(action, &state, timing, jitter, now),
            Outcome::Refused { status, reason } if action == Action::Submit && self.accepted_at.is_none() => {
                self.end_with(FinalAnswer::Refused { status, reason }, now)
            }
            Outcome::RetryLater(least_delay) => {
                self.schedule_retry(least_delay, timing, jitter, now);
                Transition::Unchanged
            }
            // a refusal after an acceptance, or a job that is unknown: the
            // controller knows less than another one did before
            Outcome::Refused { .. } | Outcome::UnknownJob | Outcome::Indeterminate => {
                self.schedule_retry(None, timing, jitter, now);
                Transition::Unchanged
            }
        }
    }

    fn apply_state(
        &mut self,
        action: Action,
        state: &JobState,
        timing: &Timing,
        jitter: f64,
        now: Instant,
    ) -> Transition {
        let is_newly_accepted = self.accepted_at.is_none();
        self.accepted_at.get_or_insert(now);
        match state.stage.as_str() {
            "done" => return self.end_with(FinalAnswer::Done, now),
            "cancelled" => return self.end_with(FinalAnswer::Cancelled, now),
            _ => {}
        }
        if action == Action::Cancel {
            // only "cancelled" and "done" answer a cancellation
            self.schedule_retry(None, timing, jitter, now);
            return Transition::Unchanged;
        }
        self.failed_attempts = 0;
        self.due_at = match self.cancel_requested {
            true => now,
            false => now + self.poll_delay(timing, jitter, now),
        };
        let progress = Progress { done: state.done, running: state.running };
        // fewer completed tasks than were shown before: an older state
        let is_newer = progress.done >= self.progress.done && progress != self.progress && action == Action::Query;
        if is_newer {
            self.progress = progress;
        }
        match (is_newly_accepted, is_newer) {
            (true, _) => Transition::Accepted,
            (false, true) => Transition::Progressed,
            (false, false) => Transition::Unchanged,
        }
    }

    fn end_with(&mut self, answer: FinalAnswer, now: Instant) -> Transition {
        self.answer = Some(answer);
        (self.due_at, self.failed_attempts) = (now, 0);
        Transition::Ended
    }

    fn schedule_retry(&mut self, least_delay: Option<Duration>, timing: &Timing, jitter: f64, now: Instant) {
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        let delay = timing.backoff.delay(self.failed_attempts, jitter);
        self.due_at = now + delay.max(least_delay.unwrap_or_default());
    }

    /// How long until the next query: rarely while the expected end is far, and
    /// ever more rarely once it has long passed.
    fn poll_delay(&self, timing: &Timing, jitter: f64, now: Instant) -> Duration {
        let elapsed = self.accepted_at.map_or(Duration::ZERO, |accepted_at| now.saturating_duration_since(accepted_at));
        let expected_s = match self.spec.shape {
            Shape::Service => f64::INFINITY,
            _ => self.spec.estimate_s,
        };
        let remaining_s = (expected_s - elapsed.as_secs_f64()).abs();
        let (min_s, max_s) = (timing.min_poll_interval.as_secs_f64(), timing.max_poll_interval.as_secs_f64());
        let interval_s = (remaining_s * POLL_SHARE).clamp(min_s, max_s);
        let spread = 1.0 - POLL_SPREAD + 2.0 * POLL_SPREAD * jitter.clamp(0.0, 1.0);
        Duration::from_secs_f64(interval_s * spread)
    }
}

#[cfg(test)]
mod tests;
