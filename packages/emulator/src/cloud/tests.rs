use coralnotch_wire::cloud::Rental;
use coralnotch_wire::http::{self, Request};

use super::requests::MachineNames;
use super::*;

fn settings() -> Settings {
    let small = MachineType {
        name: "small".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: 0.4,
        boot_s: 1.0,
        zones: vec!["z".into()],
    };
    Settings {
        types: vec![small],
        capacity: 3,
        rps: 100.0,
        list_lag_s: 2.0,
        reclaim_notice_s: 10.0,
        boot_failure_share: 0.0,
    }
}

fn rent(cloud: &mut Cloud, request_id: &str, now: Instant) -> (u16, Vec<Name>) {
    let rental =
        Rental { request_id: request_id.into(), machine_type: "small".into(), zone: "z".into(), spot: true, count: 2 };
    let request =
        Request { method: "POST".into(), path: "/rentals".into(), query: String::new(), body: http::encode(&rental) };
    let (response, _) = cloud.handle_request(&request, &mut Rng::with_seed(1), now);
    (response.status, http::decode::<MachineNames>(&response.body).map(|names| names.machines).unwrap_or_default())
}

/// A repeated request rents nothing and gets the same response.  A rental beyond the capacity is
/// filled in part; it is refused if no capacity is left.
#[test]
fn repeated_request_rents_nothing_and_exhausted_capacity_is_refused() {
    let now = Instant::now();
    let mut cloud = Cloud::new(settings());
    let first = rent(&mut cloud, "r-1", now);
    assert_eq!((first.0, first.1.len()), (200, 2));
    assert_eq!(rent(&mut cloud, "r-1", now), first);
    assert_eq!(rent(&mut cloud, "r-2", now).1.len(), 1);
    assert_eq!(rent(&mut cloud, "r-3", now).0, 503);
    assert_eq!(cloud.machines().len(), 3);
}

/// Machines boot, get one reclaim notice and are removed.  Lists show a new machine only after the
/// list lag.
#[test]
fn machines_boot_and_are_reclaimed_and_lists_lag_behind() {
    let (t0, mut rng) = (Instant::now(), Rng::with_seed(2));
    let at = |s: f64| t0 + Duration::from_secs_f64(s);
    let mut cloud = Cloud::new(settings());
    let (_, names) = rent(&mut cloud, "r-1", t0);
    cloud.step(t0);
    assert_eq!(cloud.step(at(1.6)).len(), 2);
    let list = |cloud: &mut Cloud, now, rng: &mut Rng| {
        let request = Request { method: "GET".into(), path: "/rentals".into(), query: "page=1".into(), body: vec![] };
        http::decode::<rmpv::Value>(&cloud.handle_request(&request, rng, now).0.body)
            .map(|value| value.to_string())
            .unwrap_or_default()
    };
    assert!(!list(&mut cloud, t0, &mut rng).contains("i-000001"), "a new machine must not be listed yet");
    let listed = list(&mut cloud, at(6.0), &mut rng);
    assert!(listed.contains("i-000001") && listed.contains("true"), "expected one machine and `truncated`: {listed}");
    assert!(matches!(cloud.reclaim(&names[0], &mut rng, at(6.0)), Some(Event::ReclaimNotice(..))));
    assert!(cloud.reclaim(&names[0], &mut rng, at(6.0)).is_none(), "a machine must get only one notice");
    assert_eq!(cloud.step(at(21.5)), [Event::Removed(names[0].clone())]);
}
