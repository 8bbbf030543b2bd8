//! The settings file of the platform.  A controller validates it before it starts.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

/// An error in a settings file, or in reading it.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {key}:{}{reason}", if .reason.starts_with('\n') { "" } else { " " })]
pub struct Error {
    /// Path of the settings file.
    pub file: String,
    /// The invalid key with its tables, as in `deployment.size`; the failed step if the error
    /// belongs to no single key.
    pub key: String,
    /// Why the value of the key is rejected, and which values are allowed.  A reason of several lines
    /// starts with a line break, so that a caret in it points at the right column.
    pub reason: String,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller, unique in the deployment.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone in which the controller runs.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which the controller listens for the other controllers.
    pub addr: SocketAddr,
}

/// Addresses of the services that a controller uses.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// A team with its guarantee and its limit.  An amount of 0 means that the team has no guarantee or
/// no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team, as jobs give it.
    pub name: String,
    /// Guaranteed number of processor cores.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of processor cores in use at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of accelerators in use at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective, for one class of jobs or for the whole deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured: `wait`, `finished`, `up`, `guarantee`, `submit`, `price` and others.  Only
    /// `wait` influences scheduling.
    pub kind: String,
    /// Class of jobs to which the objective applies; `None` if it applies to no class in particular.
    pub class: Option<String>,
    /// Time limit of the objective in seconds; `None` if the objective has no time limit.
    pub within_s: Option<f64>,
    /// Share, from 0 to 1, of the cases that should meet the objective; `None` if it is not given.
    pub share: Option<f64>,
}

/// Timing of the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between the heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds.  A worker kills its tasks if it receives no reply
    /// for this long.
    pub lease_s: f64,
    /// How long a task of a gang waits for the other tasks of the gang, in seconds.
    pub gang_wait_s: f64,
    /// Time in seconds within which a gang notices the loss of a task, and within which all of its
    /// tasks must be stopped.
    pub gang_peer_s: f64,
    /// Time in seconds after which no task of a cancelled job may run any more.
    pub cancel_s: f64,
}

/// Request limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct State {
    /// Maximum requests per second, for all controllers together.
    pub rps: f64,
    /// Maximum puts and deletes per second, for all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that replace these at some later time, without notice; `None` if they never change.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Future limits of the state service.  A limit that is `None` does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextState {
    /// Maximum requests per second, for all controllers together.
    pub rps: Option<f64>,
    /// Maximum puts and deletes per second, for all controllers together.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: Option<usize>,
}

impl State {
    /// Returns the stricter of the current and the future value of each limit.
    ///
    /// A controller always stays within these limits, as the limits change without notice.
    pub fn strictest_limits(&self) -> State {
        let next = self.next.clone().unwrap_or_default();
        State {
            rps: self.rps.min(next.rps.unwrap_or(self.rps)),
            write_rps: self.write_rps.min(next.write_rps.unwrap_or(self.write_rps)),
            value_kb: self.value_kb.min(next.value_kb.unwrap_or(self.value_kb)),
            txn_ops: self.txn_ops.min(next.txn_ops.unwrap_or(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the cloud API.
#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    /// Maximum requests per second, for all controllers together.
    pub rps: f64,
    /// Maximum age of a machine list in normal operation, in seconds.
    pub list_lag_s: f64,
}

/// Resources of the machine that a controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Quota {
    /// Processor time, in cores; may be a fraction of a core.
    pub cores: f64,
    /// Memory, in MB.
    pub ram_mb: f64,
    /// Maximum number of open file descriptors; sockets count among them.
    pub fd_limit: usize,
}

/// Settings that all controllers of a deployment share.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers, this one included.
    pub size: usize,
    /// Names of the zones in which machines can be rented.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service level objectives of the deployment.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: Workers,
    /// Request limits of the state service.
    pub state: State,
    /// Limits of the cloud API.
    pub cloud: Cloud,
    /// Resources that each controller may use.
    pub quota: Quota,
}

/// The contents of a settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Name of this controller, unique in the deployment.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Zone in which this controller runs.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which this controller listens for users, workers and health checks.
    pub bind: SocketAddr,
    /// Address on which this controller listens for the other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers of the deployment.
    #[serde(default)]
    #[serde(rename = "siblings")]
    pub peers: Vec<Peer>,
    /// Addresses of the services that this controller uses.
    pub services: Services,
    /// Settings that all controllers of the deployment share.
    pub deployment: Deployment,
}

impl Config {
    /// Reads a settings file and validates it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not valid TOML, lacks a key, or has a value that
    /// is not allowed.
    pub fn load(path: &Path) -> Result<Config, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| Error {
            file: file.clone(),
            key: "cannot read the settings file".into(),
            reason: error.to_string(),
        })?;
        Self::parse(&file, &text)
    }

    /// Parses the text of a settings file and validates it.  Errors refer to the file as `file`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid TOML, lacks a key, or has a value that is not allowed.
    pub fn parse(file: &str, text: &str) -> Result<Config, Error> {
        let config: Config = toml::from_str(text).map_err(|error| Error {
            file: file.into(),
            key: "invalid settings file".into(),
            reason: format!("\n{}", error.to_string().trim()),
        })?;
        config.check().map_err(|(key, reason)| Error { file: file.into(), key, reason })?;
        Ok(config)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let err = |key: &str, reason: &str| Err((key.to_string(), reason.to_string()));
        let deployment = &self.deployment;
        if self.name.is_empty() {
            return err("host_name", "the value is empty; it must be the name of this controller");
        }
        if deployment.size == 0 {
            return err("deployment.size", "the value is 0; the number of controllers must be at least 1");
        }
        for peer in &self.peers {
            if peer.name == self.name {
                return err(
                    "siblings.host_name",
                    "a sibling has the host_name of this controller; list only the other controllers",
                );
            }
        }
        let (workers, limits) = (&deployment.workers, deployment.state.strictest_limits());
        for (key, value) in [
            ("deployment.workers.report_s", workers.report_s),
            ("deployment.workers.lease_s", workers.lease_s),
            ("deployment.workers.gang_wait_s", workers.gang_wait_s),
            ("deployment.workers.gang_peer_s", workers.gang_peer_s),
            ("deployment.workers.cancel_s", workers.cancel_s),
            ("deployment.state.rps", limits.rps),
            ("deployment.state.write_rps", limits.write_rps),
            ("deployment.state.value_kb", limits.value_kb),
            ("deployment.cloud.rps", deployment.cloud.rps),
            ("deployment.quota.cores", deployment.quota.cores),
            ("deployment.quota.ram_mb", deployment.quota.ram_mb),
        ] {
            if !(value.is_finite() && value > 0.0) {
                return err(key, "the value is not a finite number above 0");
            }
        }
        if !(deployment.cloud.list_lag_s.is_finite() && deployment.cloud.list_lag_s >= 0.0) {
            return err("deployment.cloud.list_lag_s", "the value is not a finite number of 0 or more");
        }
        if workers.lease_s < 2.0 * workers.report_s {
            return err(
                "deployment.workers.lease_s",
                "the value is too low; it must be at least twice deployment.workers.report_s",
            );
        }
        if limits.txn_ops < 4 {
            return err(
                "deployment.state.txn_ops",
                "the value, here or in deployment.state.next, is too low; it must be at least 4",
            );
        }
        for team in &deployment.teams {
            for amount in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !(amount.is_finite() && amount >= 0.0) {
                    return err(
                        "deployment.teams",
                        &format!("team {}: the amount {amount} is not a finite number of 0 or more", team.name),
                    );
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
