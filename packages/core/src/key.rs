//! Keys of the stored layout.  The first part is the version of the layout.  Every controller
//! watches the keys below `w/`; the others are read by new leaders only.

use coralnotch_wire::model::{JobOutcome, OutcomeRecord};
use coralnotch_wire::state::{Txn, Write};

/// Prefix of the keys that every controller watches.
pub const WATCHED: &str = "c2/w/";
/// Prefix of the submitted jobs.
pub const JOB: &str = "c2/w/job/";
/// Prefix of the outcomes of jobs.
pub const OUTCOME: &str = "c2/w/fate/";
/// The current leader, attached to its lease.
pub const LEADER: &str = "c2/w/leader";
/// The last leader term.
pub const TERM: &str = "c2/p/term";
/// The enabled features, which all controllers support.
pub const GATES: &str = "c2/w/gates";
/// Prefix of the features that each controller supports, attached to its lease.  They are
/// kept only until every feature is enabled.
pub const MEMBER: &str = "c2/p/member/";
/// The machine types as last seen.
pub const TYPES: &str = "c2/w/types";
/// Prefix of the shards of started and completed tasks.
pub const SHARD: &str = "c2/p/page/";
/// Prefix of the recently requested rentals.
pub const RENTAL: &str = "c2/p/rental/";
/// Prefix of the previous layout, which this version does not read.
pub const PREVIOUS_LAYOUT: &str = "c1/";

/// Adds the outcome of a job to a transaction, with the precondition that the job has none: the
/// first outcome that is stored is final.
pub fn put_outcome(txn: &mut Txn, id: &str, outcome: JobOutcome) {
    let path = format!("{OUTCOME}{id}");
    txn.require(path.clone(), 0);
    txn.writes.push(Write::set(path, &OutcomeRecord { outcome }));
}
