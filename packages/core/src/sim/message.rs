//! Messages between users, controllers, workers, the state service and the cloud.
//!
//! Controllers are given by index.  A message that belongs to one life of a controller's
//! process has its `incarnation`: a response to an earlier one is dropped.

use super::*;

/// No incarnation, and no request: nobody waits for the response.
pub(super) const NO_RECEIVER: u64 = u64::MAX;

/// A message under way.
#[derive(Clone)]
pub(super) enum Message {
    /// A candidate's transaction that writes the leader key.
    ElectionRequest { from: usize, incarnation: u64, request: u64, lease_id: u64, term: u64, txn: Txn },
    /// The revision of the leader key, if the candidate is elected.
    ElectionResponse { to: usize, incarnation: u64, request: u64, outcome: Option<u64> },
    /// A worker's heartbeat to a controller.
    Heartbeat { to: usize, heartbeat: Heartbeat, request: u64 },
    /// A heartbeat by way of a controller that does not lead.
    ForwardedHeartbeat(ForwardedRequest),
    /// The leader has accepted a forwarded heartbeat, or wants it in full.
    ForwardingResponse { by: usize, term: u64, heartbeat: Heartbeat, accepted: bool },
    /// The leader's reply to a worker.
    HeartbeatResponse { machine: usize, request: u64, incarnation: u64, answer: HeartbeatReply },
    /// Commands that a leader sends to a worker outside of heartbeats.
    DirectCommandRequest { from: usize, incarnation: u64, call: DirectCommand },
    /// The worker's heartbeat in response; `None`: no response.
    DirectCommandResponse { to: usize, incarnation: u64, call: DirectCommand, heartbeat: Option<Heartbeat> },
    /// A leader's transaction.
    TxnRequest { from: usize, incarnation: u64, request: u64, txn: Txn, sent_at: Ms },
    /// Its result: the revision, or the keys whose precondition failed; `None`: no response.
    TxnResponse { to: usize, incarnation: u64, request: u64, outcome: Option<Result<u64, Vec<String>>> },
    /// The watch shows a new job.
    JobSubmitted { to: usize, spec: Arc<JobSpec>, revision: u64 },
    /// A leader has the cloud delete machines.
    DeleteMachines { names: Vec<Name>, from: usize, incarnation: u64 },
    /// The cloud has deleted machines.
    MachinesDeleted { names: Vec<Name>, to: usize, incarnation: u64 },
}

impl Message {
    /// The controller that sends it, if one does.
    pub(super) fn sender(&self) -> Option<usize> {
        match self {
            Message::ElectionRequest { from, .. }
            | Message::DirectCommandRequest { from, .. }
            | Message::TxnRequest { from, .. }
            | Message::DeleteMachines { from, .. } => Some(*from),
            Message::ForwardedHeartbeat(forwarded) => Some(forwarded.by),
            _ => None,
        }
    }

    /// A late duplicate of a request, whose response reaches nobody.
    pub(super) fn late_duplicate(&self) -> Option<Message> {
        let mut duplicate = self.clone();
        match &mut duplicate {
            Message::ElectionRequest { incarnation, .. }
            | Message::DirectCommandRequest { incarnation, .. }
            | Message::TxnRequest { incarnation, .. }
            | Message::DeleteMachines { incarnation, .. } => *incarnation = NO_RECEIVER,
            Message::Heartbeat { request, .. } | Message::ForwardedHeartbeat(ForwardedRequest { request, .. }) => {
                *request = NO_RECEIVER;
            }
            _ => return None,
        }
        Some(duplicate)
    }

    /// The controller that it is for, if it is for one.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            Message::Heartbeat { to, .. }
            | Message::ForwardedHeartbeat(ForwardedRequest { to, .. })
            | Message::ForwardingResponse { by: to, .. }
            | Message::ElectionResponse { to, .. }
            | Message::DirectCommandResponse { to, .. }
            | Message::TxnResponse { to, .. }
            | Message::JobSubmitted { to, .. }
            | Message::MachinesDeleted { to, .. } => Some(*to),
            _ => None,
        }
    }
}
