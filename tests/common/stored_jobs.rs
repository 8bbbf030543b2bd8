//! Support for tests that compare the answers that users received with the stored jobs.

use std::collections::HashSet;

use coralnotch::model::Name;
use coralnotch::state_store::client::key;
use coralnotch_emulator::up::Report;

/// Returns the ids of the jobs whose records were in the state service when the cluster stopped.
pub fn stored_jobs(report: &Report) -> HashSet<Name> {
    report.stored_keys.iter().filter_map(|path| path.strip_prefix(key::JOB)).map(Name::from).collect()
}
