//! What a user may be told of a job, and what has to be asked before.  Plain state; it
//! must not know how the store or a sibling is reached, nor what the words are on the
//! wire.
//!
//! Once any controller has told a user that a job is accepted, done or cancelled, no
//! controller may say anything older to a question that comes after.  So what is known
//! here is good for what never changes only: an end.  That a job is unfinished, or that
//! nobody submitted it, the store says, in an answer to what was asked after the question
//! had come; and whoever says "cancelled" sees to it that nobody can renew a lease for its
//! tasks unknowing ([`crate::cancellation::Telling`]).

mod satisfiability;
mod transactions;

pub use satisfiability::unsatisfiable_reason;
pub use transactions::{cancellations_txn, submissions_txn};

use std::time::Instant;

use crate::cancellation::{may_lead, CancellationLog, CancellationNotices};
use crate::job_index::{CancelledDependency, JobIndex, JobStatus};
use crate::lookup::LookupResult;
use crate::model::*;
use crate::policy::Policy;

/// What a user wants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestKind {
    /// To know how a job stands.
    Query,
    /// To submit it, perhaps once more.
    Submit,
    /// To cancel it.
    Cancel,
}

/// An answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// StoreResult just now.
    Accepted,
    /// StoreResult, and not over.
    Unfinished,
    /// Over for good.
    Ended(JobOutcome),
    /// Never accepted.
    NotFound,
    /// Can never run, and was never accepted.
    Unsatisfiable(&'static str),
    /// Nothing can be said now.
    RetryLater(&'static str),
}

/// What a controller does next for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum NextAction {
    /// Ask the store whether the id has a record and an end: [`UserRequest::looked_up`].
    LookUp,
    /// Have the store confirm that it has no end: [`UserRequest::confirmed`].
    Confirm,
    /// Look at the submission itself, and at what it needs: [`UserRequest::judged`].
    Validate,
    /// Store the submission, with its own end if it needs a cancelled job:
    /// [`UserRequest::stored`].
    Store {
        /// It needs a cancelled job.
        needs_cancelled_job: bool,
    },
    /// Store the job's cancellation: [`UserRequest::ended`].
    Cancel,
    /// Read the ends of these, as far as there are any: [`UserRequest::read`].
    ReadOutcomes(Vec<Name>),
    /// Have the siblings told, and look again when one of them knows: [`UserRequest::next`].
    NotifyPeers,
    /// Answer.
    Reply(Reply),
}

/// What speaks against a submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Validation {
    /// Nothing; `needs_cancelled_job` if it needs a job that is cancelled.
    Valid {
        /// It needs a cancelled job.
        needs_cancelled_job: bool,
    },
    /// It can never run.
    Unsatisfiable(&'static str),
    /// That can't be told now.
    Undetermined(&'static str),
}

/// What the store said of a submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreResult {
    /// It is stored now.
    New {
        /// It took so long that others may have said more of it meanwhile.
        slow: bool,
    },
    /// It was there before.
    AlreadyStored,
    /// No answer: it may be stored, or be stored later.
    Unknown,
}

/// What a controller knows when it looks.
#[derive(Debug)]
pub struct StateView<'a> {
    /// The jobs that it knows.
    pub jobs: &'a mut JobIndex,
    /// The withdrawals that it knows.
    pub cancellations: &'a CancellationLog,
    /// Those whose users are to be told.
    pub notices: &'a mut CancellationNotices,
    /// Since when none is missing.
    pub cancellations_complete_as_of: Option<Instant>,
    /// All tell users only when all know.
    pub notices_required: bool,
    /// It leads, and finds nothing of the job on any machine.
    pub no_task_left: bool,
    /// The policy.
    pub policy: &'a Policy,
    /// Now.
    pub now: Instant,
}

impl StateView<'_> {
    /// Whether the picture is young enough to say what hangs on withdrawals.
    fn is_fresh(&self) -> bool {
        may_lead(self.cancellations_complete_as_of, self.policy, self.now)
    }
}

/// A request on its way to its answer.
#[derive(Debug, Clone)]
pub struct UserRequest {
    id: Name,
    kind: RequestKind,
    found: Option<LookupResult>,
    verdict: Option<Validation>,
    accepted: bool,
    failed: Option<&'static str>,
}

const SILENT: &str = "the state service does not answer";

impl UserRequest {
    /// A request that has just come.
    pub fn new(id: Name, wish: RequestKind) -> UserRequest {
        UserRequest { id, kind: wish, found: None, verdict: None, accepted: false, failed: None }
    }

