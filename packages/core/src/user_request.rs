//! What a reply to a user may say of a job, and what has to be asked before.  Plain state; it must
//! not know how the store or a peer is reached, nor the format of the messages.
//!
//! Once any controller has reported to a user that a job is accepted, done or cancelled, no
//! controller may report an older state to a request that is sent later.  What is known
//! locally is therefore enough only for what never changes, which is an outcome.  That a job
//! is unfinished, or that nobody submitted it, has to come from the store, in a response to a
//! request that was sent after the user's request had arrived.  And before a controller
//! reports "cancelled", it makes sure that no controller can renew a lease for the job's
//! tasks without knowing of it ([`crate::cancellation::CancellationNotices`]).

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

/// What a user asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestKind {
    /// The state of a job.
    Query,
    /// To submit a job; the request may be a repetition.
    Submit,
    /// To cancel a job.
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
    /// The job can never run, for this reason, and was never accepted.
    Unsatisfiable(&'static str),
    /// Nothing can be said now, for this reason; the user should try again.
    RetryLater(&'static str),
}

/// What a controller has to do next for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum NextAction {
    /// Ask the store whether the id has a record and an outcome, and call
    /// [`UserRequest::apply_lookup`].
    LookUp,
    /// Have the store confirm that the job has no outcome, and call
    /// [`UserRequest::apply_confirmation`].
    Confirm,
    /// Check the submission itself and its dependencies, and call
    /// [`UserRequest::apply_validation`].
    Validate,
    /// Store the submission, and call [`UserRequest::apply_store_result`].
    Store {
        /// The job depends on a cancelled one: its own cancellation is stored with it.
        needs_cancelled_job: bool,
    },
    /// Store the job's cancellation, and call [`UserRequest::apply_cancellation`].
    Cancel,
    /// Read the outcomes of these jobs, as far as they have any, and call
    /// [`UserRequest::apply_outcomes_read`].
    ReadOutcomes(Vec<Name>),
    /// Have the peers notified of the cancellation, and call [`UserRequest::next_action`]
    /// again when one of them has acknowledged it.
    NotifyPeers,
    /// Send this reply.
    Reply(Reply),
}

/// The result of checking a submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Validation {
    /// The job can be stored.
    Valid {
        /// It depends on a cancelled job.
        needs_cancelled_job: bool,
    },
    /// The job can never run, for this reason.
    Unsatisfiable(&'static str),
    /// The submission cannot be checked now, for this reason.
    Undetermined(&'static str),
}

/// The result of storing a submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreResult {
    /// This request has stored the job.
    New {
        /// It took so long that another controller may have reported a later state meanwhile.
        slow: bool,
    },
    /// The job was stored before.
    AlreadyStored,
    /// The store did not respond: the job may be stored, or may be stored later.
    Unknown,
}

/// The store's response to the question whether a job still has no outcome.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Confirmation {
    /// The job has no outcome.
    Unfinished,
    /// The job has this outcome.
    Ended(JobOutcome),
    /// The store did not respond.
    Unavailable,
}

/// What a controller knows at the moment of a decision.
#[derive(Debug)]
pub struct StateView<'a> {
    /// The jobs that it knows.
    pub jobs: &'a mut JobIndex,
    /// The cancellations that it knows.
    pub cancellations: &'a CancellationLog,
    /// The cancellations that peers are to be notified of.
    pub notices: &'a mut CancellationNotices,
    /// As of when it knows every confirmed cancellation; `None` if that is not known.
    pub cancellations_complete_as_of: Option<Instant>,
    /// Whether a cancellation is confirmed to its user only as [`CancellationNotices`] allow,
    /// by every controller.
    pub notices_required: bool,
    /// Whether it leads and finds no task of the job on any machine.
    pub no_task_left: bool,
    /// The policy.
    pub policy: &'a Policy,
    /// The current time.
    pub now: Instant,
}

