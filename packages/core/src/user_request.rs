//! Decides how to reply to a user's request about a job, and which reads and writes have to come
//! first.  This module does no I/O and must not know how the store or a peer is reached, nor the
//! format of the messages.
//!
//! Replies are consistent across controllers: once any controller has reported to a user that a
//! job is accepted, done or cancelled, no controller may report an older state to a request that
//! is sent later.  Local knowledge is therefore sufficient only for an outcome, because an
//! outcome never changes.  That a job is unfinished, or was never submitted, has to be confirmed
//! by the store, in a response to a request that was sent after the user's request had arrived.
//! Before a controller reports "cancelled", it ensures that no controller can renew a lease for
//! the job's tasks without knowing of the cancellation
//! ([`crate::cancellation::CancellationNotices`]).

mod satisfiability;
mod transactions;

pub use satisfiability::unsatisfiable_reason;
pub use transactions::{cancellations_txn, submissions_txn, Submission};

use std::time::Instant;

use crate::cancellation::{may_lead, CancellationLog, CancellationNotices};
use crate::job_index::{CancelledDependency, JobIndex, JobStatus};
use crate::lookup::LookupResult;
use crate::model::{JobOutcome, Name};
use crate::policy::Policy;

/// The kind of a user's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestKind {
    /// Query the state of a job.
    Query,
    /// Submit a job.  The request may repeat an earlier submission of the same job.
    Submit,
    /// Cancel a job.
    Cancel,
}

/// The reply to a user.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// The job was stored by this request.
    Accepted,
    /// The job was accepted and has no outcome yet.
    Unfinished,
    /// The job has an outcome, which never changes.
    Ended(JobOutcome),
    /// The job was never accepted.
    NotFound,
    /// The job was never accepted, and it can never run for this reason.
    Unsatisfiable(&'static str),
    /// The request cannot be answered now for this reason; the user should retry it.
    RetryLater(&'static str),
}

/// The next step that a controller has to take for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum NextAction {
    /// Ask the store whether the id has a record and an outcome, and pass the result to
    /// [`UserRequest::apply_lookup`].
    LookUp,
    /// Have the store confirm that the job has no outcome, and pass the response to
    /// [`UserRequest::apply_confirmation`].
    Confirm,
    /// Validate the submission and its dependencies, and pass the result to
    /// [`UserRequest::apply_validation`].
    Validate,
    /// Store the submission, and pass the result to [`UserRequest::apply_store_result`].
    Store {
        /// Whether the job depends on a cancelled job, so that its own cancellation is stored in
        /// the same transaction.
        depends_on_cancelled_job: bool,
    },
    /// Store the job's cancellation, and pass the resulting outcome to
    /// [`UserRequest::apply_cancellation`].
    Cancel,
    /// Read the outcomes that these jobs have into the job index, and call
    /// [`UserRequest::apply_outcomes_read`].
    ReadOutcomes(Vec<Name>),
    /// Notify the peers of the cancellation, and call [`UserRequest::next_action`] again when a
    /// peer has acknowledged it.
    NotifyPeers,
    /// Send this reply.
    Reply(Reply),
}

/// The result of validating a submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Validation {
    /// The job can be stored.
    Valid {
        /// Whether the job depends on a cancelled job.
        depends_on_cancelled_job: bool,
    },
    /// The job can never run for this reason.
    Unsatisfiable(&'static str),
    /// The submission cannot be validated now for this reason.
    Undetermined(&'static str),
}

/// The result of storing a submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreResult {
    /// This request has stored the job.
    New {
        /// Whether storing the job took so long that another controller may have reported a later
        /// state in the meantime.
        slow: bool,
    },
    /// An earlier request has stored the job.
    AlreadyStored,
    /// The store did not respond.  The job may be stored already, or may still be stored later.
    Unknown,
}

/// The store's response to a request to confirm that a job has no outcome.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Confirmation {
    /// The job has no outcome.
    Unfinished,
    /// The job has this outcome.
    Ended(JobOutcome),
    /// The store did not respond.
    Unavailable,
}

