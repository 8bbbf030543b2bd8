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
enum Fault {
    None,
    /// What is not in memory was never accepted.
    EvictionForgets,
    /// An answer that is read late enters its job all the same.
    LateAnswers,
    /// The sweep is not told of ends that the watch shows meanwhile.
    BlindSweep,
    /// The watch begins where the sweep ended.
    LateWatch,
    /// "Not over" is said without asking the store.
    Unconfirmed,
    /// In an outage, nothing found is nothing there.
    OutageForgets,
    /// What the store said to an earlier question is good for the next one.
    StaleLookUp,
    /// A submission without an answer was carried out.
    DoubtIsAccepted,
    /// A cancellation without an answer was carried out.
    DoubtIsCancelled,
    /// Each request believes its own idea of whether its job ends with what it needs,
    /// whatever was stored.
    OwnIdeaOfEnds,
}

/// Changes that the service keeps.
const KEPT: usize = 30;
/// Ended jobs that a controller keeps.
const MOST_ENDED: usize = 3;

#[derive(Default)]
struct Service {
    store: Store,
    changes: VecDeque<(u64, WatchEvent)>,
    forgotten: u64,
}

impl Service {
    fn apply(&mut self, txn: &Txn) -> Result<u64, Vec<String>> {
        let stamp = self.store.apply(txn)?;
        for w in &txn.writes {
            if let Write::Set { set, data, .. } = w {
                let e = WatchEvent { set: Some(set.clone()), delete: None, value: Some(data.clone()), revision: stamp };
                self.changes.push_back((stamp, e));
            }
        }
        while self.changes.len() > KEPT {
            self.forgotten = self.changes.pop_front().map_or(self.forgotten, |c| c.0);
        }
        Ok(stamp)
    }

    fn page(&self, under: &str, since: &str, most: usize) -> (Vec<KeyValue>, bool) {
        let after = |k: &&String| k.starts_with(under) && k.as_str() > since;
        let rows = self.store.kv.iter().filter(|(k, _)| after(k)).take(most + 1);
        let mut rows: Vec<KeyValue> =
            rows.map(|(k, (data, stamp))| KeyValue { key: k.clone(), value: data.clone(), revision: *stamp }).collect();
        let truncated = rows.len() > most;
        rows.truncate(most);
        (rows, truncated)
    }

    fn job(&self, id: &str) -> Option<KeyValue> {
        let path = format!("{}{id}", key::JOB);
        self.store.kv.get(&path).map(|(d, s)| KeyValue { key: path.clone(), value: d.clone(), revision: *s })
    }
}

/// One controller's knowledge of jobs.
struct Desk {
    ledger: JobIndex,
    withdrawals: CancellationLog,
    telling: CancellationNotices,
    sweep: Option<InitialScan>,
    /// Watched up to here; `None` before a sweep has begun.
    since: Option<u64>,
    synced: bool,
    /// Submissions that wait to be stored: requests, and whether they end at once.
    queue: Vec<(u64, Arc<JobSpec>, bool)>,
    /// Own transactions that were carried out, and whose answers are not read yet.
    unread: Vec<(Arc<JobSpec>, u64)>,
    /// A page that was read and is not taken in yet.
    held: Option<(&'static str, Vec<KeyValue>, bool)>,
    /// What it has looked up; for a fault.
    old: HashMap<Name, LookupResult>,
}

impl Desk {
    fn new(life: u64) -> Desk {
        Desk {
            ledger: JobIndex::new(MOST_ENDED),
            withdrawals: CancellationLog::new(life, 50),
            telling: CancellationNotices::new(2, 50),
            sweep: None,
            since: None,
            synced: false,
            queue: Vec::new(),
            unread: Vec::new(),
            held: None,
            old: HashMap::new(),
        }
    }

