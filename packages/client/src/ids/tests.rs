use super::*;
use coralnotch_wire::model::valid_id;
use std::collections::HashSet;

#[test]
fn ids_have_the_form_and_differ() {
    let ids: HashSet<Name> = (0..10_000).map(|_| fresh_id().expect("randomness")).collect();
    assert_eq!(ids.len(), 10_000);
    assert!(ids.iter().all(|i| valid_id(i)));
}
