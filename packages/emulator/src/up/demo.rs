//! The demo of `up --demo`: submits one job and follows its state until the job is over.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coralnotch_wire::example;
use coralnotch_wire::http::{self, Client};
use coralnotch_wire::model::{JobSpec, JobState};

use super::print_line;
use crate::error::Error;

/// Time limit of one request.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);
/// Delay before a failed submission is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which the job's state is queried.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the job that `--demo` submits.
pub(super) fn demo_job() -> JobSpec {
    // job ids have the form j-DIGITS; the current time makes the id unique in the state service
    let id = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_millis());
    JobSpec {
        class: "demo".into(),
        team: "demo".into(),
        image: "demo-image".into(),
        image_gb: 0.5,
        estimated_run_time_s: 4.0,
        ..(*example::job_array(&format!("j-{id}"), 12)).clone()
    }
}

/// Submits a job and prints each change of its state until the job is done or cancelled.
pub(super) async fn run_job(balancer: SocketAddr, spec: &JobSpec) -> Result<(), Error> {
    let client = Client::default();
    let began = Instant::now();
    let elapsed = || format!("{:5.1} s", began.elapsed().as_secs_f64());
    submit(&client, balancer, spec).await?;
    print_line(&format!(
        "{}  {} was submitted: {} tasks of {} s each",
        elapsed(),
        spec.id,
        spec.tasks,
        spec.estimated_run_time_s
    ));
    let mut printed = None;
    loop {
        if let Some(state) = query(&client, balancer, spec).await {
            if printed.as_ref() != Some(&state) {
                let JobState { stage, running, done, .. } = &state;
                print_line(&format!("{}  {} is {stage}: {running} running, {done} done", elapsed(), spec.id));
            }
            if state.stage == "done" || state.stage == "cancelled" {
                return Ok(());
            }
            printed = Some(state);
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Submits a job and retries until it is accepted.
///
/// # Errors
///
/// Returns [`Error::Failed`] if the job is rejected as invalid (status 400 or 422): a retry would
/// not change that.
async fn submit(client: &Client, balancer: SocketAddr, spec: &JobSpec) -> Result<(), Error> {
    loop {
        match client.send(balancer, "POST", "/v2/runs", Some(&http::encode(spec)), REQUEST_LIMIT).await {
            Ok((200 | 201, _)) => return Ok(()),
            Ok((status @ (400 | 422), _)) => {
                return Err(Error::Failed(format!("job {} was rejected with HTTP status {status}", spec.id)))
            }
            _ => smol::Timer::after(RETRY_DELAY).await,
        };
    }
}

/// Queries the state of a job; `None` if there is no usable answer.
async fn query(client: &Client, balancer: SocketAddr, spec: &JobSpec) -> Option<JobState> {
    let path = format!("/v2/runs/{}", spec.id);
    match client.send(balancer, "GET", &path, None, REQUEST_LIMIT).await {
        Ok((200, body)) => http::decode(&body).ok(),
        _ => None,
    }
}
