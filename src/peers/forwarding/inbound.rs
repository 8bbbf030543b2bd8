//! Batches of workers' heartbeats from other controllers, answered by the leader.

use std::time::Instant;

use coralnotch_core::heartbeat_forwarding::UnchangedHeartbeat;

use crate::controller::Controller;
use crate::heartbeats::{HeartbeatRoute, ReplyTiming};
use crate::http::{self, Response};
use crate::operators::telemetry::count;
use crate::peers::links::wire;
use crate::workers::Heartbeat;

impl Controller {
    /// Takes a batch of reports in, and answers each; none if this controller does not lead.
    pub(crate) async fn accept_batch(&self, batch: wire::ReportBatch) -> wire::ReportAnswers {
        let term = {
            let i = self.lock();
            // one that still reads the store is waited for
            match (i.lease, &i.cluster) {
                (Some(a), Some(_)) if a.term == batch.term => a.term,
                _ => return wire::ReportAnswers::default(),
            }
        };
        let taken: Vec<ForwardedReply> = batch.reports.into_iter().map(|r| self.accept_forwarded(r)).collect();
        let pending = taken.iter().filter_map(|t| match t {
            ForwardedReply::In { report, pending: true } => Some(report),
            _ => None,
        });
        self.wait_for_commit(&pending.collect::<Vec<_>>()).await;
        let answers = taken.into_iter().map(|t| self.reply_to_forwarded(t)).collect();
        wire::ReportAnswers { term, answers }
    }

    fn accept_forwarded(&self, r: wire::Report) -> ForwardedReply {
        count(&self.telemetry.counters.heartbeats);
        count(&self.telemetry.counters.heartbeats_forwarded);
        if r.full.is_empty() {
            return ForwardedReply::Answered(self.accept_unchanged(r));
        }
        let report: Heartbeat = match http::decode(&r.full) {
            Ok(report) => report,
            Err(e) => return ForwardedReply::Answered(encode_reply(&Response::refuse(400, &e.to_string()))),
        };
        match self.accept_heartbeat(&report, HeartbeatRoute::Forwarded) {
            Ok(timing) => ForwardedReply::In { report, pending: timing == ReplyTiming::AfterCommit },
            Err(response) => ForwardedReply::Answered(encode_reply(&response)),
        }
    }

    /// A report without news.
    fn accept_unchanged(&self, r: wire::Report) -> wire::ReportAnswer {
        let unchanged = UnchangedHeartbeat {
            machine: r.machine.into(),
            incarnation: r.session,
            sequence: r.tally,
            repeats_sequence: r.after,
        };
        let now = Instant::now();
        let mut i = self.lock();
        self.detect_stall(&mut i, now);
        i.last_heartbeat = Some(now);
        let answer = match self.may_lead(&i, now) {
            true => i.cluster.as_mut().and_then(|c| c.apply_unchanged(&unchanged, now)),
            // the whole report is judged as any other
            false => None,
        };
        match answer {
            Some(a) => wire::ReportAnswer { status: 200, token: a.fencing_token, body: Vec::new() },
            None => wire::ReportAnswer::default(),
        }
    }

    /// The answer to a report that was taken in, by what is known at this moment.
    fn reply_to_forwarded(&self, taken: ForwardedReply) -> wire::ReportAnswer {
        match taken {
            ForwardedReply::Answered(a) => a,
            ForwardedReply::In { report, .. } => encode_reply(&self.reply_to_heartbeat(&report)),
        }
    }
}

/// A report of a batch, after it was taken in.
enum ForwardedReply {
    /// Its answer does not wait for anything.
    Answered(wire::ReportAnswer),
    /// It is answered once all of the batch is in; `pending`: after the commit.
    In {
        /// The report.
        report: Heartbeat,
        /// Something on its machine is on its way into the store.
        pending: bool,
    },
}

/// An answer as it goes to the controller that forwarded the report.
fn encode_reply(r: &Response) -> wire::ReportAnswer {
    wire::ReportAnswer { status: r.status.into(), token: 0, body: r.body.clone() }
}
