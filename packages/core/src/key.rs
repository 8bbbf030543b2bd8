//! Keys of the stored layout.  The first part is the version of the layout;
//! what lies below `w/` is watched by every controller, the rest only read by
//! new leaders.

use coralnotch_wire::model::{JobOutcome, OutcomeRecord};
use coralnotch_wire::state::{Txn, Write};

/// Everything the controllers watch.
pub const WATCHED: &str = "c2/w/";
/// Submissions.
pub const JOB: &str = "c2/w/job/";
/// Final states.
pub const OUTCOME: &str = "c2/w/fate/";
/// The leader, on its lease.
pub const LEADER: &str = "c2/w/leader";
/// The last term.
pub const TERM: &str = "c2/p/term";
/// What all controllers have, and what is therefore on.
pub const GATES: &str = "c2/w/gates";
/// What each controller has, on its lease, until all is on.
pub const MEMBER: &str = "c2/p/member/";
/// Machine types as last seen.
pub const TYPES: &str = "c2/w/types";
/// Starts and completed tasks.
pub const SHARD: &str = "c2/p/page/";
/// Rentals asked for lately.
pub const RENTAL: &str = "c2/p/rental/";
/// The layout before this one, which this program does not read.
pub const PREVIOUS_LAYOUT: &str = "c1/";

/// A job's end, guarded on there being none: whoever comes first, it stays.
pub fn put_outcome(txn: &mut Txn, id: &str, outcome: JobOutcome) {
    let path = format!("{OUTCOME}{id}");
    txn.require(path.clone(), 0);
    txn.writes.push(Write::set(path, &OutcomeRecord { outcome }));
}
