//! Health of the state service as seen by one controller, derived from the last requests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;

/// An HTTP status and body, or why there was no response.
type Response = Result<(u16, Vec<u8>), http::Error>;

/// The health of the state service.
pub(super) struct StoreHealth {
    last_served: Mutex<Instant>,
    failing: AtomicBool,
    unresponsive: AtomicBool,
}

impl StoreHealth {
    /// Creates the health of a store that counts as having served a request at `now`.
    pub(super) fn new(now: Instant) -> StoreHealth {
        StoreHealth {
            last_served: Mutex::new(now),
            failing: AtomicBool::new(false),
            unresponsive: AtomicBool::new(false),
        }
    }

    /// Records the response to a request that was sent at `started_at` with this timeout.
    pub(super) fn record_response(&self, response: &Response, started_at: Instant, timeout: Duration) {
        // If the deadline has been exceeded by far, this controller was stalled meanwhile, which
        // says nothing about the store.
        if response.is_ok() || started_at.elapsed() < timeout * 2 {
            // Status 429 reports an exceeded rate limit, so the store is available.
            self.failing.store(!matches!(response, Ok((..500, _))), Ordering::Relaxed);
            self.unresponsive.store(response.is_err(), Ordering::Relaxed);
        }
    }

    /// Records that the store served a request at `now`.
    pub(super) fn mark_served(&self, now: Instant) {
        *self.last_served.lock().unwrap_or_else(|e| e.into_inner()) = now;
    }

    /// Discards the recorded failures after a stall of this controller, as if the store had served
    /// a request at `now`.  That no request was served during the stall says nothing about the
    /// store.
    pub(super) fn reset(&self, now: Instant) {
        self.mark_served(now);
        self.failing.store(false, Ordering::Relaxed);
        self.unresponsive.store(false, Ordering::Relaxed);
    }

    /// Returns when the store last served a request.
    pub(super) fn last_served(&self) -> Instant {
        *self.last_served.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Reports whether the last request got no response or a server error.
    pub(super) fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Relaxed)
    }

    /// Reports whether the last request got no response at all.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.unresponsive.load(Ordering::Relaxed)
    }
}
