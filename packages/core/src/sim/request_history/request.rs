//! Requests of users on their way through a controller.

use super::*;

/// Identifies a request; later requests have greater numbers.
pub(super) type RequestId = u64;

/// Where a request is.
#[derive(Debug, Clone)]
pub(super) enum RequestStage {
    /// At its controller, which decides on the next action.
    AtController,
    /// On its way to the state service, with a look-up.
    LookingUp(Lookup),
    /// On its way to the state service, to confirm that there is no outcome.
    Confirming,
    /// On its way to the state service, with a cancellation.
    Cancelling,
    /// In its controller's queue of submissions.
    Queued,
    /// On its way back, with the result of a look-up; `None`: no response.
    LookedUp(Option<LookupResult>),
    /// On its way back, with the outcome that was read.
    Confirmed(Confirmation),
    /// On its way back, with the result of a submission.
    Submitted(StoreResult),
    /// On its way back, with the outcome after a cancellation; `None`: no response.
    Cancelled(Option<JobOutcome>),
    /// On its way to the user.
    Replied(Reply),
}

/// A request without a reply so far.
pub(super) struct PendingRequest {
    pub(super) job: Name,
    pub(super) kind: RequestKind,
    /// Index of the controller that has it.
    pub(super) controller: usize,
    /// When it left the user.
    pub(super) sent_at: u64,
    /// How often it may still notify peers before it is answered with "retry later".
    pub(super) remaining_notifications: u32,
    /// Whether its controller has evaluated it before.
    pub(super) evaluated: bool,
    pub(super) request: UserRequest,
    pub(super) stage: RequestStage,
}

/// The number of oldest requests from which the next one to advance is drawn.
const ADVANCED_FIRST: usize = 12;

impl RequestHistory {
    /// A user sends a request to a controller.
    pub(super) fn send_request(&mut self, controller: usize, job: Name, kind: RequestKind) {
        if kind == RequestKind::Submit {
            self.submitted_at.entry(job.clone()).or_insert(self.now);
        }
        self.last_request += 1;
        let pending = PendingRequest {
            request: UserRequest::new(job.clone(), kind),
            job,
            kind,
            controller,
            sent_at: self.now,
            remaining_notifications: self.rng.u32(1..10),
            evaluated: false,
            stage: RequestStage::AtController,
        };
        self.pending.insert(self.last_request, pending);
    }

    /// Takes one request a step further: one of the oldest.
    pub(super) fn advance_request(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let position = self.rng.usize(0..self.pending.len().min(ADVANCED_FIRST));
        let Some(id) = self.pending.keys().nth(position).copied() else { return };
        let Some(mut pending) = self.pending.remove(&id) else { return };
        let response_lost = self.rng.u32(0..20) == 0;
        pending.stage = match pending.stage.clone() {
            RequestStage::Queued => RequestStage::Queued,
            RequestStage::AtController => self.evaluate_request(id, &mut pending),
            RequestStage::LookingUp(lookup) => self.continue_lookup(&pending, lookup, response_lost),
            RequestStage::Confirming => RequestStage::Confirmed(self.read_outcome(&pending.job, response_lost)),
            RequestStage::Cancelling => RequestStage::Cancelled(self.commit_cancellation(&pending, response_lost)),
            RequestStage::Replied(reply) => return self.receive_reply(&pending, reply),
            response => {
                self.apply_response(&mut pending, response);
                RequestStage::AtController
            }
        };
        self.pending.insert(id, pending);
    }

    /// A controller takes in what the state service answered.
    fn apply_response(&mut self, pending: &mut PendingRequest, response: RequestStage) {
        match response {
            RequestStage::LookedUp(result) => pending.request.apply_lookup(result),
            RequestStage::Confirmed(confirmation) => pending.request.apply_confirmation(confirmation),
            RequestStage::Submitted(result) => {
                if self.rng.bool() {
                    self.read_responses(pending.controller);
                }
                pending.request.apply_store_result(result, &mut self.controllers[pending.controller].jobs);
            }
            RequestStage::Cancelled(outcome) => pending.request.apply_cancellation(outcome),
            other => unreachable!("{other:?} is no response"),
        }
    }

    /// The state service carries out a transaction of a look-up, or the look-up is done.
    fn continue_lookup(&mut self, pending: &PendingRequest, mut lookup: Lookup, response_lost: bool) -> RequestStage {
        let Some(txn) = lookup.txn() else {
            self.coverage.from_lookup += 1;
            let found = self.finish_lookup(pending, &lookup);
            return RequestStage::LookedUp(found.filter(|_| !response_lost));
        };
        if self.outage {
            let defect = self.defect == InjectedDefect::TreatOutageAsNotFound;
            return RequestStage::LookedUp(defect.then_some(LookupResult::NotFound));
        }
        match self.state_store.apply(&txn) {
            Ok(_) => lookup.mark_settled(),
            Err(mut keys) => {
                // a conflict may name any of the keys whose precondition failed
                self.rng.shuffle(&mut keys);
                keys.truncate(self.rng.usize(1..4));
                assert!(lookup.apply_conflict(&keys), "a look-up makes no progress");
            }
        }
        RequestStage::LookingUp(lookup)
    }

    /// The result of a look-up; the controller keeps a job that has ended.
    fn finish_lookup(&mut self, pending: &PendingRequest, lookup: &Lookup) -> Option<LookupResult> {
        let found = match lookup.ended().contains(&pending.job) {
            false => lookup.found(&pending.job),
            true => Some(LookupResult::Ended(self.read_ended_job(pending))),
        };
        if let Some(result) = &found {
            let results = &mut self.controllers[pending.controller].lookup_results;
            results.insert(pending.job.clone(), result.clone());
        }
        found
    }

    /// Reads the record and the outcome of a job that has ended into a controller's index.
    fn read_ended_job(&mut self, pending: &PendingRequest) -> JobOutcome {
        let record = self.state_store.job(&pending.job).expect("a job with an outcome has a record");
        let outcome = self.state_store.store.outcome(&pending.job).expect("the job has an outcome");
        let spec = Arc::new(read_value::<JobSpec>(&record.key, record.value).expect("our own record"));
        let now = self.at();
        let controller = &mut self.controllers[pending.controller];
        controller.jobs.insert_ended(EndedJob { spec, revision: record.revision, outcome });
        if outcome == JobOutcome::Cancelled {
            controller.cancellations.record(record.revision, &pending.job, now);
        }
        outcome
    }

    /// Reads from the state service whether a job has an outcome.
    fn read_outcome(&self, job: &str, response_lost: bool) -> Confirmation {
        if self.outage || response_lost {
            return Confirmation::Unavailable;
        }
        self.state_store.store.outcome(job).map_or(Confirmation::Unfinished, Confirmation::Ended)
    }
}
