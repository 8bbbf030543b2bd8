use super::*;
use crate::config::Config;
use crate::policy::Policy;
use coralnotch_policy::example::SETTINGS;

/// A redirected heartbeat proves that its zone can reach this controller.  If it was not recorded,
/// the controller could wrongly assume that its own zone is partitioned.
#[test]
fn a_redirected_heartbeat_is_recorded_as_worker_contact() {
    let config = Config::parse("test", SETTINGS).expect("settings of the tests");
    let policy = Policy::new(&config).expect("the default policy");
    let controller = Controller::new(config, policy, Instant::now());
    let record = crate::leadership::lease::LeaderRecord { name: "another".into(), term: 1 };
    controller.lock().leader = Some(crate::controller::ObservedLeader { record, revision: 1 });
    let from = |zone: &str| http::encode(&std::collections::BTreeMap::from([("bay", zone)]));
    let own = controller.config.zone.clone();
    assert_eq!(controller.redirect_to_leader(&from(&own)).map(|r| r.status), Some(421));
    assert!(controller.lock().last_heartbeat.is_some() && controller.lock().last_remote_zone_heartbeat.is_none());
    assert_eq!(controller.redirect_to_leader(&from("elsewhere")).map(|r| r.status), Some(421));
    assert!(controller.lock().last_remote_zone_heartbeat.is_some());
    assert!(controller.redirect_to_leader(&[0x90]).is_none(), "a heartbeat that cannot be decoded is not redirected");
}

/// Workers parse the redirect reply, so its encoding must not change.
#[test]
fn the_redirect_keeps_its_wire_format() {
    let reply = redirect("b");
    let body: serde_json::Value = http::decode(&reply.body).expect("a body");
    assert_eq!((reply.status, body), (421, serde_json::json!({ "answerTo": "b" })));
}
