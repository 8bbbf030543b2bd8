//! The state machine of one job.
//!
//! It determines the job's next action and when that is due, and applies the
//! outcomes of requests in any order until the job has a final answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{JobSpec, JobState, Shape};

use crate::model::{Action, FinalAnswer, JobRecord, Outcome, Progress, Transition};
use crate::retry::Backoff;

/// The delays before retries and between queries of a job.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Delays before the retries of a failed action.
    pub backoff: Backoff,
    /// Minimum interval between two queries of a job, before jitter.
    pub min_poll_interval: Duration,
    /// Maximum interval between two queries of a job, before jitter.
    pub max_poll_interval: Duration,
}

/// Fraction of a job's expected remaining time after which it is queried again.
const POLL_FRACTION: f64 = 0.5;
/// Maximum deviation of a poll interval, as a fraction of the interval.  Jitter
/// keeps jobs that were accepted together from being queried together.
const POLL_JITTER: f64 = 0.25;

/// A job that the client tracks until it has a final answer.
#[derive(Debug, Clone)]
pub struct Job {
    spec: Arc<JobSpec>,
    /// When the client first learned that a controller has accepted the job.
    /// After a restart, this is the time of the restart.
    accepted_at: Option<Instant>,
    cancel_requested: bool,
    /// The final answer, whether it is recorded yet or not.
    answer: Option<FinalAnswer>,
    /// Whether the final answer is in the journal, if there is one.
    is_recorded: bool,
    progress: Progress,
    /// Consecutive failures of the current action.
    failed_attempts: u32,
    /// When the next action is due.
    due_at: Instant,
}

impl Job {
    /// Returns a job without a final answer; its next action is due at `now`.
    ///
    /// `accepted` and `cancel_requested` have the meaning of the fields of
    /// [`JobRecord`].
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

    /// Restores a job from its journal record.  An answer in the record is final.
    pub fn from_record(record: JobRecord, now: Instant) -> Job {
        let is_recorded = record.answer.is_some();
        let job = Job::new(Arc::new(record.spec), record.accepted, record.cancel_requested, now);
        Job { answer: record.answer, is_recorded, ..job }
    }

    /// Returns the specification under which the job is submitted.
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// Reports whether a controller has accepted the job.
    pub fn is_accepted(&self) -> bool {
        self.accepted_at.is_some()
    }

    /// Reports whether the final answer is known, even if it is not recorded yet.
    pub fn has_ended(&self) -> bool {
        self.answer.is_some()
    }

    /// Reports whether the user has requested the cancellation of the job.
    pub fn is_cancel_requested(&self) -> bool {
        self.cancel_requested
    }

    /// Returns the final answer once it is recorded.  It never changes.
    pub fn answer(&self) -> Option<&FinalAnswer> {
        self.answer.as_ref().filter(|_| self.is_recorded)
    }

    /// Returns the final answer if it is known but not recorded yet.
    pub fn unrecorded_answer(&self) -> Option<&FinalAnswer> {
        self.answer.as_ref().filter(|_| !self.is_recorded)
    }

    /// Returns the latest known progress.  The number of completed tasks never
    /// decreases.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Reports whether the next action repeats a failed attempt.
    pub fn is_retry(&self) -> bool {
        self.failed_attempts > 0
    }

    /// Returns when the next action is due, or `None` once the final answer is
    /// recorded.
    pub fn due_at(&self) -> Option<Instant> {
        (!self.is_recorded).then_some(self.due_at)
    }

    /// Returns the next action to carry out for the job.
    pub fn action(&self) -> Action {
        match (&self.answer, self.accepted_at, self.cancel_requested) {
            (Some(_), ..) => Action::RecordAnswer,
            // A cancellation waits for the acceptance: as long as the outcome of
            // the submission is unknown, only repeating the submission shows
            // whether there is a job to cancel.
            (None, None, _) => Action::Submit,
            (None, Some(_), true) => Action::Cancel,
            (None, Some(_), false) => Action::Query,
        }
    }

    /// Requests the cancellation of the job.  Returns `true` if the job has not
    /// ended and this is the first such request.
    pub fn request_cancellation(&mut self, now: Instant) -> bool {
        let is_new = !self.cancel_requested && self.answer.is_none();
        self.cancel_requested |= is_new;
        if is_new && self.accepted_at.is_some() {
            (self.due_at, self.failed_attempts) = (now, 0);
        }
        is_new
    }

    /// Postpones the next action to `until`, without counting a failure.
    pub fn postpone(&mut self, until: Instant) {
        self.due_at = self.due_at.max(until);
    }

    /// Records that the final answer was written to the journal.
    pub fn mark_recorded(&mut self) {
        self.is_recorded = self.answer.is_some();
    }

    /// Schedules another attempt to write the final answer to the journal, after
    /// a failed one.
    pub fn retry_recording(&mut self, timing: &Timing, jitter: f64, now: Instant) {
        self.schedule_retry(None, timing, jitter, now);
    }

    /// Applies the outcome of a request and schedules the next action.
    ///
    /// Outcomes may arrive late or out of order; `action` is the action of the
    /// request.  `jitter` is a random number from 0 to 1.  Once the final answer
    /// is known, later outcomes change nothing.
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
            Outcome::RetryLater(min_delay) => {
                self.schedule_retry(min_delay, timing, jitter, now);
                Transition::Unchanged
            }
            // If a job is refused after its acceptance, or is unknown, this
            // controller knows less than the one that accepted the job.
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
            // Only the stages "cancelled" and "done" complete a cancellation.
            self.schedule_retry(None, timing, jitter, now);
            return Transition::Unchanged;
        }
        self.failed_attempts = 0;
        self.due_at = match self.cancel_requested {
            true => now,
            false => now + self.poll_delay(timing, jitter, now),
        };
        let progress = Progress { done: state.done, running: state.running };
        // A state with fewer completed tasks than reported before is outdated.
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

    fn schedule_retry(&mut self, min_delay: Option<Duration>, timing: &Timing, jitter: f64, now: Instant) {
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        let delay = timing.backoff.delay(self.failed_attempts, jitter);
        self.due_at = now + delay.max(min_delay.unwrap_or_default());
    }

    /// Returns the delay before the next query.
    ///
    /// The delay shrinks as the expected end of the job approaches, and grows
    /// again once that time has passed.
    fn poll_delay(&self, timing: &Timing, jitter: f64, now: Instant) -> Duration {
        let elapsed = self.accepted_at.map_or(Duration::ZERO, |accepted_at| now.saturating_duration_since(accepted_at));
        let expected_s = match self.spec.shape {
            Shape::Service => f64::INFINITY,
            _ => self.spec.estimated_run_time_s,
        };
        let remaining_s = (expected_s - elapsed.as_secs_f64()).abs();
        let (min_s, max_s) = (timing.min_poll_interval.as_secs_f64(), timing.max_poll_interval.as_secs_f64());
        let interval_s = (remaining_s * POLL_FRACTION).clamp(min_s, max_s);
        let jitter_factor = 1.0 - POLL_JITTER + 2.0 * POLL_JITTER * jitter.clamp(0.0, 1.0);
        Duration::from_secs_f64(interval_s * jitter_factor)
    }
}

#[cfg(test)]
mod tests;
