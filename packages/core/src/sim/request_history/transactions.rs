//! Writes to the state service, whose response may be lost and which may arrive late.

use super::*;

/// What becomes of a write to the state service.
enum WriteOutcome {
    /// It arrives later, without a response.
    Delayed,
    /// It is carried out, and the response is lost.
    ResponseLost,
    /// It is carried out, and answered.
    Answered,
}

impl RequestHistory {
    /// A leader stores that a job is done.
    pub(super) fn complete_job(&mut self, leader: usize) {
        let job = self.random_job();
        if self.outage || self.state_store.job(&job).is_none() || self.state_store.store.outcome(&job).is_some() {
            return;
        }
        let mut txn = Txn::default();
        key::put_outcome(&mut txn, &job, JobOutcome::Done);
        let revision = self.state_store.apply(&txn).expect("the job has no outcome");
        // the writer learns of it at once, or by its watch alone
        if self.rng.bool() {
            let now = self.at();
            self.controllers[leader].apply_outcome(&job, JobOutcome::Done, revision, now);
        }
    }

    /// A controller stores all queued submissions in one transaction.
    pub(super) fn commit_submissions(&mut self, index: usize) {
        if self.controllers[index].submissions.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.controllers[index].submissions);
        let txn =
            submissions_txn(batch.iter().map(|s| crate::user_request::Submission {
                spec: &s.spec,
                needs_cancelled_job: s.needs_cancelled_job,
            }));
        match self.write_submissions(&txn) {
            None => self.apply_unknown_result(&batch),
            Some(Ok(revision)) => self.apply_stored(index, batch, &txn, revision),
            Some(Err(conflicts)) => self.apply_conflicts(index, batch, &conflicts),
        }
    }

    /// The state service's response to a transaction; `None`: there is none.
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
                self.coverage.late_writes += 1;
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

    /// Whether the submissions are stored is not known.
    fn apply_unknown_result(&mut self, batch: &[Submission]) {
        let result = match self.defect {
            InjectedDefect::AcceptUnknownSubmission => StoreResult::New { slow: false },
            _ => StoreResult::Unknown,
        };
        for submission in batch {
            self.set_store_result(submission.request, result);
        }
    }

    /// The submissions are stored; a job that needs a cancelled one ends with them.
    fn apply_stored(&mut self, index: usize, batch: Vec<Submission>, txn: &Txn, revision: u64) {
        let now = self.at();
        let trust_local = self.defect == InjectedDefect::TrustLocalCancellation;
        for Submission { request, spec, needs_cancelled_job } in batch {
            let outcome_key = format!("{}{}", key::OUTCOME, spec.id);
            let ends = txn.writes.iter().any(|w| matches!(w, Write::Set { set, .. } if *set == outcome_key));
            let job = spec.id.clone();
            self.controllers[index].unread_responses.push(StoredJob { spec, revision });
            if ends || needs_cancelled_job && trust_local {
                self.read_responses(index);
                self.controllers[index].apply_outcome(&job, JobOutcome::Cancelled, revision, now);
            }
            let slow = self.rng.u32(0..4) == 0;
            self.set_store_result(request, StoreResult::New { slow });
        }
    }

    /// Some of the jobs were stored before: the others are tried again.
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

    /// The state service gets a cancellation; the outcome that is stored then, if it answers.
    pub(super) fn commit_cancellation(&mut self, pending: &PendingRequest, response_lost: bool) -> Option<JobOutcome> {
        if self.outage {
            return None;
        }
        let job = &pending.job;
        let txn = cancellations_txn(std::slice::from_ref(job));
        let confirm_unknown = self.defect == InjectedDefect::ConfirmUnknownCancellation;
        if response_lost && self.rng.bool() {
            self.delayed_txns.push(txn);
            self.coverage.late_writes += 1;
            return confirm_unknown.then_some(JobOutcome::Cancelled);
        }
        let result = self.state_store.apply(&txn);
        if response_lost {
            self.coverage.lost_responses += 1;
            return confirm_unknown.then_some(JobOutcome::Cancelled);
        }
        let outcome = self.state_store.store.outcome(job).expect("the job has an outcome now");
        let revision = result.unwrap_or(self.state_store.store.revision(&format!("{}{job}", key::OUTCOME)));
        let now = self.at();
        self.controllers[pending.controller].apply_outcome(job, outcome, revision, now);
        Some(outcome)
    }

    /// A transaction without a response is carried out after all.
    pub(super) fn apply_delayed_txn(&mut self) {
        if !self.delayed_txns.is_empty() && !self.outage {
            let position = self.rng.usize(0..self.delayed_txns.len());
            let txn = self.delayed_txns.swap_remove(position);
            // it may conflict with a later write
            let _ = self.state_store.apply(&txn);
        }
    }
}
