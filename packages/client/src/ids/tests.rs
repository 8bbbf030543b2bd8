use super::*;
use coralnotch_wire::model::is_valid_job_id;
use std::collections::HashSet;

#[test]
fn generated_ids_are_valid_and_distinct() {
    let ids: HashSet<Name> = (0..10_000).map(|_| generate_job_id().expect("random bytes")).collect();
    assert_eq!(ids.len(), 10_000);
    assert!(ids.iter().all(|id| is_valid_job_id(id)));
}
