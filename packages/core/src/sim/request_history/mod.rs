//! Three controllers that keep little of a long history, and users at all of them at once
//! who ask about all of it, submit and cancel, each request at its own pace: the rules of
//! answers, through eviction, paged reads, watches that are too old, crashes, outages of
//! the state service, writes whose answer is lost and writes that come late.  What a
//! controller decides and replies is production code; only the I/O is simulated.

mod controller;
mod defect;
mod request;
mod tests;
mod transactions;
mod watched_store;

use std::collections::{HashSet, VecDeque};

use super::{
    cancellations_txn, key, read_value, spec, submissions_txn, Arc, BTreeMap, Config, Duration, HashMap, Instant,
    JobOutcome, JobSpec, KeyValue, Name, OutcomeRecord, Policy, StateStore, Txn, Write, SETTINGS,
};
use crate::cancellation::{CancellationLog, CancellationNotices};
use crate::job_index::{EndedJob, InitialScan, JobIndex, JobStatus};
use crate::lookup::{Lookup, LookupResult};
use crate::user_request::{NextAction, Reply, RequestKind, StateView, StoreResult, UserRequest, Validation};
use controller::{ModelController, MAX_ENDED_JOBS};
use coralnotch_wire::history::{older, Answer, Said};
use coralnotch_wire::state::WatchEvent;
use defect::InjectedDefect;
use request::{PendingRequest, RequestStage};
use watched_store::{WatchedStore, WATCH_HISTORY};

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
