use super::*;

/// Two failures in a row remove, two successes bring back after a pause
/// that doubles, and the first success of all counts at once.
#[test]
fn removal_and_return() {
    let t0 = Instant::now();
    let at = |s| t0 + Duration::from_secs(s);
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut b = Balancer::new(&[addr]);
    assert_eq!(b.choose(&[], t0), None);
    b.probed(0, true, at(0));
    assert_eq!(b.choose(&[], t0), Some(0));
    b.probed(0, false, at(1));
    assert!(b.healthy(0));
    b.probed(0, false, at(2));
    assert!(!b.healthy(0));
    b.probed(0, true, at(3));
    b.probed(0, true, at(4));
    assert!(!b.healthy(0), "3 s have not passed");
    b.probed(0, true, at(5));
    assert!(b.healthy(0));
    b.probed(0, false, at(6));
    b.probed(0, false, at(7));
    for s in 8..13 {
        b.probed(0, true, at(s));
        assert!(!b.healthy(0), "the pause has doubled");
    }
    b.probed(0, true, at(13));
    assert!(b.healthy(0));
}

#[test]
fn refused_connections_go_elsewhere() {
    let now = Instant::now();
    let addr = |p| SocketAddr::from(([127, 0, 0, 1], p));
    let mut b = Balancer::new(&[addr(1), addr(2)]);
    b.probed(0, true, now);
    b.probed(1, true, now);
    b.connected(0, true, now);
    assert_eq!(b.choose(&[], now), Some(1), "fewer open connections");
    assert_eq!(b.choose(&[1], now), Some(0));
    for _ in 0..3 {
        b.connected(1, false, now);
    }
    assert_eq!(b.choose(&[], now), Some(0), "skipped for a while");
    assert_eq!(b.choose(&[], now + Duration::from_secs(3)), Some(1));
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
        let mut tap = SubmissionReader::default();
        let found: Vec<JobSpec> = bytes.chunks(piece).flat_map(|c| tap.take(c)).collect();
        assert_eq!(found.len(), 2);
        assert_eq!(found[0], *spec);
    }
}
