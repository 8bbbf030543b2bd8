use coralnotch_wire::http;
use coralnotch_wire::model::JobSpec;

use super::*;

/// The very first successful probe makes a controller healthy.  Two consecutive failures make it
/// unhealthy.  Two consecutive successes make it healthy again once the ejection time has passed, and
/// the ejection time doubles when the controller becomes unhealthy again soon.
#[test]
fn failed_probes_eject_a_controller_for_a_time_that_doubles() {
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
    assert!(!balancer.is_healthy(0), "the ejection time of 3 s has not passed");
    balancer.record_probe(0, true, at(5));
    assert!(balancer.is_healthy(0));
    balancer.record_probe(0, false, at(6));
    balancer.record_probe(0, false, at(7));
    for s in 8..13 {
        balancer.record_probe(0, true, at(s));
        assert!(!balancer.is_healthy(0), "the ejection time has doubled to 6 s");
    }
    balancer.record_probe(0, true, at(13));
    assert!(balancer.is_healthy(0));
}

#[test]
fn controller_is_skipped_for_a_while_after_three_failed_connections() {
    let now = Instant::now();
    let mut balancer = Balancer::new(2);
    balancer.record_probe(0, true, now);
    balancer.record_probe(1, true, now);
    balancer.record_connection(0, true, now);
    assert_eq!(balancer.choose(&[], now), Some(1), "controller 1 has fewer open connections");
    assert_eq!(balancer.choose(&[1], now), Some(0));
    for _ in 0..3 {
        balancer.record_connection(1, false, now);
    }
    assert_eq!(balancer.choose(&[], now), Some(0), "controller 1 must be skipped after its failed connections");
    assert_eq!(balancer.choose(&[], now + Duration::from_secs(3)), Some(1));
}

#[test]
fn submissions_are_extracted_from_chunks_of_any_size() {
    let spec = coralnotch_wire::example::job_array("j-000001", 2);
    let body = http::encode(&*spec);
    let mut bytes = format!("POST /v2/runs HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend(&body);
    bytes.extend(b"GET /v2/runs/j-000001 HTTP/1.1\r\n\r\n");
    let bytes = [bytes.clone(), bytes].concat();
    for chunk_size in [1, 7, 1000] {
        let mut reader = SubmissionReader::default();
        let found: Vec<JobSpec> = bytes.chunks(chunk_size).flat_map(|chunk| reader.parse(chunk)).collect();
        assert_eq!(found.len(), 2);
        assert_eq!(found[0], *spec);
    }
}
