use super::*;
use crate::config::Config;
use crate::policy::Policy;
use coralnotch_policy::example::SETTINGS;

/// A worker that is sent on tells all the same that other zones reach this
/// controller: without that it could take itself for cut off with its zone.
#[test]
fn a_worker_that_is_sent_on_was_heard() {
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    let node = Controller::new(config, policy, Instant::now());
    let record = crate::leadership::lease::LeaderRecord { name: "another".into(), term: 1 };
    node.lock().leader = Some(crate::controller::ObservedLeader { record, revision: 1 });
    let from = |zone: &str| http::encode(&std::collections::BTreeMap::from([("bay", zone)]));
    let own = node.config.zone.clone();
    assert_eq!(node.redirect_to_leader(&from(&own)).map(|r| r.status), Some(421));
    assert!(node.lock().last_heartbeat.is_some() && node.lock().last_remote_zone_heartbeat.is_none());
    assert_eq!(node.redirect_to_leader(&from("elsewhere")).map(|r| r.status), Some(421));
    assert!(node.lock().last_remote_zone_heartbeat.is_some());
    assert!(node.redirect_to_leader(&[0x90]).is_none(), "what is no report is refused as before");
}

/// A worker that is sent elsewhere reads this answer.
#[test]
fn the_redirect_keeps_its_form() {
    let answer = redirect(Some("b"));
    let body: serde_json::Value = http::decode(&answer.body).expect("a body");
    assert_eq!((answer.status, body), (421, serde_json::json!({ "answerTo": "b" })));
}
