//! Consistency of answers, with real controllers.  Users ask all controllers at the same time,
//! within milliseconds after a job was accepted, finished or cancelled.  No answer may be older
//! than one that the user had received before asking, even through controller crashes, a
//! controller that the state service refuses, slow state requests and an outage.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use common::{small_job, test_dir, Cluster, ClusterConfig};
use coralnotch::http::{self, Client};
use coralnotch::model::{JobSpec, JobState, Name, Shape};
use coralnotch_wire::history::{find_stale_answers, Answer, ObservedState};

/// Limit of one request.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);
/// How long a user repeats a submission, and then a cancellation, counted from the first try.
const SUBMIT_LIMIT: Duration = Duration::from_secs(60);
const CANCEL_LIMIT: Duration = Duration::from_secs(90);
/// How long a user waits for the final state of a job, counted from the first try.
const FINAL_LIMIT: Duration = Duration::from_secs(120);

/// The answers that users received, and when each job was first submitted.
#[derive(Default)]
struct History {
    answers: Vec<Answer<Instant>>,
    submitted: HashMap<Name, Instant>,
    /// Requests whose answer says nothing about the job, such as 429 or 503.
    inconclusive: usize,
}

struct Users {
    balancer: SocketAddr,
    history: Mutex<History>,
}

impl Users {
    /// Sends a request on a new connection, so that the balancer picks the controller.
    async fn request(&self, method: &str, path: &str, id: &Name, body: Option<&[u8]>) -> Option<ObservedState> {
        let sent = Instant::now();
        if method == "POST" && path == "/v2/runs" {
            self.lock().submitted.entry(id.clone()).or_insert(sent);
        }
        let response = Client::default().send(self.balancer, method, path, body, REQUEST_LIMIT).await;
        let had = Instant::now();
        let said = match response {
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
        self.lock().answers.push(Answer { id: id.clone(), sent_at: sent, received_at: had, state: said });
        Some(said)
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("no panic")
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

    /// Follows a job from its submission to its final state, and cancels it after `cancel_after`.
    /// Returns whether the final state was seen in time.
    async fn follow(&self, spec: JobSpec, cancel_after: Option<Duration>) -> bool {
        let began = Instant::now();
        while self.submit(&spec).await.is_none() && began.elapsed() < SUBMIT_LIMIT {
            smol::Timer::after(Duration::from_millis(200)).await;
        }
        self.query_concurrently(&spec).await;
        if let Some(wait) = cancel_after {
            smol::Timer::after(wait).await;
            while self.cancel(&spec.id).await.is_none() && began.elapsed() < CANCEL_LIMIT {
                self.query_concurrently(&spec).await;
            }
            self.query_concurrently(&spec).await;
        }
        while began.elapsed() < FINAL_LIMIT {
            if self.query(&spec.id).await.is_some_and(|said| said >= ObservedState::Done) {
                self.query_concurrently(&spec).await;
                // a cancellation after the final state must change nothing
                self.cancel(&spec.id).await;
                self.query_concurrently(&spec).await;
                return true;
            }
            smol::Timer::after(Duration::from_millis(150)).await;
        }
        false
    }
}

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

/// A valid job, when it is submitted, and how long after that it is cancelled.
struct PlannedJob {
    spec: JobSpec,
    submit_after: Duration,
    cancel_after: Option<Duration>,
}

/// 45 jobs, one every quarter of a second; every third is cancelled.
fn planned_jobs() -> Vec<PlannedJob> {
    let mut rng = fastrand::Rng::with_seed(5);
    let plan = |n: u64| PlannedJob {
        spec: small_job(format!("j-{n:06}").into()),
        submit_after: Duration::from_millis(n * 250),
        cancel_after: n.is_multiple_of(3).then(|| Duration::from_millis(rng.u64(0..1500))),
    };
    (0..45).map(plan).collect()
}

/// Jobs that must be refused: an unknown team, an unknown zone, a gang spread over one zone, no
/// task, and no permitted machine type.
fn invalid_jobs() -> [JobSpec; 5] {
    let invalid = |n: u64, change: fn(&mut JobSpec)| {
        let mut spec = small_job(format!("j-9{n:05}").into());
        change(&mut spec);
        spec
    };
    [
        invalid(1, |s| s.team = "nobody".into()),
        invalid(2, |s| s.zone = Some("nowhere".into())),
        invalid(3, |s| (s.shape, s.tasks, s.spread, s.one_zone) = (Shape::Gang, 4, true, true)),
        invalid(4, |s| s.tasks = 0),
        invalid(5, |s| s.types = Some(vec![])),
    ]
}

/// Follows all jobs, and meanwhile submits the invalid ones and asks for one that nobody submitted.
/// Returns for each valid job whether its final state was seen.
async fn run_users(users: &Arc<Users>, jobs: Vec<PlannedJob>, invalid: &[JobSpec]) -> Vec<bool> {
    let followed = jobs.into_iter().map(|job| {
        let users = users.clone();
        async move {
            smol::Timer::after(job.submit_after).await;
            users.follow(job.spec, job.cancel_after).await
        }
    });
    let refused = async {
        for _ in 0..12 {
            for spec in invalid {
                users.submit(spec).await;
            }
            users.query(&"j-888888".into()).await;
            smol::Timer::after(Duration::from_millis(900)).await;
        }
    };
    futures_util::future::join(futures_util::future::join_all(followed), refused).await.0
}

#[test]
fn no_controller_gives_an_older_answer() {
    let dir = test_dir("answers");
    let cluster = Cluster::start(&dir, ClusterConfig { faults: FAULTS, ..ClusterConfig::default() });
    let users = Arc::new(Users { balancer: cluster.addr, history: Mutex::default() });
    let invalid = invalid_jobs();
    let finished = smol::block_on(run_users(&users, planned_jobs(), &invalid));
    let report = cluster.stop();
    let history = users.lock();
    assert_eq!(finished.iter().filter(|seen| !**seen).count(), 0, "jobs without a final answer");
    let wrong = find_stale_answers(&history.answers, &history.submitted);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    let count = |said: ObservedState| history.answers.iter().filter(|answer| answer.state == said).count();
    for spec in &invalid {
        let mut answers = history.answers.iter().filter(|answer| answer.id == spec.id).peekable();
        assert!(answers.peek().is_some(), "{} has no answer", spec.id);
        assert!(answers.all(|answer| answer.state == ObservedState::NotAccepted), "{} was accepted", spec.id);
    }
    // without enough answers of each kind the check above would show nothing
    assert!(
        count(ObservedState::Done) > 100
            && count(ObservedState::Cancelled) > 30
            && count(ObservedState::Unfinished) > 50,
        "{}",
        history.answers.len()
    );
    assert_eq!(report.violations, [] as [String; 0]);
    println!("{} answers, {} refusals for now", history.answers.len(), history.inconclusive);
    let _ = std::fs::remove_dir_all(&dir);
}
