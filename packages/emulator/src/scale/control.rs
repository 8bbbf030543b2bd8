//! What the processes of a scale run say to each other: typed messages over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use coralnotch_wire::http::{self, Client};
use coralnotch_wire::model::{JobSpec, Name};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::environment::Traffic;

/// How long one message may take.
const LIMIT: Duration = Duration::from_secs(10);

/// Paths of the control interface.
pub mod path {
    /// Figures of a process since it started.
    pub const STATS: &str = "/stats";
    /// Job descriptions for the workers.
    pub const UPLOAD: &str = "/upload";
    /// Machines that came up or went, told by the cloud to the workers.
    pub const MACHINES: &str = "/machines";
    /// Machines that the cloud is to let die.
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
    /// Spot or ordinary.
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
    /// ... of services.
    pub replicas: u64,
    /// Tasks that began to run.
    pub started: u64,
    /// Tasks killed by the lease of their worker.
    pub killed: u64,
    /// Rules that were seen broken.
    pub broken: Vec<String>,
    /// Timed jobs that began since this was last asked for.
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

/// One message; an error says what went wrong in words.
pub async fn send<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    to: SocketAddr,
    path: &str,
    message: &Q,
) -> Result<A, String> {
    exchange(client, to, "POST", path, Some(&http::encode(message))).await
}

/// Asks for the figures of a process.
pub async fn stats<A: DeserializeOwned>(client: &Client, of: SocketAddr) -> Result<A, String> {
    exchange(client, of, "GET", path::STATS, None).await
}

async fn exchange<A: DeserializeOwned>(
    client: &Client,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&[u8]>,
) -> Result<A, String> {
    match client.send(to, method, path, body, LIMIT).await {
        Ok((200, body)) => http::decode(&body).map_err(|e| format!("{path} at {to}: {e}")),
        Ok((status, _)) => Err(format!("{path} at {to}: status {status}")),
        Err(e) => Err(format!("{path} at {to}: {e}")),
    }
}