impl StateView<'_> {
    /// Whether the known cancellations are recent enough for a reply that depends on them.
    fn is_fresh(&self) -> bool {
        may_lead(self.cancellations_complete_as_of, self.policy, self.now)
    }
}

const STORE_UNAVAILABLE: &str = "the state service does not answer";
const DEPENDENCIES_UNCHECKED: &str = "what it needs has to be looked at";
const PEERS_UNAWARE: &str = "not every controller knows of it yet";

/// A user's request, from its arrival to its reply.
#[derive(Debug, Clone)]
pub struct UserRequest {
    id: Name,
    kind: RequestKind,
    /// What is known of the job.
    found: Option<LookupResult>,
    validation: Option<Validation>,
    /// This request has stored the job, and no later state can have been reported.
    accepted: bool,
    /// Why the request cannot be answered now.
    failure: Option<&'static str>,
}

impl UserRequest {
    /// Creates the state of a request that has just arrived.
    pub fn new(id: Name, kind: RequestKind) -> UserRequest {
        UserRequest { id, kind, found: None, validation: None, accepted: false, failure: None }
    }

    /// Decides what to do next.
    pub fn next_action(&mut self, view: &mut StateView) -> NextAction {
        if let Some(reason) = self.failure {
            return NextAction::Reply(Reply::RetryLater(reason));
        }
        self.use_known_state(view.jobs);
        match (&self.found, self.kind) {
            (None, RequestKind::Submit) => self.submit_unknown(),
            (None, _) => NextAction::LookUp,
            (Some(LookupResult::NotFound), _) => NextAction::Reply(match self.validation {
                Some(Validation::Unsatisfiable(reason)) => Reply::Unsatisfiable(reason),
                _ => Reply::NotFound,
            }),
            (Some(LookupResult::Open | LookupResult::Confirmed), RequestKind::Cancel) => NextAction::Cancel,
            (Some(LookupResult::Open), _) => NextAction::Confirm,
            (Some(LookupResult::Confirmed), _) => self.reply_unfinished(view),
            (Some(LookupResult::Ended(JobOutcome::Done)), _) => NextAction::Reply(Reply::Ended(JobOutcome::Done)),
            (Some(LookupResult::Ended(JobOutcome::Cancelled)), _) => self.reply_cancelled(view),
        }
    }

    /// Takes over what this controller has learned of the job in the meantime.
    fn use_known_state(&mut self, jobs: &mut JobIndex) {
        if self.accepted || matches!(self.found, Some(LookupResult::NotFound | LookupResult::Ended(_))) {
            return;
        }
        match jobs.status_of(&self.id) {
            // an outcome never changes, so it does not matter how it was learned
            JobStatus::Ended(job) => self.found = Some(LookupResult::Ended(job.outcome)),
            JobStatus::Open(_) => self.found = self.found.take().or(Some(LookupResult::Open)),
            JobStatus::Unknown => {}
        }
    }

    /// Continues the submission of a job that is not known here.
    fn submit_unknown(&self) -> NextAction {
        match self.validation {
            None => NextAction::Validate,
            Some(Validation::Valid { needs_cancelled_job }) => NextAction::Store { needs_cancelled_job },
            // a repetition of an accepted submission must not be refused
            Some(Validation::Unsatisfiable(_)) => NextAction::LookUp,
            Some(Validation::Undetermined(reason)) => NextAction::Reply(Reply::RetryLater(reason)),
        }
    }

