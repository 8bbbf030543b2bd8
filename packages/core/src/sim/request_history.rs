//! Three controllers that keep little of a long history, and users at all of them at once
//! who ask about all of it, submit and cancel, each request at its own pace: the rules of
//! answers, through eviction, reads of many pages, watches that are too old, crashes,
//! outages of the state service, writes whose answer is lost and writes that come late.
//! What a controller decides and says is the program's own; only the I/O is played.

use std::collections::{HashSet, VecDeque};

use super::*;
use crate::cancellation::{CancellationLog, CancellationNotices};
use crate::job_index::{EndedJob, InitialScan, JobIndex, JobStatus};
use crate::lookup::{Lookup, LookupResult};
use crate::user_request::{
    cancellations_txn, submissions_txn, NextAction, Reply, RequestKind, StateView, StoreResult, UserRequest, Validation,
};
use coralnotch_wire::history::{older, Answer, Said};
use coralnotch_wire::state::WatchEvent;

/// What is left out on purpose, to see that it is noticed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum InjectedDefect {
    None,
    /// What is not in memory was never accepted.
    TreatEvictedAsUnknown,
    /// An answer that is read late enters its job all the same.
    ApplyLateResponses,
    /// The scan is not told of ends that the watch shows meanwhile.
    ScanIgnoresWatchedOutcomes,
    /// The watch begins where the scan ended.
    WatchFromScanEnd,
    /// "Not over" is said without asking the store.
    SkipConfirmation,
    /// In an outage, nothing found is nothing there.
    TreatOutageAsNotFound,
    /// What the store said to an earlier question is good for the next one.
    ReuseLookupResult,
    /// A submission without an answer was carried out.
    AcceptUnknownSubmission,
    /// A cancellation without an answer was carried out.
    ConfirmUnknownCancellation,
    /// Each request believes its own idea of whether its job ends with what it needs,
    /// whatever was stored.
    TrustLocalCancellation,
}

/// Changes that the state service keeps.
const WATCH_HISTORY: usize = 30;
/// Ended jobs that a controller keeps.
const MAX_ENDED_JOBS: usize = 3;

#[derive(Default)]
struct WatchedStore {
    store: StateStore,
    changes: VecDeque<(u64, WatchEvent)>,
    compacted_revision: u64,
}

impl WatchedStore {
    fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let revision = self.store.apply(txn)?;
        for w in &txn.writes {
            if let Write::Set { set, data, .. } = w {
                let e = WatchEvent { set: Some(set.clone()), delete: None, value: Some(data.clone()), revision };
                self.changes.push_back((revision, e));
            }
        }
        while self.changes.len() > WATCH_HISTORY {
            self.compacted_revision = self.changes.pop_front().map_or(self.compacted_revision, |c| c.0);
        }
        Ok(revision)
    }

    fn page(&self, under: &str, since: &str, most: usize) -> (Vec<KeyValue>, bool) {
        let after = |k: &&String| k.starts_with(under) && k.as_str() > since;
        let rows = self.store.kv.iter().filter(|(k, _)| after(k)).take(most + 1);
        let mut rows: Vec<KeyValue> = rows
            .map(|(k, (data, revision))| KeyValue { key: k.clone(), value: data.clone(), revision: *revision })
            .collect();
        let truncated = rows.len() > most;
        rows.truncate(most);
        (rows, truncated)
    }

    fn job(&self, id: &str) -> Option<KeyValue> {
        let path = format!("{}{id}", key::JOB);
        self.store.kv.get(&path).map(|(index, s)| KeyValue { key: path.clone(), value: index.clone(), revision: *s })
    }
}

/// One controller's knowledge of jobs.
struct ModelController {
    jobs: JobIndex,
    cancellations: CancellationLog,
    notices: CancellationNotices,
    scan: Option<InitialScan>,
    /// Watched up to here; `None` before a scan has begun.
    since: Option<u64>,
    synced: bool,
    /// Submissions that wait to be stored: requests, and whether they end at once.
    queue: Vec<(u64, Arc<JobSpec>, bool)>,
    /// Own transactions that were carried out, and whose answers are not read yet.
    unread_responses: Vec<(Arc<JobSpec>, u64)>,
    /// A page that was read and is not taken in yet.
    pending_page: Option<(&'static str, Vec<KeyValue>, bool)>,
    /// Results of its look-ups, for one defect.
    lookup_results: HashMap<Name, LookupResult>,
}

impl ModelController {
    fn new(incarnation: u64) -> ModelController {
        ModelController {
            jobs: JobIndex::new(MAX_ENDED_JOBS),
            cancellations: CancellationLog::new(incarnation, 50),
            notices: CancellationNotices::new(2, 50),
            scan: None,
            since: None,
            synced: false,
            queue: Vec::new(),
            unread_responses: Vec::new(),
            pending_page: None,
            lookup_results: HashMap::new(),
        }
    }

