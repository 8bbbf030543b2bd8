//! A client for the HTTP API of a running controller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::commands::output::{EXIT_BAD_INPUT, EXIT_FAILURE};
use crate::http::{self, Client};
use crate::model::{is_valid_job_id, JobExplanation, JobState};
use crate::operators::status::Status;

/// An error of a request to a controller.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The given id does not have the form of a job id.
    #[error("{id:?} is not a job id; a job id is j- followed by digits, as in j-000412")]
    InvalidId {
        /// The id, as the user gave it.
        id: String,
    },
    /// The response of the controller cannot be decoded.
    #[error("cannot decode the response of the controller: {0}")]
    UndecodableResponse(#[source] http::Error),
    /// The controller refused the request with a status that a retry does not change.
    #[error("the controller refused the request with status {status}: {reason}")]
    Refused {
        /// HTTP status code of the response.
        status: u16,
        /// Reason that the response gives; empty if it gives none.
        reason: String,
    },
    /// Every attempt failed until the retry timeout.
    #[error("request failed after {after_s} s of retries: {reason}; check that a controller is running at {node}")]
    RetryTimeout {
        /// Time since the first attempt, in seconds.
        after_s: u64,
        /// Why the last attempt failed.
        reason: String,
        /// Address of the controller.
        node: SocketAddr,
    },
}

impl Error {
    /// Returns the exit code of a command that fails with this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::InvalidId { .. } | Error::UndecodableResponse(_) => EXIT_BAD_INPUT,
            Error::Refused { .. } | Error::RetryTimeout { .. } => EXIT_FAILURE,
        }
    }
}

/// The body of an error response.
#[derive(Deserialize, Default)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// Timeout of a single attempt of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts of a request.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A client of one controller, which retries requests that fail temporarily.
pub struct ControllerClient {
    node: SocketAddr,
    http: Client,
    retry_timeout: Duration,
}

impl ControllerClient {
    /// Creates a client of the controller at the address `node`.
    ///
    /// A request that fails temporarily, or gets no response, is retried for `retry_timeout`.
    pub fn new(node: SocketAddr, retry_timeout: Duration) -> ControllerClient {
        ControllerClient { node, http: Client::default(), retry_timeout }
    }

    /// Sends a request, and retries it until it succeeds, is refused for good, or times out.
    async fn request<T>(&self, method: &str, path: &str) -> Result<T, Error>
    where
        T: for<'a> Deserialize<'a>,
    {
        let started_at = Instant::now();
        loop {
            let reason = match self.http.send(self.node, method, path, None, REQUEST_TIMEOUT).await {
                Ok((200 | 201, body)) => return http::decode(&body).map_err(Error::UndecodableResponse),
                Ok((status @ (400 | 404 | 405 | 413 | 422), body)) => {
                    return Err(Error::Refused { status, reason: error_message(&body) });
                }
                Ok((status, body)) => format!("the controller answered with status {status}: {}", error_message(&body)),
                Err(error) => error.to_string(),
            };
            if started_at.elapsed() + RETRY_INTERVAL > self.retry_timeout {
                return Err(Error::RetryTimeout { after_s: started_at.elapsed().as_secs(), reason, node: self.node });
            }
            smol::Timer::after(RETRY_INTERVAL).await;
        }
    }

    /// Returns the state of a job, and the jobs that it waits for or was cancelled with.
    ///
    /// # Errors
    ///
    /// Returns an error if the id is invalid, or if the request is refused or times out.
    pub async fn job(&self, id: &str) -> Result<JobExplanation, Error> {
        self.request("GET", &format!("/v2/runs/{}?why", validate_id(id)?)).await
    }

    /// Cancels a job, and returns its state.
    ///
    /// # Errors
    ///
    /// Returns an error if the id is invalid, or if the request is refused or times out.
    pub async fn cancel(&self, id: &str) -> Result<JobState, Error> {
        self.request("POST", &format!("/v2/runs/{}/withdraw", validate_id(id)?)).await
    }

    /// Returns the status of the controller.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is refused or times out.
    pub async fn status(&self) -> Result<Status, Error> {
        self.request("GET", "/v2/status").await
    }
}

/// Returns the error message of a response body; empty if there is none.
fn error_message(body: &[u8]) -> String {
    http::decode::<ErrorBody>(body).unwrap_or_default().error
}

fn validate_id(id: &str) -> Result<&str, Error> {
    match is_valid_job_id(id) {
        true => Ok(id),
        false => Err(Error::InvalidId { id: id.to_owned() }),
    }
}

#[cfg(test)]
mod tests;
