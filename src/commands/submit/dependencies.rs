//! Validation of the dependencies between jobs before any job is submitted.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::error::{InputFault, InputFaults, SubmitError};
use super::SubmitOptions;
use crate::commands::client::{ControllerClient, Error as RequestError};
use crate::model::{JobSpec, Name, Shape};

/// A retry timeout without practical limit, small enough that adding it to a time cannot overflow.
const UNLIMITED_RETRY_TIMEOUT: Duration = Duration::from_secs(u64::MAX / 4);

/// Returns the invalid dependencies between the jobs of an input.
///
/// A job cannot depend on a service, which never completes, or be in a cycle, whose jobs never start.
pub(super) fn check(specs: &[JobSpec]) -> Vec<InputFault> {
    let by_id: HashMap<&Name, &JobSpec> = specs.iter().map(|spec| (&spec.id, spec)).collect();
    let mut faults = Vec::new();
    for spec in specs {
        let dependencies = spec.dependencies.iter().filter_map(|id| by_id.get(id));
        let services = dependencies.filter(|dependency| dependency.shape == Shape::Service);
        faults.extend(
            services
                .map(|service| InputFault::DependsOnService { id: spec.id.clone(), dependency: service.id.clone() }),
        );
    }
    let blocked = blocked_by_cycles(specs, &by_id);
    let in_order = specs.iter().filter(|spec| blocked.contains(&spec.id));
    faults.extend(in_order.map(|spec| InputFault::Cycle { id: spec.id.clone() }));
    faults
}

/// Returns the ids of the jobs that a topological sort of the input does not reach.
fn blocked_by_cycles<'a>(specs: &'a [JobSpec], by_id: &HashMap<&Name, &JobSpec>) -> HashSet<&'a Name> {
    let count_in_input = |spec: &JobSpec| spec.dependencies.iter().filter(|id| by_id.contains_key(*id)).count();
    let mut unmet: HashMap<&Name, usize> = specs.iter().map(|spec| (&spec.id, count_in_input(spec))).collect();
    let mut dependents: HashMap<&Name, Vec<&Name>> = HashMap::new();
    for spec in specs {
        for dependency in &spec.dependencies {
            dependents.entry(dependency).or_default().push(&spec.id);
        }
    }
    let mut ready: Vec<&Name> = unmet.iter().filter(|(_, count)| **count == 0).map(|(id, _)| *id).collect();
    while let Some(id) = ready.pop() {
        unmet.remove(id);
        for dependent in dependents.get(id).into_iter().flatten() {
            let Some(count) = unmet.get_mut(dependent) else { continue };
            *count -= 1;
            if *count == 0 {
                ready.push(dependent);
            }
        }
    }
    unmet.into_keys().collect()
}

/// Checks that the first controller of the options knows each dependency that is not in the input.
pub(super) async fn check_unknown(file: &str, specs: &[JobSpec], options: &SubmitOptions) -> Result<(), SubmitError> {
    let Some(node) = options.nodes.first() else { return Ok(()) };
    let retry_timeout = match options.patience {
        0 => UNLIMITED_RETRY_TIMEOUT,
        seconds => Duration::from_secs(seconds),
    };
    let controller = ControllerClient::new(*node, retry_timeout);
    let input_ids: HashSet<&Name> = specs.iter().map(|spec| &spec.id).collect();
    let mut is_known: HashMap<&Name, bool> = HashMap::new();
    let mut faults = Vec::new();
    for spec in specs {
        for dependency in spec.dependencies.iter().filter(|id| !input_ids.contains(id)) {
            let known = match is_known.get(dependency) {
                Some(known) => *known,
                None => exists(&controller, dependency).await?,
            };
            is_known.insert(dependency, known);
            if !known {
                faults.push(InputFault::UnknownDependency { id: spec.id.clone(), dependency: dependency.clone() });
            }
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(InputFaults { file: file.to_owned(), faults }.into()),
    }
}

/// Reports whether a controller knows a job.
async fn exists(controller: &ControllerClient, id: &Name) -> Result<bool, RequestError> {
    match controller.job(id).await {
        Ok(_) => Ok(true),
        Err(RequestError::Refused { status: 404, .. }) => Ok(false),
        Err(error) => Err(error),
    }
}