    /// Learns of an end, however.
    fn ends(&mut self, id: &str, outcome: JobOutcome, revision: u64, now: Instant) {
        if outcome == JobOutcome::Cancelled {
            self.cancellations.record(revision, id, now);
        }
        self.jobs.apply_outcome(id, outcome);
    }
}

/// Where a request is.
#[derive(Debug, Clone)]
enum RequestStage {
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

struct PendingRequest {
    id: Name,
    kind: RequestKind,
    controller: usize,
    /// When it left the user.
    sent: u64,
    /// Looks that it may still take until the siblings know.
    remaining_notifications: u32,
    evaluated: bool,
    q: UserRequest,
    at: RequestStage,
}

struct RequestHistory {
    rng: fastrand::Rng,
    t0: Instant,
    now: u64,
    policy: Policy,
    state_store: WatchedStore,
    controllers: Vec<ModelController>,
    last_incarnation: u64,
    pending: BTreeMap<u64, PendingRequest>,
    last_sequence: u64,
    /// Transactions that got no answer and come later.
    delayed_txns: Vec<Txn>,
    outage: bool,
    defect: InjectedDefect,
    /// When each was submitted first.
    submitted: HashMap<Name, u64>,
    answers: Vec<Answer<u64>>,
    violations: Vec<String>,
    /// Answers from memory, by look-up, after a restart of a scan; lost answers of
    /// submissions and cancellations; those that came late.
    coverage: [u32; 5],
}

/// Ids that can never run.
fn never_runs(id: &str) -> bool {
    id.ends_with("77")
}

impl RequestHistory {
    fn new(seed: u64, defect: InjectedDefect) -> RequestHistory {
        let config = Config::parse("sim", SETTINGS).expect("settings of the simulation");
        RequestHistory {
            rng: fastrand::Rng::with_seed(seed),
            t0: Instant::now(),
            now: 0,
            policy: Policy::new(&config).expect("the default policy"),
            state_store: WatchedStore::default(),
            controllers: (0..3).map(ModelController::new).collect(),
            last_incarnation: 3,
            pending: BTreeMap::new(),
            last_sequence: 0,
            delayed_txns: Vec::new(),
            outage: false,
            defect,
            submitted: HashMap::new(),
            answers: Vec::new(),
            violations: Vec::new(),
            coverage: [0; 5],
        }
    }

    /// An id, mostly of those that are in use now.
    fn id(&mut self) -> Name {
        let oldest = self.now / 12;
        let n = if self.rng.u32(0..3) == 0 { self.rng.u64(0..oldest + 40) } else { oldest + self.rng.u64(0..40) };
        format!("j-{n}").into()
    }

    fn at(&self) -> Instant {
        self.t0 + Duration::from_millis(self.now * 20)
    }

    /// Brings a controller's knowledge forward by one step.
    fn advance_scan(&mut self, index: usize) {
        if self.outage {
            return;
        }
        // a read takes some thirty pages, however much there is
        let (most, now) = (self.rng.usize(1..6) + self.state_store.store.kv.len() / 60, self.at());
        let controller = &mut self.controllers[index];
        if controller.scan.is_none() && !controller.synced {
            let epoch = self.state_store.store.epoch;
            controller.jobs.raise_floor(epoch);
            controller.cancellations.begin_watch(epoch, now);
            (controller.since, controller.scan) = (Some(epoch), Some(InitialScan::new(HashSet::new())));
        }
        if let Some(s) = controller.scan.as_mut() {
            if let Some((under, rows, truncated)) = controller.pending_page.take() {
                s.add_page(under, rows, truncated);
                s.apply_pages(&mut controller.jobs, |_| {});
            }
            match s.next_page() {
                Some(n) => {
                    let (rows, truncated) = self.state_store.page(n.under, &n.since, most);
                    controller.pending_page = Some((n.under, rows, truncated));
                }
                None => {
                    (controller.scan, controller.synced) = (None, true);
                    if self.defect == InjectedDefect::WatchFromScanEnd {
                        controller.since = Some(self.state_store.store.epoch);
                    }
                }
            }
        }
    }

