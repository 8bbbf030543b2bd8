//! Classifies responses, and missing responses, by what they mean for a job.
//!
//! The table in docs/client.md documents [`classify_response`] row by row.

use std::time::{Duration, SystemTime};

use coralnotch_wire::http::{self, ClientResponse, Error};
use coralnotch_wire::model::JobState;
use serde::Deserialize;

use crate::model::{Action, Outcome};

/// The maximum wait that a `Retry-After` header can ask for in the protocol.
/// Longer values are reduced to it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The body of an error response.
#[derive(Deserialize, Default)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// The body of a response with the state of a job.
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

/// Parses the value of a `Retry-After` header, which is a number of seconds or an
/// HTTP date, and returns the wait that it asks for.
///
/// A wait longer than 30 s is reduced to 30 s, and a date in the past results in a
/// wait of zero.  Returns `None` for any other value.  `wall_clock` is the current
/// time of day.
pub fn parse_retry_after(value: &str, wall_clock: SystemTime) -> Option<Duration> {
    let value = value.trim();
    if !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit()) {
        // A number that does not fit in 64 bits also means the maximum wait.
        let seconds = value.parse::<u64>().unwrap_or(u64::MAX);
        return Some(Duration::from_secs(seconds).min(MAX_RETRY_AFTER));
    }
    let date = httpdate::parse_http_date(value).ok()?;
    Some(date.duration_since(wall_clock).unwrap_or_default().min(MAX_RETRY_AFTER))
}

/// Classifies the response to a request for the job `id`, or the error if there is
/// no response.
///
/// `wall_clock` is the current time of day, relative to which a date in a
/// `Retry-After` header is interpreted.
pub fn classify_response(
    action: Action,
    response: Result<ClientResponse, Error>,
    id: &str,
    wall_clock: SystemTime,
) -> Outcome {
    // The connection failed, or the response was truncated, late or not HTTP.
    let Ok(response) = response else { return Outcome::Indeterminate };
    match (action, response.status) {
        (_, 200) | (Action::Submit, 201) => classify_state(&response.body, id),
        (Action::Submit, status @ (400 | 422)) => {
            let body: ErrorBody = http::decode(&response.body).unwrap_or_default();
            Outcome::Refused { status, reason: body.error }
        }
        (Action::Query | Action::Cancel, 404) => Outcome::UnknownJob,
        _ => {
            let retry_after = response.retry_after.as_deref();
            Outcome::RetryLater(retry_after.and_then(|value| parse_retry_after(value, wall_clock)))
        }
    }
}

/// Classifies a response body that should have the state of the job `id`.  A body
/// that can't be decoded, is about another job or has an unknown stage is
/// indeterminate.
fn classify_state(body: &[u8], id: &str) -> Outcome {
    let Ok(state) = http::decode::<StateBody>(body) else { return Outcome::Indeterminate };
    if state.id.as_deref() != Some(id) {
        return Outcome::Indeterminate;
    }
    match state.stage.as_str() {
        "pending" | "running" | "done" | "cancelled" => {
            Outcome::State(JobState { id: id.into(), stage: state.stage, done: state.done, running: state.running })
        }
        _ => Outcome::Indeterminate,
    }
}

#[cfg(test)]
mod tests;
