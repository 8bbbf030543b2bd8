//! What the driver and the callers of a client share.

use std::sync::{Arc, Mutex, MutexGuard};

use coralnotch_wire::http;
use event_listener::Event;

use super::state::ClientState;
use crate::counters::AtomicCounters;
use crate::journal::Journal;
use crate::model::Change;
use crate::settings::Settings;

pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) journal: Option<Arc<Journal>>,
    pub(super) http: http::Client,
    pub(super) state: Mutex<ClientState>,
    /// Something is to be done.
    pub(super) work_available: Event,
    /// A job is over, or was let go.
    pub(super) job_ended: Event,
    pub(super) counters: AtomicCounters,
    pub(super) change_sender: async_broadcast::Sender<Change>,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
