//! Users' requests that wait for the store, bounded.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use coralnotch_core::answers::Accepted;
use coralnotch_core::lookup::Found;

use crate::model::*;
use crate::store::Budget;

pub(crate) type Reply<T> = smol::channel::Sender<T>;
pub(crate) type Queue<T> = (smol::channel::Sender<T>, smol::channel::Receiver<T>);

/// Users' requests on their way to the store, gathered into transactions.
pub struct Intake {
    /// Submissions, and whether each ends with a cancelled job that it needs.
    pub(crate) submissions: Queue<(Arc<Spec>, bool, Reply<Accepted>)>,
    pub(crate) checks: Queue<(Name, Reply<Option<Option<Fate>>>)>,
    /// Ids that are not known here.
    pub(crate) lookups: Queue<(Name, Reply<Option<Found>>)>,
    /// Requests to the store for these.
    pub(crate) lookup_calls: Mutex<Budget>,
}

/// Requests that may wait for the store at once; more are refused.
const MOST_WAITING: usize = 512;

impl Intake {
    /// Queues of nothing.  Queries for unknown ids may take so many requests a
    /// second; no more of them wait than a second serves, the rest is refused.
    pub fn new(lookup_rate: f64, now: Instant) -> Intake {
        let most = (lookup_rate as usize).clamp(1, MOST_WAITING);
        Intake {
            submissions: smol::channel::bounded(MOST_WAITING),
            checks: smol::channel::bounded(MOST_WAITING),
            lookups: smol::channel::bounded(most),
            lookup_calls: Mutex::new(Budget::new(lookup_rate, lookup_rate, now)),
        }
    }
}
