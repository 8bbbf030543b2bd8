use super::*;

const VALID_SCENARIO: &str = "users = \"library\"\nrate = 20.0\nfor_s = 10.0\nsettle_s = 5.0\nexpect_s = 1.0\n";

#[test]
fn arrivals_depend_on_the_seed_or_follow_the_trace() {
    let scenario = Scenario::parse(VALID_SCENARIO).expect("the scenario is valid");
    let arrivals = scenario.arrivals();
    assert_eq!(arrivals, scenario.arrivals());
    assert!((120..280).contains(&arrivals.len()), "{} arrivals", arrivals.len());
    assert_ne!(arrivals, Scenario { seed: 2, ..scenario.clone() }.arrivals());
    let trace = Scenario { rate: 0.0, trace_s: vec![2.0, 0.5], ..scenario };
    assert_eq!(trace.arrivals(), [Duration::from_millis(500), Duration::from_secs(2)]);
}

#[test]
fn parse_reports_every_problem_of_an_invalid_scenario() {
    let invalid =
        VALID_SCENARIO.replace("20.0", "-1.0") + "clients = 0\ntasks = 0\n[[fault]]\nkind = \"flood\"\nat_s = 1\n";
    let message = Scenario::parse(&invalid).expect_err("the scenario is invalid").to_string();
    for part in
        ["expect_s must be finite and not negative", "clients must be from 1", "tasks must be from 1", "kind \"flood\""]
    {
        assert!(message.contains(part), "{part} is missing in {message}");
    }
    assert!(Scenario::parse(&(VALID_SCENARIO.to_owned() + "ratte = 1\n"))
        .expect_err("the key is unknown")
        .to_string()
        .contains("ratte"));
}
