//! The sending side of forwarding: sends workers' heartbeats to the leader in batches, and passes the
//! leader's replies on to the workers.

use std::sync::MutexGuard;
use std::time::{Duration, Instant};

use coralnotch_core::heartbeat_forwarding::{assigned_forwarder, ForwardedHeartbeat, Forwarder, HeartbeatForwarding};

use crate::controller::Controller;
use crate::heartbeats::redirect;
use crate::http::{self, Response};
use crate::peers::links::{lock, wire};
use crate::runtime::wake_up::with_timeout;
use crate::users::queues::QueuedHeartbeat;
use crate::workers::{Heartbeat, HeartbeatReply};

/// Maximum number of heartbeats in one batch.
const MAX_BATCH_LEN: usize = 256;
/// Maximum number of batches that are in flight at the same time.
const MAX_CONCURRENT_CALLS: usize = 4;
/// How long a heartbeat waits for the leader's reply.  A worker waits 4 s, and then tries another
/// controller.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3400);
/// Time limit of a call to the leader, in addition to the wait for the leader's commit.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval between evictions of remembered heartbeats, and the idle time after which a machine's
/// heartbeat is evicted, as a multiple of the leader lease.
const EVICTION_PERIOD_LEASES: f64 = 2.0;

/// The result of a batch.
enum BatchResult {
    /// The leader has answered; the answers are in the order of the heartbeats.
    Answered { term: u64, answers: Vec<wire::ReportAnswer> },
    /// No leader is known, or the called controller does not lead yet or any more.
    NotLeading,
    /// The call failed or timed out.
    Failed,
}

impl Controller {
    /// Forwards a heartbeat and returns the leader's reply, or a refusal if the queue is full or no
    /// reply arrives within [`REPLY_TIMEOUT`].  Returns `None` if this controller has to handle the
    /// heartbeat itself, because the body cannot be decoded or the call to the leader failed.
    pub(crate) async fn forward_heartbeat(&self, body: &[u8]) -> Option<Response> {
        let heartbeat: Heartbeat = http::decode(body).ok()?;
        {
            let now = Instant::now();
            let mut state = self.lock();
            self.detect_stall(&mut state, now);
            self.record_worker_contact(&mut state, &heartbeat.zone, now);
        }
        let (reply, leader_reply) = smol::channel::bounded(1);
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let queued = QueuedHeartbeat { heartbeat, body: body.to_vec(), deadline, reply };
        if self.heartbeat_queue.queued.sender.try_send(queued).is_err() {
            return Some(Response::error(503, "too many reports wait"));
        }
        match with_timeout(REPLY_TIMEOUT, leader_reply.recv()).await {
            Some(Ok(response)) => Some(response),
            // the batch was dropped because the call to the leader failed
            Some(Err(_)) => None,
            None => Some(Response::error(503, "no leader has answered")),
        }
    }

    /// Reports whether this controller currently forwards heartbeats to the leader.  It does not while
    /// it leads itself, nor for `policy.peer_limit` after a failed call.
    pub(crate) fn may_forward(&self, now: Instant) -> bool {
        let failed_at = *lock(&self.heartbeat_queue.failed_at);
        if failed_at.is_some_and(|t| now.saturating_duration_since(t) < self.policy.peer_limit) {
            return false;
        }
        let state = self.lock();
        let is_leader =
            state.lease.is_some() || state.leader.as_ref().is_some_and(|l| l.record.name == self.config.name);
        state.forwards_heartbeats() && !is_leader
    }

    /// Forwards queued heartbeats, for as long as the controller runs.
    pub async fn run_heartbeat_forwarding(&self) {
        let collecting = smol::lock::Mutex::new(());
        futures_util::future::join_all((0..MAX_CONCURRENT_CALLS).map(|_| self.forward_batches(&collecting))).await;
    }

    /// Forwards one batch after another.  Only the task that holds `collecting` takes heartbeats from
    /// the queue, so that they are not split into several small batches.
    async fn forward_batches(&self, collecting: &smol::lock::Mutex<()>) {
        let mut last_eviction = Instant::now();
        loop {
            let batch = {
                let _guard = collecting.lock().await;
                self.collect_batch().await
            };
            self.deliver_batch(batch).await;
            let idle_limit = self.policy.lease.mul_f64(EVICTION_PERIOD_LEASES);
            if last_eviction.elapsed() > idle_limit {
                last_eviction = Instant::now();
                self.forwarding().evict_idle(idle_limit, last_eviction);
            }
        }
    }

