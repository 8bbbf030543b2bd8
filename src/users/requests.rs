//! Users: submissions, queries, withdrawals, health; and the workers' reports
//! on their way to the leader's state.
//!
//! "Accepted", "done" and "cancelled" are said only after the commit.  "Not
//! over" is said only after the store has confirmed that no end is stored,
//! many queries in one comparison: no controller ever gives an older answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream::StreamExt;
use serde::Serialize;

use crate::cluster::raise_token;
use crate::http::{self, Request, Response};
use crate::leadership::lease::PartitionSuspicion;
use coralnotch_core::lookup::{Lookup, LookupResult};
use coralnotch_core::user_request::{
    cancellations_txn, submissions_txn, unsatisfiable_reason, NextAction, Reply, RequestKind, StateView, StoreResult,
    UserRequest, Validation,
};

use crate::controller::{Controller, ControllerState};
use crate::job_index::{EndedJob, JobStatus, OpenJob};
use crate::model::*;
use crate::operators::telemetry::{count, TimedOperation};
use crate::peers::links::{lock, wire};
use crate::runtime::wake_up::timed;
use crate::state_store::client::{key, read_value, StoreError, Txn, TxnOutcome, Write};
use crate::workers::{lease_renewal_reply, Heartbeat, HeartbeatOrigin, HeartbeatReply};

#[derive(Serialize)]
struct Redirect<'a> {
    #[serde(rename = "answerTo")]
    answer_to: Option<&'a str>,
}

/// Sends a worker to another controller.
pub(crate) fn redirect(to: Option<&str>) -> Response {
    Response::new(421, &Redirect { answer_to: to })
}

/// A user waits 5 s for a submission; an answer after this is none.
const SUBMIT_LIMIT: Duration = Duration::from_millis(4000);
/// How long an answer waits for the siblings to know of a withdrawal.
const TELL_LIMIT: Duration = Duration::from_millis(1200);
/// Needed jobs that one query reads; the rest is the next one's.
const MOST_READ: usize = 64;
/// Progress of jobs is told again for so long before it is counted anew.
const PROGRESS_KEPT: Duration = Duration::from_secs(1);
/// A user waits 2 s for a query.
const QUERY_LIMIT: Duration = Duration::from_millis(1700);

/// Most bytes that a submission takes in the store, in the form that is counted.
fn stored_bytes(spec: &JobSpec) -> usize {
    // a quarter for commas and colons, and what numbers need as text
    let bytes = http::encode(spec).len();
    bytes + bytes / 4 + 128
}

