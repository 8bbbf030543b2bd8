//! Deterministic simulation of users' requests.
//!
//! Three controllers keep only a small part of a long history of jobs in memory.  Users send
//! queries, submissions and cancellations to all of them concurrently, and requests advance
//! independently of each other.  The simulation checks that a final reply is never
//! contradicted by a later one, in spite of eviction, paged reads, compacted watches, crashes,
//! outages of the state service, lost responses and delayed writes.  The decisions and replies
//! of a controller come from the production code; only the I/O is simulated.

mod controller;
mod coverage;
mod defect;
mod evaluation;
mod request;
mod tests;
mod transactions;
mod watched_store;

use std::collections::{HashSet, VecDeque};

use super::{
    cancellations_txn, decode_value, job_array, key, submissions_txn, Arc, BTreeMap, Config, Duration, HashMap,
    Instant, JobOutcome, JobSpec, KeyValue, Name, OutcomeRecord, Policy, StateStore, Txn, Write, SETTINGS,
};
use crate::cancellation::{CancellationLog, CancellationNotices};
use crate::job_index::{EndedJob, InitialScan, JobIndex, JobStatus};
use crate::lookup::{Lookup, LookupResult};
use crate::user_request::{
    Confirmation, NextAction, Reply, RequestKind, StateView, StoreResult, UserRequest, Validation,
};
use controller::{ModelController, StoredJob, Submission, MAX_ENDED_JOBS};
use coralnotch_wire::history::{find_inconsistencies, Answer, ObservedState};
use coralnotch_wire::state::WatchEvent;
use coverage::Coverage;
use defect::InjectedDefect;
use request::{PendingRequest, RequestId, RequestStage};
use watched_store::{RangePage, WatchedStore, WATCH_HISTORY};

/// Simulated time of one step, in milliseconds.
const STEP_MS: u64 = 20;

/// The state of a simulation run.
struct RequestHistory {
    rng: fastrand::Rng,
    started_at: Instant,
    /// Number of steps since the start of the run.
    now: u64,
    policy: Policy,
    state_store: WatchedStore,
    controllers: Vec<ModelController>,
    last_incarnation: u64,
    pending: BTreeMap<RequestId, PendingRequest>,
    last_request: RequestId,
    /// Transactions without a response that the state service applies later.
    delayed_txns: Vec<Txn>,
    /// Whether the state service is unavailable and refuses all requests.
    outage: bool,
    defect: InjectedDefect,
    /// Step in which each job was first submitted.
    submitted_at: HashMap<Name, u64>,
    answers: Vec<Answer<u64>>,
    violations: Vec<String>,
    coverage: Coverage,
}

/// Reports whether the simulation treats a job as one that can never run, which depends on its
/// id.
fn is_unsatisfiable(id: &str) -> bool {
    id.ends_with("77")
}

impl RequestHistory {
    fn new(seed: u64, defect: InjectedDefect) -> RequestHistory {
        let config = Config::parse("sim", SETTINGS).expect("the example settings are valid");
        RequestHistory {
            rng: fastrand::Rng::with_seed(seed),
            started_at: Instant::now(),
            now: 0,
            policy: Policy::new(&config).expect("the default policy is valid"),
            state_store: WatchedStore::default(),
            controllers: (0..3).map(ModelController::new).collect(),
            last_incarnation: 3,
            pending: BTreeMap::new(),
            last_request: 0,
            delayed_txns: Vec::new(),
            outage: false,
            defect,
            submitted_at: HashMap::new(),
            answers: Vec::new(),
            violations: Vec::new(),
            coverage: Coverage::default(),
        }
    }

    /// Returns a random job id, mostly from the range of ids that are currently in use.
    fn random_job(&mut self) -> Name {
        let oldest = self.now / 12;
        let any = self.rng.u32(0..3) == 0;
        let number = if any { self.rng.u64(0..oldest + 40) } else { oldest + self.rng.u64(0..40) };
        format!("j-{number}").into()
    }

