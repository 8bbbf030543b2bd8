//! Simulated users of a load run.  Each user submits one job and waits for its final answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coralnotch_client::{Client, FinalAnswer};
use coralnotch_wire::http::{self, Client as HttpClient};
use coralnotch_wire::model::{JobSpec, JobState};

use super::observations::Observations;

/// Time limit of one request that is sent without the client library.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);
/// Delay before a failed submission is retried, and before each query.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Submits a job without the client library and polls it until it is done or cancelled.  Records the
/// acceptance and the final answer, with latencies measured from `due`.
pub(super) async fn run_with_requests(
    balancer: SocketAddr,
    client: &HttpClient,
    spec: JobSpec,
    due: Instant,
    observations: &Observations,
) {
    let body = http::encode(&spec);
    loop {
        match client.send(balancer, "POST", "/v2/runs", Some(&body), REQUEST_LIMIT).await {
            Ok((200 | 201, _)) => break,
            Ok((400 | 422, _)) => return observations.record_answer(spec.id, "refused", due),
            _ => smol::Timer::after(REQUEST_INTERVAL).await,
        };
    }
    observations.record_acceptance(due);
    let path = format!("/v2/runs/{}", spec.id);
    loop {
        smol::Timer::after(REQUEST_INTERVAL).await;
        let response = client.send(balancer, "GET", &path, None, REQUEST_LIMIT).await;
        let Ok((200, body)) = response else { continue };
        let stage = http::decode::<JobState>(&body).map(|state| state.stage);
        if let Ok(answer @ ("done" | "cancelled")) = stage.as_deref() {
            return observations.record_answer(spec.id, answer, due);
        }
    }
}

/// Submits a job with the client library and waits for its final answer.  Records the acceptance and
/// the answer, with latencies measured from `due`.
pub(super) async fn run_with_library(client: &Client, spec: JobSpec, due: Instant, observations: &Observations) {
    let (id, mut changes) = (spec.id.clone(), client.changes());
    let Ok(handle) = client.submit(spec).await else { return };
    // the first change that the client reports for a job is its acceptance
    loop {
        match changes.recv().await {
            Ok(change) if change.id == id => break,
            Err(async_broadcast::RecvError::Closed) => break,
            _ => {}
        }
    }
    drop(changes);
    observations.record_acceptance(due);
    match handle.acknowledge().await {
        Ok(FinalAnswer::Done) => observations.record_answer(id, "done", due),
        Ok(FinalAnswer::Cancelled) => observations.record_answer(id, "cancelled", due),
        Ok(FinalAnswer::Refused { .. }) => observations.record_answer(id, "refused", due),
        Err(_) => {}
    }
}
