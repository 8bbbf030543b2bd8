//! Messages between the processes of a scale run, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use coralnotch_wire::http::{self, Client};
use coralnotch_wire::model::{JobSpec, Name};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::environment::Traffic;
use crate::error::Error;

/// Limit of one message.
const MESSAGE_LIMIT: Duration = Duration::from_secs(10);

/// Paths of the control interface.
pub mod path {
    /// Figures of a process since it started.
    pub const STATS: &str = "/stats";
    /// Job descriptions for the workers.
    pub const UPLOAD: &str = "/upload";
    /// Machine events, which the cloud sends to the workers.
    pub const MACHINES: &str = "/machines";
    /// Machines that the cloud lets die.
    pub const KILL: &str = "/kill";
    /// A zone that fails, or is back.
    pub const ZONE: &str = "/zone";
}

/// Job descriptions, as users upload them for the workers.
#[derive(Debug, Serialize, Deserialize)]
pub struct Upload {
    /// The jobs.
    pub specs: Vec<JobSpec>,
    /// The start of all their tasks is timed.
    pub timed: bool,
}

/// A machine that is up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineUp {
    /// Its name.
    pub name: Name,
    /// Name of its type.
    pub kind: Name,
    /// Its zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// What happened to machines, in order: those that went are gone before others come up.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct MachineEvents {
    /// Gone with all that was on them.
    pub gone: Vec<Name>,
    /// Up.
    pub up: Vec<MachineUp>,
}

/// Machines that die.
#[derive(Debug, Serialize, Deserialize)]
pub struct Kill {
    /// How many, at random.
    pub count: usize,
}

/// A zone that fails with all its machines, or is back.
#[derive(Debug, Serialize, Deserialize)]
pub struct ZoneChange {
    /// The zone.
    pub zone: Name,
    /// Whether it is closed from now on.
    pub closed: bool,
}

/// An answer without content.
#[derive(Debug, Serialize, Deserialize)]
pub struct Done {
    /// Machines that this came to.
    pub machines: usize,
}

/// When all tasks of a timed job had begun, in microseconds of the time of day.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Begun {
    /// The job.
    pub job: Name,
    /// When.
    pub at_us: u64,
}

/// The workers' figures; counters run from the start of their process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WorkerStats {
    /// Machines that are up.
    pub machines: u64,
    /// Tasks that run.
    pub running: u64,
    /// Those of them that are replicas of services.
    pub replicas: u64,
    /// Tasks that began to run.
    pub started: u64,
    /// Tasks that were killed because the lease of their worker expired.
    pub killed: u64,
    /// Violations of the protocol, a line each.
    pub broken: Vec<String>,
    /// Timed jobs that began since these figures were last taken.
    pub begun: Vec<Begun>,
    /// Messages and bytes between workers and controllers.
    pub traffic: Traffic,
}

/// The state service's figures since the start of its process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateStats {
    /// Requests.
    pub requests: u64,
    /// Requests refused for their rate.
    pub refused: u64,
    /// Puts and deletes that were carried out.
    pub changes: u64,
    /// Keys that there are.
    pub keys: u64,
}

/// The cloud's figures.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CloudStats {
    /// Machines that are rented.
    pub rented: u64,
}

/// Why a message had no usable answer.
#[derive(Debug, thiserror::Error)]
#[error("{path} at {address}: {problem}")]
pub struct ControlError {
    /// Path of the message.
    pub path: &'static str,
    /// Address of the process.
    pub address: SocketAddr,
    /// What went wrong.
    #[source]
    pub problem: ControlProblem,
}

/// What went wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum ControlProblem {
    /// The answer's status was not 200.
    #[error("status {0}")]
    Status(u16),
    /// There was no answer, or one that cannot be read.
    #[error("{0}")]
    Http(#[from] http::Error),
}

impl From<ControlError> for Error {
    fn from(error: ControlError) -> Error {
        Error::Failed(error.to_string())
    }
}

/// Sends a message and returns its answer.
pub async fn send<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &'static str,
    message: &Q,
) -> Result<A, ControlError> {
    exchange(client, address, "POST", path, Some(&http::encode(message))).await
}

/// Gets the figures of a process.
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
    let answer = match client.send(address, method, path, body, MESSAGE_LIMIT).await {
        Ok((200, body)) => http::decode(&body).map_err(ControlProblem::Http),
        Ok((status, _)) => Err(ControlProblem::Status(status)),
        Err(error) => Err(ControlProblem::Http(error)),
    };
    answer.map_err(|problem| ControlError { path, address, problem })
}