    fn poll_watch(&mut self, index: usize) {
        let now = self.at();
        let controller = &mut self.controllers[index];
        let Some(since) = controller.since.filter(|_| !self.outage) else { return };
        if self.defect == InjectedDefect::WatchFromScanEnd && controller.scan.is_some() {
            return;
        }
        if since < self.state_store.compacted_revision {
            // 410: all is read again, also if this comes in the middle of a read
            self.coverage[2] += u32::from(controller.scan.is_some());
            (controller.scan, controller.pending_page, controller.synced, controller.since) = (None, None, false, None);
            return;
        }
        let mut news: Vec<&WatchEvent> =
            self.state_store.changes.iter().filter(|c| c.0 > since).map(|c| &c.1).collect();
        // a job and its end may be of one transaction
        news.sort_by_key(|e| (e.revision, e.set.as_ref().is_some_and(|p| p.starts_with(key::OUTCOME))));
        for e in news {
            let (Some(path), Some(data)) = (e.set.as_deref(), e.value.clone()) else { continue };
            if let Some(id) = path.strip_prefix(key::OUTCOME) {
                if let (Some(s), true) =
                    (controller.scan.as_mut(), self.defect != InjectedDefect::ScanIgnoresWatchedOutcomes)
                {
                    s.mark_ended([id.into()].into_iter());
                }
                let f = read_value::<OutcomeRecord>(path, data).expect("our own record");
                controller.ends(id, f.outcome, e.revision, now);
            } else if path.starts_with(key::JOB) {
                let spec = read_value::<JobSpec>(path, data).expect("our own record");
                controller.jobs.insert_seen(Arc::new(spec), e.revision);
            }
        }
        controller.since = Some(self.state_store.store.epoch);
        controller.jobs.raise_floor(self.state_store.store.epoch);
    }

    fn read_responses(&mut self, index: usize) {
        let delayed_txns = self.defect == InjectedDefect::ApplyLateResponses;
        let controller = &mut self.controllers[index];
        for (spec, revision) in controller.unread_responses.drain(..) {
            if delayed_txns {
                controller.jobs.insert_seen(spec, revision);
            } else {
                controller.jobs.insert_stored(spec, revision);
            }
        }
    }

