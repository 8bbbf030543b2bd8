//! Users' queries about one job.

use futures_util::stream::StreamExt;

use coralnotch_core::user_request::{Reply, RequestKind};

use crate::controller::Controller;
use crate::http::Response;
use crate::job_index::JobStatus;
use crate::model::*;
use crate::runtime::wake_up::with_timeout;
use crate::users::lookup::outcome_key;
use crate::users::request::QUERY_TIMEOUT;

/// Maximum number of outcomes of dependencies that one query reads; the next query reads the rest.
const MAX_OUTCOMES_READ: usize = 64;
/// Maximum number of outcomes that are read concurrently.
const MAX_CONCURRENT_READS: usize = 8;

/// The level of detail of the reply to a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QueryDetail {
    /// The state of the job.
    State,
    /// The state of the job, and the dependencies that it waits for or the one with which it was
    /// cancelled.
    Explanation,
}

impl Controller {
    /// Replies to a user's query about a job.
    pub(crate) async fn query_job(&self, id: &str, detail: QueryDetail) -> Response {
        if !is_valid_job_id(id) {
            return Response::error(404, "no such job");
        }
        let id: Name = id.into();
        let reply = self.resolve_request(&id, RequestKind::Query, None).await;
        let outcome = match reply {
            Reply::Unfinished => None,
            Reply::Ended(outcome) => Some(outcome),
            _ => return self.reply_to_user(&id, reply),
        };
        match detail {
            QueryDetail::State => self.reply_to_user(&id, reply),
            QueryDetail::Explanation => Response::new(200, &self.explain(self.job_state(&id, outcome))),
        }
    }

    /// Adds to a job's state the dependencies that it waits for, or the one with which it was
    /// cancelled, as far as this controller knows them.
    fn explain(&self, job: JobState) -> JobExplanation {
        let mut state = self.lock();
        let spec = match state.jobs.status_of(&job.id) {
            JobStatus::Open(open) => Some(open.spec),
            JobStatus::Ended(ended) => Some(ended.spec),
            JobStatus::Unknown => None,
        };
        let dependencies = spec.map(|spec| spec.dependencies.clone()).unwrap_or_default();
        let (mut unfinished_dependencies, mut cancelled_with) = (Vec::new(), None);
        if job.stage == JobOutcome::Cancelled.as_str() {
            cancelled_with = dependencies.into_iter().find(|n| state.jobs.outcome(n) == Some(JobOutcome::Cancelled));
        } else {
            unfinished_dependencies = dependencies;
            unfinished_dependencies.retain(|n| matches!(state.jobs.status_of(n), JobStatus::Open(_)));
        }
        JobExplanation { state: job, unfinished_dependencies, cancelled_with }
    }

    /// Reads and keeps the outcomes of jobs that ended before this controller started, at most
    /// [`MAX_OUTCOMES_READ`].  Reports whether each job that was read has an outcome.
    pub(super) async fn read_outcomes(&self, ids: Vec<Name>) -> bool {
        let reads = ids
            .into_iter()
            .take(MAX_OUTCOMES_READ)
            .map(|id: Name| async move { self.read_outcome(&outcome_key(&id)).await.is_some() });
        let outcomes = futures_util::stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS).collect::<Vec<_>>();
        with_timeout(QUERY_TIMEOUT, outcomes).await.is_some_and(|known| known.into_iter().all(|is_known| is_known))
    }
}
