use super::*;

#[test]
fn an_id_without_the_form_of_a_job_id_is_rejected() {
    assert!(validate_id("j-000412").is_ok());
    assert!(validate_id("../x").is_err());
}