    /// Returns the current simulated time as an `Instant`.
    fn now_instant(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now * STEP_MS)
    }

    /// Runs a number of steps, then checks all replies and the controllers' knowledge of
    /// unfinished jobs.
    fn run(mut self, steps: u64) -> RequestHistory {
        for now in 1..=steps {
            self.now = now;
            let index = self.rng.usize(0..3);
            self.step(index);
            (0..4).for_each(|_| self.advance_request());
            if self.rng.u32(0..100) == 0 {
                self.write_burst(index);
            }
        }
        self.violations.extend(find_inconsistencies(&self.answers, &self.submitted_at));
        self.outage = false;
        (0..3).for_each(|index| self.check_unfinished_jobs(index));
        self
    }

    /// Runs one random event at the given controller.
    fn step(&mut self, index: usize) {
        match self.rng.u32(0..100) {
            0..=24 => self.advance_scan(index),
            25..=37 => self.poll_watch(index),
            38..=43 => self.read_responses(index),
            44..=49 => self.commit_submissions(index),
            50..=58 => self.send_random_request(index, RequestKind::Submit),
            59..=63 => self.complete_job(index),
            64..=67 => self.send_random_request(index, RequestKind::Cancel),
            68..=73 => self.send_random_request(index, RequestKind::Query),
            74..=77 => self.repeat_requests(),
            78..=95 => self.notify_peer(index),
            96 | 97 => self.apply_delayed_txn(),
            98 => self.outage = self.rng.u32(0..4) == 0,
            _ => {
                if self.rng.u32(0..4) == 0 {
                    self.restart_controller(index);
                }
            }
        }
    }

    fn send_random_request(&mut self, index: usize, kind: RequestKind) {
        let job = self.random_job();
        self.send_request(index, job, kind);
    }

    /// Sends to all controllers two queries for the job of the last reply, and submits the job
    /// again if it was submitted before.
    fn repeat_requests(&mut self) {
        let job = self.answers.last().map(|answer| answer.id.clone()).unwrap_or_else(|| "j-0".into());
        let is_submitted = self.submitted_at.contains_key(&job);
        let repeat = if is_submitted { RequestKind::Submit } else { RequestKind::Query };
        for kind in [RequestKind::Query, RequestKind::Query, repeat] {
            (0..3).for_each(|index| self.send_request(index, job.clone(), kind));
        }
    }

    /// Writes more changes than the state service keeps for watches, so that every watch falls
    /// behind.
    fn write_burst(&mut self, leader: usize) {
        for _ in 0..WATCH_HISTORY + 5 {
            let job = self.random_job();
            if !self.outage && !is_unsatisfiable(&job) {
                self.submitted_at.entry(job.clone()).or_insert(self.now);
                // the transaction conflicts if the job was submitted before
                let _ = self.state_store.apply(&submissions_txn(std::iter::once(crate::user_request::Submission {
                    spec: &job_array(&job, 1),
                    depends_on_cancelled_job: false,
                })));
            }
            self.complete_job(leader);
        }
    }

    /// Lets a controller catch up with the state service, then checks that both have the same
    /// unfinished jobs and that the controller keeps within its bound on ended jobs.
    fn check_unfinished_jobs(&mut self, index: usize) {
        for _ in 0..400 {
            self.read_responses(index);
            self.advance_scan(index);
            self.poll_watch(index);
        }
        let jobs = self.state_store.store.kv.keys().filter_map(|k| k.strip_prefix(key::JOB));
        let stored: HashSet<Name> =
            jobs.filter(|id| self.state_store.store.outcome(id).is_none()).map(Name::from).collect();
        let known: HashSet<Name> = self.controllers[index].jobs.open().map(|job| job.spec.id.clone()).collect();
        if known != stored {
            self.violations.push(format!(
                "controller {index} has the unfinished jobs {known:?}, but the state service {stored:?}"
            ));
        }
        assert!(
            self.controllers[index].jobs.ended_count() <= MAX_ENDED_JOBS,
            "controller {index} keeps more than {MAX_ENDED_JOBS} ended jobs in memory"
        );
    }
}
