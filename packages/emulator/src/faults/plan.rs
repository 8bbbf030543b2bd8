//! Parsing and validation of fault plans.

use std::time::Duration;

use serde::Deserialize;
use toml::Value;

use super::{Fault, FaultProblem, InvalidFault, PlanError, PlannedFault};

/// Upper bound of a fault's time and of its duration, in seconds.
pub(super) const MAX_TIME_S: f64 = 24.0 * 3600.0;

/// The content of a fault plan file, before its faults are checked.
#[derive(Deserialize)]
struct PlanFile {
    #[serde(default, rename = "fault")]
    faults: Vec<toml::Table>,
}

/// Parses the text of a fault plan for a cluster with `nodes` controllers; returns the faults sorted
/// by time.
///
/// # Errors
///
/// Returns [`PlanError::Syntax`] if the text is not a TOML file with an array of faults, and
/// [`PlanError::Invalid`] with all problems of the faults.
pub fn parse(text: &str, nodes: usize) -> Result<Vec<PlannedFault>, PlanError> {
    let file: PlanFile = toml::from_str(text).map_err(PlanError::Syntax)?;
    plan(file.faults, nodes)
}

/// Reads the faults of a plan for a cluster with `nodes` controllers; returns them sorted by time.
///
/// # Errors
///
/// Returns [`PlanError::Invalid`] with all problems of the faults.
pub fn plan(faults: Vec<toml::Table>, nodes: usize) -> Result<Vec<PlannedFault>, PlanError> {
    let (mut plan, mut invalid) = (Vec::new(), Vec::new());
    for (index, table) in faults.into_iter().enumerate() {
        let mut reader = FaultReader { table, problems: Vec::new() };
        plan.extend(reader.read(nodes));
        let number = index + 1;
        invalid.extend(reader.problems.into_iter().map(|problem| InvalidFault { number, problem }));
    }
    plan.sort_by_key(|planned| planned.at);
    match invalid.is_empty() {
        true => Ok(plan),
        false => Err(PlanError::Invalid(invalid)),
    }
}

/// Reads one fault and collects its problems.  An invalid value is replaced by zero so that the
/// remaining keys are checked too.
struct FaultReader {
    /// The keys that have not been read yet; each key is removed when it is read.
    table: toml::Table,
    problems: Vec<FaultProblem>,
}

impl FaultReader {
    /// Reads the fault; `None` if its kind is unknown.
    fn read(&mut self, nodes: usize) -> Option<PlannedFault> {
        let at = self.seconds("at_s");
        let kind = self.table.get("kind").and_then(Value::as_str).unwrap_or_default().to_owned();
        let duration = if has_duration(&kind) { self.duration() } else { Some(Duration::ZERO) };
        self.table.remove("kind");
        let fault = self.fault(&kind, duration.unwrap_or_default(), nodes);
        if fault.is_none() {
            self.problems.push(FaultProblem::UnknownKind { kind: kind.clone() });
        }
        if duration.is_none() {
            self.problems.push(FaultProblem::InvalidDuration);
        }
        let fault = fault?;
        for key in self.table.keys() {
            self.problems.push(FaultProblem::UnknownKey { key: key.clone(), kind: kind.clone() });
        }
        Some(PlannedFault { at, fault })
    }

    /// Reads the keys that belong to `kind` and returns the fault; `None` if the kind is unknown.
    fn fault(&mut self, kind: &str, duration: Duration, nodes: usize) -> Option<Fault> {
        Some(match kind {
            "crash" => Fault::Crash { node: self.node(nodes) },
            "upgrade" => Fault::Upgrade { node: self.node(nodes) },
            "down" => Fault::Down { duration },
            "refused" => Fault::Refused { node: self.node(nodes), duration },
            "delay" => {
                Fault::Delay { latency: Duration::from_millis(self.whole_number("by_ms", 1, 60_000) as u64), duration }
            }
            "state-outage" => Fault::StateOutage { duration },
            "state-limits" => Fault::StateLimits {
                write_rps: self.whole_number("write_rps", 1, 99_999),
                value_kb: self.whole_number("value_kb", 1, 9_999),
                txn_ops: self.whole_number("txn_ops", 4, 9_999),
            },
            "cloud-outage" => Fault::CloudOutage { duration },
            "kill-machines" => Fault::KillMachines { count: self.machine_count() },
            "spot-wave" => Fault::SpotWave { count: self.machine_count() },
            _ => return None,
        })
    }

    /// Reads the index of a controller, which must be less than `nodes`.
    fn node(&mut self, nodes: usize) -> usize {
        self.whole_number("node", 0, nodes as i64 - 1)
    }

    fn machine_count(&mut self) -> usize {
        self.whole_number("count", 1, 9_999)
    }

    /// Reads a time in seconds.
    fn seconds(&mut self, key: &'static str) -> Duration {
        match self.table.remove(key) {
            Some(Value::Float(s)) if (0.0..=MAX_TIME_S).contains(&s) => Duration::from_secs_f64(s),
            Some(Value::Integer(s)) if (0..=MAX_TIME_S as i64).contains(&s) => Duration::from_secs(s as u64),
            Some(value) => self.reject(FaultProblem::NotSeconds { key, value }),
            None => self.reject(FaultProblem::Missing { key }),
        }
    }

    /// Reads the duration `for_s`; `None` if the key is missing or its value is invalid.
    fn duration(&mut self) -> Option<Duration> {
        let value = self.table.remove("for_s")?;
        let seconds = value.as_float().or(value.as_integer().map(|whole| whole as f64))?;
        (0.0..=MAX_TIME_S).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
    }

    /// Reads an integer from `min` to `max`.
    fn whole_number(&mut self, key: &'static str, min: i64, max: i64) -> usize {
        match self.table.remove(key) {
            Some(Value::Integer(number)) if (min..=max).contains(&number) => number as usize,
            Some(value) => self.reject(FaultProblem::NotWholeNumber { key, value, min, max }),
            None => self.reject(FaultProblem::Missing { key }),
        }
    }

    /// Records a problem and returns zero as the replacement of the value.
    fn reject<T: Default>(&mut self, problem: FaultProblem) -> T {
        self.problems.push(problem);
        T::default()
    }
}

/// Reports whether faults of a kind have a duration.
fn has_duration(kind: &str) -> bool {
    kind.ends_with("-outage") || matches!(kind, "down" | "refused" | "delay")
}
