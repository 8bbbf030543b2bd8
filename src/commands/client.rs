//! Requests to a running controller, as a user's program would send them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::commands::output::{EXIT_BAD_INPUT, EXIT_FAILURE};
use crate::http::{self, Client};
use crate::model::{valid_id, JobExplanation, JobState};
use crate::operators::status::Status;

/// Why a request came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The id can't be one of a job.
    #[error("{id:?} is no job id: j- and digits, like j-000412")]
    InvalidId {
        /// The id as given.
        id: String,
    },
    /// The controller answered something that can't be decoded.
    #[error("the answer can't be read: {0}")]
    UnreadableAnswer(#[source] http::Error),
    /// The controller refused for good.
    #[error("the controller answers {status}: {reason}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// The controller's reason.
        reason: String,
    },
    /// No controller took the request in time.
    #[error("gave up after {after_s} s: {reason}; is a controller running at {node}?")]
    GaveUp {
        /// How long it was tried, in seconds.
        after_s: u64,
        /// What the last attempt came to.
        reason: String,
        /// The controller's address.
        node: SocketAddr,
    },
}

impl Error {
    /// The exit code of a command that ends with this.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::InvalidId { .. } | Error::UnreadableAnswer(_) => EXIT_BAD_INPUT,
            Error::Refused { .. } | Error::GaveUp { .. } => EXIT_FAILURE,
        }
    }
}

/// The body of an error response.
#[derive(Deserialize, Default)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// Timeout of one attempt.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A client of one controller that retries for a while.
pub struct ControllerClient {
    node: SocketAddr,
    http: Client,
    patience: Duration,
}

impl ControllerClient {
    /// A client of the controller at an address; what is refused for now, or not
    /// answered, is retried for `patience`.
    pub fn new(node: SocketAddr, patience: Duration) -> ControllerClient {
        ControllerClient { node, http: Client::default(), patience }
    }

    /// Sends a request until it gets a final answer.
    async fn request<T>(&self, method: &str, path: &str) -> Result<T, Error>
    where
        T: for<'a> Deserialize<'a>,
    {
        let started_at = Instant::now();
        loop {
            let reason = match self.http.send(self.node, method, path, None, REQUEST_TIMEOUT).await {
                Ok((200 | 201, body)) => return http::decode(&body).map_err(Error::UnreadableAnswer),
                Ok((status @ (400 | 404 | 405 | 413 | 422), body)) => {
                    return Err(Error::Refused { status, reason: error_of(&body) });
                }
                Ok((status, body)) => format!("status {status}, {}", error_of(&body)),
                Err(error) => error.to_string(),
            };
            if started_at.elapsed() + RETRY_INTERVAL > self.patience {
                return Err(Error::GaveUp { after_s: started_at.elapsed().as_secs(), reason, node: self.node });
            }
            smol::Timer::after(RETRY_INTERVAL).await;
        }
    }

    /// The state of a job, and what it has to do with other jobs.
    pub async fn job(&self, id: &str) -> Result<JobExplanation, Error> {
        self.request("GET", &format!("/v2/runs/{}?why", validate_id(id)?)).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: &str) -> Result<JobState, Error> {
        self.request("POST", &format!("/v2/runs/{}/withdraw", validate_id(id)?)).await
    }

    /// The controller's status.
    pub async fn status(&self) -> Result<Status, Error> {
        self.request("GET", "/v2/status").await
    }
}

fn error_of(body: &[u8]) -> String {
    http::decode::<ErrorBody>(body).unwrap_or_default().error
}

fn validate_id(id: &str) -> Result<&str, Error> {
    match valid_id(id) {
        true => Ok(id),
        false => Err(Error::InvalidId { id: id.to_owned() }),
    }
}

#[cfg(test)]
mod tests;
