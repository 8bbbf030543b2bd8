//! Heartbeats that reach the leader through another controller: to which controller a worker
//! is redirected, what a forwarding controller sends to the leader, and when forwarding is
//! worthwhile.  Plain functions of state and `now`.
//!
//! Only the leader replies to a heartbeat.  A forwarding controller passes the reply on to the
//! worker, which ignores a reply that comes after its timeout.  A forwarded heartbeat is thus
//! one that took a longer way, and no controller but the leader needs any authority.
//!
//! This module must not know sockets, or how heartbeats are batched.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::time::{Duration, Instant};

use coralnotch_wire::workers::Heartbeat;
use foldhash::fast::FixedState;

use crate::model::Name;

/// A controller that accepts workers' heartbeats and forwards them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forwarder<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

/// Returns the name of the controller to which a worker is redirected, chosen by rendezvous
/// hashing: one of the worker's zone if there is any.  When a controller is added or removed,
/// only the workers of that controller move.  `None` if there is no forwarder.
pub fn assigned_forwarder<'a>(machine: &str, zone: &str, forwarders: &[Forwarder<'a>]) -> Option<&'a str> {
    let hasher = FixedState::with_seed(0);
    let weight = |forwarder: &&Forwarder<'a>| hasher.hash_one((machine, forwarder.name));
    let in_zone = forwarders.iter().filter(|forwarder| forwarder.zone == zone).max_by_key(weight);
    in_zone.or_else(|| forwarders.iter().max_by_key(weight)).map(|forwarder| forwarder.name)
}

/// A heartbeat whose content is that of an earlier one.  The leader accepts it only if the
/// earlier one is the last that it accepted of this machine, forwarded or not.
#[derive(Debug, Clone, PartialEq)]
pub struct UnchangedHeartbeat {
    /// The machine.
    pub machine: Name,
    /// Incarnation of the agent on the machine.
    pub incarnation: u64,
    /// Sequence number of this heartbeat.
    pub sequence: u64,
    /// Sequence number of the heartbeat whose content it repeats.
    pub repeats_sequence: u64,
}

/// The form in which a heartbeat is forwarded to the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum ForwardedHeartbeat {
    /// With its whole content.
    Full,
    /// As a reference to an earlier heartbeat with the same content.
    Unchanged(UnchangedHeartbeat),
}

/// The last heartbeat of a machine that a leader accepted through this controller.
#[derive(Debug)]
struct AcceptedHeartbeat {
    heartbeat: Heartbeat,
    /// Term of that leader.
    term: u64,
    accepted_at: Instant,
}

/// The heartbeats that a leader accepted through this controller, the last one of each machine.
#[derive(Debug, Default)]
pub struct HeartbeatForwarding {
    accepted: HashMap<Name, AcceptedHeartbeat>,
}

impl HeartbeatForwarding {
    /// Returns the form in which a heartbeat is forwarded to the leader of a term.
    pub fn message(&self, heartbeat: &Heartbeat, term: u64) -> ForwardedHeartbeat {
        let accepted = self.accepted.get(&heartbeat.machine).filter(|accepted| accepted.term == term);
        match accepted.filter(|accepted| has_same_content(&accepted.heartbeat, heartbeat)) {
            Some(accepted) => ForwardedHeartbeat::Unchanged(UnchangedHeartbeat {
                machine: heartbeat.machine.clone(),
                incarnation: heartbeat.incarnation,
                sequence: heartbeat.sequence,
                repeats_sequence: accepted.heartbeat.sequence,
            }),
            None => ForwardedHeartbeat::Full,
        }
    }

    /// Notes that the leader of a term has accepted a heartbeat.  Replies may arrive out of
    /// order: an older heartbeat does not replace a newer one.
    pub fn mark_accepted(&mut self, heartbeat: Heartbeat, term: u64, now: Instant) {
        let recorded = self.accepted.get(&heartbeat.machine).map(|accepted| &accepted.heartbeat);
        let is_outdated = recorded.is_some_and(|recorded| {
            (recorded.incarnation, recorded.sequence) > (heartbeat.incarnation, heartbeat.sequence)
        });
        if !is_outdated {
            let machine = heartbeat.machine.clone();
            self.accepted.insert(machine, AcceptedHeartbeat { heartbeat, term, accepted_at: now });
        }
    }

    /// Forgets a machine, as the leader asks for: its next heartbeat is forwarded with its whole
    /// content.
    pub fn forget(&mut self, machine: &str) {
        self.accepted.remove(machine);
    }

    /// Forgets the machines of which no heartbeat was accepted through this controller for
    /// longer than `max_idle`.
    pub fn evict_idle(&mut self, max_idle: Duration, now: Instant) {
        self.accepted.retain(|_, accepted| now.saturating_duration_since(accepted.accepted_at) <= max_idle);
    }

    /// Returns the number of machines whose last accepted heartbeat is kept.
    pub fn len(&self) -> usize {
        self.accepted.len()
    }

    /// Whether no heartbeat is kept.
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty()
    }
}

/// Whether a heartbeat is newer than another one and has the same content.
fn has_same_content(earlier: &Heartbeat, heartbeat: &Heartbeat) -> bool {
    heartbeat.sequence > earlier.sequence && *earlier == Heartbeat { sequence: earlier.sequence, ..heartbeat.clone() }
}

/// Whether a leader has the other controllers forward heartbeats.  Forwarding begins above
/// `threshold` machines.  While it is in use (`is_forwarding`), it ends only a quarter below
/// that, so that it does not alternate.
pub fn should_forward(machines: usize, threshold: usize, is_forwarding: bool) -> bool {
    let lower_threshold = threshold - threshold / 4;
    machines > if is_forwarding { lower_threshold } else { threshold }
}

#[cfg(test)]
mod tests;
