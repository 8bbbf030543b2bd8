use coralnotch_wire::http;
use coralnotch_wire::model::JobSpec;

use super::*;

/// With two failed probes in a row a controller becomes unhealthy, with two successful ones after a
/// pause healthy again; the pause doubles.  The first success of all counts at once.
#[test]
fn removal_and_return() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let mut balancer = Balancer::new(1);
    assert_eq!(balancer.choose(&[], t0), None);
    balancer.record_probe(0, true, at(0));
    assert_eq!(balancer.choose(&[], t0), Some(0));
    balancer.record_probe(0, false, at(1));
    assert!(balancer.is_healthy(0));
    balancer.record_probe(0, false, at(2));
    assert!(!balancer.is_healthy(0));
    balancer.record_probe(0, true, at(3));
    balancer.record_probe(0, true, at(4));
    assert!(!balancer.is_healthy(0), "3 s have not passed");
    balancer.record_probe(0, true, at(5));
    assert!(balancer.is_healthy(0));
    balancer.record_probe(0, false, at(6));
    balancer.record_probe(0, false, at(7));
    for s in 8..13 {
        balancer.record_probe(0, true, at(s));
        assert!(!balancer.is_healthy(0), "the pause has doubled");
    }
    balancer.record_probe(0, true, at(13));
    assert!(balancer.is_healthy(0));
}

#[test]
fn refused_connections_go_elsewhere() {
    let now = Instant::now();
    let mut balancer = Balancer::new(2);
    balancer.record_probe(0, true, now);
    balancer.record_probe(1, true, now);
    balancer.record_connection(0, true, now);
    assert_eq!(balancer.choose(&[], now), Some(1), "fewer open connections");
    assert_eq!(balancer.choose(&[1], now), Some(0));
    for _ in 0..3 {
        balancer.record_connection(1, false, now);
    }
    assert_eq!(balancer.choose(&[], now), Some(0), "skipped for a while");
    assert_eq!(balancer.choose(&[], now + Duration::from_secs(3)), Some(1));
}

#[test]
fn submissions_are_read_off_in_whatever_pieces() {
    let spec = coralnotch_wire::example::spec("j-000001", 2);
    let body = http::encode(&*spec);
    let mut bytes = format!("POST /v2/runs HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend(&body);
    bytes.extend(b"GET /v2/runs/j-000001 HTTP/1.1\r\n\r\n");
    let bytes = [bytes.clone(), bytes].concat();
    for piece in [1, 7, 1000] {
        let mut reader = SubmissionReader::default();
        let found: Vec<JobSpec> = bytes.chunks(piece).flat_map(|chunk| reader.take(chunk)).collect();
        assert_eq!(found.len(), 2);
        assert_eq!(found[0], *spec);
    }
}
