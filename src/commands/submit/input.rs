//! Reading and parsing of the jobs to submit.

use std::collections::HashSet;
use std::io;

use coralnotch_client::generate_job_id;
use serde_json::Value;

use super::dependencies;
use super::error::{InputFault, InputFaults, JobFault, SubmitError};
use crate::model::JobSpec;

/// Returns the text of a file, or of standard input for `-`.
pub(super) fn read(file: &str) -> Result<String, SubmitError> {
    let text = match file {
        "-" => io::read_to_string(io::stdin()),
        path => std::fs::read_to_string(path),
    };
    text.map_err(|source| SubmitError::ReadInput { file: file.to_owned(), source })
}

/// Parses the jobs of a text, which has either a single job or one job per line.
///
/// # Errors
///
/// Returns all errors of the jobs and of the dependencies between them.
pub(super) fn parse_jobs(file: &str, text: &str) -> Result<Vec<JobSpec>, InputFaults> {
    let (specs, mut faults) = match has_job_per_line(text) {
        true => parse_lines(text),
        false => match parse_job(text) {
            Ok(spec) => (vec![spec], Vec::new()),
            Err(fault) => (Vec::new(), vec![InputFault::Job(fault)]),
        },
    };
    faults.extend(dependencies::check(&specs));
    match faults.is_empty() {
        true => Ok(specs),
        false => Err(InputFaults { file: file.to_owned(), faults }),
    }
}

/// Reports whether each line is a job of its own, as opposed to a single job spread over several lines.
fn has_job_per_line(text: &str) -> bool {
    let mut lines = text.lines().filter(|line| !line.trim().is_empty());
    let (Some(first), Some(_)) = (lines.next(), lines.next()) else { return false };
    serde_json::from_str::<Value>(first).is_ok()
}

fn parse_lines(text: &str) -> (Vec<JobSpec>, Vec<InputFault>) {
    let (mut specs, mut faults, mut ids) = (Vec::new(), Vec::new(), HashSet::new());
    for (index, text) in text.lines().enumerate().filter(|(_, text)| !text.trim().is_empty()) {
        let line = index + 1;
        match parse_job(text) {
            Ok(spec) if !ids.insert(spec.id.clone()) => faults.push(InputFault::DuplicateId { line, id: spec.id }),
            Ok(spec) => specs.push(spec),
            Err(fault) => faults.push(InputFault::Line { line, fault }),
        }
    }
    (specs, faults)
}

/// Parses a job from JSON.  A job without an id gets a generated one.
fn parse_job(text: &str) -> Result<JobSpec, JobFault> {
    let mut value: Value = serde_json::from_str(text)?;
    if let Some(fields) = value.as_object_mut() {
        if fields.get("nameId").is_none_or(Value::is_null) {
            fields.insert("nameId".into(), generate_job_id()?.as_ref().into());
        }
    }
    let spec: JobSpec = serde_json::from_value(value)?;
    match spec.validation_error() {
        Some(reason) => Err(JobFault::Value(reason)),
        None => Ok(spec),
    }
}
