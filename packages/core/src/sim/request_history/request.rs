//! Requests of users on their way through a controller.

use super::*;

/// Where a request is.
#[derive(Debug, Clone)]
pub(super) enum RequestStage {
    /// At its controller, which evaluates what to do.
    ModelController,
    /// On its way to the store, with a look-up.
    LookUp(Lookup),
    /// On its way to the store, to confirm that there is no end.
    Confirm,
    /// On its way to the store, with a cancellation.
    Cancel,
    /// In its controller's queue.
    Queue,
    /// On its way back, with what the store said.
    Found(Option<LookupResult>),
    Confirmed(Option<Option<JobOutcome>>),
    Stored(StoreResult),
    Ended(Option<JobOutcome>),
    /// On its way to the user.
    Said(Reply),
}

pub(super) struct PendingRequest {
    pub(super) id: Name,
    pub(super) kind: RequestKind,
    pub(super) controller: usize,
    /// When it left the user.
    pub(super) sent: u64,
    /// Looks that it may still take until the siblings know.
    pub(super) remaining_notifications: u32,
    pub(super) evaluated: bool,
    pub(super) q: UserRequest,
    pub(super) at: RequestStage,
}

impl RequestHistory {
    /// A user sends a request.
    pub(super) fn send_request(&mut self, controller: usize, id: Name, kind: RequestKind) {
        if kind == RequestKind::Submit {
            self.submitted.entry(id.clone()).or_insert(self.now);
        }
        self.last_sequence += 1;
        let q = UserRequest::new(id.clone(), kind);
        let remaining_notifications = self.rng.u32(1..10);
        let pending = PendingRequest {
            id,
            kind,
            controller,
            sent: self.now,
            remaining_notifications,
            evaluated: false,
            q,
            at: RequestStage::ModelController,
        };
        self.pending.insert(self.last_sequence, pending);
    }

    /// A request gets one step further.
    pub(super) fn advance_request(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        // the oldest first, now and then any
        let at = self.rng.usize(0..self.pending.len().min(12));
        let Some(n) = self.pending.keys().nth(at).copied() else { return };
        let Some(mut a) = self.pending.remove(&n) else { return };
        let lost = self.rng.u32(0..20) == 0;
        match a.at.clone() {
            RequestStage::Queue => {}
            RequestStage::ModelController => a.at = self.evaluate_request(n, &mut a),
            RequestStage::LookUp(mut l) => match (l.txn(), self.outage) {
                (Some(_), true) => {
                    let never = self.defect == InjectedDefect::TreatOutageAsNotFound;
                    a.at = RequestStage::Found(never.then_some(LookupResult::NotFound));
                }
                (Some(txn), false) => {
                    match self.state_store.apply(&txn) {
                        Ok(_) => l.mark_settled(),
                        Err(mut keys) => {
                            // a conflict may name any of the keys that are in its way
                            self.rng.shuffle(&mut keys);
                            keys.truncate(self.rng.usize(1..4));
                            assert!(l.apply_conflict(&keys), "a look-up goes round in circles");
                        }
                    }
                    a.at = RequestStage::LookUp(l);
                }
                (None, _) => {
                    self.coverage[1] += 1;
                    let found = match l.ended().contains(&a.id) {
                        false => l.found(&a.id),
                        true => {
                            let item = self.state_store.job(&a.id).expect("what has an end has a record");
                            let outcome = self.state_store.store.outcome(&a.id).expect("it has an end");
                            let spec = Arc::new(read_value::<JobSpec>(&item.key, item.value).expect("our own record"));
                            let (now, revision) = (self.at(), item.revision);
                            self.controllers[a.controller].jobs.insert_ended(EndedJob { spec, revision, outcome });
                            if outcome == JobOutcome::Cancelled {
                                self.controllers[a.controller].cancellations.record(revision, &a.id, now);
                            }
                            Some(LookupResult::Ended(outcome))
                        }
                    };
                    if let Some(f) = &found {
                        self.controllers[a.controller].lookup_results.insert(a.id.clone(), f.clone());
                    }
                    a.at = RequestStage::Found(found.filter(|_| !lost));
                }
            },
            RequestStage::Confirm => {
                let complete_job = self.state_store.store.outcome(&a.id);
                a.at = RequestStage::Confirmed((!self.outage && !lost).then_some(complete_job));
            }
            RequestStage::Cancel => a.at = RequestStage::Ended(self.cancels(&a, lost)),
            RequestStage::Found(found) => {
                a.q.apply_lookup(found);
                a.at = RequestStage::ModelController;
            }
            RequestStage::Confirmed(complete_job) => {
                a.q.apply_confirmation(complete_job);
                a.at = RequestStage::ModelController;
            }
            RequestStage::Stored(word) => {
                if self.rng.bool() {
                    self.read_responses(a.controller);
                }
                a.q.apply_store_result(word, &mut self.controllers[a.controller].jobs);
                a.at = RequestStage::ModelController;
            }
            RequestStage::Ended(outcome) => {
                a.q.apply_cancellation(outcome);
                a.at = RequestStage::ModelController;
            }
            RequestStage::Said(word) => return self.receive_reply(&a, word),
        }
        self.pending.insert(n, a);
    }

