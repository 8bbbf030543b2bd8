use super::*;
use std::time::UNIX_EPOCH;

fn response(status: u16, body: &str, retry_after: Option<&str>) -> Result<ClientResponse, Error> {
    let value: serde_json::Value = serde_json::from_str(body).expect("a body");
    Ok(ClientResponse { status, body: http::encode(&value), retry_after: retry_after.map(str::to_owned) })
}

/// Guards against a difference between the classification and the table in
/// docs/client.md.
#[test]
fn responses_are_classified_as_in_the_documented_table() {
    use Action::{Cancel, Query, Submit};
    let wall_clock = UNIX_EPOCH + Duration::from_secs(1_000_000_000);
    let classify = |action, response| classify_response(action, response, "j-1", wall_clock);
    let state = |stage: &str| Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done: 0, running: 0 });
    let retry_in_s = |seconds| Outcome::RetryLater(Some(Duration::from_secs(seconds)));
    let pending = r#"{"nameId":"j-1","stage":"pending"}"#;
    let truncated = || Ok(ClientResponse { status: 200, body: vec![0x81, 0xa6], retry_after: None });
    let connection_reset = || Err(Error::Io(std::io::ErrorKind::ConnectionReset.into()));
    for (row, outcome, expected) in [
        ("accepted submission", classify(Submit, response(201, pending, None)), state("pending")),
        ("repeated submission", classify(Submit, response(200, pending, None)), state("pending")),
        ("status 201 to a query", classify(Query, response(201, pending, None)), Outcome::RetryLater(None)),
        ("already done", classify(Submit, response(200, r#"{"nameId":"j-1","stage":"done"}"#, None)), state("done")),
        (
            "state of another job",
            classify(Query, response(200, r#"{"nameId":"j-2","stage":"done"}"#, None)),
            Outcome::Indeterminate,
        ),
        (
            "unknown stage",
            classify(Query, response(200, r#"{"nameId":"j-1","stage":"lost"}"#, None)),
            Outcome::Indeterminate,
        ),
        ("truncated body", classify(Submit, truncated()), Outcome::Indeterminate),
        ("connection reset", classify(Submit, connection_reset()), Outcome::Indeterminate),
        ("timeout", classify(Cancel, Err(Error::Timeout)), Outcome::Indeterminate),
        (
            "malformed submission",
            classify(Submit, response(400, r#"{"error":"pieces"}"#, None)),
            Outcome::Refused { status: 400, reason: "pieces".into() },
        ),
        (
            "refused",
            classify(Submit, response(422, "{}", None)),
            Outcome::Refused { status: 422, reason: String::new() },
        ),
        ("status 400 to a query", classify(Query, response(400, "{}", None)), Outcome::RetryLater(None)),
        ("unknown job", classify(Query, response(404, "{}", None)), Outcome::UnknownJob),
        ("status 404 to a submission", classify(Submit, response(404, "{}", None)), Outcome::RetryLater(None)),
        ("unavailable, with a wait", classify(Submit, response(503, "{}", Some("2"))), retry_in_s(2)),
        ("too many requests, with a wait", classify(Query, response(429, "{}", Some("1"))), retry_in_s(1)),
        ("wait as a date", classify(Query, response(503, "{}", Some("Sun, 09 Sep 2001 01:46:45 GMT"))), retry_in_s(5)),
        ("past date", classify(Query, response(503, "{}", Some("Sun, 09 Sep 2001 01:46:00 GMT"))), retry_in_s(0)),
        ("long wait", classify(Query, response(503, "{}", Some("99999999999999999999999"))), retry_in_s(30)),
        ("negative wait", classify(Query, response(503, "{}", Some("-5"))), Outcome::RetryLater(None)),
        ("malformed wait", classify(Query, response(503, "{}", Some("soon"))), Outcome::RetryLater(None)),
        ("unexpected status", classify(Submit, response(418, "{}", None)), Outcome::RetryLater(None)),
    ] {
        assert_eq!(outcome, expected, "{row}");
    }
}
