//! Bounded queues of requests that wait for another service: users' requests for the state
//! service, workers' heartbeats for the leader.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use coralnotch_core::heartbeat_forwarding::HeartbeatForwarding;
use coralnotch_core::lookup::LookupResult;
use coralnotch_core::user_request::{Confirmation, StoreResult};

use crate::http::Response;
use crate::model::*;
use crate::runtime::rate_limiter::RateLimiter;
use crate::workers::Heartbeat;

/// Sends the one reply to a queued request; dropped without one if the request is given up.
pub(crate) type ReplySender<T> = smol::channel::Sender<T>;

/// A bounded queue: senders are refused while it is full.
pub(crate) struct Queue<T> {
    pub(crate) sender: smol::channel::Sender<T>,
    pub(crate) receiver: smol::channel::Receiver<T>,
}

impl<T> Queue<T> {
    fn bounded(capacity: usize) -> Queue<T> {
        let (sender, receiver) = smol::channel::bounded(capacity);
        Queue { sender, receiver }
    }

    /// Adds what is queued already to a batch, until the batch has `max` entries.
    pub(crate) fn fill_batch(&self, batch: &mut Vec<T>, max: usize) {
        while batch.len() < max {
            let Ok(next) = self.receiver.try_recv() else { break };
            batch.push(next);
        }
    }
}

/// A submission that is to be stored.
pub(crate) struct SubmissionRequest {
    pub(crate) spec: Arc<JobSpec>,
    /// It needs a cancelled job, and is stored together with its own cancellation.
    pub(crate) needs_cancelled_job: bool,
    pub(crate) reply: ReplySender<StoreResult>,
}

/// A job that is to be confirmed as unfinished.
pub(crate) struct ConfirmationRequest {
    pub(crate) id: Name,
    pub(crate) reply: ReplySender<Confirmation>,
}

/// An id that is not known here.
pub(crate) struct LookupRequest {
    pub(crate) id: Name,
    /// Receives `None` if the state service cannot say now.
    pub(crate) reply: ReplySender<Option<LookupResult>>,
}

/// Users' requests that wait for the state service; each queue is drained in batches.
pub struct UserRequestQueues {
    pub(crate) submissions: Queue<SubmissionRequest>,
    pub(crate) confirmations: Queue<ConfirmationRequest>,
    pub(crate) lookups: Queue<LookupRequest>,
    /// Requests to the store for these.
    pub(crate) lookup_calls: RateLimiter,
}

/// Requests that may wait in one queue; more are refused.
const MAX_QUEUED_REQUESTS: usize = 512;

impl UserRequestQueues {
    /// Empty queues.  Lookups of unknown ids may take `lookup_rate` requests per second to the state
    /// service; at most as many lookups wait as a second serves, the rest is refused.
    pub fn new(lookup_rate: f64, now: Instant) -> UserRequestQueues {
        let max_lookups = (lookup_rate as usize).clamp(1, MAX_QUEUED_REQUESTS);
        UserRequestQueues {
            submissions: Queue::bounded(MAX_QUEUED_REQUESTS),
            confirmations: Queue::bounded(MAX_QUEUED_REQUESTS),
            lookups: Queue::bounded(max_lookups),
            lookup_calls: RateLimiter::new(lookup_rate, lookup_rate, now),
        }
    }
}

/// Heartbeats that may wait to be forwarded; there are no more than connections.
const MAX_QUEUED_HEARTBEATS: usize = 8192;

/// A heartbeat that waits to be forwarded to the leader.
pub(crate) struct QueuedHeartbeat {
    pub(crate) heartbeat: Heartbeat,
    /// Its encoding, as the worker sent it.
    pub(crate) body: Vec<u8>,
    /// The worker waits no longer than this.
    pub(crate) deadline: Instant,
    pub(crate) reply: ReplySender<Response>,
}

/// The heartbeats that wait to be forwarded, and which ones the leader has accepted.
pub struct HeartbeatQueue {
    pub(crate) queued: Queue<QueuedHeartbeat>,
    pub(crate) forwarding: Mutex<HeartbeatForwarding>,
    /// When the leader last did not answer: for a while after that, heartbeats are handled here.
    pub(crate) failed_at: Mutex<Option<Instant>>,
}

impl Default for HeartbeatQueue {
    fn default() -> HeartbeatQueue {
        HeartbeatQueue {
            queued: Queue::bounded(MAX_QUEUED_HEARTBEATS),
            forwarding: Mutex::default(),
            failed_at: Mutex::default(),
        }
    }
}
