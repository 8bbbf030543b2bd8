//! One job on its way to its final answer: a plain state machine.  It says
//! what to do next and when, and takes in what came of it, in whatever order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{JobSpec, Shape};

use crate::model::{Action, Final, JobRecord, Outcome, Progress, Transition};
use crate::retry::Backoff;

/// How quickly jobs are pursued.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Between tries of what did not go through.
    pub backoff: Backoff,
    /// Least time between two polls.
    pub min_poll_interval: Duration,
    /// Most time between two polls.
    pub max_poll_interval: Duration,
}

/// Share of a job's expected rest after which it is asked about again.
const POLL_SHARE: f64 = 0.5;
/// A poll is so much earlier or later than its time at most: spread, so that
/// jobs that came together are not asked about together.
const POLL_SPREAD: f64 = 0.25;

/// A job that is pursued.
#[derive(Debug, Clone)]
pub struct Job {
    spec: Arc<JobSpec>,
    accepted_at: Option<Instant>,
    cancel_requested: bool,
    answer: Option<Final>,
    is_recorded: bool,
    progress: Progress,
    failed_attempts: u32,
    due_at: Instant,
}

impl Job {
    /// A job that is on record: as it was when the journal was last written.
    pub fn new(spec: Arc<JobSpec>, accepted: bool, cancel_requested: bool, now: Instant) -> Job {
        let accepted_at = accepted.then_some(now);
        Job {
            spec,
            accepted_at,
            cancel_requested,
            answer: None,
            is_recorded: false,
            progress: Progress::default(),
            failed_attempts: 0,
            due_at: now,
        }
    }

    /// A job as its record has it.  An answer on record is the answer.
    pub fn from_record(r: JobRecord, now: Instant) -> Job {
        let is_recorded = r.answer.is_some();
        Job { answer: r.answer, is_recorded, ..Job::new(Arc::new(r.spec), r.accepted, r.cancel_requested, now) }
    }

    /// The submission.
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// Whether a controller has it.
    pub fn is_accepted(&self) -> bool {
        self.accepted_at.is_some()
    }

    /// Whether its final answer is known, on record or not.
    pub fn has_ended(&self) -> bool {
        self.answer.is_some()
    }

    /// Whether its user wants it no more.
    pub fn is_cancel_requested(&self) -> bool {
        self.cancel_requested
    }

    /// The final answer, once it is on record; it never changes.
    pub fn answer(&self) -> Option<&Final> {
        self.answer.as_ref().filter(|_| self.is_recorded)
    }

    /// The final answer to be recorded.
    pub fn unrecorded_answer(&self) -> Option<&Final> {
        self.answer.as_ref().filter(|_| !self.is_recorded)
    }

    /// How it stands, as last shown: never an older state than one before.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Whether the next try repeats one that did not go through.
    pub fn is_retry(&self) -> bool {
        self.failed_attempts > 0
    }

    /// When there is something to do; `None` once it is over and recorded.
    pub fn due_at(&self) -> Option<Instant> {
        (!self.is_recorded).then_some(self.due_at)
    }

    /// What to do when it is due.
    pub fn action(&self) -> Action {
        match (&self.answer, self.accepted_at, self.cancel_requested) {
            (Some(_), ..) => Action::RecordAnswer,
            // a withdrawal waits for the acceptance: where a submission is in
            // doubt, nothing else tells whether there is a job to withdraw
            (None, None, _) => Action::Submit,
            (None, Some(_), true) => Action::Cancel,
            (None, Some(_), false) => Action::Query,
        }
    }

    /// Its user wants it no more; true if that is news.
    pub fn request_cancellation(&mut self, now: Instant) -> bool {
        let news = !self.cancel_requested && self.answer.is_none();
        self.cancel_requested |= news;
        if news && self.accepted_at.is_some() {
            (self.due_at, self.failed_attempts) = (now, 0);
        }
        news
    }

    /// Puts the next try off, without counting it as one.
    pub fn postpone(&mut self, until: Instant) {
        self.due_at = self.due_at.max(until);
    }

    /// The final answer was written to the journal, or could not be.
    pub fn apply_record_result(&mut self, ok: bool, timing: &Timing, jitter: f64, now: Instant) {
        match ok {
            true => self.is_recorded = self.answer.is_some(),
            false => self.schedule_retry(None, timing, jitter, now),
        }
    }

    /// What came of a try, whenever it comes.  `jitter` is a random share.
    pub fn apply_outcome(
        &mut self,
        asked: Action,
        outcome: Outcome,
        timing: &Timing,
        jitter: f64,
        now: Instant,
    ) -> Transition {
        if self.answer.is_some() {
            return Transition::Unchanged;
        }
        let state = match outcome {
            Outcome::State(s) => s,
            Outcome::Refused { status, reason } if asked == Action::Submit && self.accepted_at.is_none() => {
                return self.end_with(Final::Refused { status, reason }, now);
            }
            Outcome::RetryLater(after) => {
                self.schedule_retry(after, timing, jitter, now);
                return Transition::Unchanged;
            }
            // a controller that knows less than another did before
            Outcome::Refused { .. } | Outcome::UnknownJob | Outcome::Indeterminate => {
                self.schedule_retry(None, timing, jitter, now);
                return Transition::Unchanged;
            }
        };
        let news = self.accepted_at.is_none();
        self.accepted_at.get_or_insert(now);
        match state.stage.as_str() {
            "done" => return self.end_with(Final::Done, now),
            "cancelled" => return self.end_with(Final::Cancelled, now),
            _ => {}
        }
        if asked == Action::Cancel {
            // only "cancelled" and "done" answer that
            self.schedule_retry(None, timing, jitter, now);
            return Transition::Unchanged;
        }
        self.failed_attempts = 0;
        self.due_at = match self.cancel_requested {
            true => now,
            false => now + self.poll_delay(timing, jitter, now),
        };
        let shown = Progress { done: state.done, running: state.running };
        // fewer completed tasks than were shown before: an older state
        let newer = shown.done >= self.progress.done && shown != self.progress && asked == Action::Query;
        if newer {
            self.progress = shown;
        }
        match (news, newer) {
            (true, _) => Transition::Accepted,
            (false, true) => Transition::Progressed,
            (false, false) => Transition::Unchanged,
        }
    }

    fn end_with(&mut self, answer: Final, now: Instant) -> Transition {
        self.answer = Some(answer);
        (self.due_at, self.failed_attempts) = (now, 0);
        Transition::Ended
    }

    fn schedule_retry(&mut self, after: Option<Duration>, timing: &Timing, jitter: f64, now: Instant) {
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        self.due_at = now + timing.backoff.delay(self.failed_attempts, jitter).max(after.unwrap_or_default());
    }

    /// How long until the next poll: less often while the expected end is far,
    /// and ever less often once it has long passed.
    fn poll_delay(&self, timing: &Timing, jitter: f64, now: Instant) -> Duration {
        let since = self.accepted_at.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        let expected = match self.spec.shape {
            Shape::Service => f64::INFINITY,
            _ => self.spec.estimate_s,
        };
        let rest = (expected - since.as_secs_f64()).abs();
        let wait =
            (rest * POLL_SHARE).clamp(timing.min_poll_interval.as_secs_f64(), timing.max_poll_interval.as_secs_f64());
        Duration::from_secs_f64(wait * (1.0 - POLL_SPREAD + 2.0 * POLL_SPREAD * jitter.clamp(0.0, 1.0)))
    }
}

#[cfg(test)]
mod tests;
