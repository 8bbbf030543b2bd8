//! Collection of the latencies and answers that the users of a load run observe.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use coralnotch_wire::model::Name;
use hdrhistogram::{CreationError, Histogram};

use crate::history::UserAnswer;

/// Observations of all users of a load run.  Latencies are in microseconds, measured from the time
/// when a job should have been sent.
pub(super) struct Observations {
    /// Latencies until acceptance.
    pub(super) accept: Mutex<Histogram<u64>>,
    /// Latencies until the final answer.
    pub(super) answer: Mutex<Histogram<u64>>,
    /// Time of the last acceptance; `None` if no job was accepted.
    pub(super) last_accept: Mutex<Option<Instant>>,
    /// Final answers, in the order in which the users were given them.
    pub(super) answers: Mutex<Vec<UserAnswer>>,
    /// Number of final answers; a counter that the progress bar reads without a lock.
    answered_jobs: AtomicU64,
}

impl Observations {
    /// Creates empty observations.
    pub(super) fn new() -> Result<Observations, CreationError> {
        // values have three significant digits; a histogram grows to its largest value
        Ok(Observations {
            accept: Mutex::new(Histogram::new(3)?),
            answer: Mutex::new(Histogram::new(3)?),
            last_accept: Mutex::default(),
            answers: Mutex::default(),
            answered_jobs: AtomicU64::new(0),
        })
    }

    /// Returns the number of final answers so far.
    pub(super) fn answered_jobs(&self) -> u64 {
        self.answered_jobs.load(Ordering::Relaxed)
    }

    /// Records the acceptance of a job that should have been sent at `due`.
    pub(super) fn record_acceptance(&self, due: Instant) {
        let now = Instant::now();
        let _ = lock(&self.accept).record((now - due).as_micros() as u64);
        *lock(&self.last_accept) = Some(now);
    }

    /// Records the final answer of a job that should have been sent at `due`.
    pub(super) fn record_answer(&self, id: Name, answer: &str, due: Instant) {
        let now = Instant::now();
        let _ = lock(&self.answer).record((now - due).as_micros() as u64);
        lock(&self.answers).push(UserAnswer { id, answer: answer.into(), first_seen_at: Some(now) });
        self.answered_jobs.fetch_add(1, Ordering::Relaxed);
    }
}

/// Locks a mutex even if a thread panicked while it held the lock: each observation is recorded as a
/// whole, so the earlier ones stay valid.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
