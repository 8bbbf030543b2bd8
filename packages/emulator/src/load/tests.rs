use super::*;

const GOOD: &str = "users = \"library\"\nrate = 20.0\nfor_s = 10.0\nsettle_s = 5.0\nexpect_s = 1.0\n";

#[test]
fn arrivals_follow_their_seed() {
    let s = Scenario::parse(GOOD).expect("a scenario");
    let a = s.arrivals();
    assert_eq!(a, s.arrivals());
    assert!((120..280).contains(&a.len()), "{} arrivals", a.len());
    assert_ne!(a, Scenario { seed: 2, ..s.clone() }.arrivals());
    let trace = Scenario { rate: 0.0, trace_s: vec![2.0, 0.5], ..s };
    assert_eq!(trace.arrivals(), [Duration::from_millis(500), Duration::from_secs(2)]);
}

#[test]
fn all_that_is_wrong_with_a_scenario_is_said() {
    let bad = GOOD.replace("20.0", "-1.0") + "clients = 0\ntasks = 0\n[[fault]]\nkind = \"flood\"\nat_s = 1\n";
    let wrong = Scenario::parse(&bad).expect_err("four faults").to_string();
    for part in ["negative", "clients: from 1", "tasks: from 1", "kind \"flood\""] {
        assert!(wrong.contains(part), "{part} is missing in {wrong}");
    }
    assert!(Scenario::parse(&(GOOD.to_owned() + "ratte = 1\n")).expect_err("a typo").to_string().contains("ratte"));
}
