//! Validation of submissions: their size, their team's quota, and the jobs that they need.

use coralnotch_core::lookup::{Lookup, LookupResult};
use coralnotch_core::user_request::{unsatisfiable_reason, Validation};

use crate::controller::Controller;
use crate::http;
use crate::job_index::JobStatus;
use crate::model::*;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::read_value;
use crate::users::lookup::job_key;
use crate::users::request::QUERY_TIMEOUT;

const NEEDS_SERVICE: &str = "needs a service, which is never done";
const NO_ANSWER: &str = "the state service does not answer";

/// What is known here of the jobs that a submission needs.
#[derive(Default)]
struct KnownDependencies {
    /// Those that are not known here.
    unknown: Vec<Name>,
    /// One of them is cancelled.
    has_cancelled: bool,
    /// Why the submission can never run.
    fault: Option<&'static str>,
}

/// Upper bound of the bytes that a submission takes in the state service, in the encoding that its
/// limit counts.
fn max_stored_bytes(spec: &JobSpec) -> usize {
    // a quarter for commas and colons, and for numbers as text
    let bytes = http::encode(spec).len();
    bytes + bytes / 4 + 128
}

impl Controller {
    /// Validates a submission whose id is not known here.
    pub(super) async fn validate_submission(&self, spec: &JobSpec) -> Validation {
        {
            let state = self.lock();
            if !state.synced || state.machine_types.is_empty() {
                return Validation::Undetermined("not ready");
            }
            if let Some(why) = unsatisfiable_reason(spec, &self.config.deployment.teams, &state.machine_types) {
                return Validation::Unsatisfiable(why);
            }
        }
        if max_stored_bytes(spec) > self.store.txn_limits.value_bytes {
            return Validation::Undetermined("larger than the state service takes now");
        }
        self.validate_dependencies(spec).await
    }

    /// Validates the jobs that a submission needs, and finds out whether one of them is known to be
    /// cancelled, so that the submission is cancelled with it.  That a job was never accepted only
    /// the state service can say: what is known here may lag behind it.
    async fn validate_dependencies(&self, spec: &JobSpec) -> Validation {
        if spec.needs.is_empty() {
            return Validation::Valid { needs_cancelled_job: false };
        }
        let Some(known) = self.known_dependencies(spec) else {
            return Validation::Undetermined("not every controller knows of jobs that wait for others yet");
        };
        let fault = if spec.needs.contains(&spec.id) { Some("needs itself") } else { known.fault };
        if let Some(why) = fault {
            return Validation::Unsatisfiable(why);
        }
        let valid = Validation::Valid { needs_cancelled_job: known.has_cancelled };
        if known.unknown.is_empty() {
            return valid;
        }
        match with_timeout(QUERY_TIMEOUT, self.validate_unknown_dependencies(&known.unknown)).await {
            Some(Validation::Valid { .. }) => valid,
            Some(invalid) => invalid,
            None => Validation::Undetermined(NO_ANSWER),
        }
    }

    /// What is known here of the jobs that a submission needs; `None` while not every controller
    /// has dependencies.
    fn known_dependencies(&self, spec: &JobSpec) -> Option<KnownDependencies> {
        let mut state = self.lock();
        if !state.dependencies_enabled {
            return None;
        }
        let mut known = KnownDependencies::default();
        for id in &spec.needs {
            let needed = match state.jobs.status_of(id) {
                JobStatus::Open(job) => job.spec,
                JobStatus::Ended(job) => {
                    known.has_cancelled |= job.outcome == JobOutcome::Cancelled;
                    job.spec
                }
                JobStatus::Unknown => {
                    known.unknown.push(id.clone());
                    continue;
                }
            };
            if needed.shape == Shape::Service {
                known.fault = Some(NEEDS_SERVICE);
            }
        }
        Some(known)
    }

    /// Validates dependencies that are not known here, many in one compare-and-swap.
    async fn validate_unknown_dependencies(&self, ids: &[Name]) -> Validation {
        for chunk in ids.chunks((self.store.txn_limits.preconditions / 2).max(1)) {
            let mut lookup = Lookup::new(chunk.iter());
            if !self.run_lookup(&mut lookup).await {
                return Validation::Undetermined(NO_ANSWER);
            }
            for id in chunk {
                match lookup.found(id) {
                    Some(LookupResult::NotFound) => {
                        return Validation::Unsatisfiable("needs a job that was never accepted")
                    }
                    // unfinished, and the watch has not shown it yet
                    Some(_) => match self.read_shape(id).await {
                        Some(Shape::Service) => return Validation::Unsatisfiable(NEEDS_SERVICE),
                        Some(_) => {}
                        None => return Validation::Undetermined(NO_ANSWER),
                    },
                    None => {}
                }
            }
        }
        Validation::Valid { needs_cancelled_job: false }
    }

    /// Reads the shape of a stored job; `None` if it cannot be read now.
    async fn read_shape(&self, id: &Name) -> Option<Shape> {
        self.throttle_lookup(1.0).await;
        let path = job_key(id);
        let item = self.store.get(&path).await.ok()??;
        Some(read_value::<JobSpec>(&path, item.value)?.shape)
    }
}