    /// Learns of an end, however.
    fn ends(&mut self, id: &str, outcome: JobOutcome, stamp: u64, now: Instant) {
        if outcome == JobOutcome::Cancelled {
            self.withdrawals.record(stamp, id, now);
        }
        self.ledger.apply_outcome(id, outcome);
    }
}

/// Where a request is.
#[derive(Debug, Clone)]
enum At {
    /// At its controller, which looks what to do.
    Desk,
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

struct Asked {
    id: Name,
    wish: RequestKind,
    desk: usize,
    /// When it left the user.
    sent: u64,
    /// Looks that it may still take until the siblings know.
    patience: u32,
    looked: bool,
    q: UserRequest,
    at: At,
}

struct History {
    rng: fastrand::Rng,
    t0: Instant,
    now: u64,
    policy: Policy,
    service: Service,
    desks: Vec<Desk>,
    lives: u64,
    asked: BTreeMap<u64, Asked>,
    serial: u64,
    /// Transactions that got no answer and come later.
    late: Vec<Txn>,
    outage: bool,
    fault: Fault,
    /// When each was submitted first.
    submitted: HashMap<Name, u64>,
    answers: Vec<Answer<u64>>,
    broken: Vec<String>,
    /// Answers from memory, by look-up, after a restart of a sweep; lost answers of
    /// submissions and cancellations; those that came late.
    seen: [u32; 5],
}

/// Ids that can never run.
fn never_runs(id: &str) -> bool {
    id.ends_with("77")
}

impl History {
    fn new(seed: u64, fault: Fault) -> History {
        let config = Config::parse("sim", SETTINGS).expect("settings of the simulation");
        History {
            rng: fastrand::Rng::with_seed(seed),
            t0: Instant::now(),
            now: 0,
            policy: Policy::new(&config).expect("the default policy"),
            service: Service::default(),
            desks: (0..3).map(Desk::new).collect(),
            lives: 3,
            asked: BTreeMap::new(),
            serial: 0,
            late: Vec::new(),
            outage: false,
            fault,
            submitted: HashMap::new(),
            answers: Vec::new(),
            broken: Vec::new(),
            seen: [0; 5],
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
    fn learn(&mut self, d: usize) {
        if self.outage {
            return;
        }
        // a read takes some thirty pages, however much there is
        let (most, now) = (self.rng.usize(1..6) + self.service.store.kv.len() / 60, self.at());
        let desk = &mut self.desks[d];
        if desk.sweep.is_none() && !desk.synced {
            let epoch = self.service.store.epoch;
            desk.ledger.raise_floor(epoch);
            desk.withdrawals.begin_watch(epoch, now);
            (desk.since, desk.sweep) = (Some(epoch), Some(InitialScan::new(HashSet::new())));
        }
        if let Some(s) = desk.sweep.as_mut() {
            if let Some((under, rows, truncated)) = desk.held.take() {
                s.add_page(under, rows, truncated);
                s.apply_pages(&mut desk.ledger, |_| {});
            }
            match s.next_page() {
                Some(n) => {
                    let (rows, truncated) = self.service.page(n.under, &n.since, most);
                    desk.held = Some((n.under, rows, truncated));
                }
                None => {
                    (desk.sweep, desk.synced) = (None, true);
                    if self.fault == Fault::LateWatch {
                        desk.since = Some(self.service.store.epoch);
                    }
                }
            }
        }
    }

    fn watch(&mut self, d: usize) {
        let now = self.at();
        let desk = &mut self.desks[d];
        let Some(since) = desk.since.filter(|_| !self.outage) else { return };
        if self.fault == Fault::LateWatch && desk.sweep.is_some() {
            return;
        }
        if since < self.service.forgotten {
            // 410: all is read again, also if this comes in the middle of a read
            self.seen[2] += u32::from(desk.sweep.is_some());
            (desk.sweep, desk.held, desk.synced, desk.since) = (None, None, false, None);
            return;
        }
        let mut news: Vec<&WatchEvent> = self.service.changes.iter().filter(|c| c.0 > since).map(|c| &c.1).collect();
        // a job and its end may be of one transaction
        news.sort_by_key(|e| (e.revision, e.set.as_ref().is_some_and(|p| p.starts_with(key::OUTCOME))));
        for e in news {
            let (Some(path), Some(data)) = (e.set.as_deref(), e.value.clone()) else { continue };
            if let Some(id) = path.strip_prefix(key::OUTCOME) {
                if let (Some(s), true) = (desk.sweep.as_mut(), self.fault != Fault::BlindSweep) {
                    s.mark_ended([id.into()].into_iter());
                }
                let f = read_value::<OutcomeRecord>(path, data).expect("our own record");
                desk.ends(id, f.outcome, e.revision, now);
            } else if path.starts_with(key::JOB) {
                let spec = read_value::<JobSpec>(path, data).expect("our own record");
                desk.ledger.insert_seen(Arc::new(spec), e.revision);
            }
        }
        desk.since = Some(self.service.store.epoch);
        desk.ledger.raise_floor(self.service.store.epoch);
    }

    fn read_answers(&mut self, d: usize) {
        let late = self.fault == Fault::LateAnswers;
        let desk = &mut self.desks[d];
        for (spec, stamp) in desk.unread.drain(..) {
            if late {
                desk.ledger.insert_seen(spec, stamp);
            } else {
                desk.ledger.insert_stored(spec, stamp);
            }
        }
    }

    /// A user sends a request.
    fn sends(&mut self, desk: usize, id: Name, wish: RequestKind) {
        if wish == RequestKind::Submit {
            self.submitted.entry(id.clone()).or_insert(self.now);
        }
        self.serial += 1;
        let q = UserRequest::new(id.clone(), wish);
        let patience = self.rng.u32(1..10);
        let asked = Asked { id, wish, desk, sent: self.now, patience, looked: false, q, at: At::Desk };
        self.asked.insert(self.serial, asked);
    }

    /// A leader ends a job whose tasks are done.
    fn end(&mut self, d: usize) {
        let (id, now) = (self.id(), self.at());
        if self.outage || self.service.job(&id).is_none() || self.service.store.outcome(&id).is_some() {
            return;
        }
        let mut txn = Txn::default();
        key::put_outcome(&mut txn, &id, JobOutcome::Done);
        let stamp = self.service.apply(&txn).expect("it has no end");
        // whoever wrote it knows at once, or by the watch alone
        if self.rng.bool() {
            self.desks[d].ends(&id, JobOutcome::Done, stamp, now);
        }
    }

    /// A controller stores what waits in its queue, in one transaction.
    fn stores(&mut self, d: usize) {
        if self.desks[d].queue.is_empty() {
            return;
        }
        let (batch, now) = (std::mem::take(&mut self.desks[d].queue), self.at());
        let txn = submissions_txn(batch.iter().map(|(_, spec, needs_cancelled_job)| (&**spec, *needs_cancelled_job)));
        // refused in an outage; its answer may be lost, or it may come much later
        let (refused, luck) = (self.outage, self.rng.u32(0..12));
        let outcome = match luck {
            _ if refused => None,
            0 => {
                self.late.push(txn.clone());
                self.seen[4] += 1;
                None
            }
            _ => Some(self.service.apply(&txn)),
        };
        self.seen[3] += u32::from(luck == 1 && outcome.is_some());
        let mut back = Vec::new();
        match outcome.filter(|_| luck != 1) {
            None => {
                let word = match self.fault {
                    Fault::DoubtIsAccepted => StoreResult::New { slow: false },
                    _ => StoreResult::Unknown,
                };
                back.extend(batch.iter().map(|b| (b.0, word)));
            }
            Some(Ok(stamp)) => {
                for (n, spec, needs_cancelled_job) in batch {
                    let end = format!("{}{}", key::OUTCOME, spec.id);
                    let ends = txn.writes.iter().any(|w| matches!(w, Write::Set { set, .. } if *set == end));
                    self.desks[d].unread.push((spec.clone(), stamp));
                    if ends || needs_cancelled_job && self.fault == Fault::OwnIdeaOfEnds {
                        self.read_answers(d);
                        self.desks[d].ends(&spec.id, JobOutcome::Cancelled, stamp, now);
                    }
                    let slow = self.rng.u32(0..4) == 0;
                    back.push((n, StoreResult::New { slow }));
                }
            }
            Some(Err(keys)) => {
                for b in batch {
                    match keys.contains(&format!("{}{}", key::JOB, b.1.id)) {
                        true => back.push((b.0, StoreResult::AlreadyStored)),
                        false => self.desks[d].queue.push(b),
                    }
                }
            }
        }
        for (n, word) in back {
            if let Some(a) = self.asked.get_mut(&n) {
                a.at = At::Stored(word);
            }
        }
    }

    /// A transaction that got no answer is carried out after all.
    fn comes_late(&mut self) {
        if !self.late.is_empty() && !self.outage {
            let n = self.rng.usize(0..self.late.len());
            let txn = self.late.swap_remove(n);
            let _ = self.service.apply(&txn);
        }
    }

    /// A controller tells the others of withdrawals whose users wait.
    fn tells(&mut self, d: usize) {
        let (now, n) = (self.at(), self.rng.usize(0..2));
        let other = (d + 1 + n) % 3;
        let desk = &mut self.desks[d];
        let told = desk.telling.for_peer(n, &desk.withdrawals, &self.policy, now).cancellations;
        for w in &told {
            self.desks[other].ends(&w.id, JobOutcome::Cancelled, w.revision, now);
        }
        self.desks[d].telling.mark_acknowledged(n, &told);
    }

    /// A request gets one step further.
    fn goes_on(&mut self) {
        if self.asked.is_empty() {
            return;
        }
        // the oldest first, now and then any
        let at = self.rng.usize(0..self.asked.len().min(12));
        let Some(n) = self.asked.keys().nth(at).copied() else { return };
        let Some(mut a) = self.asked.remove(&n) else { return };
        let lost = self.rng.u32(0..20) == 0;
        match a.at.clone() {
            At::Queue => {}
            At::Desk => a.at = self.looks(n, &mut a),
            At::LookUp(mut l) => match (l.txn(), self.outage) {
                (Some(_), true) => {
                    let never = self.fault == Fault::OutageForgets;
                    a.at = At::Found(never.then_some(LookupResult::NotFound));
                }
                (Some(txn), false) => {
                    match self.service.apply(&txn) {
                        Ok(_) => l.mark_settled(),
                        Err(mut keys) => {
                            // a conflict may name any of the keys that are in its way
                            self.rng.shuffle(&mut keys);
                            keys.truncate(self.rng.usize(1..4));
                            assert!(l.apply_conflict(&keys), "a look-up goes round in circles");
                        }
                    }
                    a.at = At::LookUp(l);
                }
                (None, _) => {
                    self.seen[1] += 1;
                    let found = match l.ended().contains(&a.id) {
                        false => l.found(&a.id),
                        true => {
                            let item = self.service.job(&a.id).expect("what has an end has a record");
                            let outcome = self.service.store.outcome(&a.id).expect("it has an end");
                            let spec = Arc::new(read_value::<JobSpec>(&item.key, item.value).expect("our own record"));
                            let (now, stamp) = (self.at(), item.revision);
                            self.desks[a.desk].ledger.insert_ended(EndedJob { spec, revision: stamp, outcome });
                            if outcome == JobOutcome::Cancelled {
                                self.desks[a.desk].withdrawals.record(stamp, &a.id, now);
                            }
                            Some(LookupResult::Ended(outcome))
                        }
                    };
                    if let Some(f) = &found {
                        self.desks[a.desk].old.insert(a.id.clone(), f.clone());
                    }
                    a.at = At::Found(found.filter(|_| !lost));
                }
            },
            At::Confirm => {
                let end = self.service.store.outcome(&a.id);
                a.at = At::Confirmed((!self.outage && !lost).then_some(end));
            }
            At::Cancel => a.at = At::Ended(self.cancels(&a, lost)),
            At::Found(found) => {
                a.q.apply_lookup(found);
                a.at = At::Desk;
            }
            At::Confirmed(end) => {
                a.q.apply_confirmation(end);
                a.at = At::Desk;
            }
            At::Stored(word) => {
                if self.rng.bool() {
                    self.read_answers(a.desk);
                }
                a.q.apply_store_result(word, &mut self.desks[a.desk].ledger);
                a.at = At::Desk;
            }
            At::Ended(outcome) => {
                a.q.apply_cancellation(outcome);
                a.at = At::Desk;
            }
            At::Said(word) => return self.hears(&a, word),
        }
        self.asked.insert(n, a);
    }

    /// The store gets a cancellation.
    fn cancels(&mut self, a: &Asked, lost: bool) -> Option<JobOutcome> {
        if self.outage {
            return None;
        }
        let (txn, now) = (cancellations_txn(std::slice::from_ref(&a.id)), self.at());
        if lost && self.rng.bool() {
            self.late.push(txn);
            self.seen[4] += 1;
            return (self.fault == Fault::DoubtIsCancelled).then_some(JobOutcome::Cancelled);
        }
        let result = self.service.apply(&txn);
        if lost {
            self.seen[3] += 1;
            return (self.fault == Fault::DoubtIsCancelled).then_some(JobOutcome::Cancelled);
        }
        let outcome = self.service.store.outcome(&a.id).expect("it has one now");
        let stamp = result.unwrap_or(self.service.store.stamp(&format!("{}{}", key::OUTCOME, a.id)));
        self.desks[a.desk].ends(&a.id, outcome, stamp, now);
        Some(outcome)
    }

    /// A controller looks what to do for a request.
    fn looks(&mut self, n: u64, a: &mut Asked) -> At {
        let (now, fault) = (self.at(), self.fault);
        let first = !std::mem::replace(&mut a.looked, true);
        let desk = &mut self.desks[a.desk];
        let memory = first && matches!(desk.ledger.status_of(&a.id), JobStatus::Ended(_));
        self.seen[0] += u32::from(memory);
        let whole = desk.synced.then_some(now);
        let step = a.q.next_action(&mut StateView {
            jobs: &mut desk.ledger,
            cancellations: &desk.withdrawals,
            notices: &mut desk.telling,
            cancellations_complete_as_of: whole,
            notices_required: true,
            no_task_left: false,
            policy: &self.policy,
            now,
        });
        match step {
            NextAction::Reply(word) => At::Said(word),
            NextAction::LookUp if fault == Fault::EvictionForgets => At::Found(Some(LookupResult::NotFound)),
            NextAction::LookUp if fault == Fault::StaleLookUp && desk.old.contains_key(&a.id) => {
                At::Found(desk.old.get(&a.id).cloned())
            }
            NextAction::LookUp => {
                let other = self.id();
                At::LookUp(Lookup::new([&a.id, &other].into_iter()))
            }
            NextAction::Confirm if fault == Fault::Unconfirmed => At::Confirmed(Some(None)),
            NextAction::Confirm => At::Confirm,
            NextAction::Cancel => At::Cancel,
            NextAction::Validate => {
                // one in four of some is judged after the end of what it needs is known
                let needs_cancelled_job = a.id.ends_with('5') && self.rng.u32(0..4) == 0;
                a.q.apply_validation(match (desk.synced, never_runs(&a.id)) {
                    (false, _) => Validation::Undetermined("not ready"),
                    (_, true) => Validation::Unsatisfiable("unknown team"),
                    _ => Validation::Valid { needs_cancelled_job },
                });
                At::Desk
            }
            NextAction::Store { needs_cancelled_job } => {
                desk.queue.push((n, spec(&a.id, 1), needs_cancelled_job));
                At::Queue
            }
            NextAction::NotifyPeers => match a.patience {
                0 => At::Said(Reply::RetryLater("not every controller knows of it yet")),
                _ => {
                    a.patience -= 1;
                    self.tells(a.desk);
                    At::Desk
                }
            },
            NextAction::ReadOutcomes(ids) => panic!("{ids:?} are needed by nobody"),
        }
    }

    /// A user has an answer.
    fn hears(&mut self, a: &Asked, word: Reply) {
        let said = match word {
            Reply::RetryLater(_) => return,
            Reply::Accepted | Reply::Unfinished => Said::Unfinished,
            Reply::Ended(JobOutcome::Done) => Said::Done,
            Reply::Ended(JobOutcome::Cancelled) => Said::Cancelled,
            Reply::NotFound if a.wish == RequestKind::Submit => {
                self.broken.push(format!("{}: a submission is answered with 404", a.id));
                Said::Never
            }
            Reply::NotFound | Reply::Unsatisfiable(_) => Said::Never,
        };
        let stored = match self.service.store.outcome(&a.id) {
            _ if self.service.job(&a.id).is_none() => Said::Never,
            None => Said::Unfinished,
            Some(JobOutcome::Done) => Said::Done,
            Some(JobOutcome::Cancelled) => Said::Cancelled,
        };
        if said > stored || said >= Said::Done && said != stored {
            self.broken.push(format!("{} is called {said:?}, and {stored:?} by the store", a.id));
        }
        self.answers.push(Answer { id: a.id.clone(), sent: a.sent, had: self.now, said });
    }

    /// A controller ends: whoever waits there hears nothing.
    fn dies(&mut self, d: usize) {
        self.lives += 1;
        self.desks[d] = Desk::new(self.lives);
        self.asked.retain(|_, a| a.desk != d);
    }

    fn run(mut self, steps: u64) -> History {
        for now in 1..=steps {
            self.now = now;
            let d = self.rng.usize(0..3);
            match self.rng.u32(0..100) {
                0..=24 => self.learn(d),
                25..=37 => self.watch(d),
                38..=43 => self.read_answers(d),
                44..=49 => self.stores(d),
                50..=58 => {
                    let id = self.id();
                    self.sends(d, id, RequestKind::Submit);
                }
                59..=63 => self.end(d),
                64..=67 => {
                    let id = self.id();
                    self.sends(d, id, RequestKind::Cancel);
                }
                68..=73 => {
                    let id = self.id();
                    self.sends(d, id, RequestKind::Query);
                }
                // users look closely: at all controllers at once, and repeat
                74..=77 => {
                    let id = self.answers.last().map(|a| a.id.clone()).unwrap_or_else(|| "j-0".into());
                    let repeat =
                        if self.submitted.contains_key(&id) { RequestKind::Submit } else { RequestKind::Query };
                    for wish in [RequestKind::Query, RequestKind::Query, repeat] {
                        (0..3).for_each(|d| self.sends(d, id.clone(), wish));
                    }
                }
                78..=95 => self.tells(d),
                96 | 97 => self.comes_late(),
                98 => self.outage = self.rng.u32(0..4) == 0,
                _ => {
                    if self.rng.u32(0..4) == 0 {
                        self.dies(d);
                    }
                }
            }
            (0..4).for_each(|_| self.goes_on());
            if self.rng.u32(0..100) == 0 {
                // a wave: watches fall behind by more than the service keeps
                for _ in 0..KEPT + 5 {
                    let id = self.id();
                    if !self.outage && !never_runs(&id) {
                        self.submitted.entry(id.clone()).or_insert(self.now);
                        let _ = self.service.apply(&submissions_txn([(&*spec(&id, 1), false)].into_iter()));
                    }
                    self.end(d);
                }
            }
        }
        self.broken.extend(older(&self.answers, &self.submitted));
        // then all is calm: what each controller knows as unfinished is just
        // what the store has, and nothing stays for ever
        self.outage = false;
        for d in 0..3 {
            for _ in 0..400 {
                self.read_answers(d);
                self.learn(d);
                self.watch(d);
            }
            let jobs = self.service.store.kv.keys().filter_map(|k| k.strip_prefix(key::JOB));
            let open: HashSet<Name> =
                jobs.filter(|id| self.service.store.outcome(id).is_none()).map(Name::from).collect();
            let known: HashSet<Name> = self.desks[d].ledger.open().map(|o| o.spec.id.clone()).collect();
            if known != open {
                self.broken.push(format!("controller {d} takes {known:?} for unfinished, the store has {open:?}"));
            }
            assert!(self.desks[d].ledger.ended() <= MOST_ENDED, "ended jobs are bounded");
        }
        self
    }
}

#[test]
fn answers_stay_final_though_ended_jobs_leave_memory() {
    let (mut seen, mut said) = ([0; 5], [0; 4]);
    for seed in 0..60 {
        let h = History::new(seed, Fault::None).run(3000);
        assert!(h.broken.is_empty(), "seed {seed}: {:?}", h.broken);
        for (all, one) in seen.iter_mut().zip(h.seen) {
            *all += one;
        }
        h.answers.iter().for_each(|a| said[a.said as usize] += 1);
    }
    // there was something to check: answers from memory, from the store, watches that
    // were too old in the middle of a read, lost answers and late writes; and of each word
    assert!(seen.iter().all(|n| *n > 100), "{seen:?}");
    assert!(said.iter().all(|n| *n > 500), "{said:?}");
}

#[test]
fn the_checker_sees_what_answers_rest_on() {
    use Fault::*;
    for fault in [
        EvictionForgets,
        LateAnswers,
        BlindSweep,
        LateWatch,
        Unconfirmed,
        OutageForgets,
        StaleLookUp,
        DoubtIsAccepted,
        DoubtIsCancelled,
        OwnIdeaOfEnds,
    ] {
        let seen = (0..60).any(|seed| !History::new(seed, fault).run(3000).broken.is_empty());
        assert!(seen, "{fault:?} went unnoticed");
    }
}
