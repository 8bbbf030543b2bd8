//! Validation of submissions: their size, the quota of their team, and their dependencies.

use coralnotch_core::lookup::{Lookup, LookupResult};
use coralnotch_core::user_request::{unsatisfiable_reason, Validation};

use crate::controller::Controller;
use crate::http;
use crate::job_index::JobStatus;
use crate::model::*;
use crate::runtime::wake_up::with_timeout;
use crate::state_store::client::decode_value;
use crate::users::lookup::job_key;
use crate::users::request::QUERY_TIMEOUT;

const NEEDS_SERVICE: &str = "needs a service, which is never done";
const NO_ANSWER: &str = "the state service does not answer";

/// What this controller knows about the jobs that a submission needs.
#[derive(Default)]
struct KnownDependencies {
    /// The needed jobs that this controller does not know.
    unknown: Vec<Name>,
    /// Whether one of the needed jobs is cancelled.
    has_cancelled: bool,
    /// Why the submitted job can never run; `None` if no such reason is known.
    rejection_reason: Option<&'static str>,
}

/// Returns an upper bound of the size in bytes of a submission in the state service, in the encoding
/// on which the service's size limit is based.
fn max_stored_bytes(spec: &JobSpec) -> usize {
    // the quarter covers commas, colons, and numbers that are written as text
    let bytes = http::encode(spec).len();
    bytes + bytes / 4 + 128
}

impl Controller {
    /// Validates a submission whose id this controller does not know.
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

    /// Validates the jobs that a submission needs, and determines whether one of them is known to be
    /// cancelled, so that the submitted job is cancelled too.  Only the state service can tell that a
    /// needed job was never accepted, because the jobs known here may lag behind it.
    async fn validate_dependencies(&self, spec: &JobSpec) -> Validation {
        if spec.dependencies.is_empty() {
            return Validation::Valid { depends_on_cancelled_job: false };
        }
        let Some(known) = self.known_dependencies(spec) else {
            return Validation::Undetermined("not every controller knows of jobs that wait for others yet");
        };
        let rejection_reason =
            if spec.dependencies.contains(&spec.id) { Some("needs itself") } else { known.rejection_reason };
        if let Some(why) = rejection_reason {
            return Validation::Unsatisfiable(why);
        }
        let valid = Validation::Valid { depends_on_cancelled_job: known.has_cancelled };
        if known.unknown.is_empty() {
            return valid;
        }
        match with_timeout(QUERY_TIMEOUT, self.validate_unknown_dependencies(&known.unknown)).await {
            Some(Validation::Valid { .. }) => valid,
            Some(invalid) => invalid,
            None => Validation::Undetermined(NO_ANSWER),
        }
    }

    /// Returns what this controller knows about the jobs that a submission needs; `None` while not
    /// every controller supports dependencies.
    fn known_dependencies(&self, spec: &JobSpec) -> Option<KnownDependencies> {
        let mut state = self.lock();
        if !state.dependencies_enabled {
            return None;
        }
        let mut known = KnownDependencies::default();
        for id in &spec.dependencies {
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
                known.rejection_reason = Some(NEEDS_SERVICE);
            }
        }
        Some(known)
    }

    /// Validates dependencies that this controller does not know, many of them in one
    /// compare-and-swap.
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
                    // the job is unfinished, and the watch has not delivered it yet
                    Some(_) => match self.read_shape(id).await {
                        Some(Shape::Service) => return Validation::Unsatisfiable(NEEDS_SERVICE),
                        Some(_) => {}
                        None => return Validation::Undetermined(NO_ANSWER),
                    },
                    None => {}
                }
            }
        }
        Validation::Valid { depends_on_cancelled_job: false }
    }

    /// Reads the shape of a stored job; `None` if it cannot be read.
    async fn read_shape(&self, id: &Name) -> Option<Shape> {
        self.throttle_lookup(1.0).await;
        let path = job_key(id);
        let item = self.store.get(&path).await.ok()??;
        Some(decode_value::<JobSpec>(&path, item.value)?.shape)
    }
}
