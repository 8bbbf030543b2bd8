//! Builds the transactions that store submissions and cancellations.

use coralnotch_wire::state::{Txn, Write};

use crate::key;
use crate::model::{JobOutcome, JobSpec, Name};

/// A validated submission that has to be stored.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// The job as submitted.
    pub spec: &'a JobSpec,
    /// Whether the job depends on a cancelled job, so that its own cancellation is stored in the
    /// same transaction.
    pub depends_on_cancelled_job: bool,
}

/// Returns one transaction that stores these submissions, with a precondition for each that its
/// id has no record yet.  Of several submissions with the same id only the first is stored.
pub fn submissions_txn<'a>(submissions: impl Iterator<Item = Submission<'a>>) -> Txn {
    let mut txn = Txn::default();
    for Submission { spec, depends_on_cancelled_job } in submissions {
        let path = format!("{}{}", key::JOB, spec.id);
        if txn.preconditions.iter().any(|precondition| precondition.key == path) {
            continue;
        }
        txn.add_precondition(path.clone(), 0);
        txn.writes.push(Write::set(path, spec));
        if depends_on_cancelled_job {
            key::put_outcome(&mut txn, &spec.id, JobOutcome::Cancelled);
        }
    }
    txn
}

/// Returns one transaction that stores the cancellation of these jobs, with a precondition for
/// each that the job has no outcome yet.
pub fn cancellations_txn(ids: &[Name]) -> Txn {
    let mut txn = Txn::default();
    for id in ids {
        key::put_outcome(&mut txn, id, JobOutcome::Cancelled);
    }
    txn
}
