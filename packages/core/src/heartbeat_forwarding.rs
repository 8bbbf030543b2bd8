//! Forwarding of heartbeats to the leader through other controllers.  This module decides to
//! which controller a worker is redirected, what a forwarding controller sends to the leader,
//! and when the leader uses forwarding.  All functions depend only on their arguments, the
//! state and `now`.
//!
//! Only the leader replies to a heartbeat.  A forwarding controller passes the reply on to the
//! worker, and the worker ignores a reply that arrives after its timeout.  For the leader, a
//! forwarded heartbeat therefore differs from a direct one only in its delay, and no other
//! controller needs any authority over workers.
//!
//! This module must not depend on sockets or on how heartbeats are batched.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::time::{Duration, Instant};

use coralnotch_wire::workers::Heartbeat;
use foldhash::fast::FixedState;

use crate::model::Name;

/// A controller that accepts workers' heartbeats and forwards them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forwarder<'a> {
    /// Name of the controller, as configured.
    pub name: &'a str,
    /// Zone in which the controller runs.
    pub zone: &'a str,
}

/// Returns the name of the controller to which a worker is redirected; `None` if `forwarders` is
/// empty.
///
/// The controller is chosen by rendezvous hashing, among those in the worker's zone if there are
/// any.  When a controller is added or removed, only the workers assigned to that controller move.
pub fn assigned_forwarder<'a>(machine: &str, zone: &str, forwarders: &[Forwarder<'a>]) -> Option<&'a str> {
    let hasher = FixedState::with_seed(0);
    let weight = |forwarder: &&Forwarder<'a>| hasher.hash_one((machine, forwarder.name));
    let in_zone = forwarders.iter().filter(|forwarder| forwarder.zone == zone).max_by_key(weight);
    in_zone.or_else(|| forwarders.iter().max_by_key(weight)).map(|forwarder| forwarder.name)
}

/// A heartbeat with the same content as an earlier one.  The leader accepts it only if the
/// earlier heartbeat is the last one that it accepted from this machine, forwarded or not.
#[derive(Debug, Clone, PartialEq)]
pub struct UnchangedHeartbeat {
    /// Name of the machine that sent the heartbeat.
    pub machine: Name,
    /// Incarnation of the worker on the machine.
    pub incarnation: u64,
    /// Sequence number of this heartbeat.
    pub sequence: u64,
    /// Sequence number of the heartbeat whose content it repeats.
    pub repeats_sequence: u64,
}

/// The form in which a heartbeat is forwarded to the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum ForwardedHeartbeat {
    /// The whole heartbeat.
    Full,
    /// A reference to an earlier heartbeat with the same content.
    Unchanged(UnchangedHeartbeat),
}

/// The last heartbeat of a machine that a leader accepted through this controller.
#[derive(Debug)]
struct AcceptedHeartbeat {
    heartbeat: Heartbeat,
    /// Term of the leader that accepted the heartbeat.
    term: u64,
    accepted_at: Instant,
}

/// The last heartbeat of each machine that a leader accepted through this controller.
#[derive(Debug, Default)]
pub struct HeartbeatForwarding {
    accepted: HashMap<Name, AcceptedHeartbeat>,
}

impl HeartbeatForwarding {
    /// Returns the form in which to forward a heartbeat to the leader of `term`.  It is `Full`
    /// unless that leader has accepted the same content through this controller.
    pub fn forwarded_form(&self, heartbeat: &Heartbeat, term: u64) -> ForwardedHeartbeat {
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

    /// Records that the leader of `term` has accepted a heartbeat.  Replies may arrive out of
    /// order, so an older heartbeat does not replace a newer one.
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

    /// Removes the accepted heartbeat of a machine, so that its next heartbeat is forwarded in
    /// full.  Called when the leader asks for a full heartbeat or does not accept one.
    pub fn forget(&mut self, machine: &str) {
        self.accepted.remove(machine);
    }

    /// Removes the machines whose last accepted heartbeat is older than `max_idle`.
    pub fn evict_idle(&mut self, max_idle: Duration, now: Instant) {
        self.accepted.retain(|_, accepted| now.saturating_duration_since(accepted.accepted_at) <= max_idle);
    }

    /// Returns the number of machines whose last accepted heartbeat is kept.
    pub fn len(&self) -> usize {
        self.accepted.len()
    }

    /// Reports whether no heartbeat is kept.
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty()
    }
}

/// Reports whether a heartbeat is newer than `earlier` and has the same content.
fn has_same_content(earlier: &Heartbeat, heartbeat: &Heartbeat) -> bool {
    heartbeat.sequence > earlier.sequence && *earlier == Heartbeat { sequence: earlier.sequence, ..heartbeat.clone() }
}

/// Reports whether a leader with this number of machines has the other controllers forward
/// heartbeats.
///
/// Forwarding begins above `threshold` machines.  Once it is in use (`is_forwarding`), it ends
/// only when the number falls to three quarters of `threshold`.  This hysteresis prevents
/// forwarding from switching on and off repeatedly.
pub fn should_forward(machines: usize, threshold: usize, is_forwarding: bool) -> bool {
    let lower_threshold = threshold - threshold / 4;
    machines > if is_forwarding { lower_threshold } else { threshold }
}

#[cfg(test)]
mod tests;
