use super::*;
use std::time::UNIX_EPOCH;

fn response(status: u16, body: &str, retry_after: Option<&str>) -> Result<Answer, Error> {
    let value: serde_json::Value = serde_json::from_str(body).expect("a body");
    Ok(Answer { status, body: http::encode(&value), retry_after: retry_after.map(str::to_owned) })
}

/// The table of docs/client.md, a line a row.
#[test]
fn every_row_of_the_table_in_the_docs() {
    use Action::{Cancel, Query, Submit};
    let wall_clock = UNIX_EPOCH + Duration::from_secs(1_000_000_000);
    let classify = |action, response| classify_response(action, response, "j-1", wall_clock);
    let state = |stage: &str| Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done: 0, running: 0 });
    let later = |s| Outcome::RetryLater(Some(Duration::from_secs(s)));
    let pending = r#"{"nameId":"j-1","stage":"pending"}"#;
    let broken = || Ok(Answer { status: 200, body: vec![0x81, 0xa6], retry_after: None });
    let reset = || Err(Error::Io(std::io::ErrorKind::ConnectionReset.into()));
    for (row, got, want) in [
        ("accepted", classify(Submit, response(201, pending, None)), state("pending")),
        ("200 for 201", classify(Submit, response(200, pending, None)), state("pending")),
        ("201 to a query", classify(Query, response(201, pending, None)), Outcome::RetryLater(None)),
        ("over already", classify(Submit, response(200, r#"{"nameId":"j-1","stage":"done"}"#, None)), state("done")),
        (
            "another job's",
            classify(Query, response(200, r#"{"nameId":"j-2","stage":"done"}"#, None)),
            Outcome::Indeterminate,
        ),
        (
            "no such stage",
            classify(Query, response(200, r#"{"nameId":"j-1","stage":"lost"}"#, None)),
            Outcome::Indeterminate,
        ),
        ("half an answer", classify(Submit, broken()), Outcome::Indeterminate),
        ("reset", classify(Submit, reset()), Outcome::Indeterminate),
        ("no answer in time", classify(Cancel, Err(Error::Timeout)), Outcome::Indeterminate),
        (
            "malformed",
            classify(Submit, response(400, r#"{"error":"pieces"}"#, None)),
            Outcome::Refused { status: 400, reason: "pieces".into() },
        ),
        ("never", classify(Submit, response(422, "{}", None)), Outcome::Refused { status: 422, reason: String::new() }),
        ("400 to a query", classify(Query, response(400, "{}", None)), Outcome::RetryLater(None)),
        ("unknown", classify(Query, response(404, "{}", None)), Outcome::UnknownJob),
        ("404 to a submission", classify(Submit, response(404, "{}", None)), Outcome::RetryLater(None)),
        ("not now", classify(Submit, response(503, "{}", Some("2"))), later(2)),
        ("too many", classify(Query, response(429, "{}", Some("1"))), later(1)),
        ("a date", classify(Query, response(503, "{}", Some("Sun, 09 Sep 2001 01:46:45 GMT"))), later(5)),
        ("a date gone by", classify(Query, response(503, "{}", Some("Sun, 09 Sep 2001 01:46:00 GMT"))), later(0)),
        ("for ever", classify(Query, response(503, "{}", Some("99999999999999999999999"))), later(30)),
        ("negative", classify(Query, response(503, "{}", Some("-5"))), Outcome::RetryLater(None)),
        ("nonsense", classify(Query, response(503, "{}", Some("soon"))), Outcome::RetryLater(None)),
        ("teapot", classify(Submit, response(418, "{}", None)), Outcome::RetryLater(None)),
    ] {
        assert_eq!(got, want, "{row}");
    }
}