    /// A user sends a request.
    fn send_request(&mut self, controller: usize, id: Name, kind: RequestKind) {
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

    /// A leader ends a job whose tasks are done.
    fn complete_job(&mut self, index: usize) {
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
    fn commit_submissions(&mut self, index: usize) {
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
    fn apply_delayed_txn(&mut self) {
        if !self.delayed_txns.is_empty() && !self.outage {
            let n = self.rng.usize(0..self.delayed_txns.len());
            let txn = self.delayed_txns.swap_remove(n);
            let _ = self.state_store.apply(&txn);
        }
    }

    /// A controller notifies the others of cancellations whose users wait.
    fn notify_peer(&mut self, index: usize) {
        let (now, n) = (self.at(), self.rng.usize(0..2));
        let other = (index + 1 + n) % 3;
        let controller = &mut self.controllers[index];
        let notice = controller.notices.for_peer(n, &controller.cancellations, &self.policy, now);
        for w in &notice.cancellations {
            self.controllers[other].ends(&w.id, JobOutcome::Cancelled, w.revision, now);
        }
        self.controllers[index].notices.mark_acknowledged(n, &notice.cancellations);
    }

    /// A request gets one step further.
    fn advance_request(&mut self) {
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

    /// The store gets a cancellation.
    fn cancels(&mut self, a: &PendingRequest, lost: bool) -> Option<JobOutcome> {
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

    /// A controller evaluates what to do for a request.
    fn evaluate_request(&mut self, n: u64, a: &mut PendingRequest) -> RequestStage {
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
    fn receive_reply(&mut self, a: &PendingRequest, word: Reply) {
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

    /// A controller ends: whoever waits there receives nothing.
    fn restart_controller(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.controllers[index] = ModelController::new(self.last_incarnation);
        self.pending.retain(|_, a| a.controller != index);
    }

    fn run(mut self, steps: u64) -> RequestHistory {
        for now in 1..=steps {
            self.now = now;
            let index = self.rng.usize(0..3);
            match self.rng.u32(0..100) {
                0..=24 => self.advance_scan(index),
                25..=37 => self.poll_watch(index),
                38..=43 => self.read_responses(index),
                44..=49 => self.commit_submissions(index),
                50..=58 => {
                    let id = self.id();
                    self.send_request(index, id, RequestKind::Submit);
                }
                59..=63 => self.complete_job(index),
                64..=67 => {
                    let id = self.id();
                    self.send_request(index, id, RequestKind::Cancel);
                }
                68..=73 => {
                    let id = self.id();
                    self.send_request(index, id, RequestKind::Query);
                }
                // users look closely: at all controllers at once, and repeat
                74..=77 => {
                    let id = self.answers.last().map(|a| a.id.clone()).unwrap_or_else(|| "j-0".into());
                    let repeat =
                        if self.submitted.contains_key(&id) { RequestKind::Submit } else { RequestKind::Query };
                    for kind in [RequestKind::Query, RequestKind::Query, repeat] {
                        (0..3).for_each(|index| self.send_request(index, id.clone(), kind));
                    }
                }
                78..=95 => self.notify_peer(index),
                96 | 97 => self.apply_delayed_txn(),
                98 => self.outage = self.rng.u32(0..4) == 0,
                _ => {
                    if self.rng.u32(0..4) == 0 {
                        self.restart_controller(index);
                    }
                }
            }
            (0..4).for_each(|_| self.advance_request());
            if self.rng.u32(0..100) == 0 {
                // a wave: watches fall behind by more than the state service keeps
                for _ in 0..WATCH_HISTORY + 5 {
                    let id = self.id();
                    if !self.outage && !never_runs(&id) {
                        self.submitted.entry(id.clone()).or_insert(self.now);
                        let _ = self.state_store.apply(&submissions_txn([(&*spec(&id, 1), false)].into_iter()));
                    }
                    self.complete_job(index);
                }
            }
        }
        self.violations.extend(older(&self.answers, &self.submitted));
        // then all is calm: what each controller knows as unfinished is just
        // what the store has, and nothing stays for ever
        self.outage = false;
        for index in 0..3 {
            for _ in 0..400 {
                self.read_responses(index);
                self.advance_scan(index);
                self.poll_watch(index);
            }
            let jobs = self.state_store.store.kv.keys().filter_map(|k| k.strip_prefix(key::JOB));
            let open: HashSet<Name> =
                jobs.filter(|id| self.state_store.store.outcome(id).is_none()).map(Name::from).collect();
            let known: HashSet<Name> = self.controllers[index].jobs.open().map(|o| o.spec.id.clone()).collect();
            if known != open {
                self.violations
                    .push(format!("controller {index} takes {known:?} for unfinished, the store has {open:?}"));
            }
            assert!(self.controllers[index].jobs.ended() <= MAX_ENDED_JOBS, "ended jobs are bounded");
        }
        self
    }
}

#[test]
fn answers_stay_final_though_ended_jobs_leave_memory() {
    let (mut coverage, mut said) = ([0; 5], [0; 4]);
    for seed in 0..60 {
        let h = RequestHistory::new(seed, InjectedDefect::None).run(3000);
        assert!(h.violations.is_empty(), "seed {seed}: {:?}", h.violations);
        for (all, one) in coverage.iter_mut().zip(h.coverage) {
            *all += one;
        }
        h.answers.iter().for_each(|a| said[a.said as usize] += 1);
    }
    // there was something to check: answers from memory, from the store, watches that
    // were too old in the middle of a read, lost answers and late writes; and of each word
    assert!(coverage.iter().all(|n| *n > 100), "{coverage:?}");
    assert!(said.iter().all(|n| *n > 500), "{said:?}");
}

#[test]
fn the_checker_sees_what_answers_rest_on() {
    use self::InjectedDefect::*;
    for defect in [
        TreatEvictedAsUnknown,
        ApplyLateResponses,
        ScanIgnoresWatchedOutcomes,
        WatchFromScanEnd,
        SkipConfirmation,
        TreatOutageAsNotFound,
        ReuseLookupResult,
        AcceptUnknownSubmission,
        ConfirmUnknownCancellation,
        TrustLocalCancellation,
    ] {
        let coverage = (0..60).any(|seed| !RequestHistory::new(seed, defect).run(3000).violations.is_empty());
        assert!(coverage, "{defect:?} went unnoticed");
    }
}
