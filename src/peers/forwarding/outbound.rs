//! Batches of workers' heartbeats to the leader, and its answers to the workers.

use std::sync::MutexGuard;
use std::time::{Duration, Instant};

use coralnotch_core::heartbeat_forwarding::{assigned_forwarder, ForwardedHeartbeat, Forwarder, HeartbeatForwarding};

use crate::controller::Controller;
use crate::http::{self, Response};
use crate::peers::links::{lock, wire};
use crate::runtime::wake_up::timed;
use crate::users::queues::QueuedHeartbeat;
use crate::workers::{Heartbeat, HeartbeatReply};

/// Most reports in one message, and most messages under way.
const MAX_BATCH: usize = 256;
const MAX_CONCURRENT_CALLS: usize = 4;
/// A worker waits 4 s for an answer; what is not answered by then goes elsewhere.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3400);
/// What a message may take besides the wait for the leader's commit.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Kept reports are looked through so often, in leases.
const EVICTION_PERIOD_LEASES: f64 = 2.0;

/// What came of a message to the leader.
enum BatchResult {
    /// Its answers, in the order of the reports.
    Answers { term: u64, answers: Vec<wire::ReportAnswer> },
    /// It does not lead, or not yet.
    NotLeading,
    /// No answer.
    Failed,
}

impl Controller {
    /// Forwards a report and gives the leader's answer; `None`: this controller has to see to it
    /// itself.
    pub(crate) async fn forward_heartbeat(&self, body: &[u8]) -> Option<Response> {
        let report: Heartbeat = http::decode(body).ok()?;
        {
            let now = Instant::now();
            let mut i = self.lock();
            self.detect_stall(&mut i, now);
            self.record_worker_contact(&mut i, &report.zone, now);
        }
        let (reply, answer) = smol::channel::bounded(1);
        let until = Instant::now() + REPLY_TIMEOUT;
        let waiting = QueuedHeartbeat { heartbeat: report, body: body.to_vec(), deadline: until, reply };
        if self.heartbeat_queue.queued.0.try_send(waiting).is_err() {
            return Some(Response::refuse(503, "too many reports wait"));
        }
        match timed(REPLY_TIMEOUT, answer.recv()).await {
            Some(Ok(response)) => Some(response),
            // given back: the leader cannot be reached from here
            Some(Err(_)) => None,
            None => Some(Response::refuse(503, "no leader has answered")),
        }
    }

    /// Whether reports go to the leader by way of this controller now.
    pub(crate) fn may_forward(&self, now: Instant) -> bool {
        let failed = *lock(&self.heartbeat_queue.failed_at);
        if failed.is_some_and(|t| now.saturating_duration_since(t) < self.policy.peer_limit) {
            return false;
        }
        let i = self.lock();
        let leads_here = i.lease.is_some() || i.leader.as_ref().is_some_and(|l| l.record.name == self.config.name);
        i.forwards_heartbeats() && !leads_here
    }

    /// Forwards what waits, for as long as the controller runs.
    pub async fn run_heartbeat_forwarding(&self) {
        let gathers = smol::lock::Mutex::new(());
        futures_util::future::join_all((0..MAX_CONCURRENT_CALLS).map(|_| self.forward_batches(&gathers))).await;
    }

    /// Forwards one batch after another; one of those that do gathers at a time.
    async fn forward_batches(&self, gathers: &smol::lock::Mutex<()>) {
        let mut tidied = Instant::now();
        loop {
            let batch = {
                let _turn = gathers.lock().await;
                self.collect_batch(&self.heartbeat_queue.queued.1).await
            };
            self.deliver_batch(batch).await;
            let keep = self.policy.lease.mul_f64(EVICTION_PERIOD_LEASES);
            if tidied.elapsed() > keep {
                tidied = Instant::now();
                self.forwarding().evict_idle(keep, tidied);
            }
        }
    }

