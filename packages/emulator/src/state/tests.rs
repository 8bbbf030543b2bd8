use super::*;
use coralnotch_wire::state;

fn ask(s: &mut State, method: &str, target: &str, body: Vec<u8>, now: Instant) -> Response {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let r = Request { method: method.into(), path: path.into(), query: query.into(), body };
    match s.ask(&r, now) {
        Step::Answer(a) => a,
        Step::Watch(w) => panic!("waits: {w:?}"),
    }
}

fn put(s: &mut State, key: &str, hold: Option<u64>, now: Instant) -> u16 {
    let w = hold.map_or_else(|| Write::set(key, &1), |h| Write::set_with_lease(key, &1, h));
    ask(s, "POST", "/txn", http::encode(&state::Txn { preconditions: vec![], writes: vec![w] }), now).status
}

/// Conditions on an expired lease: the key goes, and a set on it is
/// refused whatever its guards say; an outage gives all time back.
#[test]
fn leases_end_with_their_keys_and_outages_give_time_back() {
    let t0 = Instant::now();
    let at = |ms| t0 + Duration::from_millis(ms);
    let mut s = State::new(Limits::NONE);
    let lease = http::encode(&std::collections::BTreeMap::from([("ttlMs", 1000u64)]));
    assert_eq!(ask(&mut s, "POST", "/leases", lease, t0).status, 200);
    assert_eq!(put(&mut s, "a", Some(1), t0), 200);
    s.fail(at(500));
    assert_eq!(ask(&mut s, "GET", "/kv/a", vec![], at(800)).status, 503);
    s.heal(at(2000));
    assert_eq!(ask(&mut s, "GET", "/kv/a", vec![], at(2900)).status, 200);
    assert_eq!(ask(&mut s, "GET", "/kv/a", vec![], at(3100)).status, 404);
    assert_eq!(put(&mut s, "a", Some(1), at(3100)), 400);
    assert_eq!(ask(&mut s, "POST", "/leases/1/renew", vec![], at(3100)).status, 404);
}

/// A watch wakes for its keys and no others, and is told when it is too old.
#[test]
fn watches_see_their_keys_and_end_when_too_old() {
    let now = Instant::now();
    let mut s = State::new(Limits::NONE);
    put(&mut s, "b/1", None, now);
    let w = Watch { under: "a/".into(), since: 0, until: now + Duration::from_secs(1) };
    assert!(s.news(&w, now).is_none());
    put(&mut s, "a/1", None, now);
    assert_eq!(s.news(&w, now).map(|r| r.status), Some(200));
    for _ in 0..CHANGES_KEPT {
        put(&mut s, "b/1", None, now);
    }
    assert_eq!(s.news(&w, now).map(|r| r.status), Some(410));
}

/// The limits are the service's: rate, writes, sizes.
#[test]
fn limits_refuse_and_change_nothing() {
    let now = Instant::now();
    let mut s = State::new(Limits { rps: 5.0, write_rps: 2.0, value_kb: 1.0, txn_ops: 2 });
    let big = Write::set("k", &"x".repeat(2000));
    let body = http::encode(&state::Txn { preconditions: vec![], writes: vec![big] });
    assert_eq!(ask(&mut s, "POST", "/txn", body, now).status, 400);
    assert_eq!([put(&mut s, "a", None, now), put(&mut s, "b", None, now)], [200, 200]);
    assert_eq!(put(&mut s, "c", None, now), 429, "more writes than a second's");
    assert_eq!(s.epoch(), 2);
    put(&mut s, "c", None, now);
    assert_eq!(ask(&mut s, "GET", "/kv/a", vec![], now).status, 429, "more requests than a second's");
    assert_eq!(ask(&mut s, "GET", "/kv/a", vec![], now + Duration::from_secs(1)).status, 200);
}
