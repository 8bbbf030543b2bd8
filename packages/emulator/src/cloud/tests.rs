use super::*;

fn settings() -> Settings {
    let t = MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 1.0,
        zones: vec!["z".into()],
    };
    Settings { types: vec![t], capacity: 3, rps: 100.0, list_lag_s: 2.0, notice_s: 10.0, boot_fail: 0.0 }
}

fn rent(c: &mut Cloud, charter: &str, now: Instant) -> (u16, Vec<Name>) {
    let r = Rental { request_id: charter.into(), kind: "small".into(), zone: "z".into(), spot: true, count: 2 };
    let q = Request { method: "POST".into(), path: "/rentals".into(), query: String::new(), body: http::encode(&r) };
    let (a, _) = c.ask(&q, &mut Rng::with_seed(1), now);
    (a.status, http::decode::<Names>(&a.body).map(|n| n.machines).unwrap_or_default())
}

/// A repeated charter rents nothing; a rental may be filled in part; what
/// there is no capacity for is refused.
#[test]
fn charters_rent_once_and_capacity_ends() {
    let now = Instant::now();
    let mut c = Cloud::new(settings());
    let first = rent(&mut c, "r-1", now);
    assert_eq!((first.0, first.1.len()), (200, 2));
    assert_eq!(rent(&mut c, "r-1", now), first);
    assert_eq!(rent(&mut c, "r-2", now).1.len(), 1);
    assert_eq!(rent(&mut c, "r-3", now).0, 503);
    assert_eq!(c.machines().len(), 3);
}

/// Machines come up, get a notice and go; lists show it late.
#[test]
fn machines_come_and_go_and_lists_lag() {
    let (t0, mut rng) = (Instant::now(), Rng::with_seed(2));
    let at = |s: f64| t0 + Duration::from_secs_f64(s);
    let mut c = Cloud::new(settings());
    let (_, names) = rent(&mut c, "r-1", t0);
    c.step(t0);
    assert_eq!(c.step(at(1.6)).len(), 2);
    let count = |c: &mut Cloud, now, rng: &mut Rng| {
        let q = Request { method: "GET".into(), path: "/rentals".into(), query: "page=1".into(), body: vec![] };
        http::decode::<rmpv::Value>(&c.ask(&q, rng, now).0.body).map(|v| v.to_string()).unwrap_or_default()
    };
    assert!(!count(&mut c, t0, &mut rng).contains("i-000001"), "too fresh to be listed");
    let listed = count(&mut c, at(6.0), &mut rng);
    assert!(listed.contains("i-000001") && listed.contains("true"), "one of two, and more to come: {listed}");
    assert!(matches!(c.take_back(&names[0], &mut rng, at(6.0)), Some(Event::Notice(..))));
    assert!(c.take_back(&names[0], &mut rng, at(6.0)).is_none(), "one notice");
    assert_eq!(c.step(at(21.5)), [Event::Gone(names[0].clone())]);
}
