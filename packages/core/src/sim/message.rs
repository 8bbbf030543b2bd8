//! Messages between users, controllers, workers, the state service and the cloud.

use super::*;

#[derive(Clone)]
pub(super) enum Message {
    ElectionRequest {
        from: usize,
        incarnation: u64,
        number: u64,
        lease_id: u64,
        term: u64,
        txn: Txn,
    },
    ElectionResponse {
        to: usize,
        incarnation: u64,
        number: u64,
        outcome: Option<u64>,
    },
    Heartbeat {
        to: usize,
        heartbeat: Heartbeat,
        number: u64,
    },
    /// A heartbeat by way of a controller that does not lead.
    ForwardedHeartbeat {
        by: usize,
        term: u64,
        to: usize,
        message: ForwardedHeartbeat,
        heartbeat: Heartbeat,
        number: u64,
    },
    /// The leader took a heartbeat that was forwarded, or unmet demand it in full.
    ForwardingResponse {
        by: usize,
        term: u64,
        heartbeat: Heartbeat,
        cancellations_complete_as_of: bool,
    },
    HeartbeatResponse {
        machine: usize,
        number: u64,
        incarnation: u64,
        answer: HeartbeatReply,
    },
    DirectCommandRequest {
        from: usize,
        incarnation: u64,
        call: DirectCommand,
    },
    DirectCommandResponse {
        to: usize,
        incarnation: u64,
        call: DirectCommand,
        heartbeat: Option<Heartbeat>,
    },
    TxnRequest {
        from: usize,
        incarnation: u64,
        number: u64,
        txn: Txn,
        at: Ms,
    },
    TxnResponse {
        to: usize,
        incarnation: u64,
        number: u64,
        outcome: Option<Result<u64, Vec<String>>>,
    },
    JobSubmitted {
        to: usize,
        spec: Arc<JobSpec>,
        revision: u64,
    },
    DeleteMachines {
        names: Vec<Name>,
        from: usize,
        incarnation: u64,
    },
    MachinesDeleted {
        names: Vec<Name>,
        to: usize,
        incarnation: u64,
    },
}

impl Message {
    /// The controller that sends it, if one does.
    pub(super) fn sender(&self) -> Option<usize> {
        match self {
            Message::ElectionRequest { from, .. }
            | Message::DirectCommandRequest { from, .. }
            | Message::TxnRequest { from, .. }
            | Message::DeleteMachines { from, .. } => Some(*from),
            Message::ForwardedHeartbeat { by, .. } => Some(*by),
            _ => None,
        }
    }

    /// A late copy of a request, whose answer reaches nobody.
    pub(super) fn again(&self) -> Option<Message> {
        let mut m = self.clone();
        match &mut m {
            Message::ElectionRequest { incarnation, .. }
            | Message::DirectCommandRequest { incarnation, .. }
            | Message::TxnRequest { incarnation, .. }
            | Message::DeleteMachines { incarnation, .. } => *incarnation = NO_RECEIVER,
            Message::Heartbeat { number, .. } | Message::ForwardedHeartbeat { number, .. } => *number = NO_RECEIVER,
            _ => return None,
        }
        Some(m)
    }

    /// The controller that it is for, if it is for one.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            Message::Heartbeat { to, .. }
            | Message::ForwardedHeartbeat { to, .. }
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

/// Nobody's incarnation, and no heartbeat's number.
pub(super) const NO_RECEIVER: u64 = u64::MAX;
