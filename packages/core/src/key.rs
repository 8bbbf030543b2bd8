//! Keys in the state service.  The first part of a key is the version of the layout.  Every
//! controller watches the keys below `c2/w/`; only new leaders read the others.

use coralnotch_wire::model::{JobOutcome, OutcomeRecord};
use coralnotch_wire::state::{Txn, Write};

/// Prefix of the keys that every controller watches.
pub const WATCHED: &str = "c2/w/";
/// Prefix of the keys of submitted jobs.
pub const JOB: &str = "c2/w/job/";
/// Prefix of the keys of job outcomes.
pub const OUTCOME: &str = "c2/w/fate/";
/// Key of the record of the current leader, which is attached to its lease.
pub const LEADER: &str = "c2/w/leader";
/// Key of the last leader term.
pub const TERM: &str = "c2/p/term";
/// Key of the enabled features, all of which every controller supports.
pub const FEATURE_GATES: &str = "c2/w/gates";
/// Prefix of the records of the features that each controller supports, each attached to the
/// lease of its controller.  They are kept only until every feature is enabled.
pub const MEMBER: &str = "c2/p/member/";
/// Key of the machine types, as last read from the cloud.
pub const TYPES: &str = "c2/w/types";
/// Prefix of the shards of start records and completed tasks.
pub const SHARD: &str = "c2/p/page/";
/// Prefix of the records of recently requested rentals.
pub const RENTAL: &str = "c2/p/rental/";
/// Prefix of all keys of the previous layout, which this version does not read.
pub const PREVIOUS_LAYOUT: &str = "c1/";

/// Adds the outcome of a job to a transaction, with the precondition that no outcome is stored
/// for the job.  The first outcome that is stored is final.
pub fn put_outcome(txn: &mut Txn, id: &str, outcome: JobOutcome) {
    let path = format!("{OUTCOME}{id}");
    txn.add_precondition(path.clone(), 0);
    txn.writes.push(Write::set(path, &OutcomeRecord { outcome }));
}
