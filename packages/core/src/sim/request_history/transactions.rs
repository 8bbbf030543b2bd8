//! Writes to the state service.  A write may be delayed, and its response may be lost.

use super::*;

/// The simulated result of sending a write to the state service.
enum WriteOutcome {
    /// The write is applied later, and there is no response.
    Delayed,
    /// The write is applied, and the response is lost.
    ResponseLost,
    /// The write is applied, and the response arrives.
    Answered,
}

impl RequestHistory {
    /// Stores that a random job is done, if the job is stored without an outcome.
    pub(super) fn complete_job(&mut self, leader: usize) {
        let job = self.random_job();
        if self.outage || self.state_store.job(&job).is_none() || self.state_store.store.outcome(&job).is_some() {
            return;
        }
        let mut txn = Txn::default();
        key::put_outcome(&mut txn, &job, JobOutcome::Done);
        let revision =
            self.state_store.apply(&txn).expect("the job has no outcome yet, so the transaction has no conflict");
        // the writer learns of the outcome immediately, or only by its watch
        if self.rng.bool() {
            let now = self.now_instant();
            self.controllers[leader].apply_outcome(&job, JobOutcome::Done, revision, now);
        }
    }

    /// Stores all queued submissions of a controller in one transaction.
    pub(super) fn commit_submissions(&mut self, index: usize) {
        if self.controllers[index].submissions.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.controllers[index].submissions);
        let txn = submissions_txn(batch.iter().map(|s| crate::user_request::Submission {
            spec: &s.spec,
            depends_on_cancelled_job: s.depends_on_cancelled_job,
        }));
        match self.write_submissions(&txn) {
            None => self.apply_unknown_result(&batch),
            Some(Ok(revision)) => self.apply_stored(index, batch, &txn, revision),
            Some(Err(conflicts)) => self.apply_conflicts(index, batch, &conflicts),
        }
    }

    /// Sends a transaction of submissions to the state service and returns the result, or `None`
    /// if there is no response.
    fn write_submissions(&mut self, txn: &Txn) -> Option<Result<u64, Vec<String>>> {
        let write = match self.rng.u32(0..12) {
            0 => WriteOutcome::Delayed,
            1 => WriteOutcome::ResponseLost,
            _ => WriteOutcome::Answered,
        };
        if self.outage {
            return None;
        }
        match write {
            WriteOutcome::Delayed => {
                self.delayed_txns.push(txn.clone());
                self.coverage.delayed_writes += 1;
                None
            }
            WriteOutcome::ResponseLost => {
                let _ = self.state_store.apply(txn);
                self.coverage.lost_responses += 1;
                None
            }
            WriteOutcome::Answered => Some(self.state_store.apply(txn)),
        }
    }

    /// Sets the result of submissions whose transaction got no response.
    fn apply_unknown_result(&mut self, batch: &[Submission]) {
        let result = match self.defect {
            InjectedDefect::AcceptUnknownSubmission => StoreResult::New { slow: false },
            _ => StoreResult::Unknown,
        };
        for submission in batch {
            self.set_store_result(submission.request, result);
        }
    }

    /// Sets the result of submissions that were stored.  A job that depends on a cancelled one is
    /// stored as cancelled in the same transaction.
    fn apply_stored(&mut self, index: usize, batch: Vec<Submission>, txn: &Txn, revision: u64) {
        let now = self.now_instant();
        let trust_local = self.defect == InjectedDefect::TrustLocalCancellation;
        for Submission { request, spec, depends_on_cancelled_job } in batch {
            let outcome_key = format!("{}{}", key::OUTCOME, spec.id);
            let is_stored_as_cancelled =
                txn.writes.iter().any(|w| matches!(w, Write::Set { set, .. } if *set == outcome_key));
            let job = spec.id.clone();
            self.controllers[index].unread_responses.push(StoredJob { spec, revision });
            if is_stored_as_cancelled || depends_on_cancelled_job && trust_local {
                self.read_responses(index);
                self.controllers[index].apply_outcome(&job, JobOutcome::Cancelled, revision, now);
            }
            let slow = self.rng.u32(0..4) == 0;
            self.set_store_result(request, StoreResult::New { slow });
        }
    }

    /// Handles a conflict: the submissions of jobs that were stored before get the result
    /// `AlreadyStored`, and the others are queued again.
    fn apply_conflicts(&mut self, index: usize, batch: Vec<Submission>, conflicts: &[String]) {
        for submission in batch {
            match conflicts.contains(&format!("{}{}", key::JOB, submission.spec.id)) {
                true => self.set_store_result(submission.request, StoreResult::AlreadyStored),
                false => self.controllers[index].submissions.push(submission),
            }
        }
    }

    fn set_store_result(&mut self, request: RequestId, result: StoreResult) {
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.stage = RequestStage::Submitted(result);
        }
    }

    /// Sends a cancellation to the state service.  Returns the outcome that is stored afterwards,
    /// or `None` if there is no response.
    pub(super) fn commit_cancellation(&mut self, pending: &PendingRequest, response_lost: bool) -> Option<JobOutcome> {
        if self.outage {
            return None;
        }
        let job = &pending.job;
        let txn = cancellations_txn(std::slice::from_ref(job));
        let confirm_unknown = self.defect == InjectedDefect::ConfirmUnknownCancellation;
        if response_lost && self.rng.bool() {
            self.delayed_txns.push(txn);
            self.coverage.delayed_writes += 1;
            return confirm_unknown.then_some(JobOutcome::Cancelled);
        }
        let result = self.state_store.apply(&txn);
        if response_lost {
            self.coverage.lost_responses += 1;
            return confirm_unknown.then_some(JobOutcome::Cancelled);
        }
        let outcome = self.state_store.store.outcome(job).expect("the job has an outcome after the cancellation");
        let revision = result.unwrap_or(self.state_store.store.revision(&format!("{}{job}", key::OUTCOME)));
        let now = self.now_instant();
        self.controllers[pending.controller].apply_outcome(job, outcome, revision, now);
        Some(outcome)
    }

    /// Applies a random delayed transaction, if there is one and the state service is available.
    pub(super) fn apply_delayed_txn(&mut self) {
        if !self.delayed_txns.is_empty() && !self.outage {
            let position = self.rng.usize(0..self.delayed_txns.len());
            let txn = self.delayed_txns.swap_remove(position);
            // the transaction may conflict with a write that came after it was sent
            let _ = self.state_store.apply(&txn);
        }
    }
}
