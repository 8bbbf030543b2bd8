//! Faults at given times, from a file that is checked with all its errors at
//! once.
//!
//! ```toml
//! [[fault]]
//! kind = "crash"      # of a controller, which is started again
//! at_s = 3.5
//! node = 0
//! ```

use std::time::Duration;

use serde::Deserialize;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A controller's process is killed and started again.
    Crash {
        /// Its number.
        node: usize,
    },
    /// All controllers are down for a while.
    Down {
        /// How long.
        lasts: Duration,
    },
    /// The state service refuses everything for a while.
    StateOutage {
        /// How long.
        lasts: Duration,
    },
    /// One controller is refused by the state service for a while.
    Refused {
        /// Its number.
        node: usize,
        /// How long.
        lasts: Duration,
    },
    /// The state service's answers take longer for a while.
    Delay {
        /// By how much.
        by: Duration,
        /// How long.
        lasts: Duration,
    },
    /// The cloud refuses everything for a while.
    CloudOutage {
        /// How long.
        lasts: Duration,
    },
    /// The state service's limits are these from then on.  The settings of all
    /// controllers say so from the start, as `state.next`.
    StateLimits {
        /// Puts and deletes a second.
        write_rps: usize,
        /// KiB a value.
        value_kb: usize,
        /// Puts and deletes a transaction.
        txn_ops: usize,
    },
    /// A controller's process is killed and comes back with the new program.
    Upgrade {
        /// Its number.
        node: usize,
    },
    /// So many machines die, with no sign.
    KillMachines {
        /// How many.
        count: usize,
    },
    /// So many spot machines are taken back, with notice.
    SpotWave {
        /// How many.
        count: usize,
    },
}

/// A fault and when, from when the cluster is ready.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

#[derive(Deserialize)]
struct File {
    #[serde(default, rename = "fault")]
    faults: Vec<toml::Table>,
}

/// Reads a plan of faults from a file's text, see [`plan`].
pub fn parse(text: &str, nodes: usize) -> Result<Vec<Planned>, String> {
    let file: File = toml::from_str(text).map_err(|e| e.to_string().trim().to_owned())?;
    plan(file.faults, nodes)
}

/// The latest that a fault may come, and the longest that it may last.
const LATEST_S: f64 = 24.0 * 3600.0;

/// Reads a plan of faults for so many controllers; the error is all that is
/// wrong with it, a line each.
pub fn plan(faults: Vec<toml::Table>, nodes: usize) -> Result<Vec<Planned>, String> {
    let (mut plan, mut wrong) = (Vec::new(), Vec::new());
    for (i, mut t) in faults.into_iter().enumerate() {
        let mut bad = |why: String| wrong.push(format!("fault {}: {why}", i + 1));
        let before = plan.len();
        let mut seconds = |key: &str| match t.remove(key) {
            Some(toml::Value::Float(s)) if (0.0..=LATEST_S).contains(&s) => Duration::from_secs_f64(s),
            Some(toml::Value::Integer(s)) if (0..=LATEST_S as i64).contains(&s) => Duration::from_secs(s as u64),
            Some(v) => {
                bad(format!("{key} = {v} is not a number of seconds from 0 to {LATEST_S}"));
                Duration::ZERO
            }
            None => {
                bad(format!("{key} is missing"));
                Duration::ZERO
            }
        };
        let at = seconds("at_s");
        let kind = t.get("kind").and_then(|k| k.as_str()).unwrap_or_default().to_owned();
        let lasts = if kind.ends_with("-outage") || matches!(kind.as_str(), "down" | "refused" | "delay") {
            match t.remove("for_s") {
                Some(v) => v.as_float().or(v.as_integer().map(|n| n as f64)).filter(|s| (0.0..=LATEST_S).contains(s)),
                None => None,
            }
        } else {
            Some(0.0)
        };
        t.remove("kind");
        let mut whole = |key: &str, least: i64, below: i64| match t.remove(key) {
            Some(toml::Value::Integer(n)) if (least..below).contains(&n) => n as usize,
            Some(v) => {
                wrong.push(format!("fault {}: {key} = {v} is not a whole number from {least} to {}", i + 1, below - 1));
                0
            }
            None => {
                wrong.push(format!("fault {}: {key} is missing", i + 1));
                0
            }
        };
        let length = Duration::from_secs_f64(lasts.unwrap_or(0.0));
        let fault = match kind.as_str() {
            "crash" => Some(Fault::Crash { node: whole("node", 0, nodes as i64) }),
            "down" => Some(Fault::Down { lasts: length }),
            "refused" => Some(Fault::Refused { node: whole("node", 0, nodes as i64), lasts: length }),
            "delay" => {
                Some(Fault::Delay { by: Duration::from_millis(whole("by_ms", 1, 60_001) as u64), lasts: length })
            }
            "state-limits" => Some(Fault::StateLimits {
                write_rps: whole("write_rps", 1, 100_000),
                value_kb: whole("value_kb", 1, 10_000),
                txn_ops: whole("txn_ops", 4, 10_000),
            }),
            "upgrade" => Some(Fault::Upgrade { node: whole("node", 0, nodes as i64) }),
            "state-outage" => Some(Fault::StateOutage { lasts: length }),
            "cloud-outage" => Some(Fault::CloudOutage { lasts: length }),
            "kill-machines" => Some(Fault::KillMachines { count: whole("count", 1, 10_000) }),
            "spot-wave" => Some(Fault::SpotWave { count: whole("count", 1, 10_000) }),
            _ => None,
        };
        match fault {
            Some(fault) => plan.push(Planned { at, fault }),
            None => wrong.push(format!(
                "fault {}: kind {kind:?} is none of crash, down, refused, delay, state-outage, state-limits, upgrade, cloud-outage, kill-machines, spot-wave",
                i + 1
            )),
        }
        if lasts.is_none() {
            wrong.push(format!("fault {}: for_s is missing, or no number of seconds", i + 1));
        }
        if plan.len() > before {
            for key in t.keys() {
                wrong.push(format!("fault {}: {key} means nothing to {kind}", i + 1));
            }
        }
    }
    plan.sort_by_key(|p| p.at);
    match wrong.is_empty() {
        true => Ok(plan),
        false => Err(wrong.join("\n")),
    }
}

#[cfg(test)]
mod tests;
