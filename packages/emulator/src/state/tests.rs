use coralnotch_wire::http::Request;
use coralnotch_wire::state::{Txn, Write};

use super::*;

fn ask(state: &mut State, method: &str, target: &str, body: Vec<u8>, now: Instant) -> Response {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request { method: method.into(), path: path.into(), query: query.into(), body };
    match state.handle_request(&request, now) {
        RequestResult::Response(response) => response,
        RequestResult::Watch(watch) => panic!("expected an immediate response, got a waiting watch: {watch:?}"),
    }
}

fn put(state: &mut State, key: &str, lease_id: Option<u64>, now: Instant) -> u16 {
    let write = lease_id.map_or_else(|| Write::set(key, &1), |id| Write::set_with_lease(key, &1, id));
    ask(state, "POST", "/txn", http::encode(&Txn { preconditions: vec![], writes: vec![write] }), now).status
}

/// The expiry of a lease deletes its keys, and a later set with that lease is refused.  The end of an
/// outage renews the leases, so that the outage does not expire them.
#[test]
fn lease_expiry_deletes_its_keys_and_the_end_of_an_outage_renews_leases() {
    let t0 = Instant::now();
    let at = |ms| t0 + Duration::from_millis(ms);
    let mut state = State::new(Limits::NONE);
    let lease = http::encode(&std::collections::BTreeMap::from([("ttlMs", 1000u64)]));
    assert_eq!(ask(&mut state, "POST", "/leases", lease, t0).status, 200);
    assert_eq!(put(&mut state, "a", Some(1), t0), 200);
    state.begin_outage();
    assert_eq!(ask(&mut state, "GET", "/kv/a", vec![], at(800)).status, 503);
    state.end_outage(at(2000));
    assert_eq!(ask(&mut state, "GET", "/kv/a", vec![], at(2900)).status, 200);
    assert_eq!(ask(&mut state, "GET", "/kv/a", vec![], at(3100)).status, 404);
    assert_eq!(put(&mut state, "a", Some(1), at(3100)), 400);
    assert_eq!(ask(&mut state, "POST", "/leases/1/renew", vec![], at(3100)).status, 404);
}

/// A watch returns changes under its prefix only, and is refused when the changes after its revision
/// are no longer retained.
#[test]
fn watch_returns_changes_under_its_prefix_and_is_refused_when_too_old() {
    let now = Instant::now();
    let mut state = State::new(Limits::NONE);
    put(&mut state, "b/1", None, now);
    let watch = Watch { prefix: "a/".into(), since_revision: 0, until: now + Duration::from_secs(1) };
    assert!(state.poll_watch(&watch, now).is_none());
    put(&mut state, "a/1", None, now);
    assert_eq!(state.poll_watch(&watch, now).map(|response| response.status), Some(200));
    for _ in 0..MAX_RETAINED_CHANGES {
        put(&mut state, "b/1", None, now);
    }
    assert_eq!(state.poll_watch(&watch, now).map(|response| response.status), Some(410));
}

/// Requests beyond the rate, write rate or value size are refused and change nothing.
#[test]
fn requests_beyond_the_limits_are_refused_and_change_nothing() {
    let now = Instant::now();
    let mut state = State::new(Limits { rps: 5.0, write_rps: 2.0, value_kb: 1.0, txn_ops: 2 });
    let big = Write::set("k", &"x".repeat(2000));
    let body = http::encode(&Txn { preconditions: vec![], writes: vec![big] });
    assert_eq!(ask(&mut state, "POST", "/txn", body, now).status, 400);
    assert_eq!([put(&mut state, "a", None, now), put(&mut state, "b", None, now)], [200, 200]);
    assert_eq!(put(&mut state, "c", None, now), 429, "the third write exceeds the write rate of 2 per second");
    assert_eq!(state.revision(), 2);
    put(&mut state, "c", None, now);
    assert_eq!(ask(&mut state, "GET", "/kv/a", vec![], now).status, 429, "the sixth request exceeds 5 per second");
    assert_eq!(ask(&mut state, "GET", "/kv/a", vec![], now + Duration::from_secs(1)).status, 200);
}
