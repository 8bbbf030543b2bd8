use super::*;
use proptest::prelude::*;

proptest! {
    /// Whatever arrives, it is read, refused or waited for; nothing panics.
    #[test]
    fn strange_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
        let _ = decode::<crate::model::JobSpec>(&bytes);
        let _ = decode::<crate::workers::Heartbeat>(&bytes);
    }

    /// A request means the same however it is cut into packets.
    #[test]
    fn a_request_is_incomplete_until_its_head_is_whole(
        method in "GET|POST|DELETE",
        path in "/[a-z0-9/]{0,20}",
        len in 0usize..70_000,
        close in any::<bool>(),
    ) {
        let close_line = if close { "connection: close\r\n" } else { "" };
        let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len}\r\n{close_line}\r\n");
        for cut in 0..text.len() {
            prop_assert!(parse_request(&text.as_bytes()[..cut]).expect("the start of a request").is_none());
        }
        let h = parse_request(text.as_bytes()).expect("a request").expect("all of it");
        prop_assert_eq!((h.method, h.target, h.body, h.close, h.len), (method, path, len, close, text.len()));
    }
}

/// Two lengths that differ are how requests are smuggled.
#[test]
fn lengths_that_differ_are_refused() {
    let r = parse_request(b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n");
    assert!(matches!(r, Err(Error::Bad(_))));
    for bad in ["-1", "+3", "", "0x3", "99999999999999999999999"] {
        let r = parse_request(format!("POST /x HTTP/1.1\r\nContent-Length: {bad}\r\n\r\n").as_bytes());
        assert!(r.is_err(), "{bad}");
    }
}

/// What is not one map and nothing else is no body.
#[test]
fn only_a_single_map_is_a_body() {
    #[derive(serde::Deserialize)]
    struct Any {}
    assert!(decode::<Any>(&[0x80]).is_ok());
    for bad in [&[][..], &[0x90], &[0xc0], &[0x80, 0x80], &[0x81, 0xa1]] {
        assert!(decode::<Any>(bad).is_err());
    }
}
