//! Tests of parsing and decoding.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Arbitrary bytes are parsed, rejected or taken for an incomplete message.
    #[test]
    fn parsing_and_decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = parse_request(&bytes);
        let _ = parse_response(&bytes);
        let _ = decode::<crate::model::JobSpec>(&bytes);
        let _ = decode::<crate::workers::Heartbeat>(&bytes);
    }

    /// A request may arrive in any number of packets.  Its head is neither parsed nor rejected before it is
    /// complete.
    #[test]
    fn a_request_is_incomplete_until_its_whole_head_has_arrived(
        method in "GET|POST|DELETE",
        path in "/[a-z0-9/]{0,20}",
        len in 0usize..70_000,
        close in any::<bool>(),
    ) {
        let close_line = if close { "connection: close\r\n" } else { "" };
        let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len}\r\n{close_line}\r\n");
        for cut in 0..text.len() {
            prop_assert!(
                parse_request(&text.as_bytes()[..cut]).expect("the start of a head is not rejected").is_none()
            );
        }
        let head = parse_request(text.as_bytes()).expect("the head is well-formed").expect("the head is complete");
        prop_assert_eq!(
            (head.method, head.target, head.body_len, head.close, head.head_len),
            (method, path, len, close, text.len())
        );
    }
}

/// Guards against request smuggling: a message with two different lengths, or with a length that parsers
/// read differently, is rejected.
#[test]
fn conflicting_or_malformed_content_lengths_are_rejected() {
    let result = parse_request(b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n");
    assert!(matches!(result, Err(Error::Malformed(_))));
    for length in ["-1", "+3", "", "0x3", "99999999999999999999999"] {
        let result = parse_request(format!("POST /x HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").as_bytes());
        assert!(result.is_err(), "content length {length:?} is accepted");
    }
}

/// A body has to be exactly one map: other types, an incomplete map and trailing bytes are rejected.
#[test]
fn a_body_that_is_not_exactly_one_map_is_rejected() {
    #[derive(serde::Deserialize)]
    struct Empty {}
    assert!(decode::<Empty>(&[0x80]).is_ok());
    for body in [&[][..], &[0x90], &[0xc0], &[0x80, 0x80], &[0x81, 0xa1]] {
        assert!(decode::<Empty>(body).is_err());
    }
}
