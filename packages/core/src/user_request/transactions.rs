//! The transactions that store submissions and cancellations.

use coralnotch_wire::state::{Txn, Write};

use crate::key;
use crate::model::{JobOutcome, JobSpec, Name};

/// Submissions as one transaction, each guarded on being new; `needs_cancelled_job` ones with their own
/// ends.  An id that comes twice is stored once, as it came first.
pub fn submissions_txn<'a>(all: impl Iterator<Item = (&'a JobSpec, bool)>) -> Txn {
    let mut txn = Txn::default();
    for (spec, needs_cancelled_job) in all {
        let path = format!("{}{}", key::JOB, spec.id);
        if txn.preconditions.iter().any(|g| g.key == path) {
            continue;
        }
        txn.require(path.clone(), 0);
        txn.writes.push(Write::set(path, spec));
        if needs_cancelled_job {
            key::put_outcome(&mut txn, &spec.id, JobOutcome::Cancelled);
        }
    }
    txn
}

/// The cancellation of jobs, each guarded on having no end.
pub fn cancellations_txn(ids: &[Name]) -> Txn {
    let mut txn = Txn::default();
    ids.iter().for_each(|id| key::put_outcome(&mut txn, id, JobOutcome::Cancelled));
    txn
}
