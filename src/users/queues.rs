//! Requests that wait for another service, bounded: users' for the store, workers' for the leader.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use coralnotch_core::heartbeat_forwarding::HeartbeatForwarding;
use coralnotch_core::lookup::LookupResult;
use coralnotch_core::user_request::StoreResult;

use crate::http::Response;
use crate::model::*;
use crate::state_store::client::RateLimiter;
use crate::workers::Heartbeat;

pub(crate) type ReplySender<T> = smol::channel::Sender<T>;
pub(crate) type Queue<T> = (smol::channel::Sender<T>, smol::channel::Receiver<T>);

/// Users' requests on their way to the store, gathered into transactions.
pub struct UserRequestQueues {
    /// Submissions, and whether each ends with a cancelled job that it needs.
    pub(crate) submissions: Queue<(Arc<JobSpec>, bool, ReplySender<StoreResult>)>,
    pub(crate) confirmations: Queue<(Name, ReplySender<Option<Option<JobOutcome>>>)>,
    /// Ids that are not known here.
    pub(crate) lookups: Queue<(Name, ReplySender<Option<LookupResult>>)>,
    /// Requests to the store for these.
    pub(crate) lookup_calls: Mutex<RateLimiter>,
}

/// Requests that may wait for the store at once; more are refused.
const MAX_QUEUED_REQUESTS: usize = 512;

impl UserRequestQueues {
    /// Queues of nothing.  Queries for unknown ids may take so many requests a
    /// second; no more of them wait than a second serves, the rest is refused.
    pub fn new(lookup_rate: f64, now: Instant) -> UserRequestQueues {
        let most = (lookup_rate as usize).clamp(1, MAX_QUEUED_REQUESTS);
        UserRequestQueues {
            submissions: smol::channel::bounded(MAX_QUEUED_REQUESTS),
            confirmations: smol::channel::bounded(MAX_QUEUED_REQUESTS),
            lookups: smol::channel::bounded(most),
            lookup_calls: Mutex::new(RateLimiter::new(lookup_rate, lookup_rate, now)),
        }
    }
}

/// Reports that may wait to be forwarded; there are no more than connections.
const MAX_QUEUED_HEARTBEATS: usize = 8192;

/// A report on its way to the leader.
pub(crate) struct QueuedHeartbeat {
    pub(crate) heartbeat: Heartbeat,
    /// As the worker sent it.
    pub(crate) body: Vec<u8>,
    /// Its worker waits no longer.
    pub(crate) deadline: Instant,
    pub(crate) reply: ReplySender<Response>,
}

/// The reports that wait to be forwarded, and what the leader took of earlier ones.
pub struct HeartbeatQueue {
    pub(crate) queued: Queue<QueuedHeartbeat>,
    pub(crate) forwarding: Mutex<HeartbeatForwarding>,
    /// The leader did not answer then: reports are dealt with here for a while.
    pub(crate) failed_at: Mutex<Option<Instant>>,
}

impl Default for HeartbeatQueue {
    fn default() -> HeartbeatQueue {
        HeartbeatQueue {
            queued: smol::channel::bounded(MAX_QUEUED_HEARTBEATS),
            forwarding: Mutex::default(),
            failed_at: Mutex::default(),
        }
    }
}
