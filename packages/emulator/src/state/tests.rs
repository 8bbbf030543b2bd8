use coralnotch_wire::http::Request;
use coralnotch_wire::state::{Txn, Write};

use super::*;

fn ask(state: &mut State, method: &str, target: &str, body: Vec<u8>, now: Instant) -> Response {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request { method: method.into(), path: path.into(), query: query.into(), body };
    match state.ask(&request, now) {
        Step::Answer(response) => response,
        Step::Watch(watch) => panic!("waits: {watch:?}"),
    }
}

fn put(state: &mut State, key: &str, lease_id: Option<u64>, now: Instant) -> u16 {
    let w = lease_id.map_or_else(|| Write::set(key, &1), |id| Write::set_with_lease(key, &1, id));
    ask(state, "POST", "/txn", http::encode(&Txn { preconditions: vec![], writes: vec![w] }), now).status
}

/// The keys of an expired lease are deleted, and a set on it is refused whatever its preconditions
/// are; after an outage each lease has its full time again.
#[test]
fn leases_end_with_their_keys_and_outages_give_time_back() {
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

/// A watch is answered for its keys and no others, and refused when it is too old.
#[test]
fn watches_see_their_keys_and_end_when_too_old() {
    let now = Instant::now();
    let mut state = State::new(Limits::NONE);
    put(&mut state, "b/1", None, now);
    let w = Watch { under: "a/".into(), since: 0, until: now + Duration::from_secs(1) };
    assert!(state.news(&w, now).is_none());
    put(&mut state, "a/1", None, now);
    assert_eq!(state.news(&w, now).map(|r| r.status), Some(200));
    for _ in 0..CHANGES_KEPT {
        put(&mut state, "b/1", None, now);
    }
    assert_eq!(state.news(&w, now).map(|r| r.status), Some(410));
}

/// The limits of requests, writes and sizes.
#[test]
fn limits_refuse_and_change_nothing() {
    let now = Instant::now();
    let mut state = State::new(Limits { rps: 5.0, write_rps: 2.0, value_kb: 1.0, txn_ops: 2 });
    let big = Write::set("k", &"x".repeat(2000));
    let body = http::encode(&Txn { preconditions: vec![], writes: vec![big] });
    assert_eq!(ask(&mut state, "POST", "/txn", body, now).status, 400);
    assert_eq!([put(&mut state, "a", None, now), put(&mut state, "b", None, now)], [200, 200]);
    assert_eq!(put(&mut state, "c", None, now), 429, "more writes than a second's");
    assert_eq!(state.revision(), 2);
    put(&mut state, "c", None, now);
    assert_eq!(ask(&mut state, "GET", "/kv/a", vec![], now).status, 429, "more requests than a second's");
    assert_eq!(ask(&mut state, "GET", "/kv/a", vec![], now + Duration::from_secs(1)).status, 200);
}
