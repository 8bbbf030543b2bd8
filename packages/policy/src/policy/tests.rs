use super::*;

/// Settings for tests.
pub fn config() -> Config {
    Config::parse("test", crate::example::SETTINGS).expect("settings of the tests")
}

fn faults(text: &str) -> Vec<String> {
    match check(&config(), Some(("own", text))) {
        Ok(_) => Vec::new(),
        Err(f) => f
            .iter()
            .map(|f| format!("{}:{} {} {}", f.line, f.column, f.what, f.hint.clone().unwrap_or_default()))
            .collect(),
    }
}

#[test]
fn the_default_policy_holds_and_knows_every_tunable() {
    let c = check(&config(), None).expect("the default");
    assert_eq!(c.origins.len(), SCHEMA.len());
    assert_eq!(c.policy.variance_threshold, 0.05);
    assert_eq!(c.policy.load_threshold, 1.0);
}

#[test]
fn operators_replace_single_definitions() {
    let text = "let slow = quota.cores < 0.2\nidle = if slow then 2min\n  else 1min # as the machine is\n";
    let c = check(&config(), Some(("own", text))).expect("a good file");
    assert_eq!(c.policy.idle, Duration::from_secs(120));
    assert!(c.origins.iter().any(|o| o.0 == "idle" && o.2.contains("own:2")));
}

/// All errors at once, each where it is, with a suggestion where one fits.
#[test]
fn every_kind_of_error_is_found_in_one_go() {
    let text = "idel = 3s\nidle = workers.lease\nfresh = 3\ndeaf = 1s / 0\nsilent = fresh + 1\nlet a = b\nlet b = a\nttl = renew * 1.5\nkept_share = 99\nhorizon_s = (3s\nlet c = mim(1, 2)\nrenew = 1s\nrenew = 2s\n";
    let found = faults(text).join("\n");
    for part in [
        "1:1 there is no tunable idel did you mean idle?",
        "2:8 unknown name workers.lease did you mean workers.lease_s?",
        "3:9 fresh has to be a duration, not a number",
        "4:8 division by zero",
        "5:10 silent has to be a duration, not a number",
        "goes in a circle: a -> b -> a",
        "12:9 renew * 2 < ttl does not hold",
        "9:14 kept_share is 99, outside 0 to 10",
        "10:16 this can't be read",
        "11:9 unknown function mim did you mean min?",
        "13:1 renew is defined twice, first in line 12",
    ] {
        assert!(found.contains(part), "{part} is missing in:\n{found}");
    }
}