/// The state of a controller at the time of a decision.
#[derive(Debug)]
pub struct StateView<'a> {
    /// The jobs that the controller knows.
    pub jobs: &'a mut JobIndex,
    /// The cancellations that the controller knows.
    pub cancellations: &'a CancellationLog,
    /// The cancellations that the peers have to be notified of.
    pub notices: &'a mut CancellationNotices,
    /// Time as of which the controller knows every confirmed cancellation; `None` if there is no
    /// such time.
    pub cancellations_complete_as_of: Option<Instant>,
    /// Whether every controller confirms a cancellation to its user only once
    /// [`CancellationNotices`] allows it.
    pub notices_required: bool,
    /// Whether the controller is the leader and finds no task of the job on any machine.
    pub has_no_task: bool,
    /// The tunables, which determine how old `cancellations_complete_as_of` may be.
    pub policy: &'a Policy,
    /// The current time.
    pub now: Instant,
}

impl StateView<'_> {
    /// Reports whether the known cancellations are recent enough for a reply that depends on them.
    fn is_fresh(&self) -> bool {
        may_lead(self.cancellations_complete_as_of, self.policy, self.now)
    }
}

const STORE_UNAVAILABLE: &str = "the state service does not answer";
const DEPENDENCIES_NOT_CHECKED: &str = "what it needs has to be looked at";
const PEERS_NOT_NOTIFIED: &str = "not every controller knows of it yet";

/// The progress of a user's request, from its arrival to its reply.
#[derive(Debug, Clone)]
pub struct UserRequest {
    id: Name,
    kind: RequestKind,
    /// The state of the job, as known from the store or from the job index; `None` at first.
    found: Option<LookupResult>,
    validation: Option<Validation>,
    /// Whether this request has stored the job, and no controller can have reported a later state.
    accepted: bool,
    /// The reason why the request cannot be answered now, if there is one.
    failure: Option<&'static str>,
}

impl UserRequest {
    /// Creates a request of this kind for the job `id`, as it has just arrived.
    pub fn new(id: Name, kind: RequestKind) -> UserRequest {
        UserRequest { id, kind, found: None, validation: None, accepted: false, failure: None }
    }

    /// Returns the next step for the request, given the current state of the controller.
    pub fn next_action(&mut self, view: &mut StateView) -> NextAction {
        if let Some(reason) = self.failure {
            return NextAction::Reply(Reply::RetryLater(reason));
        }
        self.apply_local_state(view.jobs);
        match (&self.found, self.kind) {
            (None, RequestKind::Submit) => self.submit_unknown(),
            (None, _) => NextAction::LookUp,
            (Some(LookupResult::NotFound), _) => NextAction::Reply(match self.validation {
                Some(Validation::Unsatisfiable(reason)) => Reply::Unsatisfiable(reason),
                _ => Reply::NotFound,
            }),
            (Some(LookupResult::Unfinished | LookupResult::Confirmed), RequestKind::Cancel) => NextAction::Cancel,
            (Some(LookupResult::Unfinished), _) => NextAction::Confirm,
            (Some(LookupResult::Confirmed), _) => self.reply_unfinished(view),
            (Some(LookupResult::Ended(JobOutcome::Done)), _) => NextAction::Reply(Reply::Ended(JobOutcome::Done)),
            (Some(LookupResult::Ended(JobOutcome::Cancelled)), _) => self.reply_cancelled(view),
        }
    }

    /// Updates the request with what this controller has learned about the job in the meantime.
    fn apply_local_state(&mut self, jobs: &mut JobIndex) {
        if self.accepted || matches!(self.found, Some(LookupResult::NotFound | LookupResult::Ended(_))) {
            return;
        }
        match jobs.status_of(&self.id) {
            // An outcome never changes, so it is valid however the controller learned it.
            JobStatus::Ended(job) => self.found = Some(LookupResult::Ended(job.outcome)),
            JobStatus::Open(_) => self.found = self.found.take().or(Some(LookupResult::Unfinished)),
            JobStatus::Unknown => {}
        }
    }

    /// Returns the next step for the submission of a job that this controller does not know.
    fn submit_unknown(&self) -> NextAction {
        match self.validation {
            None => NextAction::Validate,
            Some(Validation::Valid { depends_on_cancelled_job }) => NextAction::Store { depends_on_cancelled_job },
            // The request may repeat a submission that was accepted, which must not be refused.
            Some(Validation::Unsatisfiable(_)) => NextAction::LookUp,
            Some(Validation::Undetermined(reason)) => NextAction::Reply(Reply::RetryLater(reason)),
        }
    }

