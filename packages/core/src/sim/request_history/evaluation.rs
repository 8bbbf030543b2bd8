//! Evaluation of a request at its controller, and the check of the reply against the records.

use super::*;

impl RequestHistory {
    /// Decides on the next action for a request at its controller, starts the action and returns
    /// the request's next stage.
    pub(super) fn evaluate_request(&mut self, id: RequestId, pending: &mut PendingRequest) -> RequestStage {
        let action = self.next_action(pending);
        let controller = &mut self.controllers[pending.controller];
        match action {
            NextAction::Reply(reply) => RequestStage::Replied(reply),
            NextAction::LookUp => self.begin_lookup(pending),
            NextAction::Confirm if self.defect == InjectedDefect::SkipConfirmation => {
                RequestStage::Confirmed(Confirmation::Unfinished)
            }
            NextAction::Confirm => RequestStage::Confirming,
            NextAction::Cancel => RequestStage::Cancelling,
            NextAction::Validate => {
                let validation = self.validate(pending);
                pending.request.apply_validation(validation);
                RequestStage::AtController
            }
            NextAction::Store { depends_on_cancelled_job } => {
                let submission = Submission { request: id, spec: job_array(&pending.job, 1), depends_on_cancelled_job };
                controller.submissions.push(submission);
                RequestStage::Queued
            }
            NextAction::NotifyPeers if pending.remaining_notifications == 0 => {
                RequestStage::Replied(Reply::RetryLater("not every controller knows of it yet"))
            }
            NextAction::NotifyPeers => {
                pending.remaining_notifications -= 1;
                self.notify_peer(pending.controller);
                RequestStage::AtController
            }
            NextAction::ReadOutcomes(jobs) => panic!("no job in this simulation depends on {jobs:?}"),
        }
    }

    /// Returns the decision of the production code for the controller's current state.
    fn next_action(&mut self, pending: &mut PendingRequest) -> NextAction {
        let now = self.now_instant();
        let is_first = !std::mem::replace(&mut pending.evaluated, true);
        let controller = &mut self.controllers[pending.controller];
        let from_memory = is_first && matches!(controller.jobs.status_of(&pending.job), JobStatus::Ended(_));
        self.coverage.from_memory += u32::from(from_memory);
        pending.request.next_action(&mut StateView {
            jobs: &mut controller.jobs,
            cancellations: &controller.cancellations,
            notices: &mut controller.notices,
            cancellations_complete_as_of: controller.is_synced.then_some(now),
            notices_required: true,
            has_no_task: false,
            policy: &self.policy,
            now,
        })
    }

    /// Starts a look-up of a job together with a random other job, since the production code
    /// batches look-ups.
    fn begin_lookup(&mut self, pending: &PendingRequest) -> RequestStage {
        let earlier = self.controllers[pending.controller].lookup_results.get(&pending.job);
        match (self.defect, earlier) {
            (InjectedDefect::TreatEvictedAsUnknown, _) => RequestStage::LookedUp(Some(LookupResult::NotFound)),
            (InjectedDefect::ReuseLookupResult, Some(result)) => RequestStage::LookedUp(Some(result.clone())),
            _ => {
                let other = self.random_job();
                RequestStage::LookingUp(Lookup::new([&pending.job, &other].into_iter()))
            }
        }
    }

    /// Validates a submission.  One in four validations of a job whose id ends in 5 finds that
    /// the job depends on a cancelled one.
    fn validate(&mut self, pending: &PendingRequest) -> Validation {
        let depends_on_cancelled_job = pending.job.ends_with('5') && self.rng.u32(0..4) == 0;
        if !self.controllers[pending.controller].is_synced {
            return Validation::Undetermined("not ready");
        }
        if is_unsatisfiable(&pending.job) {
            return Validation::Unsatisfiable("unknown team");
        }
        Validation::Valid { depends_on_cancelled_job }
    }

    /// Records a reply that a user receives, and checks that it agrees with the records that are
    /// stored at that time.
    pub(super) fn receive_reply(&mut self, pending: &PendingRequest, reply: Reply) {
        let reported = match reply {
            Reply::RetryLater(_) => return,
            Reply::Accepted | Reply::Unfinished => ObservedState::Unfinished,
            Reply::Ended(JobOutcome::Done) => ObservedState::Done,
            Reply::Ended(JobOutcome::Cancelled) => ObservedState::Cancelled,
            Reply::NotFound if pending.kind == RequestKind::Submit => {
                self.violations.push(format!("submission of {} is answered with 404 (not found)", pending.job));
                ObservedState::NotAccepted
            }
            Reply::NotFound | Reply::Unsatisfiable(_) => ObservedState::NotAccepted,
        };
        let stored = self.stored_state(&pending.job);
        if reported > stored || reported >= ObservedState::Done && reported != stored {
            self.violations.push(format!("{} is reported as {reported:?} but stored as {stored:?}", pending.job));
        }
        self.answers.push(Answer {
            id: pending.job.clone(),
            sent_at: pending.sent_at,
            received_at: self.now,
            state: reported,
        });
    }

    /// Returns a job's state according to the records of the state service.
    fn stored_state(&self, job: &str) -> ObservedState {
        if self.state_store.job(job).is_none() {
            return ObservedState::NotAccepted;
        }
        match self.state_store.store.outcome(job) {
            None => ObservedState::Unfinished,
            Some(JobOutcome::Done) => ObservedState::Done,
            Some(JobOutcome::Cancelled) => ObservedState::Cancelled,
        }
    }
}
