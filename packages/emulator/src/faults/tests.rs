use super::*;

#[test]
fn parse_returns_the_faults_sorted_by_time() {
    let text =
        "[[fault]]\nkind = \"crash\"\nat_s = 3\nnode = 2\n[[fault]]\nkind = \"state-outage\"\nat_s = 1.5\nfor_s = 2\n";
    let plan = parse(text, 3).expect("the plan is valid");
    let outage = Fault::StateOutage { duration: Duration::from_secs(2) };
    assert_eq!(plan[0], PlannedFault { at: Duration::from_millis(1500), fault: outage });
    assert_eq!(plan[1].fault, Fault::Crash { node: 2 });
    assert_eq!(parse("", 3), Ok(Vec::new()));
    let text = "[[fault]]\nkind = \"state-limits\"\nat_s = 3\nwrite_rps = 28\nvalue_kb = 2\ntxn_ops = 8\n[[fault]]\nkind = \"upgrade\"\nat_s = 1\nnode = 1\n";
    let plan = parse(text, 3).expect("the plan is valid");
    assert_eq!(plan[0].fault, Fault::Upgrade { node: 1 });
    assert_eq!(plan[1].fault, Fault::StateLimits { write_rps: 28, value_kb: 2, txn_ops: 8 });
}

#[test]
fn parse_reports_every_problem_of_an_invalid_plan() {
    let text = "[[fault]]\nkind = \"crash\"\nat_s = -1\nnode = 3\n[[fault]]\nkind = \"flood\"\nat_s = 1\n[[fault]]\nkind = \"state-outage\"\ncount = 2\n";
    let message = parse(text, 3).expect_err("the plan is invalid").to_string();
    for part in [
        "fault 1: at_s = -1",
        "fault 1: node = 3 is not a whole number from 0 to 2",
        "fault 2: kind \"flood\"",
        "fault 3: at_s is missing",
        "fault 3: for_s is missing",
        "fault 3: unknown key count for a fault of kind state-outage",
    ] {
        assert!(message.contains(part), "{part} is missing in:\n{message}");
    }
}