    /// Replies for a job that has no outcome, as the store confirms.  A job that depends on a
    /// cancelled one is not reported as unfinished all the same, however late its own
    /// cancellation is stored.
    fn reply_unfinished(&mut self, view: &mut StateView) -> NextAction {
        if self.accepted {
            return NextAction::Reply(Reply::Accepted);
        }
        let may_have_dependencies = match view.jobs.status_of(&self.id) {
            JobStatus::Open(job) => !job.spec.needs.is_empty(),
            // it was accepted a moment ago, or the watch is behind
            _ => true,
        };
        match view.jobs.cancelled_dependency(&self.id) {
            _ if !may_have_dependencies => NextAction::Reply(Reply::Unfinished),
            CancelledDependency::Unknown(ids) => NextAction::ReadOutcomes(ids),
            CancelledDependency::No if view.is_fresh() => NextAction::Reply(Reply::Unfinished),
            _ => NextAction::Reply(Reply::RetryLater(DEPENDENCIES_UNCHECKED)),
        }
    }

    /// Replies for a cancelled job, once that may be confirmed.
    ///
    /// A controller whose view is not fresh may not have seen yet that notices are required,
    /// and controllers that renew leases without knowing of a cancellation rely on them.
    fn reply_cancelled(&self, view: &mut StateView) -> NextAction {
        let confirmed = NextAction::Reply(Reply::Ended(JobOutcome::Cancelled));
        if !view.notices_required {
            return confirmed;
        }
        if !view.is_fresh() {
            return NextAction::Reply(Reply::RetryLater(PEERS_UNAWARE));
        }
        if view.no_task_left {
            view.notices.settle(&self.id);
        }
        match view.notices.may_confirm(&self.id, view.cancellations, view.policy, view.now) {
            true => confirmed,
            false => NextAction::NotifyPeers,
        }
    }

    /// Applies what the store has of the id.  It must have been asked after the request had
    /// arrived; `None` if it did not respond.
    pub fn apply_lookup(&mut self, found: Option<LookupResult>) {
        self.failure = found.is_none().then_some(STORE_UNAVAILABLE);
        self.found = found;
    }

    /// Applies the store's response on whether the job has an outcome.
    pub fn apply_confirmation(&mut self, confirmation: Confirmation) {
        match confirmation {
            Confirmation::Unfinished => self.found = Some(LookupResult::Confirmed),
            Confirmation::Ended(outcome) => self.found = Some(LookupResult::Ended(outcome)),
            Confirmation::Unavailable => self.failure = Some(STORE_UNAVAILABLE),
        }
    }

    /// Applies the result of checking the submission.
    pub fn apply_validation(&mut self, validation: Validation) {
        self.validation = Some(validation);
    }

    /// Applies the result of storing the submission.  If that was slow, or if an outcome is
    /// known here by now, other controllers may have reported a later state than "accepted".
    pub fn apply_store_result(&mut self, result: StoreResult, jobs: &mut JobIndex) {
        // its cancellation is stored by the same transaction and comes after the acceptance
        let stored_as_cancelled = self.validation == Some(Validation::Valid { needs_cancelled_job: true });
        match result {
            StoreResult::Unknown => self.failure = Some(STORE_UNAVAILABLE),
            StoreResult::AlreadyStored | StoreResult::New { slow: true } => self.found = Some(LookupResult::Open),
            StoreResult::New { slow: false } if jobs.outcome(&self.id).is_some() && !stored_as_cancelled => {
                self.found = Some(LookupResult::Open);
            }
            StoreResult::New { slow: false } => {
                self.found = Some(LookupResult::Confirmed);
                self.accepted = true;
            }
        }
    }

    /// Applies the outcome that the job has by now, whether this request stored it or not;
    /// `None` if the store did not respond.
    pub fn apply_cancellation(&mut self, outcome: Option<JobOutcome>) {
        match outcome {
            None => self.failure = Some(STORE_UNAVAILABLE),
            Some(outcome) => self.found = Some(LookupResult::Ended(outcome)),
        }
    }

    /// Notes that outcomes were read into the job index.  `all_ended`: each of the jobs that
    /// were to be read has an outcome.
    pub fn apply_outcomes_read(&mut self, all_ended: bool) {
        if !all_ended {
            self.failure = Some(DEPENDENCIES_UNCHECKED);
        }
    }
}

#[cfg(test)]
mod tests;
