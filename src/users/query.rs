//! Queries of one job.

use futures_util::stream::StreamExt;

use coralnotch_core::user_request::{Reply, RequestKind};

use super::request::QUERY_TIMEOUT;
use crate::controller::Controller;
use crate::http::Response;
use crate::job_index::JobStatus;
use crate::model::*;
use crate::runtime::wake_up::timed;
use crate::state_store::client::key;

/// Needed jobs that one query reads; the rest is the next one's.
const MAX_OUTCOMES_READ: usize = 64;

impl Controller {
    pub(crate) async fn query_job(&self, id: &str, why: bool) -> Response {
        if !valid_id(id) {
            return Response::refuse(404, "no such job");
        }
        let id: Name = id.into();
        match self.resolve_request(&id, RequestKind::Query, None).await {
            Reply::Unfinished if why => Response::new(200, &self.explain(self.job_state(&id, None))),
            Reply::Ended(outcome) if why => Response::new(200, &self.explain(self.job_state(&id, Some(outcome)))),
            word => self.reply_to_user(&id, word),
        }
    }

    /// What a job has to do with other jobs, as far as is known here.
    fn explain(&self, state: JobState) -> JobExplanation {
        let mut i = self.lock();
        let spec = match i.jobs.status_of(&state.id) {
            JobStatus::Open(o) => Some(o.spec),
            JobStatus::Ended(e) => Some(e.spec),
            JobStatus::Unknown => None,
        };
        let needs = spec.map(|s| s.needs.clone()).unwrap_or_default();
        let cancelled = state.stage == JobOutcome::Cancelled.as_str();
        let of = |n: &&Name| i.jobs.outcome(n) == Some(JobOutcome::Cancelled);
        let cancelled_with = needs.iter().filter(|_| cancelled).find(of).cloned();
        let open = |n: &Name| matches!(i.jobs.status_of(n), JobStatus::Open(_));
        let waits_for = needs.into_iter().filter(open).filter(|_| !cancelled).collect();
        JobExplanation { state, waits_for, cancelled_with }
    }

    /// Reads the ends of some of these, which came before this controller began: what is
    /// read is kept.  Whether all of them have one.
    pub(super) async fn read_outcomes(&self, ids: Vec<Name>) -> bool {
        let reads = ids.into_iter().take(MAX_OUTCOMES_READ).map(|n: Name| async move {
            let path = format!("{}{n}", key::OUTCOME);
            self.read_outcome(&path).await.is_some()
        });
        let read = futures_util::stream::iter(reads).buffer_unordered(8).collect::<Vec<_>>();
        timed(QUERY_TIMEOUT, read).await.is_some_and(|ends| ends.into_iter().all(|known| known))
    }
}
