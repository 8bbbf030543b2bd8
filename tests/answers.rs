//! Checks with real controller processes that no user receives a stale answer.
//!
//! Users query all controllers at the same time, within milliseconds after a job was accepted,
//! finished or cancelled.  A controller that has not yet seen a change could then report an older
//! state than one that a user had received before the query was sent.  This must not happen while
//! controllers crash, while the state service refuses the requests of one controller, while it
//! answers slowly, or during its outage.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use common::{small_job, test_dir, Cluster, ClusterConfig};
use coralnotch::http::{self, Client};
use coralnotch::model::{JobSpec, JobState, Name, Shape};
use coralnotch_wire::history::{find_inconsistencies, Answer, ObservedState};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a user retries a submission, counted from the first attempt to submit.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a user retries a cancellation, counted from the first attempt to submit the job.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(90);
/// How long a user waits for the final state of a job, counted from the first attempt to submit it.
const FINAL_STATE_TIMEOUT: Duration = Duration::from_secs(120);

/// The answers that users received, and when each job was first submitted.
#[derive(Default)]
struct History {
    answers: Vec<Answer<Instant>>,
    submitted: HashMap<Name, Instant>,
    /// Number of requests that failed or whose response does not state whether the job was accepted,
    /// such as 429 or 503.
    inconclusive: usize,
}

struct Users {
    balancer: SocketAddr,
    history: Mutex<History>,
}

impl Users {
    /// Sends a request and records the answer.  The request uses a new connection, so that the load
    /// balancer selects a controller anew.  Returns `None` if the response is inconclusive.
    async fn request(&self, method: &str, path: &str, id: &Name, body: Option<&[u8]>) -> Option<ObservedState> {
        let sent = Instant::now();
        if method == "POST" && path == "/v2/runs" {
            self.lock().submitted.entry(id.clone()).or_insert(sent);
        }
        let response = Client::default().send(self.balancer, method, path, body, REQUEST_TIMEOUT).await;
        let received = Instant::now();
        let observed = match response {
            Ok((200 | 201, body)) => match &*http::decode::<JobState>(&body).ok()?.stage {
                "done" => ObservedState::Done,
                "cancelled" => ObservedState::Cancelled,
                _ => ObservedState::Unfinished,
            },
            Ok((400 | 404 | 422, _)) => ObservedState::NotAccepted,
            _ => {
                self.lock().inconclusive += 1;
                return None;
            }
        };
        self.lock().answers.push(Answer { id: id.clone(), sent_at: sent, received_at: received, state: observed });
        Some(observed)
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no thread panics while it holds the lock")
    }

    async fn query(&self, id: &Name) -> Option<ObservedState> {
        self.request("GET", &format!("/v2/runs/{id}"), id, None).await
    }

    async fn submit(&self, spec: &JobSpec) -> Option<ObservedState> {
        self.request("POST", "/v2/runs", &spec.id, Some(&http::encode(spec))).await
    }

    async fn cancel(&self, id: &Name) -> Option<ObservedState> {
        self.request("POST", &format!("/v2/runs/{id}/withdraw"), id, None).await
    }

    /// Sends four queries and two repeated submissions at the same time.
    async fn query_concurrently(&self, spec: &JobSpec) {
        let queries = futures_util::future::join_all((0..4).map(|_| self.query(&spec.id)));
        let repeats = futures_util::future::join_all((0..2).map(|_| self.submit(spec)));
        futures_util::future::join(queries, repeats).await;
    }

    /// Submits a job, cancels it after `cancel_after` if that is given, and queries it until its final
    /// state.  Returns whether a final state was observed within [`FINAL_STATE_TIMEOUT`].
    async fn follow(&self, spec: JobSpec, cancel_after: Option<Duration>) -> bool {
        let started_at = Instant::now();
        while self.submit(&spec).await.is_none() && started_at.elapsed() < SUBMIT_TIMEOUT {
            smol::Timer::after(Duration::from_millis(200)).await;
        }
        self.query_concurrently(&spec).await;
        if let Some(wait) = cancel_after {
            smol::Timer::after(wait).await;
            while self.cancel(&spec.id).await.is_none() && started_at.elapsed() < CANCEL_TIMEOUT {
                self.query_concurrently(&spec).await;
            }
            self.query_concurrently(&spec).await;
        }
        while started_at.elapsed() < FINAL_STATE_TIMEOUT {
            if self.query(&spec.id).await.is_some_and(|observed| observed >= ObservedState::Done) {
                self.query_concurrently(&spec).await;
                // a cancellation after the final state must have no effect
                self.cancel(&spec.id).await;
                self.query_concurrently(&spec).await;
                return true;
            }
            smol::Timer::after(Duration::from_millis(150)).await;
        }
        false
    }
}