    /// What to do next.
    pub fn next_action(&mut self, v: &mut StateView) -> NextAction {
        if let Some(why) = self.failed {
            return NextAction::Reply(Reply::RetryLater(why));
        }
        if !self.accepted && !matches!(self.found, Some(LookupResult::NotFound | LookupResult::Ended(_))) {
            // an end never changes, whoever learned of it in the meantime
            match v.jobs.status_of(&self.id) {
                JobStatus::Ended(e) => self.found = Some(LookupResult::Ended(e.outcome)),
                JobStatus::Open(_) => self.found = self.found.take().or(Some(LookupResult::Open)),
                JobStatus::Unknown => {}
            }
        }
        match (&self.found, self.kind) {
            (None, RequestKind::Submit) => match self.verdict {
                // a repeat is recognised before anything is said against it
                None => NextAction::Validate,
                Some(Validation::Valid { needs_cancelled_job }) => NextAction::Store { needs_cancelled_job },
                Some(Validation::Unsatisfiable(_)) => NextAction::LookUp,
                Some(Validation::Undetermined(why)) => NextAction::Reply(Reply::RetryLater(why)),
            },
            (None, _) => NextAction::LookUp,
            (Some(LookupResult::NotFound), _) => NextAction::Reply(match self.verdict {
                Some(Validation::Unsatisfiable(why)) => Reply::Unsatisfiable(why),
                _ => Reply::NotFound,
            }),
            (Some(LookupResult::Open | LookupResult::Confirmed), RequestKind::Cancel) => NextAction::Cancel,
            (Some(LookupResult::Open), _) => NextAction::Confirm,
            (Some(LookupResult::Confirmed), _) => self.unfinished(v),
            (Some(LookupResult::Ended(JobOutcome::Done)), _) => NextAction::Reply(Reply::Ended(JobOutcome::Done)),
            (Some(LookupResult::Ended(JobOutcome::Cancelled)), _) => self.cancelled(v),
        }
    }

    /// The store confirms that the job has no end.  What needs a cancelled job is not
    /// called queued all the same, however late its own end is stored.
    fn unfinished(&mut self, v: &mut StateView) -> NextAction {
        if self.accepted {
            return NextAction::Reply(Reply::Accepted);
        }
        let needs = match v.jobs.status_of(&self.id) {
            JobStatus::Open(o) => !o.spec.needs.is_empty(),
            // accepted a moment ago, or the watch is behind
            _ => true,
        };
        match v.jobs.cancelled_dependency(&self.id) {
            _ if !needs => NextAction::Reply(Reply::Unfinished),
            CancelledDependency::Unknown(ids) => NextAction::ReadOutcomes(ids),
            CancelledDependency::No if v.is_fresh() => NextAction::Reply(Reply::Unfinished),
            _ => NextAction::Reply(Reply::RetryLater("what it needs has to be looked at")),
        }
    }

    /// Whoever renews leases unknowing counts on it that nobody tells who may not have
    /// seen that all do so.
    fn cancelled(&self, v: &mut StateView) -> NextAction {
        let told = NextAction::Reply(Reply::Ended(JobOutcome::Cancelled));
        if !v.notices_required {
            return told;
        }
        if !v.is_fresh() {
            return NextAction::Reply(Reply::RetryLater("not every controller knows of it yet"));
        }
        if v.no_task_left {
            v.notices.settle(&self.id);
        }
        match v.notices.may_confirm(&self.id, v.cancellations, v.policy, v.now) {
            true => told,
            false => NextAction::NotifyPeers,
        }
    }

    /// What the store says of the id, asked after the request had come; `None` if it can't
    /// be told now.
    pub fn apply_lookup(&mut self, found: Option<LookupResult>) {
        self.failed = found.is_none().then_some(SILENT);
        self.found = found;
    }

    /// The end that the store has, if any; `None` if it can't be told now.
    pub fn apply_confirmation(&mut self, end: Option<Option<JobOutcome>>) {
        match end {
            None => self.failed = Some(SILENT),
            Some(None) => self.found = Some(LookupResult::Confirmed),
            Some(Some(outcome)) => self.found = Some(LookupResult::Ended(outcome)),
        }
    }

    /// What speaks against the submission.
    pub fn apply_validation(&mut self, verdict: Validation) {
        self.verdict = Some(verdict);
    }

    /// What the store says of the submission.  An acceptance that was slow, or of which
    /// more is known here by now, is no news: others may have said more of the job.
    pub fn apply_store_result(&mut self, outcome: StoreResult, ledger: &mut JobIndex) {
        let needs_cancelled_job = self.verdict == Some(Validation::Valid { needs_cancelled_job: true });
        match outcome {
            StoreResult::Unknown => self.failed = Some(SILENT),
            StoreResult::AlreadyStored | StoreResult::New { slow: true } => self.found = Some(LookupResult::Open),
            // one that ends with what it needs is accepted first, by the same transaction
            StoreResult::New { .. } if ledger.outcome(&self.id).is_some() && !needs_cancelled_job => {
                self.found = Some(LookupResult::Open)
            }
            StoreResult::New { .. } => (self.found, self.accepted) = (Some(LookupResult::Confirmed), true),
        }
    }

    /// The end that the job has by now, this request's or another; `None` if that can't be
    /// told now.
    pub fn apply_cancellation(&mut self, outcome: Option<JobOutcome>) {
        match outcome {
            None => self.failed = Some(SILENT),
            Some(outcome) => self.found = Some(LookupResult::Ended(outcome)),
        }
    }

    /// Whether all that was to be read has an end, which the ledger has by now.
    pub fn apply_outcomes_read(&mut self, all: bool) {
        if !all {
            self.failed = Some("what it needs has to be looked at");
        }
    }
}

#[cfg(test)]
mod tests;
