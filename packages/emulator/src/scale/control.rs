//! Control messages between the processes of a scale run, sent over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use coralnotch_wire::http::{self, Client};
use coralnotch_wire::model::{JobSpec, Name};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::environment::Traffic;
use crate::error::Error;

/// Timeout of one control request.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP paths of the control interfaces.
pub mod path {
    /// `GET`: the counters of the state service, the cloud or the workers.
    pub const STATS: &str = "/stats";
    /// `POST` to the workers: job descriptions from the users.
    pub const UPLOAD: &str = "/upload";
    /// `POST` to the workers: machine events from the cloud.
    pub const MACHINES: &str = "/machines";
    /// `POST` to the cloud: machines to kill.
    pub const KILL: &str = "/kill";
    /// `POST` to the cloud: a zone to close or to open again.
    pub const ZONE: &str = "/zone";
}

/// Job descriptions that users upload, from which the workers know what to run.
#[derive(Debug, Serialize, Deserialize)]
pub struct Upload {
    /// Descriptions of the jobs.
    pub specs: Vec<JobSpec>,
    /// Whether the workers report when all tasks of each job have started.
    pub timed: bool,
}

/// A machine that has booted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineUp {
    /// Name that the cloud gave the machine.
    pub name: Name,
    /// Name of the machine type.
    pub kind: Name,
    /// Zone in which the machine runs.
    pub zone: Name,
    /// Whether the machine is a spot instance.
    pub spot: bool,
}

/// Machine events.  The receiver removes the machines that are gone before it adds those that are up.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct MachineEvents {
    /// Machines that no longer exist; everything on them is lost.
    pub gone: Vec<Name>,
    /// Machines that have booted.
    pub up: Vec<MachineUp>,
}

/// A request to kill machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct Kill {
    /// Number of machines to kill; the cloud chooses them at random.
    pub count: usize,
}

/// A request to fail a zone with all its machines, or to restore the zone.
#[derive(Debug, Serialize, Deserialize)]
pub struct ZoneChange {
    /// Name of the zone.
    pub zone: Name,
    /// `true` closes the zone and kills its machines; `false` opens the zone again.
    pub closed: bool,
}

/// The response to a control request that changes something.
#[derive(Debug, Serialize, Deserialize)]
pub struct AffectedMachines {
    /// Number of machines that came up or were killed; 0 for uploads.
    pub machines: usize,
}

/// The time at which all tasks of a timed job had started.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobStart {
    /// Id of the job.
    pub job: Name,
    /// Wall-clock time in microseconds since the Unix epoch.
    pub at_us: u64,
}

/// Counters of the workers' process, counted since its start unless stated otherwise.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WorkerStats {
    /// Machines that are up now.
    pub machines: u64,
    /// Tasks that run now.
    pub running: u64,
    /// Running tasks that are replicas of services.
    pub replicas: u64,
    /// Tasks that have started.
    pub started: u64,
    /// Tasks that were killed because the lease of their worker expired.
    pub killed: u64,
    /// Observed violations of the worker protocol, one line for each.
    pub broken: Vec<String>,
    /// Starts of timed jobs since the previous request for these counters.
    pub begun: Vec<JobStart>,
    /// Messages and bytes exchanged between workers and controllers.
    pub traffic: Traffic,
}

/// Counters of the state service since the start of its process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateStats {
    /// Requests received.
    pub requests: u64,
    /// Requests refused because they exceeded the rate limit.
    pub refused: u64,
    /// Puts and deletes applied.
    pub changes: u64,
    /// Keys stored now.
    pub keys: u64,
}

/// Counters of the cloud.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CloudStats {
    /// Machines that are rented now.
    pub rented: u64,
}

/// A control request that received no usable response.
#[derive(Debug, thiserror::Error)]
#[error("control request {path} to {address} failed: {problem}")]
pub struct ControlError {
    /// Path of the request.
    pub path: &'static str,
    /// Address of the control interface.
    pub address: SocketAddr,
    /// Cause of the failure.
    #[source]
    pub problem: ControlProblem,
}

/// Why a control request failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlProblem {
    /// The response status was not 200.
    #[error("unexpected status {0}")]
    Status(u16),
    /// No response was received, or its body could not be decoded.
    #[error("{0}")]
    Http(#[from] http::Error),
}

impl From<ControlError> for Error {
    fn from(error: ControlError) -> Error {
        Error::Failed(error.to_string())
    }
}

/// Sends a control message and returns the decoded response.
///
/// # Errors
///
/// Fails if no response arrives in time, its status is not 200, or its body cannot be decoded.
pub async fn send<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &'static str,
    message: &Q,
) -> Result<A, ControlError> {
    exchange(client, address, "POST", path, Some(&http::encode(message))).await
}

/// Fetches the counters of a process.
///
/// # Errors
///
/// Fails under the same conditions as [`send`].
pub async fn stats<A: DeserializeOwned>(client: &Client, address: SocketAddr) -> Result<A, ControlError> {
    exchange(client, address, "GET", path::STATS, None).await
}

async fn exchange<A: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    method: &str,
    path: &'static str,
    body: Option<&[u8]>,
) -> Result<A, ControlError> {
    let answer = match client.send(address, method, path, body, MESSAGE_TIMEOUT).await {
        Ok((200, body)) => http::decode(&body).map_err(ControlProblem::Http),
        Ok((status, _)) => Err(ControlProblem::Status(status)),
        Err(error) => Err(ControlProblem::Http(error)),
    };
    answer.map_err(|problem| ControlError { path, address, problem })
}
