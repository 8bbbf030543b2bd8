//! What an answer, or none, means for a job.  The table in docs/client.md is
//! this function, row by row.

use std::time::{Duration, SystemTime};

use coralnotch_wire::http::{self, Answer, Error};
use coralnotch_wire::model::JobState;
use serde::Deserialize;

use crate::model::{Action, Outcome};

/// A `Retry-After` is believed up to this, as the protocol has it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

#[derive(Deserialize, Default)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// The wait that a `Retry-After` asks for: seconds or a date.  What makes no
/// sense is ignored, what asks for too long is cut, a date in the past is none.
pub fn parse_retry_after(value: &str, wall: SystemTime) -> Option<Duration> {
    let value = value.trim();
    if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) {
        // more digits than a number has are a very long time, too
        let s = value.parse::<u64>().unwrap_or(u64::MAX);
        return Some(Duration::from_secs(s).min(MAX_RETRY_AFTER));
    }
    let date = httpdate::parse_http_date(value).ok()?;
    Some(date.duration_since(wall).unwrap_or_default().min(MAX_RETRY_AFTER))
}

/// What a try came to.  `wall` is the time of day, for dates in answers.
pub fn outcome(asked: Action, got: Result<Answer, Error>, id: &str, wall: SystemTime) -> Outcome {
    let answer = match got {
        Ok(a) => a,
        // reset, half an answer, none in time, or one that is no HTTP
        Err(_) => return Outcome::Indeterminate,
    };
    let later = || Outcome::RetryLater(answer.retry_after.as_deref().and_then(|v| parse_retry_after(v, wall)));
    match (asked, answer.status) {
        (_, 200) | (Action::Submit, 201) => match http::decode::<StateBody>(&answer.body) {
            Ok(s) if s.id.as_deref() == Some(id) => match s.stage.as_str() {
                "pending" | "running" | "done" | "cancelled" => {
                    Outcome::State(JobState { id: id.into(), stage: s.stage, done: s.done, running: s.running })
                }
                _ => Outcome::Indeterminate,
            },
            // not about this job, or not readable: it says nothing
            _ => Outcome::Indeterminate,
        },
        (Action::Submit, status @ (400 | 422)) => {
            Outcome::Refused { status, reason: http::decode::<ErrorBody>(&answer.body).unwrap_or_default().error }
        }
        (Action::Query | Action::Cancel, 404) => Outcome::UnknownJob,
        _ => later(),
    }
}

#[derive(Deserialize)]
struct StateBody {
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
mod tests;
