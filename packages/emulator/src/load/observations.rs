//! What the users of a run observe.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use coralnotch_wire::model::Name;
use hdrhistogram::{CreationError, Histogram};

use crate::history::Given;

/// What the users of a run observe; times are in microseconds from when a job should have been sent.
pub(super) struct Observations {
    pub(super) accept: Mutex<Histogram<u64>>,
    pub(super) answer: Mutex<Histogram<u64>>,
    pub(super) last_accept: Mutex<Option<Instant>>,
    pub(super) answers: Mutex<Vec<Given>>,
    answered_jobs: AtomicU64,
}

impl Observations {
    pub(super) fn new() -> Result<Observations, CreationError> {
        // three significant digits; a histogram grows to what it is given
        Ok(Observations {
            accept: Mutex::new(Histogram::new(3)?),
            answer: Mutex::new(Histogram::new(3)?),
            last_accept: Mutex::default(),
            answers: Mutex::default(),
            answered_jobs: AtomicU64::new(0),
        })
    }

    /// Jobs with a final answer so far.
    pub(super) fn answered_jobs(&self) -> u64 {
        self.answered_jobs.load(Ordering::Relaxed)
    }

    /// Records that a job was accepted that should have been sent at `due`.
    pub(super) fn record_acceptance(&self, due: Instant) {
        let now = Instant::now();
        let _ = lock(&self.accept).record((now - due).as_micros() as u64);
        *lock(&self.last_accept) = Some(now);
    }

    /// Records the final answer of a job that should have been sent at `due`.
    pub(super) fn record_answer(&self, id: Name, answer: &str, due: Instant) {
        let now = Instant::now();
        let _ = lock(&self.answer).record((now - due).as_micros() as u64);
        lock(&self.answers).push(Given { id, answer: answer.into(), seen: Some(now) });
        self.answered_jobs.fetch_add(1, Ordering::Relaxed);
    }
}

/// Locks a mutex, also if a thread panicked that held it: what it recorded is still good.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
