//! What speaks against a submission: its size, its team, and the jobs that it needs.

use coralnotch_core::lookup::{Lookup, LookupResult};
use coralnotch_core::user_request::{unsatisfiable_reason, Validation};

use super::request::QUERY_TIMEOUT;
use crate::controller::Controller;
use crate::http;
use crate::job_index::JobStatus;
use crate::model::*;
use crate::runtime::wake_up::timed;
use crate::state_store::client::{key, read_value};

/// Most bytes that a submission takes in the store, in the form that is counted.
fn stored_bytes(spec: &JobSpec) -> usize {
    // a quarter for commas and colons, and what numbers need as text
    let bytes = http::encode(spec).len();
    bytes + bytes / 4 + 128
}

impl Controller {
    /// What speaks against a submission that is not known here.
    pub(super) async fn validate_submission(&self, spec: &JobSpec) -> Validation {
        {
            let i = self.lock();
            if !i.synced || i.machine_types.is_empty() {
                return Validation::Undetermined("not ready");
            }
            if let Some(why) = unsatisfiable_reason(spec, &self.config.deployment.teams, &i.machine_types) {
                return Validation::Unsatisfiable(why);
            }
        }
        if stored_bytes(spec) > self.store.most.value_bytes {
            return Validation::Undetermined("larger than the state service takes now");
        }
        self.validate_dependencies(spec).await
    }

    /// Whether a job that needs others can be taken, and whether one of these is
    /// known to be cancelled, so that it ends with it.
    /// "Never accepted" is the store's word alone: what is known here may lag.
    async fn validate_dependencies(&self, spec: &JobSpec) -> Validation {
        if spec.needs.is_empty() {
            return Validation::Valid { needs_cancelled_job: false };
        }
        let (mut unknown, mut needs_cancelled_job, mut wrong) = (Vec::new(), false, None);
        {
            let mut i = self.lock();
            if !i.dependencies_enabled {
                return Validation::Undetermined("not every controller knows of jobs that wait for others yet");
            }
            for n in &spec.needs {
                let needed = match i.jobs.status_of(n) {
                    JobStatus::Open(o) => o.spec,
                    JobStatus::Ended(e) => {
                        needs_cancelled_job |= e.outcome == JobOutcome::Cancelled;
                        e.spec
                    }
                    JobStatus::Unknown => {
                        unknown.push(n.clone());
                        continue;
                    }
                };
                if needed.shape == Shape::Service {
                    wrong = Some("needs a service, which is never done");
                }
            }
        }
        if spec.needs.contains(&spec.id) {
            wrong = Some("needs itself");
        }
        if wrong.is_none() && !unknown.is_empty() {
            wrong = match timed(QUERY_TIMEOUT, self.unsatisfiable_dependency(&unknown)).await.flatten() {
                Some(wrong) => wrong,
                None => return Validation::Undetermined("the state service does not answer"),
            };
        }
        wrong.map_or(Validation::Valid { needs_cancelled_job }, Validation::Unsatisfiable)
    }

    /// What speaks against needing these jobs, which are not known here; many in
    /// one comparison.  `None` if that cannot be told now.
    async fn unsatisfiable_dependency(&self, ids: &[Name]) -> Option<Option<&'static str>> {
        for some in ids.chunks((self.store.most.preconditions / 2).max(1)) {
            let mut asked = Lookup::new(some.iter());
            if !self.run_lookup(&mut asked).await {
                return None;
            }
            for id in some {
                match asked.found(id) {
                    Some(LookupResult::NotFound) => return Some(Some("needs a job that was never accepted")),
                    Some(_) => {
                        // unfinished, and the watch has not shown it yet
                        self.throttle_lookup(1.0).await;
                        let path = format!("{}{id}", key::JOB);
                        let item = self.store.get(&path).await.ok()??;
                        if read_value::<JobSpec>(&path, item.value)?.shape == Shape::Service {
                            return Some(Some("needs a service, which is never done"));
                        }
                    }
                    None => {}
                }
            }
        }
        Some(None)
    }
}