    fn forwarding(&self) -> MutexGuard<'_, HeartbeatForwarding> {
        lock(&self.heartbeat_queue.forwarding)
    }

    /// The reports that come within a short time.
    async fn collect_batch(&self, queue: &smol::channel::Receiver<QueuedHeartbeat>) -> Vec<QueuedHeartbeat> {
        let Ok(first) = queue.recv().await else { return std::future::pending().await };
        let mut batch = vec![first];
        smol::Timer::after(self.policy.batch_gap).await;
        while batch.len() < MAX_BATCH {
            let Ok(next) = queue.try_recv() else { break };
            batch.push(next);
        }
        batch
    }

    /// Has the leader answer a batch; while another takes over it waits for that one.
    async fn deliver_batch(&self, mut batch: Vec<QueuedHeartbeat>) {
        loop {
            let now = Instant::now();
            batch.retain(|w| now < w.deadline && !w.reply.is_closed());
            if batch.is_empty() {
                return;
            }
            match self.send_batch(&batch).await {
                BatchResult::Answers { term, answers } => {
                    batch = self.reply_to_workers(batch, answers, term);
                    if batch.is_empty() {
                        return;
                    }
                }
                BatchResult::NotLeading => drop(smol::Timer::after(self.policy.renew / 4).await),
                BatchResult::Failed => {
                    // their senders end with the batch: each report is dealt with here
                    *lock(&self.heartbeat_queue.failed_at) = Some(Instant::now());
                    return;
                }
            }
        }
    }

    async fn send_batch(&self, batch: &[QueuedHeartbeat]) -> BatchResult {
        let (leader, term) = {
            let i = self.lock();
            match &i.leader {
                Some(l) => (l.record.name.clone(), l.record.term),
                None => return BatchResult::NotLeading,
            }
        };
        let Some(link) = self.peers.links.iter().find(|l| l.name == leader) else { return BatchResult::NotLeading };
        let reports = {
            let forwarding = self.forwarding();
            batch.iter().map(|w| encode_heartbeat(forwarding.message(&w.heartbeat, term), &w.body)).collect()
        };
        let message = wire::ReportBatch { from: self.config.name.clone(), term, reports };
        let limit = CALL_TIMEOUT + self.policy.commit_wait;
        let answer = self.peers.call(link, limit, |mut c| async move { c.report(message).await }).await;
        match answer {
            Some(a) if a.answers.len() == batch.len() => BatchResult::Answers { term: a.term, answers: a.answers },
            Some(_) => BatchResult::NotLeading,
            None => BatchResult::Failed,
        }
    }

    /// Hands the leader's answers to the workers; the reports that it wants in full are left.
    fn reply_to_workers(
        &self,
        batch: Vec<QueuedHeartbeat>,
        answers: Vec<wire::ReportAnswer>,
        term: u64,
    ) -> Vec<QueuedHeartbeat> {
        let (now, mut again) = (Instant::now(), Vec::new());
        for (w, a) in batch.into_iter().zip(answers) {
            let Ok(status) = u16::try_from(a.status) else { continue };
            if status == 0 {
                self.forwarding().forget(&w.heartbeat.machine);
                again.push(w);
                continue;
            }
            let mut response = match a.body.is_empty() {
                true => Response::new(status, &HeartbeatReply { fencing_token: a.token, commands: Vec::new() }),
                false => Response { status, body: a.body, retry_after: None, seldom: false },
            };
            response.seldom = true;
            if status == 200 {
                self.forwarding().mark_accepted(w.heartbeat, term, now);
            } else {
                self.forwarding().forget(&w.heartbeat.machine);
            }
            let _ = w.reply.try_send(response);
        }
        again
    }

    /// The controller that takes a worker's reports for the leader, if there is one: only one
    /// that has lately reached this leader.
    pub(crate) fn redirect_to_forwarder(&self, machine: &str, zone: &str, now: Instant) -> Option<Response> {
        if !self.lock().forwards_heartbeats() {
            return None;
        }
        let fresh = self.policy.peer_limit * 4;
        let asked = lock(&self.peers.progress_requested_at);
        let lately = |name: &str| asked.get(name).is_some_and(|t| now.saturating_duration_since(*t) < fresh);
        let siblings = self.config.peers.iter().filter(|s| lately(&s.name));
        let all: Vec<Forwarder<'_>> = siblings.map(|s| Forwarder { name: &s.name, zone: &s.zone }).collect();
        let to = assigned_forwarder(machine, zone, &all)?;
        Some(crate::heartbeats::redirect(to))
    }
}

fn encode_heartbeat(message: ForwardedHeartbeat, body: &[u8]) -> wire::Report {
    match message {
        ForwardedHeartbeat::Full => wire::Report { full: body.to_vec(), ..wire::Report::default() },
        ForwardedHeartbeat::UnchangedHeartbeat(u) => wire::Report {
            full: Vec::new(),
            machine: u.machine.to_string(),
            session: u.incarnation,
            tally: u.sequence,
            after: u.repeats_sequence,
        },
    }
}
