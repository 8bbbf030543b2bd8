//! One job on its way to its final answer: a plain state machine.  It says
//! what to do next and when, and takes in what came of it, in whatever order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coralnotch_wire::model::{JobSpec, Shape};
use serde::{Deserialize, Serialize};

use crate::journal::Record;
use crate::outcome::Outcome;
use crate::retry::Backoff;

/// The one final answer of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Final {
    /// All its tasks completed.
    Done,
    /// It was withdrawn, here or elsewhere.
    Cancelled,
    /// It can never run, and never did.
    Refused {
        /// 400 or 422.
        status: u16,
        /// The controller's reason.
        why: String,
    },
}

/// What to do for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Submit it, maybe again.
    Submit,
    /// Ask how it stands.
    Query,
    /// Withdraw it.
    Withdraw,
    /// Write its final answer to the journal.
    Record,
}

/// How a job stands, as last shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// What changed, if anything a caller can see did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changed {
    /// Nothing.
    Nothing,
    /// It is accepted now.
    Accepted,
    /// Tasks began or completed.
    Progress,
    /// The final answer came; it is not recorded yet.
    Over,
}

/// How quickly jobs are pursued.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Between tries of what did not go through.
    pub backoff: Backoff,
    /// Least time between two polls.
    pub poll_least: Duration,
    /// Most time between two polls.
    pub poll_most: Duration,
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
    accepted: Option<Instant>,
    withdrawn: bool,
    answer: Option<Final>,
    recorded: bool,
    shown: Progress,
    tries: u32,
    due: Instant,
}

impl Job {
    /// A job that is on record: as it was when the journal was last written.
    pub fn new(spec: Arc<JobSpec>, accepted: bool, withdrawn: bool, now: Instant) -> Job {
        let accepted = accepted.then_some(now);
        Job { spec, accepted, withdrawn, answer: None, recorded: false, shown: Progress::default(), tries: 0, due: now }
    }

    /// A job as its record has it.  An answer on record is the answer.
    pub fn resumed(r: Record, now: Instant) -> Job {
        let recorded = r.answer.is_some();
        Job { answer: r.answer, recorded, ..Job::new(Arc::new(r.spec), r.accepted, r.withdrawn, now) }
    }

    /// The submission.
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// Whether a controller has it.
    pub fn accepted(&self) -> bool {
        self.accepted.is_some()
    }

    /// Whether its final answer is known, on record or not.
    pub fn ended(&self) -> bool {
        self.answer.is_some()
    }

    /// Whether its user wants it no more.
    pub fn withdrawn(&self) -> bool {
        self.withdrawn
    }

    /// The final answer, once it is on record; it never changes.
    pub fn answer(&self) -> Option<&Final> {
        self.answer.as_ref().filter(|_| self.recorded)
    }

    /// The final answer to be recorded.
    pub fn unrecorded(&self) -> Option<&Final> {
        self.answer.as_ref().filter(|_| !self.recorded)
    }

    /// How it stands, as last shown: never an older state than one before.
    pub fn shown(&self) -> Progress {
        self.shown
    }

    /// Whether the next try repeats one that did not go through.
    pub fn again(&self) -> bool {
        self.tries > 0
    }

    /// When there is something to do; `None` once it is over and recorded.
    pub fn due(&self) -> Option<Instant> {
        (!self.recorded).then_some(self.due)
    }

    /// What to do when it is due.
    pub fn action(&self) -> Action {
        match (&self.answer, self.accepted, self.withdrawn) {
            (Some(_), ..) => Action::Record,
            // a withdrawal waits for the acceptance: where a submission is in
            // doubt, nothing else tells whether there is a job to withdraw
            (None, None, _) => Action::Submit,
            (None, Some(_), true) => Action::Withdraw,
            (None, Some(_), false) => Action::Query,
        }
    }

    /// Its user wants it no more; true if that is news.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let news = !self.withdrawn && self.answer.is_none();
        self.withdrawn |= news;
        if news && self.accepted.is_some() {
            (self.due, self.tries) = (now, 0);
        }
        news
    }

    /// Puts the next try off, without counting it as one.
    pub fn put_off(&mut self, until: Instant) {
        self.due = self.due.max(until);
    }

    /// The final answer was written to the journal, or could not be.
    pub fn recorded(&mut self, ok: bool, pace: &Pace, chance: f64, now: Instant) {
        match ok {
            true => self.recorded = self.answer.is_some(),
            false => self.fails(None, pace, chance, now),
        }
    }

    /// What came of a try, whenever it comes.  `chance` is a random share.
    pub fn heard(&mut self, asked: Action, outcome: Outcome, pace: &Pace, chance: f64, now: Instant) -> Changed {
        if self.answer.is_some() {
            return Changed::Nothing;
        }
        let state = match outcome {
            Outcome::State(s) => s,
            Outcome::Refused { status, why } if asked == Action::Submit && self.accepted.is_none() => {
                return self.ends(Final::Refused { status, why }, now);
            }
            Outcome::Later(after) => {
                self.fails(after, pace, chance, now);
                return Changed::Nothing;
            }
            // a controller that knows less than another did before
            Outcome::Refused { .. } | Outcome::Unknown | Outcome::Doubt => {
                self.fails(None, pace, chance, now);
                return Changed::Nothing;
            }
        };
        let news = self.accepted.is_none();
        self.accepted.get_or_insert(now);
        match state.stage.as_str() {
            "done" => return self.ends(Final::Done, now),
            "cancelled" => return self.ends(Final::Cancelled, now),
            _ => {}
        }
        if asked == Action::Withdraw {
            // only "cancelled" and "done" answer that
            self.fails(None, pace, chance, now);
            return Changed::Nothing;
        }
        self.tries = 0;
        self.due = match self.withdrawn {
            true => now,
            false => now + self.poll_wait(pace, chance, now),
        };
        let shown = Progress { done: state.done, running: state.running };
        // fewer completed tasks than were shown before: an older state
        let newer = shown.done >= self.shown.done && shown != self.shown && asked == Action::Query;
        if newer {
            self.shown = shown;
        }
        match (news, newer) {
            (true, _) => Changed::Accepted,
            (false, true) => Changed::Progress,
            (false, false) => Changed::Nothing,
        }
    }

    fn ends(&mut self, answer: Final, now: Instant) -> Changed {
        self.answer = Some(answer);
        (self.due, self.tries) = (now, 0);
        Changed::Over
    }

    fn fails(&mut self, after: Option<Duration>, pace: &Pace, chance: f64, now: Instant) {
        self.tries = self.tries.saturating_add(1);
        self.due = now + pace.backoff.wait(self.tries, chance).max(after.unwrap_or_default());
    }

    /// How long until the next poll: less often while the expected end is far,
    /// and ever less often once it has long passed.
    fn poll_wait(&self, pace: &Pace, chance: f64, now: Instant) -> Duration {
        let since = self.accepted.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        let expected = match self.spec.shape {
            Shape::Service => f64::INFINITY,
            _ => self.spec.estimate_s,
        };
        let rest = (expected - since.as_secs_f64()).abs();
        let wait = (rest * POLL_SHARE).clamp(pace.poll_least.as_secs_f64(), pace.poll_most.as_secs_f64());
        Duration::from_secs_f64(wait * (1.0 - POLL_SPREAD + 2.0 * POLL_SPREAD * chance.clamp(0.0, 1.0)))
    }
}

#[cfg(test)]
mod tests;
