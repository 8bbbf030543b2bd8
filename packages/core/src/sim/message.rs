//! Messages between users, controllers, workers, the state service and the cloud.
//!
//! Controllers are identified by index.  A message that belongs to one incarnation of a
//! controller, from one candidacy to the next, carries the `incarnation`.  A response to an
//! earlier incarnation is dropped.

use super::*;

/// Value of `incarnation` or `request` in a message whose response no process waits for.
pub(super) const NO_RECEIVER: u64 = u64::MAX;

/// A message in flight.
#[derive(Clone)]
pub(super) enum Message {
    /// A candidate's transaction that writes the leader key.
    ElectionRequest { from: usize, incarnation: u64, request: u64, lease_id: u64, term: u64, txn: Txn },
    /// The response to an election transaction: the revision of the leader key, or `None` if the
    /// candidate is not elected or the response is lost.
    ElectionResponse { to: usize, incarnation: u64, request: u64, outcome: Option<u64> },
    /// A worker's heartbeat to a controller.
    Heartbeat { to: usize, heartbeat: Heartbeat, request: u64 },
    /// A heartbeat that a controller that does not lead forwards to the leader.
    ForwardedHeartbeat(ForwardedRequest),
    /// The leader's response to a forwarded heartbeat: accepted, or requested in full.
    ForwardingResponse { forwarder: usize, term: u64, heartbeat: Heartbeat, accepted: bool },
    /// The leader's reply to a worker.
    HeartbeatResponse { machine: usize, request: u64, incarnation: u64, reply: HeartbeatReply },
    /// Commands that a leader sends to a worker outside of heartbeat replies.
    DirectCommandRequest { from: usize, incarnation: u64, command: DirectCommand },
    /// The worker's heartbeat in response to a direct command; `None` if there is no response.
    DirectCommandResponse { to: usize, incarnation: u64, command: DirectCommand, heartbeat: Option<Heartbeat> },
    /// A leader's transaction, sent to the state service.
    TxnRequest { from: usize, incarnation: u64, request: u64, txn: Txn, sent_at: Ms },
    /// The result of a leader's transaction: its revision, or the keys whose precondition failed;
    /// `None` if there is no response.
    TxnResponse { to: usize, incarnation: u64, request: u64, outcome: Option<Result<u64, Vec<String>>> },
    /// A watch event that shows a new job to a controller.
    JobSubmitted { to: usize, spec: Arc<JobSpec>, revision: u64 },
    /// A leader's request to the cloud to delete machines.
    DeleteMachines { names: Vec<Name>, from: usize, incarnation: u64 },
    /// The cloud's response that the machines are deleted.
    MachinesDeleted { names: Vec<Name>, to: usize, incarnation: u64 },
}

impl Message {
    /// Returns the controller that sends a request, or `None` for responses and other senders.
    pub(super) fn sender(&self) -> Option<usize> {
        match self {
            Message::ElectionRequest { from, .. }
            | Message::DirectCommandRequest { from, .. }
            | Message::TxnRequest { from, .. }
            | Message::DeleteMachines { from, .. } => Some(*from),
            Message::ForwardedHeartbeat(forwarded) => Some(forwarded.forwarder),
            _ => None,
        }
    }

    /// Returns a duplicate of a request whose response is dropped, or `None` for a message that
    /// is not duplicated.
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

    /// Returns the controller that receives the message, or `None` for another kind of receiver.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            Message::Heartbeat { to, .. }
            | Message::ForwardedHeartbeat(ForwardedRequest { to, .. })
            | Message::ForwardingResponse { forwarder: to, .. }
            | Message::ElectionResponse { to, .. }
            | Message::DirectCommandResponse { to, .. }
            | Message::TxnResponse { to, .. }
            | Message::JobSubmitted { to, .. }
            | Message::MachinesDeleted { to, .. } => Some(*to),
            _ => None,
        }
    }
}