    /// A controller evaluates what to do for a request.
    pub(super) fn evaluate_request(&mut self, n: u64, a: &mut PendingRequest) -> RequestStage {
        let (now, defect) = (self.at(), self.defect);
        let first = !std::mem::replace(&mut a.evaluated, true);
        let controller = &mut self.controllers[a.controller];
        let memory = first && matches!(controller.jobs.status_of(&a.id), JobStatus::Ended(_));
        self.coverage[0] += u32::from(memory);
        let whole = controller.synced.then_some(now);
        let step = a.q.next_action(&mut StateView {
            jobs: &mut controller.jobs,
            cancellations: &controller.cancellations,
            notices: &mut controller.notices,
            cancellations_complete_as_of: whole,
            notices_required: true,
            no_task_left: false,
            policy: &self.policy,
            now,
        });
        match step {
            NextAction::Reply(word) => RequestStage::Said(word),
            NextAction::LookUp if defect == InjectedDefect::TreatEvictedAsUnknown => {
                RequestStage::Found(Some(LookupResult::NotFound))
            }
            NextAction::LookUp
                if defect == InjectedDefect::ReuseLookupResult && controller.lookup_results.contains_key(&a.id) =>
            {
                RequestStage::Found(controller.lookup_results.get(&a.id).cloned())
            }
            NextAction::LookUp => {
                let other = self.id();
                RequestStage::LookUp(Lookup::new([&a.id, &other].into_iter()))
            }
            NextAction::Confirm if defect == InjectedDefect::SkipConfirmation => RequestStage::Confirmed(Some(None)),
            NextAction::Confirm => RequestStage::Confirm,
            NextAction::Cancel => RequestStage::Cancel,
            NextAction::Validate => {
                // one in four of some is judged after the end of what it needs is known
                let needs_cancelled_job = a.id.ends_with('5') && self.rng.u32(0..4) == 0;
                a.q.apply_validation(match (controller.synced, never_runs(&a.id)) {
                    (false, _) => Validation::Undetermined("not ready"),
                    (_, true) => Validation::Unsatisfiable("unknown team"),
                    _ => Validation::Valid { needs_cancelled_job },
                });
                RequestStage::ModelController
            }
            NextAction::Store { needs_cancelled_job } => {
                controller.queue.push((n, spec(&a.id, 1), needs_cancelled_job));
                RequestStage::Queue
            }
            NextAction::NotifyPeers => match a.remaining_notifications {
                0 => RequestStage::Said(Reply::RetryLater("not every controller knows of it yet")),
                _ => {
                    a.remaining_notifications -= 1;
                    self.notify_peer(a.controller);
                    RequestStage::ModelController
                }
            },
            NextAction::ReadOutcomes(ids) => panic!("{ids:?} are needed by nobody"),
        }
    }

    /// A user has an answer.
    pub(super) fn receive_reply(&mut self, a: &PendingRequest, word: Reply) {
        let said = match word {
            Reply::RetryLater(_) => return,
            Reply::Accepted | Reply::Unfinished => Said::Unfinished,
            Reply::Ended(JobOutcome::Done) => Said::Done,
            Reply::Ended(JobOutcome::Cancelled) => Said::Cancelled,
            Reply::NotFound if a.kind == RequestKind::Submit => {
                self.violations.push(format!("{}: a submission is answered with 404", a.id));
                Said::Never
            }
            Reply::NotFound | Reply::Unsatisfiable(_) => Said::Never,
        };
        let stored = match self.state_store.store.outcome(&a.id) {
            _ if self.state_store.job(&a.id).is_none() => Said::Never,
            None => Said::Unfinished,
            Some(JobOutcome::Done) => Said::Done,
            Some(JobOutcome::Cancelled) => Said::Cancelled,
        };
        if said > stored || said >= Said::Done && said != stored {
            self.violations.push(format!("{} is called {said:?}, and {stored:?} by the store", a.id));
        }
        self.answers.push(Answer { id: a.id.clone(), sent: a.sent, had: self.now, said });
    }
}
