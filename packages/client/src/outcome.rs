//! What an answer, or none, means for a job.  The table in docs/client.md is
//! this function, row by row.

use std::time::{Duration, SystemTime};

use coralnotch_wire::http::{self, Answer, Error};
use coralnotch_wire::model::JobState;
use serde::Deserialize;

use crate::job::Action;

/// A `Retry-After` is believed up to this, as the protocol has it.
pub const RETRY_AFTER_MOST: Duration = Duration::from_secs(30);

/// What one try came to.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The job is known, and stands so.
    State(JobState),
    /// It will never run.
    Refused {
        /// 400 or 422.
        status: u16,
        /// The controller's reason.
        why: String,
    },
    /// The controller does not know the job.
    Unknown,
    /// Not now; with the least wait that the controller asks for.
    Later(Option<Duration>),
    /// Nothing is known: it may have been carried out.
    Doubt,
}

#[derive(Deserialize, Default)]
struct Plain {
    #[serde(default)]
    error: String,
}

/// The wait that a `Retry-After` asks for: seconds or a date.  What makes no
/// sense is ignored, what asks for too long is cut, a date in the past is none.
pub fn retry_after(value: &str, wall: SystemTime) -> Option<Duration> {
    let value = value.trim();
    if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) {
        // more digits than a number has are a very long time, too
        let s = value.parse::<u64>().unwrap_or(u64::MAX);
        return Some(Duration::from_secs(s).min(RETRY_AFTER_MOST));
    }
    let date = httpdate::parse_http_date(value).ok()?;
    Some(date.duration_since(wall).unwrap_or_default().min(RETRY_AFTER_MOST))
}

/// What a try came to.  `wall` is the time of day, for dates in answers.
pub fn outcome(asked: Action, got: Result<Answer, Error>, id: &str, wall: SystemTime) -> Outcome {
    let answer = match got {
        Ok(a) => a,
        // reset, half an answer, none in time, or one that is no HTTP
        Err(_) => return Outcome::Doubt,
    };
    let later = || Outcome::Later(answer.retry_after.as_deref().and_then(|v| retry_after(v, wall)));
    match (asked, answer.status) {
        (_, 200) | (Action::Submit, 201) => match http::decode::<Stage>(&answer.body) {
            Ok(s) if s.id.as_deref() == Some(id) => match s.stage.as_str() {
                "pending" | "running" | "done" | "cancelled" => {
                    Outcome::State(JobState { id: id.into(), stage: s.stage, done: s.done, running: s.running })
                }
                _ => Outcome::Doubt,
            },
            // not about this job, or not readable: it says nothing
            _ => Outcome::Doubt,
        },
        (Action::Submit, status @ (400 | 422)) => {
            Outcome::Refused { status, why: http::decode::<Plain>(&answer.body).unwrap_or_default().error }
        }
        (Action::Query | Action::Withdraw, 404) => Outcome::Unknown,
        _ => later(),
    }
}

#[derive(Deserialize)]
struct Stage {
    #[serde(rename = "nameId", default)]
    id: Option<String>,
    #[serde(default)]
    stage: String,
    #[serde(default)]
    done: u32,
    #[serde(default)]
    running: u32,
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::UNIX_EPOCH;

    fn answer(status: u16, body: &str, retry_after: Option<&str>) -> Result<Answer, Error> {
        let value: serde_json::Value = serde_json::from_str(body).expect("a body");
        Ok(Answer { status, body: http::encode(&value), retry_after: retry_after.map(str::to_owned) })
    }

    /// The table of docs/client.md, a line a row.
    #[test]
    fn every_row_of_the_table() {
        use Action::{Query, Submit, Withdraw};
        let wall = UNIX_EPOCH + Duration::from_secs(1_000_000_000);
        let at = |a, got| outcome(a, got, "j-1", wall);
        let state =
            |stage: &str| Outcome::State(JobState { id: "j-1".into(), stage: stage.into(), done: 0, running: 0 });
        let later = |s| Outcome::Later(Some(Duration::from_secs(s)));
        let pending = r#"{"nameId":"j-1","stage":"pending"}"#;
        let broken = || Ok(Answer { status: 200, body: vec![0x81, 0xa6], retry_after: None });
        let reset = || Err(Error::Io(std::io::ErrorKind::ConnectionReset.into()));
        for (row, got, want) in [
            ("accepted", at(Submit, answer(201, pending, None)), state("pending")),
            ("200 for 201", at(Submit, answer(200, pending, None)), state("pending")),
            ("201 to a query", at(Query, answer(201, pending, None)), Outcome::Later(None)),
            ("over already", at(Submit, answer(200, r#"{"nameId":"j-1","stage":"done"}"#, None)), state("done")),
            ("another job's", at(Query, answer(200, r#"{"nameId":"j-2","stage":"done"}"#, None)), Outcome::Doubt),
            ("no such stage", at(Query, answer(200, r#"{"nameId":"j-1","stage":"lost"}"#, None)), Outcome::Doubt),
            ("half an answer", at(Submit, broken()), Outcome::Doubt),
            ("reset", at(Submit, reset()), Outcome::Doubt),
            ("no answer in time", at(Withdraw, Err(Error::Timeout)), Outcome::Doubt),
            (
                "malformed",
                at(Submit, answer(400, r#"{"error":"pieces"}"#, None)),
                Outcome::Refused { status: 400, why: "pieces".into() },
            ),
            ("never", at(Submit, answer(422, "{}", None)), Outcome::Refused { status: 422, why: String::new() }),
            ("400 to a query", at(Query, answer(400, "{}", None)), Outcome::Later(None)),
            ("unknown", at(Query, answer(404, "{}", None)), Outcome::Unknown),
            ("404 to a submission", at(Submit, answer(404, "{}", None)), Outcome::Later(None)),
            ("not now", at(Submit, answer(503, "{}", Some("2"))), later(2)),
            ("too many", at(Query, answer(429, "{}", Some("1"))), later(1)),
            ("a date", at(Query, answer(503, "{}", Some("Sun, 09 Sep 2001 01:46:45 GMT"))), later(5)),
            ("a date gone by", at(Query, answer(503, "{}", Some("Sun, 09 Sep 2001 01:46:00 GMT"))), later(0)),
            ("for ever", at(Query, answer(503, "{}", Some("99999999999999999999999"))), later(30)),
            ("negative", at(Query, answer(503, "{}", Some("-5"))), Outcome::Later(None)),
            ("nonsense", at(Query, answer(503, "{}", Some("soon"))), Outcome::Later(None)),
            ("teapot", at(Submit, answer(418, "{}", None)), Outcome::Later(None)),
        ] {
            assert_eq!(got, want, "{row}");
        }
    }
}
