//! User requests and their stages between the user, a controller and the state service.

use super::*;

/// Identifies a request.  Later requests have greater numbers.
pub(super) type RequestId = u64;

/// The stage that a request has reached.
#[derive(Debug, Clone)]
pub(super) enum RequestStage {
    /// The controller has the request and has to decide on the next action.
    AtController,
    /// A look-up is in flight to the state service.
    LookingUp(Lookup),
    /// A read that confirms that the job has no outcome is in flight to the state service.
    Confirming,
    /// A cancellation is in flight to the state service.
    Cancelling,
    /// The submission is in the controller's queue.
    Queued,
    /// The result of a look-up is in flight to the controller; `None` if there is no response.
    LookedUp(Option<LookupResult>),
    /// The result of the confirming read is in flight to the controller.
    Confirmed(Confirmation),
    /// The result of storing a submission is in flight to the controller.
    Submitted(StoreResult),
    /// The outcome after a cancellation is in flight to the controller; `None` if there is no
    /// response.
    Cancelled(Option<JobOutcome>),
    /// The reply is in flight to the user.
    Replied(Reply),
}

/// A request whose user has not received a reply yet.
pub(super) struct PendingRequest {
    pub(super) job: Name,
    pub(super) kind: RequestKind,
    /// Index of the controller that handles the request.
    pub(super) controller: usize,
    /// Step in which the user sent the request.
    pub(super) sent_at: u64,
    /// Number of times that the request may still notify peers before the reply is "retry later".
    pub(super) remaining_notifications: u32,
    /// Whether the controller has evaluated the request before.
    pub(super) evaluated: bool,
    pub(super) request: UserRequest,
    pub(super) stage: RequestStage,
}

/// Number of oldest pending requests from which the next one to advance is drawn.
const MAX_ADVANCE_CANDIDATES: usize = 12;

impl RequestHistory {
    /// Sends a user's request to a controller.
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

    /// Advances one of the oldest pending requests by one stage.
    pub(super) fn advance_request(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let position = self.rng.usize(0..self.pending.len().min(MAX_ADVANCE_CANDIDATES));
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

    /// Applies a response of the state service to a request at its controller.
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
            other => unreachable!("stage {other:?} holds no response of the state service"),
        }
    }

    /// Applies the next transaction of a look-up in the state service, or completes the look-up.
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
            Ok(_) => lookup.mark_complete(),
            Err(mut keys) => {
                // a conflict may name any of the keys whose precondition failed
                self.rng.shuffle(&mut keys);
                keys.truncate(self.rng.usize(1..4));
                assert!(lookup.apply_conflict(&keys), "look-up makes no progress after a conflict on {keys:?}");
            }
        }
        RequestStage::LookingUp(lookup)
    }

    /// Returns the result of a look-up, and adds a job that has ended to the controller's index.
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

    /// Reads the record and the outcome of an ended job into a controller's index, and returns the
    /// outcome.
    fn read_ended_job(&mut self, pending: &PendingRequest) -> JobOutcome {
        let record = self.state_store.job(&pending.job).expect("a job with an outcome has a stored record");
        let outcome = self.state_store.store.outcome(&pending.job).expect("an ended job has a stored outcome");
        let spec = Arc::new(decode_value::<JobSpec>(&record.key, record.value).expect("a stored record is readable"));
        let now = self.now_instant();
        let controller = &mut self.controllers[pending.controller];
        controller.jobs.insert_ended(EndedJob { spec, revision: record.revision, outcome });
        if outcome == JobOutcome::Cancelled {
            controller.cancellations.record(record.revision, &pending.job, now);
        }
        outcome
    }

    /// Reads from the state service whether a job has an outcome.  The result is `Unavailable` in an
    /// outage, or if the response is lost.
    fn read_outcome(&self, job: &str, response_lost: bool) -> Confirmation {
        if self.outage || response_lost {
            return Confirmation::Unavailable;
        }
        self.state_store.store.outcome(job).map_or(Confirmation::Unfinished, Confirmation::Ended)
    }
}