impl Controller {
    /// Answers one request.
    pub async fn handle_request(self: Arc<Self>, r: Request) -> Response {
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/healthz") => {
                self.lock().last_user_request = Some(Instant::now());
                self.health()
            }
            // a worker comes once in a report interval, and there may be more
            // workers than sockets
            ("POST", "/hello") => Response { seldom: true, ..self.hello(&r.body).await },
            ("GET", "/v2/status") => Response::new(200, &self.status(Instant::now())),
            (_, "/healthz" | "/hello" | "/v2/status") => Response::refuse(405, "wrong method"),
            _ => {
                let c = &self.telemetry.counters;
                count(&c.requests);
                self.lock().last_user_request = Some(Instant::now());
                // apart, or every connection, most of them workers', would be as
                // large as the longest way of a user's request
                let a = Box::pin(self.route_user_request(&r)).await;
                if a.status == 503 {
                    count(&c.refused);
                }
                a
            }
        }
    }

    /// Answers a user's request, here or by a sibling.
    async fn route_user_request(&self, r: &Request) -> Response {
        // refused or cut off from the state service: a sibling may not be
        let cut = self.store.is_failing();
        if cut {
            if let Some(a) = self.relay_to_peer(r).await {
                return a;
            }
        }
        let answer = self.handle_user_request(r).await;
        if !cut && answer.status == 503 && self.store.is_failing() {
            return self.relay_to_peer(r).await.unwrap_or(answer);
        }
        answer
    }

    /// Answers a user's request here.
    pub async fn handle_user_request(&self, r: &Request) -> Response {
        let rest = r.path.strip_prefix("/v2/runs");
        let began = Instant::now();
        match (r.method.as_str(), rest) {
            ("POST", Some("")) => {
                let a = self.submit(&r.body).await;
                self.telemetry.record(TimedOperation::Submission, began.elapsed());
                return a;
            }
            (_, Some("")) => return Response::refuse(405, "wrong method"),
            _ => {}
        }
        let Some(rest) = rest.and_then(|r| r.strip_prefix('/')) else { return Response::refuse(404, "no such path") };
        let (id, withdraw) = match rest.strip_suffix("/withdraw") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        if id.is_empty() || id.contains('/') {
            return Response::refuse(404, "no such path");
        }
        let (answer, what) = match (r.method.as_str(), withdraw) {
            ("POST", true) => (self.withdraw(id).await, TimedOperation::Withdrawal),
            ("GET", false) => (self.query(id, r.query == "why").await, TimedOperation::Query),
            _ => return Response::refuse(405, "wrong method"),
        };
        self.telemetry.record(what, began.elapsed());
        answer
    }

    fn health(&self) -> Response {
        let ready = {
            let i = self.lock();
            i.synced && !i.machine_types.is_empty()
        };
        // without the state service a node can still relay, and in an outage
        // it refuses at once: only one that reaches nobody is of no use
        let now = Instant::now();
        let cut = self.store.is_failing() && now.duration_since(self.store.last_served()) > self.policy.ttl;
        if ready && (!cut || self.peers.any_reachable(self.policy.peer_limit * 3, now)) {
            Response::new(200, &JobState { id: "ok".into(), stage: "ok".into(), done: 0, running: 0 })
        } else {
            Response::refuse(503, "not ready")
        }
    }

    /// A worker of a zone has reported here.
    pub(crate) fn note_worker_contact(&self, i: &mut ControllerState, zone: &str, now: Instant) {
        i.last_heartbeat = Some(now);
        if *zone != *self.config.zone {
            i.last_remote_zone_heartbeat = Some(now);
        }
    }

    /// Sends a worker to the leader without reading all of its report: after a change of
    /// leader all of them come here first.  Where the state service does not
    /// serve this controller it may have to keep leases, and reads.
    fn sends_on(&self, body: &[u8]) -> Option<Response> {
        let origin: HeartbeatOrigin = http::decode(body).ok()?;
        let mut i = self.lock();
        let now = Instant::now();
        if i.lease.is_some() || i.cluster.is_some() || self.store.is_failing() {
            return None;
        }
        let leader = i.leader.as_ref().filter(|l| l.record.name != self.config.name)?;
        let answer = redirect(Some(&leader.record.name));
        self.detect_stall(&mut i, now);
        self.note_worker_contact(&mut i, &origin.zone, now);
        Some(answer)
    }

    async fn hello(&self, body: &[u8]) -> Response {
        if self.may_forward(Instant::now()) {
            // apart: few connections wait for the leader at once
            if let Some(answer) = Box::pin(self.forward_heartbeat(body)).await {
                return answer;
            }
        }
        if let Some(elsewhere) = self.sends_on(body) {
            return elsewhere;
        }
        let report: Heartbeat = match http::decode(body) {
            Ok(r) => r,
            Err(e) => return Response::refuse(400, &e.to_string()),
        };
        if let Some(elsewhere) = self.redirect_to_forwarder(&report.machine, &report.zone, Instant::now()) {
            return elsewhere;
        }
        count(&self.telemetry.counters.reports);
        match self.accept_heartbeat(&report, true) {
            Ok(false) => {}
            Ok(true) => self.wait_for_commit(&[&report]).await,
            Err(r) => return r,
        }
        self.reply_to_heartbeat(&report)
    }

    /// What a report frees is filled with its very answer, if the store is quick about it;
    /// commands leave only once stored.
    pub(crate) async fn wait_for_commit(&self, reports: &[&Heartbeat]) {
        let _ = timed(self.policy.commit_wait, async {
            loop {
                let stored = self.commit_done.listen();
                let pending =
                    self.lock().cluster.as_ref().is_some_and(|c| reports.iter().any(|r| c.has_pending_start(r)));
                if !pending {
                    return;
                }
                stored.await;
            }
        })
        .await;
    }

    /// The leader's answer to a report that it has taken in.
    pub(crate) fn reply_to_heartbeat(&self, report: &Heartbeat) -> Response {
        let mut i = self.lock();
        let now = Instant::now();
        // checked at the moment of answering: the lease may have run out
        if self.may_lead(&i, now) {
            if let Some(c) = i.cluster.as_mut() {
                return Response::new(200, &c.reply_to_heartbeat(report, now));
            }
        }
        Response::refuse(503, "leads no more")
    }

    /// Takes a report into the leader's state; whether its answer should wait
    /// for the store.  `direct`: its worker sent it here.
    pub(crate) fn accept_heartbeat(&self, report: &Heartbeat, direct: bool) -> Result<bool, Response> {
        let mut i = self.lock();
        let now = Instant::now();
        self.detect_stall(&mut i, now);
        match direct {
            true => self.note_worker_contact(&mut i, &report.zone, now),
            // workers are heard; what reaches this controller itself only those tell
            false => i.last_heartbeat = Some(now),
        }
        if i.is_leader(now) && !self.may_lead(&i, now) {
            return Err(Response::refuse(503, "does not see the store's changes"));
        }
        if !i.is_leader(now) {
            // an outage of the state service, by the siblings' word: nobody
            // can lead, and our lease outlives it.  The workers' leases are
            // renewed, without commands, for as long as no withdrawal can have
            // been missed; as silence is never a proof here, that is safe even
            // if they were wrong
            let fresh = self.policy.peer_limit * 3;
            let outage =
                i.lease.is_some_and(|a| self.store.is_failing() && self.peers.confirm_outage(a.term, fresh, now))
                    && self.may_renew(&i, now);
            if let Some(c) = i.cluster.as_mut().filter(|_| outage) {
                if c.apply_heartbeat(report, true, now).is_some() {
                    let token = c.fencing_token_for(&report.machine);
                    return Err(Response::new(200, &self.keep_alive(&i, report, token)));
                }
            } else if self.alone(&i, report, now) {
                // a start that is held up on its way finds a higher token: a
                // withdrawal that is known here could not stop it
                let token = if self.notices_required(&i, now) {
                    raise_token(report.fencing_token)
                } else {
                    report.fencing_token
                };
                return Err(Response::new(200, &self.keep_alive(&i, report, token)));
            }
            return Err(match &i.leader {
                Some(l) if l.record.name != self.config.name => redirect(Some(&l.record.name)),
                _ => Response::refuse(503, "no leader is known"),
            });
        }
        let Some(c) = i.cluster.as_mut() else { return Err(Response::refuse(503, "not ready")) };
        match c.apply_heartbeat(report, true, now) {
            None => {
                tracing::error!("{} has seen a token above ours", report.machine);
                return Err(Response::refuse(503, "outdated"));
            }
            Some(false) => return Ok(false),
            Some(true) => {}
        }
        let news = c.queue_changed;
        if news {
            self.run_pass(&mut i, now);
        }
        let Some(c) = i.cluster.as_mut() else { return Ok(false) };
        let pending = c.has_pending_start(report);
        if let Some(m) = c.machines.get_mut(&report.machine) {
            m.reply_pending = pending;
        }
        match (c.queue_changed, news) {
            // the next pass fills what this report has freed, and one
            // transaction stores both
            (true, _) => self.placement_wake.wake(),
            (false, true) => self.commit_wake.wake(),
            _ => {}
        }
        Ok(pending)
    }

    /// Whether this controller seems to be cut off together with its zone:
    /// neither the state service nor any sibling answers, not even with a
    /// refusal, and only workers of its own zone come here.  Then the zone's
    /// workers reach nobody else, and their tasks go on if their leases are
    /// renewed.  As silence is never taken for a proof, the leader outside
    /// starts none of them again.  What is withdrawn outside is not heard of in
    /// here: renewals end in time for it.  Users belong to no zone: where one
    /// comes, or a probe for them, it is this controller alone that is cut off,
    /// and its zone's workers can turn to another.
    fn alone(&self, i: &ControllerState, report: &Heartbeat, now: Instant) -> bool {
        let age = |t: Instant| now.saturating_duration_since(t);
        let state = PartitionSuspicion {
            since_store_answer: age(self.store.last_served()),
            any_answer: !self.store.is_silent() || self.peers.any_reachable(self.policy.peer_limit * 3, now),
            since_remote_zone_heartbeat: i.last_remote_zone_heartbeat.map(age),
            since_user_request: i.last_user_request.map(age),
        };
        *report.zone == *self.config.zone
            && !self.config.peers.is_empty()
            && state.includes_own_zone(self.policy.cut_after)
            && self.may_renew(i, now)
    }

    /// Renews the worker's lease without leading.
    fn keep_alive(&self, i: &ControllerState, report: &Heartbeat, token: u64) -> HeartbeatReply {
        count(&self.telemetry.counters.kept_alive);
        let led = |id: &Name| i.cluster.as_ref().and_then(|c| c.jobs.get(id)).and_then(|j| j.outcome);
        lease_renewal_reply(report, token, |id| {
            i.cancellations.contains(id) || i.jobs.outcome(id).or_else(|| led(id)).is_some()
        })
    }

    async fn submit(&self, body: &[u8]) -> Response {
        let spec: JobSpec = match http::decode(body) {
            Ok(s) => s,
            Err(e) => return Response::refuse(400, &e.to_string()),
        };
        if let Some(why) = spec.validation_error() {
            return Response::refuse(400, why);
        }
        let id = spec.id.clone();
        let word = self.inquire(&id, RequestKind::Submit, Some(Arc::new(spec))).await;
        self.say(&id, word)
    }

    /// What speaks against a submission that is not known here.
    async fn validate(&self, spec: &JobSpec) -> Validation {
        {
            let i = self.lock();
            if !i.synced || i.machine_types.is_empty() {
                return Validation::Undetermined("not ready");
            }
            if let Some(why) = unsatisfiable_reason(spec, &self.config.deployment.teams, &i.machine_types) {
                return Validation::Unsatisfiable(why);
            }
        }
        if stored_bytes(spec) > self.store.most.value_bytes {
            return Validation::Undetermined("larger than the state service takes now");
        }
        self.validate_needs(spec).await
    }

    /// Hands a submission over to be stored, with those that wait meanwhile.
    async fn stored(&self, spec: Arc<JobSpec>, needs_cancelled_job: bool) -> StoreResult {
        let (reply, answer) = smol::channel::bounded(1);
        if self.user_requests.submissions.0.try_send((spec, needs_cancelled_job, reply)).is_err() {
            return StoreResult::Unknown;
        }
        timed(SUBMIT_LIMIT, answer.recv()).await.and_then(Result::ok).unwrap_or(StoreResult::Unknown)
    }

    /// Whether a job that needs others can be taken, and whether one of these is
    /// known to be cancelled, so that it ends with it.
    /// "Never accepted" is the store's word alone: what is known here may lag.
    async fn validate_needs(&self, spec: &JobSpec) -> Validation {
        if spec.needs.is_empty() {
            return Validation::Valid { needs_cancelled_job: false };
        }
        let (mut unknown, mut needs_cancelled_job, mut wrong) = (Vec::new(), false, None);
        {
            let mut i = self.lock();
            if !i.dependencies_enabled {
                return Validation::Undetermined("not every controller knows of jobs that wait for others yet");
            }
            for n in &spec.needs {
                let needed = match i.jobs.status_of(n) {
                    JobStatus::Open(o) => o.spec,
                    JobStatus::Ended(e) => {
                        needs_cancelled_job |= e.outcome == JobOutcome::Cancelled;
                        e.spec
                    }
                    JobStatus::Unknown => {
                        unknown.push(n.clone());
                        continue;
                    }
                };
                if needed.shape == Shape::Service {
                    wrong = Some("needs a service, which is never done");
                }
            }
        }
        if spec.needs.contains(&spec.id) {
            wrong = Some("needs itself");
        }
        if wrong.is_none() && !unknown.is_empty() {
            wrong = match timed(QUERY_LIMIT, self.exist(&unknown)).await.flatten() {
                Some(wrong) => wrong,
                None => return Validation::Undetermined("the state service does not answer"),
            };
        }
        wrong.map_or(Validation::Valid { needs_cancelled_job }, Validation::Unsatisfiable)
    }

    /// What speaks against needing these jobs, which are not known here; many in
    /// one comparison.  `None` if that cannot be told now.
    async fn exist(&self, ids: &[Name]) -> Option<Option<&'static str>> {
        for some in ids.chunks((self.store.most.preconditions / 2).max(1)) {
            let mut asked = Lookup::new(some.iter());
            if !self.settle(&mut asked).await {
                return None;
            }
            for id in some {
                match asked.found(id) {
                    Some(LookupResult::NotFound) => return Some(Some("needs a job that was never accepted")),
                    Some(_) => {
                        // unfinished, and the watch has not shown it yet
                        self.throttle_lookup(1.0).await;
                        let path = format!("{}{id}", key::JOB);
                        let item = self.store.get(&path).await.ok()??;
                        if read_value::<JobSpec>(&path, item.value)?.shape == Shape::Service {
                            return Some(Some("needs a service, which is never done"));
                        }
                    }
                    None => {}
                }
            }
        }
        Some(None)
    }

    /// Stores submissions, those that wait together in one transaction.
    pub async fn run_submissions(&self) {
        let queue = &self.user_requests.submissions.1;
        while let Ok(first) = queue.recv().await {
            let mut batch = vec![first];
            let mut bytes = 0;
            // one that needs a cancelled job is stored with its own end
            let changes = |l: &[(Arc<JobSpec>, bool, _)]| l.iter().map(|s| 1 + usize::from(s.1)).sum::<usize>();
            while changes(&batch) + 1 < self.store.most.writes && bytes < 20_000 {
                let Ok(next) = queue.try_recv() else { break };
                bytes += http::encode(&*next.0).len();
                batch.push(next);
            }
            let mut tries = 0;
            while !batch.is_empty() {
                let txn =
                    submissions_txn(batch.iter().map(|(spec, needs_cancelled_job, _)| (&**spec, *needs_cancelled_job)));
                let sent = Instant::now();
                let outcome = self.store.txn(&txn).await;
                let now = Instant::now();
                match outcome {
                    Ok(TxnOutcome::Done(stamp)) => {
                        let slow = now.duration_since(sent) > self.policy.renew;
                        for (spec, _, reply) in batch.drain(..) {
                            let id = spec.id.clone();
                            self.apply_own_job(spec, stamp, now);
                            // by what was stored: the same id may have come twice, and one
                            // of the two before the end of what it needs was known
                            let end = format!("{}{id}", key::OUTCOME);
                            if txn.writes.iter().any(|w| matches!(w, Write::Set { set, .. } if *set == end)) {
                                self.apply_stored_outcome(&id, JobOutcome::Cancelled, stamp, now);
                            }
                            let _ = reply.try_send(StoreResult::New { slow });
                        }
                    }
                    Ok(TxnOutcome::Conflict(failed)) => {
                        // those exist already, perhaps by a try of ours
                        for k in &failed {
                            for (_, _, reply) in batch.extract_if(.., |(s, ..)| *k == format!("{}{}", key::JOB, s.id)) {
                                let _ = reply.try_send(StoreResult::AlreadyStored);
                            }
                        }
                    }
                    Err(StoreError::Refused(429)) if tries < 4 => {
                        tries += 1;
                        smol::Timer::after(Duration::from_millis(150)).await;
                    }
                    Err(e) => {
                        tracing::debug!("submissions: {e}");
                        for (_, _, reply) in batch.drain(..) {
                            let _ = reply.try_send(StoreResult::Unknown);
                        }
                    }
                }
            }
        }
    }

    /// A job and its end as stored, or nothing if it was never accepted.  What
    /// is over is kept for the next question; what is not comes by the watch.
    pub(crate) async fn read_job(&self, id: &str) -> Result<Option<(OpenJob, Option<JobOutcome>)>, StoreError> {
        let (job, end) = (format!("{}{id}", key::JOB), format!("{}{id}", key::OUTCOME));
        // the end last: it may come in between
        let Some(item) = self.store.get(&job).await? else { return Ok(None) };
        let end = self.store.get(&end).await?;
        let spec = read_value::<JobSpec>(&job, item.value).ok_or(StoreError::Unreadable)?;
        let open = OpenJob { spec: Arc::new(spec), revision: item.revision };
        let outcome = match end {
            None => None,
            Some(e) => {
                Some((read_value::<OutcomeRecord>(&e.key, e.value).ok_or(StoreError::Unreadable)?.outcome, e.revision))
            }
        };
        if let Some((outcome, at)) = outcome {
            let mut i = self.lock();
            if outcome == JobOutcome::Cancelled {
                i.cancellations.record(at, id, Instant::now());
            }
            i.jobs.insert_ended(EndedJob { spec: open.spec.clone(), revision: open.revision, outcome });
        }
        Ok(Some((open, outcome.map(|f| f.0))))
    }

    /// What the store says of an id, asked from now on; `None` if it can't be told now.
    async fn look(&self, id: &Name) -> Option<LookupResult> {
        let (reply, answer) = smol::channel::bounded(1);
        if self.user_requests.lookups.0.try_send((id.clone(), reply)).is_err() {
            count(&self.telemetry.counters.lookups_refused);
            return None;
        }
        timed(QUERY_LIMIT, answer.recv()).await?.ok()?
    }

    pub(crate) async fn throttle_lookup(&self, calls: f64) {
        let wait = {
            let mut b = self.user_requests.lookup_calls.lock().unwrap_or_else(|e| e.into_inner());
            b.take(calls, Instant::now())
        };
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
    }

    /// Asks the store until all of these is known; false if it can't be told now.
    async fn settle(&self, asked: &mut Lookup) -> bool {
        while let Some(txn) = asked.txn() {
            self.throttle_lookup(1.0).await;
            match self.store.txn(&txn).await {
                Ok(TxnOutcome::Done(_)) => asked.mark_settled(),
                Ok(TxnOutcome::Conflict(keys)) if asked.apply_conflict(&keys) => {}
                Ok(TxnOutcome::Conflict(_)) | Err(_) => return false,
            }
        }
        true
    }

    /// Looks up ids that are not known here, those that wait together at once:
    /// users ask about jobs that are over for long, and about some that nobody
    /// submitted.
    pub async fn run_lookups(&self) {
        let queue = &self.user_requests.lookups.1;
        while let Ok(first) = queue.recv().await {
            smol::Timer::after(self.policy.confirm_gap).await;
            let mut batch = vec![first];
            while batch.len() < self.store.most.preconditions / 2 {
                let Ok(next) = queue.try_recv() else { break };
                batch.push(next);
            }
            // who has given up gets no answer, and costs nothing
            batch.retain(|(_, reply)| !reply.is_closed());
            if batch.is_empty() {
                continue;
            }
            let mut asked = Lookup::new(batch.iter().map(|(id, _)| id));
            let failed = !self.settle(&mut asked).await;
            for id in asked.ended() {
                self.throttle_lookup(2.0).await;
                let read = self.read_job(&id).await;
                let found = match read {
                    Ok(Some((_, Some(outcome)))) => Some(LookupResult::Ended(outcome)),
                    _ => None,
                };
                for (_, reply) in batch.extract_if(.., |(i, _)| *i == id) {
                    let _ = reply.try_send(found.clone());
                }
            }
            for (id, reply) in batch {
                let _ = reply.try_send(if failed { None } else { asked.found(&id) });
            }
        }
    }

    /// The job's end, or none by the store's word; `None` if it can't be told now.
    async fn end_of(&self, id: &Name) -> Option<Option<JobOutcome>> {
        let (reply, answer) = smol::channel::bounded(1);
        self.user_requests.checks.0.try_send((id.clone(), reply)).ok()?;
        timed(QUERY_LIMIT, answer.recv()).await?.ok()?
    }

    /// Confirms that jobs have no end, those that wait together at once.
    pub async fn run_confirmations(&self) {
        let queue = &self.user_requests.checks.1;
        while let Ok(first) = queue.recv().await {
            smol::Timer::after(self.policy.confirm_gap).await;
            let mut batch = vec![first];
            while batch.len() < self.store.most.preconditions {
                let Ok(next) = queue.try_recv() else { break };
                batch.push(next);
            }
            let mut tries = 0;
            while !batch.is_empty() {
                let mut txn = Txn::default();
                for (id, _) in &batch {
                    txn.require(format!("{}{id}", key::OUTCOME), 0);
                }
                match self.store.txn(&txn).await {
                    Ok(TxnOutcome::Done(_)) => {
                        for (_, reply) in batch.drain(..) {
                            let _ = reply.try_send(Some(None));
                        }
                    }
                    Ok(TxnOutcome::Conflict(failed)) => {
                        for k in failed {
                            let outcome = self.read_outcome(&k).await;
                            for (_, reply) in batch.extract_if(.., |(id, _)| k == format!("{}{id}", key::OUTCOME)) {
                                let _ = reply.try_send(outcome.map(Some));
                            }
                        }
                    }
                    Err(StoreError::Refused(429)) if tries < 3 => {
                        tries += 1;
                        smol::Timer::after(Duration::from_millis(100)).await;
                    }
                    Err(e) => {
                        tracing::debug!("query: {e}");
                        for (_, reply) in batch.drain(..) {
                            let _ = reply.try_send(None);
                        }
                    }
                }
            }
        }
    }

    async fn read_outcome(&self, path: &str) -> Option<JobOutcome> {
        let item = self.store.get(path).await.ok()??;
        let f = read_value::<OutcomeRecord>(path, item.value)?.outcome;
        if let Some(id) = path.strip_prefix(key::OUTCOME) {
            self.apply_stored_outcome(id, f, item.revision, Instant::now());
        }
        Some(f)
    }

    /// A job's state for display.
    fn state(&self, id: &Name, outcome: Option<JobOutcome>) -> JobState {
        let i = self.lock();
        let tasks = i.jobs.task_count(id).unwrap_or(0);
        let (mut done, mut running) = (0, 0);
        match outcome {
            Some(JobOutcome::Done) => done = tasks,
            Some(JobOutcome::Cancelled) => {}
            None => {
                if let Some((c, j)) = i.cluster.as_ref().and_then(|c| Some((c, c.jobs.get(id)?))) {
                    done = j.completed.len();
                    for (n, list) in &j.assignments {
                        let task = Task { job: id.clone(), index: *n };
                        let runs = |m: &Name| {
                            let p = c.machines.get(m).and_then(|m| m.tasks.get(&task));
                            p.is_some_and(|p| p.phase == crate::cluster::TaskPhase::Running)
                        };
                        running += u32::from(list.iter().any(runs));
                    }
                } else {
                    (done, running) = self.peers.progress(id);
                }
            }
        }
        let stage = match outcome {
            Some(f) => f.as_str(),
            None if running > 0 => "running",
            None => "pending",
        };
        JobState { id: id.clone(), stage: stage.into(), done, running }
    }

    /// The progress of jobs, counted lately or now: many siblings ask.
    pub fn recent_progress(&self, now: Instant) -> Vec<wire::Progress> {
        let mut told = lock(&self.peers.told_progress);
        match told.as_ref() {
            Some((at, jobs)) if now.saturating_duration_since(*at) < PROGRESS_KEPT => jobs.clone(),
            _ => {
                let jobs = self.progress();
                *told = Some((now, jobs.clone()));
                jobs
            }
        }
    }

    /// Done and running tasks of all jobs that are not over, for siblings.
    pub fn progress(&self) -> Vec<wire::Progress> {
        let i = self.lock();
        let Some(c) = i.cluster.as_ref() else { return Vec::new() };
        let mut running: std::collections::HashMap<&Name, u32> = std::collections::HashMap::new();
        for (t, p) in c.machines.values().flat_map(|m| &m.tasks) {
            *running.entry(&t.job).or_default() += u32::from(p.phase == crate::cluster::TaskPhase::Running);
        }
        let of = |j: &crate::cluster::Job| wire::Progress {
            id: j.spec.id.to_string(),
            done: j.completed.len(),
            running: running.get(&j.spec.id).copied().unwrap_or(0),
        };
        let mut jobs: Vec<_> = c.jobs.values().filter(|j| j.outcome.is_none()).map(of).collect();
        jobs.retain(|j| j.done + j.running > 0);
        jobs
    }

    /// What a job has to do with other jobs, as far as is known here.
    fn explained(&self, state: JobState) -> JobExplanation {
        let mut i = self.lock();
        let spec = match i.jobs.status_of(&state.id) {
            JobStatus::Open(o) => Some(o.spec),
            JobStatus::Ended(e) => Some(e.spec),
            JobStatus::Unknown => None,
        };
        let needs = spec.map(|s| s.needs.clone()).unwrap_or_default();
        let cancelled = state.stage == JobOutcome::Cancelled.as_str();
        let of = |n: &&Name| i.jobs.outcome(n) == Some(JobOutcome::Cancelled);
        let cancelled_with = needs.iter().filter(|_| cancelled).find(of).cloned();
        let open = |n: &Name| matches!(i.jobs.status_of(n), JobStatus::Open(_));
        let waits_for = needs.into_iter().filter(open).filter(|_| !cancelled).collect();
        JobExplanation { state, waits_for, cancelled_with }
    }

    /// Answers a request as `core/answers` has it: asks what that wants asked.
    async fn inquire(&self, id: &Name, wish: RequestKind, spec: Option<Arc<JobSpec>>) -> Reply {
        let (mut q, began, mut told_by) = (UserRequest::new(id.clone(), wish), Instant::now(), None);
        loop {
            let told = self.cancellation_known.listen();
            let now = Instant::now();
            match (self.next(id, &mut q, now), &spec) {
                (NextAction::Reply(word), _) => return word,
                (NextAction::LookUp, _) => q.apply_lookup(self.look(id).await),
                (NextAction::Confirm, _) => q.apply_confirmation(self.end_of(id).await),
                (NextAction::Cancel, _) => q.apply_cancellation(self.cancel(id).await.ok()),
                (NextAction::ReadOutcomes(ids), _) => {
                    q.apply_outcomes_read(began.elapsed() < QUERY_LIMIT && self.read_ends(ids).await)
                }
                (NextAction::Validate, Some(spec)) => q.apply_validation(self.validate(spec).await),
                (NextAction::Store { needs_cancelled_job }, Some(spec)) => {
                    let outcome = self.stored(spec.clone(), needs_cancelled_job).await;
                    q.apply_store_result(outcome, &mut self.lock().jobs);
                }
                (NextAction::Validate | NextAction::Store { .. }, None) => return Reply::NotFound,
                (NextAction::NotifyPeers, _) => {
                    self.cancellation_to_notify.notify(usize::MAX);
                    let limit = *told_by.get_or_insert(now + TELL_LIMIT);
                    let Some(left) = limit.checked_duration_since(now) else {
                        return Reply::RetryLater("not every controller knows of it yet");
                    };
                    timed(left.min(self.policy.renew / 4), told).await;
                }
            }
        }
    }

    /// The next step of a request, by what is known now.
    fn next(&self, id: &Name, q: &mut UserRequest, now: Instant) -> NextAction {
        let mut guard = self.lock();
        let i = &mut *guard;
        let (whole, clear) = (self.cancellations_complete_as_of(i), i.has_no_task_of(id, now));
        q.next_action(&mut StateView {
            jobs: &mut i.jobs,
            cancellations: &i.cancellations,
            notices: &mut i.cancellation_notices,
            cancellations_complete_as_of: whole,
            notices_required: i.notices_enabled_at.is_some(),
            no_task_left: clear,
            policy: &self.policy,
            now,
        })
    }

    /// The answer to a user.
    fn say(&self, id: &Name, word: Reply) -> Response {
        match word {
            Reply::Accepted => {
                Response::new(201, &JobState { id: id.clone(), stage: "pending".into(), done: 0, running: 0 })
            }
            Reply::Unfinished => Response::new(200, &self.state(id, None)),
            Reply::Ended(outcome) => Response::new(200, &self.state(id, Some(outcome))),
            Reply::NotFound => Response::refuse(404, "no such job"),
            Reply::Unsatisfiable(why) => Response::refuse(422, why),
            Reply::RetryLater(why) => Response::refuse(503, why),
        }
    }

    async fn query(&self, id: &str, why: bool) -> Response {
        if !valid_id(id) {
            return Response::refuse(404, "no such job");
        }
        let id: Name = id.into();
        match self.inquire(&id, RequestKind::Query, None).await {
            Reply::Unfinished if why => Response::new(200, &self.explained(self.state(&id, None))),
            Reply::Ended(outcome) if why => Response::new(200, &self.explained(self.state(&id, Some(outcome)))),
            word => self.say(&id, word),
        }
    }

    async fn withdraw(&self, id: &str) -> Response {
        if !valid_id(id) {
            return Response::refuse(404, "no such job");
        }
        let id: Name = id.into();
        let word = timed(SUBMIT_LIMIT, self.inquire(&id, RequestKind::Cancel, None)).await;
        self.say(&id, word.unwrap_or(Reply::RetryLater("the state service does not answer")))
    }

    /// Reads the ends of some of these, which came before this controller began: what is
    /// read is kept.  Whether all of them have one.
    async fn read_ends(&self, ids: Vec<Name>) -> bool {
        let reads = ids.into_iter().take(MOST_READ).map(|n: Name| async move {
            let path = format!("{}{n}", key::OUTCOME);
            self.read_outcome(&path).await.is_some()
        });
        let read = futures_util::stream::iter(reads).buffer_unordered(8).collect::<Vec<_>>();
        timed(QUERY_LIMIT, read).await.is_some_and(|ends| ends.into_iter().all(|known| known))
    }

    /// Stores the cancellation of a job; what became of it.
    async fn cancel(&self, id: &str) -> Result<JobOutcome, StoreError> {
        // with it as many of those that need it as fit; the leader has the rest
        let mut ends = vec![Name::from(id)];
        ends.extend(self.lock().jobs.dependents(id, self.store.most.writes.saturating_sub(1)));
        let path = format!("{}{id}", key::OUTCOME);
        loop {
            let txn = cancellations_txn(&ends);
            match self.store.txn(&txn).await? {
                TxnOutcome::Done(stamp) => {
                    let now = Instant::now();
                    ends.iter().for_each(|id| self.apply_stored_outcome(id, JobOutcome::Cancelled, stamp, now));
                    return Ok(JobOutcome::Cancelled);
                }
                // one of the others has ended by itself: this one alone then
                TxnOutcome::Conflict(keys) if ends.len() > 1 && !keys.contains(&path) => ends.truncate(1),
                // whoever loses the race says what the store says
                TxnOutcome::Conflict(_) => return self.read_outcome(&path).await.ok_or(StoreError::Refused(503)),
            }
        }
    }
}

#[cfg(test)]
mod tests;
