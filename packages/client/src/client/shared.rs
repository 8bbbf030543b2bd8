//! The state that the driver of a client shares with the client's callers.

use std::sync::{Arc, Mutex, MutexGuard};

use coralnotch_wire::http;
use event_listener::Event;

use super::state::ClientState;
use crate::counters::AtomicCounters;
use crate::journal::Journal;
use crate::model::Change;
use crate::settings::Settings;

/// The parts of a client that its driver and all job handles use.
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) journal: Option<Arc<Journal>>,
    pub(super) http: http::Client,
    pub(super) state: Mutex<ClientState>,
    /// Wakes the driver when a job was added or changed, or the client was closed.
    pub(super) work_available: Event,
    /// Wakes waiting callers when an answer was recorded or acknowledged, or the client
    /// was closed.
    pub(super) job_ended: Event,
    pub(super) counters: AtomicCounters,
    pub(super) change_sender: async_broadcast::Sender<Change>,
}

impl Shared {
    /// Locks the state.
    ///
    /// A poisoned lock is acquired as well, so that a panic in one thread does not
    /// stop the processing of other jobs.
    pub(super) fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