/// Fault plan: two controller crashes, a controller whose requests the state service refuses, slow
/// state requests and an outage of the state service.
const FAULTS: &str = r#"
[[fault]]
kind = "crash"
at_s = 2.0
node = 0

[[fault]]
kind = "refused"
at_s = 4.0
node = 1
for_s = 2.0

[[fault]]
kind = "crash"
at_s = 6.0
node = 2

[[fault]]
kind = "delay"
at_s = 7.0
by_ms = 400
for_s = 2.0

[[fault]]
kind = "state-outage"
at_s = 9.0
for_s = 2.0
"#;

/// A valid job that users submit during the test.
struct PlannedJob {
    spec: JobSpec,
    /// Delay between the start of the test and the submission.
    submit_after: Duration,
    /// Delay between the replies to the first queries and the cancellation; `None` if the job is not
    /// cancelled.
    cancel_after: Option<Duration>,
}

/// Returns 45 jobs, submitted 250 ms apart; every third is cancelled.
fn planned_jobs() -> Vec<PlannedJob> {
    let mut rng = fastrand::Rng::with_seed(5);
    let plan = |n: u64| PlannedJob {
        spec: small_job(format!("j-{n:06}").into()),
        submit_after: Duration::from_millis(n * 250),
        cancel_after: n.is_multiple_of(3).then(|| Duration::from_millis(rng.u64(0..1500))),
    };
    (0..45).map(plan).collect()
}

/// Returns jobs that must be rejected: one with an unknown team, one with an unknown zone, a gang that
/// is to be spread and to stay in one zone, one without tasks, and one without a permitted machine type.
fn invalid_jobs() -> [JobSpec; 5] {
    let invalid = |n: u64, change: fn(&mut JobSpec)| {
        let mut spec = small_job(format!("j-9{n:05}").into());
        change(&mut spec);
        spec
    };
    [
        invalid(1, |spec| spec.team = "nobody".into()),
        invalid(2, |spec| spec.zone = Some("nowhere".into())),
        invalid(3, |spec| (spec.shape, spec.tasks, spec.spread_by_zone, spec.one_zone) = (Shape::Gang, 4, true, true)),
        invalid(4, |spec| spec.tasks = 0),
        invalid(5, |spec| spec.machine_types = Some(vec![])),
    ]
}

/// Follows all valid jobs; at the same time submits the invalid ones repeatedly and queries a job that
/// was never submitted.  Returns for each valid job whether its final state was observed.
async fn run_users(users: &Arc<Users>, jobs: Vec<PlannedJob>, invalid: &[JobSpec]) -> Vec<bool> {
    let followed = jobs.into_iter().map(|job| {
        let users = users.clone();
        async move {
            smol::Timer::after(job.submit_after).await;
            users.follow(job.spec, job.cancel_after).await
        }
    });
    let rejected = async {
        for _ in 0..12 {
            for spec in invalid {
                users.submit(spec).await;
            }
            users.query(&"j-888888".into()).await;
            smol::Timer::after(Duration::from_millis(900)).await;
        }
    };
    futures_util::future::join(futures_util::future::join_all(followed), rejected).await.0
}

#[test]
fn users_receive_no_stale_answers_during_faults() {
    let dir = test_dir("answers");
    let cluster = Cluster::start(&dir, ClusterConfig { faults: FAULTS, ..ClusterConfig::default() });
    let users = Arc::new(Users { balancer: cluster.addr, history: Mutex::default() });
    let invalid = invalid_jobs();
    let finished = smol::block_on(run_users(&users, planned_jobs(), &invalid));
    let report = cluster.stop();
    let history = users.lock();
    assert_eq!(
        finished.iter().filter(|observed| !**observed).count(),
        0,
        "jobs whose final state was not observed in time"
    );
    let stale_answers = find_inconsistencies(&history.answers, &history.submitted);
    assert!(stale_answers.is_empty(), "{}", stale_answers.join("\n"));
    let count = |observed: ObservedState| history.answers.iter().filter(|answer| answer.state == observed).count();
    for spec in &invalid {
        let mut answers = history.answers.iter().filter(|answer| answer.id == spec.id).peekable();
        assert!(answers.peek().is_some(), "{} was never answered", spec.id);
        assert!(answers.all(|answer| answer.state == ObservedState::NotAccepted), "{} was accepted", spec.id);
    }
    // with too few answers of a kind, the check for stale answers would prove nothing
    assert!(
        count(ObservedState::Done) > 100
            && count(ObservedState::Cancelled) > 30
            && count(ObservedState::Unfinished) > 50,
        "too few answers of some kind among {}",
        history.answers.len()
    );
    assert_eq!(report.violations, [] as [String; 0]);
    println!("{} answers, {} inconclusive responses", history.answers.len(), history.inconclusive);
    let _ = std::fs::remove_dir_all(&dir);
}