    /// Returns the next step for a job that has no outcome, as the store has confirmed.  A job
    /// that depends on a cancelled one is not reported as unfinished even then, because its own
    /// cancellation may be stored much later.
    fn reply_unfinished(&mut self, view: &mut StateView) -> NextAction {
        if self.accepted {
            return NextAction::Reply(Reply::Accepted);
        }
        let may_have_dependencies = match view.jobs.status_of(&self.id) {
            JobStatus::Open(job) => !job.spec.dependencies.is_empty(),
            // The job was accepted a moment ago, or the watch is behind.
            _ => true,
        };
        match view.jobs.cancelled_dependency(&self.id) {
            _ if !may_have_dependencies => NextAction::Reply(Reply::Unfinished),
            CancelledDependency::Unknown(ids) => NextAction::ReadOutcomes(ids),
            CancelledDependency::No if view.is_fresh() => NextAction::Reply(Reply::Unfinished),
            _ => NextAction::Reply(Reply::RetryLater(DEPENDENCIES_NOT_CHECKED)),
        }
    }

    /// Returns the next step for a cancelled job: the reply, once the cancellation may be
    /// confirmed to the user.
    ///
    /// If notices are required, the reply also needs a fresh view, because controllers that renew
    /// leases without knowing of a cancellation rely on the notices.  A controller without a fresh
    /// view may not have seen yet that notices are required.
    fn reply_cancelled(&self, view: &mut StateView) -> NextAction {
        let confirmed = NextAction::Reply(Reply::Ended(JobOutcome::Cancelled));
        if !view.notices_required {
            return confirmed;
        }
        if !view.is_fresh() {
            return NextAction::Reply(Reply::RetryLater(PEERS_NOT_NOTIFIED));
        }
        if view.has_no_task {
            view.notices.settle(&self.id);
        }
        match view.notices.may_confirm(&self.id, view.cancellations, view.policy, view.now) {
            true => confirmed,
            false => NextAction::NotifyPeers,
        }
    }

    /// Applies the result of looking up the id in the store; `None` if the store did not respond.
    /// The lookup must have been sent after the request had arrived.
    pub fn apply_lookup(&mut self, found: Option<LookupResult>) {
        self.failure = found.is_none().then_some(STORE_UNAVAILABLE);
        self.found = found;
    }

    /// Applies the store's response to the request to confirm that the job has no outcome.
    pub fn apply_confirmation(&mut self, confirmation: Confirmation) {
        match confirmation {
            Confirmation::Unfinished => self.found = Some(LookupResult::Confirmed),
            Confirmation::Ended(outcome) => self.found = Some(LookupResult::Ended(outcome)),
            Confirmation::Unavailable => self.failure = Some(STORE_UNAVAILABLE),
        }
    }

    /// Applies the result of validating the submission.
    pub fn apply_validation(&mut self, validation: Validation) {
        self.validation = Some(validation);
    }

    /// Applies the result of storing the submission.  If storing was slow, or if an outcome is
    /// known here by now, other controllers may have reported a later state than "accepted".
    pub fn apply_store_result(&mut self, result: StoreResult, jobs: &mut JobIndex) {
        // A cancellation that is stored in the same transaction follows the acceptance, so the
        // known outcome does not rule out the reply "accepted".
        let stored_as_cancelled = self.validation == Some(Validation::Valid { depends_on_cancelled_job: true });
        match result {
            StoreResult::Unknown => self.failure = Some(STORE_UNAVAILABLE),
            StoreResult::AlreadyStored | StoreResult::New { slow: true } => self.found = Some(LookupResult::Unfinished),
            StoreResult::New { slow: false } if jobs.outcome(&self.id).is_some() && !stored_as_cancelled => {
                self.found = Some(LookupResult::Unfinished);
            }
            StoreResult::New { slow: false } => {
                self.found = Some(LookupResult::Confirmed);
                self.accepted = true;
            }
        }
    }

    /// Applies the outcome that the job has after the attempt to cancel it; `None` if the store
    /// did not respond.  The outcome may differ from "cancelled" if another one was stored first.
    pub fn apply_cancellation(&mut self, outcome: Option<JobOutcome>) {
        match outcome {
            None => self.failure = Some(STORE_UNAVAILABLE),
            Some(outcome) => self.found = Some(LookupResult::Ended(outcome)),
        }
    }

    /// Records that the requested outcomes were read into the job index.  `all_ended` tells
    /// whether each of the requested jobs has an outcome; if not, the user has to retry.
    pub fn apply_outcomes_read(&mut self, all_ended: bool) {
        if !all_ended {
            self.failure = Some(DEPENDENCIES_NOT_CHECKED);
        }
    }
}

#[cfg(test)]
mod tests;