    fn forwarding(&self) -> MutexGuard<'_, HeartbeatForwarding> {
        lock(&self.heartbeat_queue.forwarding)
    }

    /// Returns the heartbeats that are queued within `policy.batch_gap` after the first one, at most
    /// [`MAX_BATCH_LEN`].
    async fn collect_batch(&self) -> Vec<QueuedHeartbeat> {
        let queue = &self.heartbeat_queue.queued;
        let Ok(first) = queue.receiver.recv().await else { return std::future::pending().await };
        let mut batch = vec![first];
        smol::Timer::after(self.policy.batch_gap).await;
        queue.fill_batch(&mut batch, MAX_BATCH_LEN);
        batch
    }

    /// Sends a batch to the leader and passes the answers on to the workers.  During a failover the
    /// batch is sent again until the workers' deadlines.
    async fn deliver_batch(&self, mut batch: Vec<QueuedHeartbeat>) {
        loop {
            let now = Instant::now();
            batch.retain(|queued| now < queued.deadline && !queued.reply.is_closed());
            if batch.is_empty() {
                return;
            }
            match self.send_batch(&batch).await {
                BatchResult::Answered { term, answers } => {
                    batch = self.reply_to_workers(batch, answers, term);
                    if batch.is_empty() {
                        return;
                    }
                }
                BatchResult::NotLeading => drop(smol::Timer::after(self.policy.renew / 4).await),
                BatchResult::Failed => {
                    // the reply senders are dropped with the batch, and `forward_heartbeat` returns
                    // `None`, so that this controller handles each heartbeat itself
                    *lock(&self.heartbeat_queue.failed_at) = Some(Instant::now());
                    return;
                }
            }
        }
    }

    /// Sends a batch to the leader that this controller knows.
    async fn send_batch(&self, batch: &[QueuedHeartbeat]) -> BatchResult {
        let (leader, term) = {
            let state = self.lock();
            match &state.leader {
                Some(leader) => (leader.record.name.clone(), leader.record.term),
                None => return BatchResult::NotLeading,
            }
        };
        let Some(link) = self.peers.links.iter().find(|l| l.name == leader) else { return BatchResult::NotLeading };
        let reports = {
            let forwarding = self.forwarding();
            let encode = |queued: &QueuedHeartbeat| {
                encode_heartbeat(forwarding.forwarded_form(&queued.heartbeat, term), &queued.body)
            };
            batch.iter().map(encode).collect()
        };
        let message = wire::ReportBatch { from: self.config.name.clone(), term, reports };
        let limit = CALL_TIMEOUT + self.policy.commit_wait;
        let answer = self.peers.call(link, limit, |mut client| async move { client.report(message).await }).await;
        match answer {
            Some(a) if a.answers.len() == batch.len() => BatchResult::Answered { term: a.term, answers: a.answers },
            Some(_) => BatchResult::NotLeading,
            None => BatchResult::Failed,
        }
    }

    /// Passes the leader's answers on to the workers, and returns the heartbeats that the leader
    /// requests in full.
    fn reply_to_workers(
        &self,
        batch: Vec<QueuedHeartbeat>,
        answers: Vec<wire::ReportAnswer>,
        term: u64,
    ) -> Vec<QueuedHeartbeat> {
        let now = Instant::now();
        let mut requested_in_full = Vec::new();
        for (queued, answer) in batch.into_iter().zip(answers) {
            let Ok(status) = u16::try_from(answer.status) else { continue };
            if status == 0 {
                self.forwarding().forget(&queued.heartbeat.machine);
                requested_in_full.push(queued);
                continue;
            }
            let response = decode_reply(status, answer);
            if status == 200 {
                self.forwarding().mark_accepted(queued.heartbeat, term, now);
            } else {
                self.forwarding().forget(&queued.heartbeat.machine);
            }
            let _ = queued.reply.try_send(response);
        }
        requested_in_full
    }

    /// Returns a redirect to the controller that is to forward this worker's heartbeats to this
    /// leader.  Only controllers that have recently reached this leader are considered; returns
    /// `None` if there are none, or if heartbeats are not forwarded.
    pub(crate) fn redirect_to_forwarder(&self, machine: &str, zone: &str, now: Instant) -> Option<Response> {
        if !self.lock().forwards_heartbeats() {
            return None;
        }
        let max_request_age = self.policy.peer_limit * 4;
        let requested_at = lock(&self.peers.progress_requested_at);
        let is_connected =
            |name: &str| requested_at.get(name).is_some_and(|t| now.saturating_duration_since(*t) < max_request_age);
        let peers = self.config.peers.iter().filter(|p| is_connected(&p.name));
        let forwarders: Vec<Forwarder<'_>> = peers.map(|p| Forwarder { name: &p.name, zone: &p.zone }).collect();
        assigned_forwarder(machine, zone, &forwarders).map(redirect)
    }
}

/// Decodes the leader's answer into the reply to a worker.  An empty body stands for a reply without
/// commands.
fn decode_reply(status: u16, answer: wire::ReportAnswer) -> Response {
    let reply = if answer.body.is_empty() {
        Response::new(status, &HeartbeatReply { fencing_token: answer.token, commands: Vec::new() })
    } else {
        Response { status, body: answer.body, retry_after: None, closes_when_scarce: false }
    };
    Response { closes_when_scarce: true, ..reply }
}

fn encode_heartbeat(message: ForwardedHeartbeat, body: &[u8]) -> wire::Report {
    match message {
        ForwardedHeartbeat::Full => wire::Report { full: body.to_vec(), ..wire::Report::default() },
        ForwardedHeartbeat::Unchanged(unchanged) => wire::Report {
            full: Vec::new(),
            machine: unchanged.machine.to_string(),
            session: unchanged.incarnation,
            tally: unchanged.sequence,
            after: unchanged.repeats_sequence,
        },
    }
}
