//! HTTP calls to the cloud API.

use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;

use crate::controller::Controller;
use crate::http;

/// Timeout of a call to the cloud.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a call to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloudError {
    /// The call got no response, or one that cannot be decoded.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The call was not sent, because this controller is no longer the leader.
    #[error("call to the cloud not sent: this controller is no longer the leader")]
    NotLeader,
    /// The cloud refused the call with this HTTP status.
    #[error("cloud refused the call with HTTP status {0}")]
    Status(u16),
}

impl Controller {
    /// Sends one call to the cloud, within the rate limit, and returns the HTTP status and body.
    /// It is not retried here.
    ///
    /// # Errors
    ///
    /// Returns [`CloudError::NotLeader`] for a `POST` from a controller that does not lead, and
    /// [`CloudError::Http`] if there is no response.
    pub(super) async fn cloud_call(
        &self,
        method: &str,
        target: &str,
        body: Option<&[u8]>,
    ) -> Result<(u16, Vec<u8>), CloudError> {
        self.cloud_rate_limiter.acquire(1.0).await;
        // The lease may have expired while this call waited or the process was stalled.  A deletion
        // that was decided before then could remove machines on which the next leader has placed
        // tasks.
        if method == "POST" && !self.may_act(Instant::now()) {
            return Err(CloudError::NotLeader);
        }
        Ok(self.cloud_client.send(self.config.services.cloud, method, target, body, CALL_TIMEOUT).await?)
    }

    /// Fetches and decodes a resource of the cloud API.
    ///
    /// # Errors
    ///
    /// Fails if there is no response, if the status is not 200, or if the body cannot be decoded.
    pub(super) async fn cloud_get<T: DeserializeOwned>(&self, target: &str) -> Result<T, CloudError> {
        match self.cloud_call("GET", target, None).await? {
            (200, body) => Ok(http::decode(&body)?),
            (status, _) => Err(CloudError::Status(status)),
        }
    }
}
