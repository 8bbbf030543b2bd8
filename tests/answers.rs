//! Real controllers, and users who ask all of them at once: within milliseconds after a job
//! was accepted, ended or cancelled no answer is older than one that was had before it was
//! asked, through ends of controllers, a refused one, slow answers and an outage.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{dir, job, Cluster};
use coralnotch::http::{self, Client};
use coralnotch::model::{JobSpec, JobState, Name, Shape};
use coralnotch_wire::history::{older, Answer, Said};

/// What users were told, and when each job was submitted first.
#[derive(Default)]
struct Seen {
    answers: Vec<Answer<Instant>>,
    submitted: HashMap<Name, Instant>,
    /// Requests that were answered with nothing of the job.
    later: usize,
}

struct Users {
    to: SocketAddr,
    seen: Mutex<Seen>,
}

impl Users {
    /// A request on a connection of its own: the balancer picks the controller.
    async fn ask(&self, method: &str, path: &str, id: &Name, body: Option<&[u8]>) -> Option<Said> {
        let sent = Instant::now();
        if method == "POST" && path == "/v2/runs" {
            self.lock().submitted.entry(id.clone()).or_insert(sent);
        }
        let got = Client::default().send(self.to, method, path, body, Duration::from_secs(5)).await;
        let had = Instant::now();
        let said = match got {
            Ok((200 | 201, body)) => match &*http::decode::<JobState>(&body).ok()?.stage {
                "done" => Said::Done,
                "cancelled" => Said::Cancelled,
                _ => Said::Unfinished,
            },
            Ok((400 | 404 | 422, _)) => Said::Never,
            _ => {
                self.lock().later += 1;
                return None;
            }
        };
        self.lock().answers.push(Answer { id: id.clone(), sent, had, said });
        Some(said)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().expect("no panic")
    }

    async fn query(&self, id: &Name) -> Option<Said> {
        self.ask("GET", &format!("/v2/runs/{id}"), id, None).await
    }

    async fn submit(&self, spec: &JobSpec) -> Option<Said> {
        self.ask("POST", "/v2/runs", &spec.id, Some(&http::encode(spec))).await
    }

    async fn withdraw(&self, id: &Name) -> Option<Said> {
        self.ask("POST", &format!("/v2/runs/{id}/withdraw"), id, None).await
    }

    /// All at once, some of them with the same submission.
    async fn look_closely(&self, spec: &JobSpec) {
        let queries = futures_util::future::join_all((0..4).map(|_| self.query(&spec.id)));
        let repeats = futures_util::future::join_all((0..2).map(|_| self.submit(spec)));
        futures_util::future::join(queries, repeats).await;
    }

    /// A job from its submission to its end; `cancel` after so long.
    async fn follow(&self, spec: JobSpec, cancel: Option<Duration>) -> bool {
        let began = Instant::now();
        while self.submit(&spec).await.is_none() && began.elapsed() < Duration::from_secs(60) {
            smol::Timer::after(Duration::from_millis(200)).await;
        }
        self.look_closely(&spec).await;
        if let Some(wait) = cancel {
            smol::Timer::after(wait).await;
            while self.withdraw(&spec.id).await.is_none() && began.elapsed() < Duration::from_secs(90) {
                self.look_closely(&spec).await;
            }
            self.look_closely(&spec).await;
        }
        while began.elapsed() < Duration::from_secs(120) {
            if self.query(&spec.id).await.is_some_and(|s| s >= Said::Done) {
                self.look_closely(&spec).await;
                // called off when it is over: it stays what it was
                self.withdraw(&spec.id).await;
                self.look_closely(&spec).await;
                return true;
            }
            smol::Timer::after(Duration::from_millis(150)).await;
        }
        false
    }
}

#[test]
fn no_controller_gives_an_older_answer() {
    let dir = dir("answers");
    let faults = "[[fault]]\nkind = \"crash\"\nat_s = 2.0\nnode = 0\n\
                  [[fault]]\nkind = \"refused\"\nat_s = 4.0\nnode = 1\nfor_s = 2.0\n\
                  [[fault]]\nkind = \"crash\"\nat_s = 6.0\nnode = 2\n\
                  [[fault]]\nkind = \"delay\"\nat_s = 7.0\nby_ms = 400\nfor_s = 2.0\n\
                  [[fault]]\nkind = \"state-outage\"\nat_s = 9.0\nfor_s = 2.0\n";
    let cluster = Cluster::start(&dir, faults, 8);
    let users = Arc::new(Users { to: cluster.addr, seen: Mutex::default() });
    let mut rng = fastrand::Rng::with_seed(5);
    let mut jobs = Vec::new();
    for n in 0..45 {
        let after = Duration::from_millis(n * 250);
        let cancel = (n % 3 == 0).then(|| Duration::from_millis(rng.u64(0..1500)));
        jobs.push((job(format!("j-{n:06}").into()), after, cancel));
    }
    // odd ones: no such team, no such zone, spread over one zone, no task; and nobody's
    let odd = |n: u64, change: fn(&mut JobSpec)| {
        let mut spec = job(format!("j-9{n:05}").into());
        change(&mut spec);
        spec
    };
    let never = [
        odd(1, |s| s.team = "nobody".into()),
        odd(2, |s| s.zone = Some("nowhere".into())),
        odd(3, |s| (s.shape, s.tasks, s.spread, s.one_zone) = (Shape::Gang, 4, true, true)),
        odd(4, |s| s.tasks = 0),
        odd(5, |s| s.types = Some(vec![])),
    ];
    let finished = smol::block_on(async {
        let followed = jobs.into_iter().map(|(spec, after, cancel)| {
            let users = users.clone();
            async move {
                smol::Timer::after(after).await;
                users.follow(spec, cancel).await
            }
        });
        let odd = async {
            for _ in 0..12 {
                for spec in &never {
                    users.submit(spec).await;
                }
                users.query(&"j-888888".into()).await;
                smol::Timer::after(Duration::from_millis(900)).await;
            }
        };
        futures_util::future::join(futures_util::future::join_all(followed), odd).await.0
    });
    let report = cluster.stop();
    let seen = users.lock();
    assert_eq!(finished.iter().filter(|f| !**f).count(), 0, "jobs without a final answer");
    let wrong = older(&seen.answers, &seen.submitted);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    let said = |s: Said| seen.answers.iter().filter(|a| a.said == s).count();
    for spec in &never {
        let of = seen.answers.iter().filter(|a| a.id == spec.id);
        assert!(of.clone().count() > 0 && of.clone().all(|a| a.said == Said::Never), "{} was accepted", spec.id);
    }
    // there was something to check
    assert!(
        said(Said::Done) > 100 && said(Said::Cancelled) > 30 && said(Said::Unfinished) > 50,
        "{}",
        seen.answers.len()
    );
    assert_eq!(report.broken, [] as [String; 0]);
    println!("{} answers, {} refusals for now", seen.answers.len(), seen.later);
    let _ = std::fs::remove_dir_all(&dir);
}
