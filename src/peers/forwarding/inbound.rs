//! The leader's side of forwarding: accepts batches of heartbeats from other controllers and replies
//! to each heartbeat.

use std::time::Instant;

use coralnotch_core::heartbeat_forwarding::UnchangedHeartbeat;

use crate::controller::Controller;
use crate::heartbeats::{HeartbeatRoute, ReplyTiming};
use crate::http::{self, Response};
use crate::operators::telemetry::increment;
use crate::peers::links::wire;
use crate::workers::Heartbeat;

/// The state of one heartbeat of a batch after the leader has tried to accept it.
enum ForwardedReply {
    /// The reply is known already.
    Ready(wire::ReportAnswer),
    /// The heartbeat was accepted; the reply is made after the whole batch has been processed.
    Accepted { heartbeat: Heartbeat, timing: ReplyTiming },
}

impl Controller {
    /// Accepts a batch of heartbeats, and returns an answer to each.  Returns no answers if this
    /// controller does not lead in the batch's term, or has not read the leader's state yet.
    pub(crate) async fn accept_batch(&self, batch: wire::ReportBatch) -> wire::ReportAnswers {
        let term = {
            let state = self.lock();
            match (state.lease, &state.cluster) {
                (Some(lease), Some(_)) if lease.term == batch.term => lease.term,
                _ => return wire::ReportAnswers::default(),
            }
        };
        let replies: Vec<ForwardedReply> = batch.reports.into_iter().map(|r| self.accept_forwarded(r)).collect();
        let uncommitted = replies.iter().filter_map(|reply| match reply {
            ForwardedReply::Accepted { heartbeat, timing: ReplyTiming::AfterCommit } => Some(heartbeat),
            _ => None,
        });
        self.wait_for_commit(&uncommitted.collect::<Vec<_>>()).await;
        let answers = replies.into_iter().map(|reply| self.reply_to_forwarded(reply)).collect();
        wire::ReportAnswers { term, answers }
    }

    /// Accepts one heartbeat of a batch.
    fn accept_forwarded(&self, forwarded: wire::Report) -> ForwardedReply {
        increment(&self.telemetry.counters.heartbeats);
        increment(&self.telemetry.counters.heartbeats_forwarded);
        if forwarded.full.is_empty() {
            return ForwardedReply::Ready(self.accept_unchanged(forwarded));
        }
        let heartbeat: Heartbeat = match http::decode(&forwarded.full) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return ForwardedReply::Ready(encode_reply(&Response::error(400, &e.to_string()))),
        };
        match self.accept_heartbeat(&heartbeat, HeartbeatRoute::Forwarded) {
            Ok(timing) => ForwardedReply::Accepted { heartbeat, timing },
            Err(reply) => ForwardedReply::Ready(encode_reply(&reply)),
        }
    }

    /// Accepts a heartbeat whose content is that of an earlier one.  The default answer, with status
    /// 0, requests the full heartbeat.
    fn accept_unchanged(&self, forwarded: wire::Report) -> wire::ReportAnswer {
        let unchanged = UnchangedHeartbeat {
            machine: forwarded.machine.into(),
            incarnation: forwarded.session,
            sequence: forwarded.tally,
            repeats_sequence: forwarded.after,
        };
        let now = Instant::now();
        let mut state = self.lock();
        self.detect_stall(&mut state, now);
        state.last_heartbeat = Some(now);
        if !self.may_lead(&state, now) {
            // the sender repeats the heartbeat in full, and it is then refused or answered like any
            // other heartbeat
            return wire::ReportAnswer::default();
        }
        match state.cluster.as_mut().and_then(|c| c.apply_unchanged(&unchanged, now)) {
            Some(reply) => wire::ReportAnswer { status: 200, token: reply.fencing_token, body: Vec::new() },
            None => wire::ReportAnswer::default(),
        }
    }

    /// Returns the answer to a heartbeat of a batch; for an accepted one it is made from the leader's
    /// current state.
    fn reply_to_forwarded(&self, reply: ForwardedReply) -> wire::ReportAnswer {
        match reply {
            ForwardedReply::Ready(answer) => answer,
            ForwardedReply::Accepted { heartbeat, .. } => encode_reply(&self.reply_to_heartbeat(&heartbeat)),
        }
    }
}

/// Encodes the reply to a worker for the controller that forwarded the heartbeat.
fn encode_reply(reply: &Response) -> wire::ReportAnswer {
    wire::ReportAnswer { status: reply.status.into(), token: 0, body: reply.body.clone() }
}
