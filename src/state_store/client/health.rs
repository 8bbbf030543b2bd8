//! What the last requests say about the health of the state store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;

/// An HTTP status and body, or why there is none.
type Answer = Result<(u16, Vec<u8>), http::Error>;

/// The health of the state store as seen by one controller.
pub(super) struct StoreHealth {
    last_served: Mutex<Instant>,
    failing: AtomicBool,
    unresponsive: AtomicBool,
}

impl StoreHealth {
    /// A store that served a request at `now`.
    pub(super) fn new(now: Instant) -> StoreHealth {
        StoreHealth {
            last_served: Mutex::new(now),
            failing: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
        }
    }

    /// Records a request that was sent at `started_at` with a time limit.
    pub(super) fn record_answer(&self, answer: &Answer, started_at: Instant, limit: Duration) {
        // a deadline that passed long ago passed while this controller was stalled: that is no
        // failure of the store
        if answer.is_ok() || started_at.elapsed() < limit * 2 {
            // 429 is the rate limit: the store is available
            self.failing.store(!matches!(answer, Ok((..500, _))), Ordering::Relaxed);
            self.unresponsive.store(answer.is_err(), Ordering::Relaxed);
        }
    }

    /// The store carried out a request at `now`.
    pub(super) fn mark_served(&self, now: Instant) {
        *self.last_served.lock().unwrap_or_else(|e| e.into_inner()) = now;
    }

    /// This controller was stalled: that nothing was carried out meanwhile says nothing about
    /// the store.
    pub(super) fn reset(&self, now: Instant) {
        self.mark_served(now);
        self.failing.store(false, Ordering::Relaxed);
        self.unresponsive.store(false, Ordering::Relaxed);
    }

    /// When the store last carried out a request.
    pub(super) fn last_served(&self) -> Instant {
        *self.last_served.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether the last request was refused or got no answer.
    pub(super) fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Relaxed)
    }

    /// Whether the last request got no answer at all.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.unresponsive.load(Ordering::Relaxed)
    }
}
