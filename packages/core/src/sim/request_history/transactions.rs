//! Writes to the state service, whose answer may be lost and which may arrive late.

use super::*;

impl RequestHistory {
    /// A leader ends a job whose tasks are done.
    pub(super) fn complete_job(&mut self, index: usize) {
        let (id, now) = (self.id(), self.at());
        if self.outage || self.state_store.job(&id).is_none() || self.state_store.store.outcome(&id).is_some() {
            return;
        }
        let mut txn = Txn::default();
        key::put_outcome(&mut txn, &id, JobOutcome::Done);
        let revision = self.state_store.apply(&txn).expect("it has no end");
        // whoever wrote it knows at once, or by the watch alone
        if self.rng.bool() {
            self.controllers[index].ends(&id, JobOutcome::Done, revision, now);
        }
    }

    /// A controller stores what waits in its queue, in one transaction.
    pub(super) fn commit_submissions(&mut self, index: usize) {
        if self.controllers[index].queue.is_empty() {
            return;
        }
        let (batch, now) = (std::mem::take(&mut self.controllers[index].queue), self.at());
        let txn = submissions_txn(batch.iter().map(|(_, spec, needs_cancelled_job)| (&**spec, *needs_cancelled_job)));
        // refused in an outage; its answer may be lost, or it may come much later
        let (refused, luck) = (self.outage, self.rng.u32(0..12));
        let outcome = match luck {
            _ if refused => None,
            0 => {
                self.delayed_txns.push(txn.clone());
                self.coverage[4] += 1;
                None
            }
            _ => Some(self.state_store.apply(&txn)),
        };
        self.coverage[3] += u32::from(luck == 1 && outcome.is_some());
        let mut back = Vec::new();
        match outcome.filter(|_| luck != 1) {
            None => {
                let word = match self.defect {
                    InjectedDefect::AcceptUnknownSubmission => StoreResult::New { slow: false },
                    _ => StoreResult::Unknown,
                };
                back.extend(batch.iter().map(|b| (b.0, word)));
            }
            Some(Ok(revision)) => {
                for (n, spec, needs_cancelled_job) in batch {
                    let complete_job = format!("{}{}", key::OUTCOME, spec.id);
                    let ends = txn.writes.iter().any(|w| matches!(w, Write::Set { set, .. } if *set == complete_job));
                    self.controllers[index].unread_responses.push((spec.clone(), revision));
                    if ends || needs_cancelled_job && self.defect == InjectedDefect::TrustLocalCancellation {
                        self.read_responses(index);
                        self.controllers[index].ends(&spec.id, JobOutcome::Cancelled, revision, now);
                    }
                    let slow = self.rng.u32(0..4) == 0;
                    back.push((n, StoreResult::New { slow }));
                }
            }
            Some(Err(keys)) => {
                for b in batch {
                    match keys.contains(&format!("{}{}", key::JOB, b.1.id)) {
                        true => back.push((b.0, StoreResult::AlreadyStored)),
                        false => self.controllers[index].queue.push(b),
                    }
                }
            }
        }
        for (n, word) in back {
            if let Some(a) = self.pending.get_mut(&n) {
                a.at = RequestStage::Stored(word);
            }
        }
    }

    /// A transaction that got no answer is carried out after all.
    pub(super) fn apply_delayed_txn(&mut self) {
        if !self.delayed_txns.is_empty() && !self.outage {
            let n = self.rng.usize(0..self.delayed_txns.len());
            let txn = self.delayed_txns.swap_remove(n);
            let _ = self.state_store.apply(&txn);
        }
    }

    /// The store gets a cancellation.
    pub(super) fn cancels(&mut self, a: &PendingRequest, lost: bool) -> Option<JobOutcome> {
        if self.outage {
            return None;
        }
        let (txn, now) = (cancellations_txn(std::slice::from_ref(&a.id)), self.at());
        if lost && self.rng.bool() {
            self.delayed_txns.push(txn);
            self.coverage[4] += 1;
            return (self.defect == InjectedDefect::ConfirmUnknownCancellation).then_some(JobOutcome::Cancelled);
        }
        let result = self.state_store.apply(&txn);
        if lost {
            self.coverage[3] += 1;
            return (self.defect == InjectedDefect::ConfirmUnknownCancellation).then_some(JobOutcome::Cancelled);
        }
        let outcome = self.state_store.store.outcome(&a.id).expect("it has one now");
        let revision = result.unwrap_or(self.state_store.store.revision(&format!("{}{}", key::OUTCOME, a.id)));
        self.controllers[a.controller].ends(&a.id, outcome, revision, now);
        Some(outcome)
    }

    /// A controller notifies the others of cancellations whose users wait.
    pub(super) fn notify_peer(&mut self, index: usize) {
        let (now, n) = (self.at(), self.rng.usize(0..2));
        let other = (index + 1 + n) % 3;
        let controller = &mut self.controllers[index];
        let told = controller.notices.for_peer(n, &controller.cancellations, &self.policy, now).cancellations;
        for w in &told {
            self.controllers[other].ends(&w.id, JobOutcome::Cancelled, w.revision, now);
        }
        self.controllers[index].notices.mark_acknowledged(n, &told);
    }
}
