//! Reading a fault plan.

use std::time::Duration;

use serde::Deserialize;
use toml::Value;

use super::{Fault, FaultProblem, InvalidFault, PlanError, Planned};

/// The latest that a fault may come, and the longest that it may last.
pub(super) const LATEST_S: f64 = 24.0 * 3600.0;

#[derive(Deserialize)]
struct PlanFile {
    #[serde(default, rename = "fault")]
    faults: Vec<toml::Table>,
}

/// Reads a fault plan from a file's text, see [`plan`].
pub fn parse(text: &str, nodes: usize) -> Result<Vec<Planned>, PlanError> {
    let file: PlanFile = toml::from_str(text).map_err(PlanError::Syntax)?;
    plan(file.faults, nodes)
}

/// Reads a fault plan for so many controllers, in the order of the times.
///
/// # Errors
///
/// [`PlanError::Invalid`] with all that is wrong with the plan.
pub fn plan(faults: Vec<toml::Table>, nodes: usize) -> Result<Vec<Planned>, PlanError> {
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

/// Reads one fault and collects its problems.  A value that cannot be used is replaced by zero, so
/// that the rest is checked too.
struct FaultReader {
    /// The keys that were not read yet.
    table: toml::Table,
    problems: Vec<FaultProblem>,
}

impl FaultReader {
    fn read(&mut self, nodes: usize) -> Option<Planned> {
        let at = self.seconds("at_s");
        let kind = self.table.get("kind").and_then(Value::as_str).unwrap_or_default().to_owned();
        let lasts = if has_duration(&kind) { self.duration() } else { Some(Duration::ZERO) };
        self.table.remove("kind");
        let fault = self.fault(&kind, lasts.unwrap_or_default(), nodes);
        if fault.is_none() {
            self.problems.push(FaultProblem::UnknownKind { kind: kind.clone() });
        }
        if lasts.is_none() {
            self.problems.push(FaultProblem::NoDuration);
        }
        let fault = fault?;
        for key in self.table.keys() {
            self.problems.push(FaultProblem::UnknownKey { key: key.clone(), kind: kind.clone() });
        }
        Some(Planned { at, fault })
    }

    /// The fault of this kind; `None` if there is no such kind.
    fn fault(&mut self, kind: &str, lasts: Duration, nodes: usize) -> Option<Fault> {
        Some(match kind {
            "crash" => Fault::Crash { node: self.node(nodes) },
            "upgrade" => Fault::Upgrade { node: self.node(nodes) },
            "down" => Fault::Down { lasts },
            "refused" => Fault::Refused { node: self.node(nodes), lasts },
            "delay" => Fault::Delay { by: Duration::from_millis(self.whole_number("by_ms", 1, 60_000) as u64), lasts },
            "state-outage" => Fault::StateOutage { lasts },
            "state-limits" => Fault::StateLimits {
                write_rps: self.whole_number("write_rps", 1, 99_999),
                value_kb: self.whole_number("value_kb", 1, 9_999),
                txn_ops: self.whole_number("txn_ops", 4, 9_999),
            },
            "cloud-outage" => Fault::CloudOutage { lasts },
            "kill-machines" => Fault::KillMachines { count: self.machine_count() },
            "spot-wave" => Fault::SpotWave { count: self.machine_count() },
            _ => return None,
        })
    }

    fn node(&mut self, nodes: usize) -> usize {
        self.whole_number("node", 0, nodes as i64 - 1)
    }

    fn machine_count(&mut self) -> usize {
        self.whole_number("count", 1, 9_999)
    }

    fn seconds(&mut self, key: &'static str) -> Duration {
        match self.table.remove(key) {
            Some(Value::Float(s)) if (0.0..=LATEST_S).contains(&s) => Duration::from_secs_f64(s),
            Some(Value::Integer(s)) if (0..=LATEST_S as i64).contains(&s) => Duration::from_secs(s as u64),
            Some(value) => self.reject(FaultProblem::NotSeconds { key, value }),
            None => self.reject(FaultProblem::Missing { key }),
        }
    }

    /// The value of `for_s`, if it is there and can be used.
    fn duration(&mut self) -> Option<Duration> {
        let value = self.table.remove("for_s")?;
        let seconds = value.as_float().or(value.as_integer().map(|whole| whole as f64))?;
        (0.0..=LATEST_S).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
    }

    fn whole_number(&mut self, key: &'static str, min: i64, max: i64) -> usize {
        match self.table.remove(key) {
            Some(Value::Integer(number)) if (min..=max).contains(&number) => number as usize,
            Some(value) => self.reject(FaultProblem::NotWholeNumber { key, value, min, max }),
            None => self.reject(FaultProblem::Missing { key }),
        }
    }

    /// Notes a problem; returns the replacement of the value.
    fn reject<T: Default>(&mut self, problem: FaultProblem) -> T {
        self.problems.push(problem);
        T::default()
    }
}

/// Whether faults of a kind last for a while.
fn has_duration(kind: &str) -> bool {
    kind.ends_with("-outage") || matches!(kind, "down" | "refused" | "delay")
}
