//! The leader's calls to the cloud.

use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;

use crate::controller::Controller;
use crate::http;

/// Time limit of a call.
const CALL_LIMIT: Duration = Duration::from_secs(4);

/// Why a call to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloudError {
    /// No answer, or one that cannot be read.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// Not sent, as this controller is no longer the leader.
    #[error("no longer the leader")]
    NotLeader,
    /// Refused with this HTTP status.
    #[error("status {0}")]
    Status(u16),
}

impl Controller {
    /// Sends one call to the cloud, within its rate limit; the caller retries.
    pub(super) async fn cloud_call(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
    ) -> Result<(u16, Vec<u8>), CloudError> {
        self.cloud_calls.acquire(1.0).await;
        // the lease may have expired during the wait or a stall: a deletion decided before that
        // would hit what the next leader has placed
        if method == "POST" && !self.may_act(Instant::now()) {
            return Err(CloudError::NotLeader);
        }
        Ok(self.cloud_client.send(self.config.services.cloud, method, target, body, CALL_LIMIT).await?)
    }

    /// Reads a resource of the cloud.
    pub(super) async fn cloud_get<T: DeserializeOwned>(&self, target: &str) -> Result<T, CloudError> {
        match self.cloud_call("GET", target, None).await? {
            (200, body) => Ok(http::decode(&body)?),
            (status, _) => Err(CloudError::Status(status)),
        }
    }
}
