use super::*;

#[test]
fn ids_are_checked_before_anything_is_sent() {
    assert!(validate_id("j-000412").is_ok());
    assert!(validate_id("../x").is_err());
}
