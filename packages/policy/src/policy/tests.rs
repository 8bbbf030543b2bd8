use super::*;

/// Returns the example settings, which have no teams and no zones.
pub fn config() -> Config {
    Config::parse("test", crate::example::SETTINGS).expect("the example settings are valid")
}

/// Returns the errors of a policy file as `LINE:COLUMN MESSAGE HINT`.
fn errors(text: &str) -> Vec<String> {
    match check(&config(), Some(("own", text))) {
        Ok(_) => Vec::new(),
        Err(errors) => errors
            .iter()
            .map(|f| format!("{}:{} {} {}", f.line, f.column, f.message, f.hint.clone().unwrap_or_default()))
            .collect(),
    }
}

#[test]
fn the_default_policy_is_valid_and_defines_every_tunable() {
    let checked = check(&config(), None).expect("the default policy is valid");
    assert_eq!(checked.origins.len(), SCHEMA.len());
    assert_eq!(checked.policy.variance_threshold, 0.05);
    assert_eq!(checked.policy.load_threshold, 1.0);
}

#[test]
fn a_policy_file_replaces_single_default_definitions() {
    let text = "let slow = quota.cores < 0.2\nidle = if slow then 2min\n  else 1min # as the machine is\n";
    let checked = check(&config(), Some(("own", text))).expect("the policy file is valid");
    assert_eq!(checked.policy.idle, Duration::from_secs(120));
    assert!(checked.origins.iter().any(|origin| origin.0 == "idle" && origin.2.contains("own:2")));
}

/// Guards against an error that hides others: each error is reported with its position and, where a
/// known name is similar, with a suggestion.
#[test]
fn errors_of_every_kind_are_reported_together() {
    let text = "idel = 3s\nidle = workers.lease\nfresh = 3\ndeaf = 1s / 0\nsilent = fresh + 1\nlet a = b\nlet b = a\nttl = renew * 1.5\nkept_share = 99\nhorizon_s = (3s\nlet c = mim(1, 2)\nrenew = 1s\nrenew = 2s\n";
    let found = errors(text).join("\n");
    for part in [
        "1:1 unknown tunable idel (helpers are defined by `let`) did you mean idle?",
        "2:8 unknown name workers.lease did you mean workers.lease_s?",
        "3:9 fresh must be a duration, not a number",
        "4:8 division by zero",
        "5:10 silent must be a duration, not a number",
        "cyclic definition: a -> b -> a",
        "12:9 the required condition renew * 2 < ttl does not hold",
        "9:14 kept_share is 99, outside the allowed range 0 to 10",
        "10:16 syntax error",
        "11:9 unknown function mim did you mean min?",
        "13:1 renew is defined twice, first in line 12",
    ] {
        assert!(found.contains(part), "{part} is missing in:\n{found}");
    }
}
