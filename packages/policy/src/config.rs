//! The platform's settings file, checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

/// A settings file that can't be used: which file, which key, and why.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {key}: {why}")]
pub struct Error {
    /// The file.
    pub file: String,
    /// The key at fault.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Where it listens for the other controllers.
    pub addr: SocketAddr,
}

/// The services around a controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// A team with its guarantee and its limit; 0 stands for none of either.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed processor cores.
    #[serde(default)]
    pub cpus: f64,
    /// Most processor cores at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What is expected for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `wait`, `finished`, `up`, `guarantee`, `submit`, `price` …
    pub kind: String,
    /// The class it is for.
    pub class: Option<String>,
    /// The time it speaks of.
    pub within_s: Option<f64>,
    /// The share that should keep it.
    pub share: Option<f64>,
}

/// How workers behave.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval of reports.
    pub report_s: f64,
    /// Without an answer for so long, a worker kills its tasks.
    pub lease_s: f64,
    /// How long a gang task waits for the others.
    pub gang_wait_s: f64,
    /// How quickly a gang notices a loss, and how close its stops must be.
    pub gang_peer_s: f64,
    /// A cancelled job must be gone after so long.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct State {
    /// Requests a second, all controllers together.
    pub rps: f64,
    /// Puts and deletes a second, all controllers together.
    pub write_rps: f64,
    /// KiB a value.
    pub value_kb: f64,
    /// Puts and deletes a transaction.
    pub txn_ops: usize,
    /// The limits that come later and without notice, as far as they differ.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Limits that the state service will have from some moment on.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextState {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    pub write_rps: Option<f64>,
    /// KiB a value.
    pub value_kb: Option<f64>,
    /// Puts and deletes a transaction.
    pub txn_ops: Option<usize>,
}

impl State {
    /// What is within the limits now and later: nobody says when they change.
    pub fn least(&self) -> State {
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

/// Limits of the cloud's interface.
#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    /// Requests a second, all controllers together.
    pub rps: f64,
    /// How old a list can ordinarily be.
    pub list_lag_s: f64,
}

/// What the machine gives a controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Quota {
    /// Share of a core.
    pub cores: f64,
    /// Memory.
    pub ram_mb: f64,
    /// Sockets.
    pub fd_limit: usize,
}

/// What all controllers of a deployment share.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    pub size: usize,
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// State service.
    pub state: State,
    /// Cloud.
    pub cloud: Cloud,
    /// Machine.
    pub quota: Quota,
}

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// This controller's name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// This controller's zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Where users, workers and health checks come.
    pub bind: SocketAddr,
    /// Where the other controllers come.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    #[serde(rename = "siblings")]
    pub peers: Vec<Peer>,
    /// The services.
    pub services: Services,
    /// The deployment.
    pub deployment: Deployment,
}

impl Config {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Config, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Error {
            file: file.clone(),
            key: "(file)".into(),
            why: e.to_string(),
        })?;
        Self::parse(&file, &text)
    }

    /// Checks the text of a file.
    pub fn parse(file: &str, text: &str) -> Result<Config, Error> {
        let config: Config = toml::from_str(text).map_err(|e| Error {
            file: file.into(),
            key: "(contents)".into(),
            why: e.to_string().trim().replace('\n', " | "),
        })?;
        config.check().map_err(|(key, why)| Error { file: file.into(), key, why })?;
        Ok(config)
    }

    fn check(&self) -> Result<(), (String, String)> {
        let err = |key: &str, why: &str| Err((key.to_string(), why.to_string()));
        let d = &self.deployment;
        if self.name.is_empty() {
            return err("host_name", "must not be empty");
        }
        if d.size == 0 {
            return err("deployment.size", "must be at least 1");
        }
        for s in &self.peers {
            if s.name == self.name {
                return err("siblings.host_name", "a sibling has this controller's own name");
            }
        }
        let (w, least) = (&d.workers, d.state.least());
        for (key, v) in [
            ("deployment.workers.report_s", w.report_s),
            ("deployment.workers.lease_s", w.lease_s),
            ("deployment.workers.gang_wait_s", w.gang_wait_s),
            ("deployment.workers.gang_peer_s", w.gang_peer_s),
            ("deployment.workers.cancel_s", w.cancel_s),
            ("deployment.state.rps", least.rps),
            ("deployment.state.write_rps", least.write_rps),
            ("deployment.state.value_kb", least.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.quota.cores", d.quota.cores),
            ("deployment.quota.ram_mb", d.quota.ram_mb),
        ] {
            if !(v.is_finite() && v > 0.0) {
                return err(key, "must be a number above 0");
            }
        }
        if !(d.cloud.list_lag_s.is_finite() && d.cloud.list_lag_s >= 0.0) {
            return err("deployment.cloud.list_lag_s", "must be 0 or more");
        }
        if w.lease_s < 2.0 * w.report_s {
            return err("deployment.workers.lease_s", "must be at least twice report_s");
        }
        if least.txn_ops < 4 {
            return err("deployment.state.txn_ops", "must be at least 4");
        }
        for t in &d.teams {
            for v in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
                if !(v.is_finite() && v >= 0.0) {
                    return err("deployment.teams", &format!("{}: amounts must be 0 or more", t.name));
                }
            }
        }
        Ok(())
    }
}
