//! Bounded queues of requests: users' requests that wait for the state service, and workers'
//! heartbeats that wait for the leader.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use coralnotch_core::heartbeat_forwarding::HeartbeatForwarding;
use coralnotch_core::lookup::LookupResult;
use coralnotch_core::user_request::{Confirmation, StoreResult};

use crate::http::Response;
use crate::model::*;
use crate::runtime::rate_limiter::RateLimiter;
use crate::workers::Heartbeat;

/// The sender of the only reply to a queued request.  It is dropped without a reply if the request is
/// given up.
pub(crate) type ReplySender<T> = smol::channel::Sender<T>;

/// A bounded queue, which refuses further entries while it is full.
pub(crate) struct Queue<T> {
    pub(crate) sender: smol::channel::Sender<T>,
    pub(crate) receiver: smol::channel::Receiver<T>,
}

impl<T> Queue<T> {
    fn bounded(capacity: usize) -> Queue<T> {
        let (sender, receiver) = smol::channel::bounded(capacity);
        Queue { sender, receiver }
    }

    /// Moves entries that are already queued to a batch, until the batch has `max_len` entries or the
    /// queue is empty.
    pub(crate) fn fill_batch(&self, batch: &mut Vec<T>, max_len: usize) {
        while batch.len() < max_len {
            let Ok(next) = self.receiver.try_recv() else { break };
            batch.push(next);
        }
    }
}

/// A submission that waits to be stored.
pub(crate) struct SubmissionRequest {
    pub(crate) spec: Arc<JobSpec>,
    /// Whether the job depends on a cancelled one.  Its own cancellation is then stored with it.
    pub(crate) depends_on_cancelled_job: bool,
    pub(crate) reply: ReplySender<StoreResult>,
}

/// A job that waits for the confirmation that it is unfinished.
pub(crate) struct ConfirmationRequest {
    pub(crate) id: Name,
    pub(crate) reply: ReplySender<Confirmation>,
}

/// A job id that this controller does not know and that waits to be looked up in the state service.
pub(crate) struct LookupRequest {
    pub(crate) id: Name,
    /// Sends `None` if the state service has given no conclusive answer.
    pub(crate) reply: ReplySender<Option<LookupResult>>,
}

/// The queues of users' requests that wait for the state service.  Each is processed in batches.
pub struct UserRequestQueues {
    pub(crate) submissions: Queue<SubmissionRequest>,
    pub(crate) confirmations: Queue<ConfirmationRequest>,
    pub(crate) lookups: Queue<LookupRequest>,
    /// The rate limit of the requests to the state service for `lookups`.
    pub(crate) lookup_limiter: RateLimiter,
}

/// Maximum number of requests that wait in one queue; further ones are refused.
const MAX_QUEUED_REQUESTS: usize = 512;

impl UserRequestQueues {
    /// Creates empty queues.  Lookups of unknown ids may send `lookup_rate` requests per second to the
    /// state service.  At most as many lookups wait as are served in one second; further ones are
    /// refused.
    pub fn new(lookup_rate: f64, now: Instant) -> UserRequestQueues {
        let max_lookups = (lookup_rate as usize).clamp(1, MAX_QUEUED_REQUESTS);
        UserRequestQueues {
            submissions: Queue::bounded(MAX_QUEUED_REQUESTS),
            confirmations: Queue::bounded(MAX_QUEUED_REQUESTS),
            lookups: Queue::bounded(max_lookups),
            lookup_limiter: RateLimiter::new(lookup_rate, lookup_rate, now),
        }
    }
}

/// Maximum number of heartbeats that wait to be forwarded.  Each open connection has at most one.
const MAX_QUEUED_HEARTBEATS: usize = 8192;

/// A heartbeat that waits to be forwarded to the leader.
pub(crate) struct QueuedHeartbeat {
    pub(crate) heartbeat: Heartbeat,
    /// The encoded heartbeat, as the worker sent it.
    pub(crate) body: Vec<u8>,
    /// After this time the reply is of no use, because the worker has stopped waiting.
    pub(crate) deadline: Instant,
    pub(crate) reply: ReplySender<Response>,
}

/// The heartbeats that wait to be forwarded, and those that the leader has accepted.
pub struct HeartbeatQueue {
    pub(crate) queued: Queue<QueuedHeartbeat>,
    pub(crate) forwarding: Mutex<HeartbeatForwarding>,
    /// When a call to the leader last failed.  For `policy.peer_limit` after that, this controller
    /// handles heartbeats itself.
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
