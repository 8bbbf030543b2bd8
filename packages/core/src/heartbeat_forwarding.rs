//! Reports that reach the leader through another controller: which controller a worker is sent
//! to, what a controller that forwards reports sends on, and when.  Plain functions of state
//! and `now`.
//!
//! The leader alone answers: a controller that forwards hands its answers to the workers, which
//! drop what comes later than they wait.  So a forwarded report is one that took a longer way,
//! and nobody but the leader needs to be entitled to anything.
//!
//! Must not know sockets, or how reports are batched.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::time::{Duration, Instant};

use coralnotch_wire::workers::Heartbeat;
use foldhash::fast::FixedState;

use crate::model::Name;

/// A controller that takes workers' reports and forwards them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forwarder<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

/// The controller that a worker is sent to: one of its own zone if there is any, by rendezvous
/// hashing.  Where a controller comes or goes only its own workers move.
pub fn assigned_forwarder<'a>(machine: &str, zone: &str, all: &[Forwarder<'a>]) -> Option<&'a str> {
    let hasher = FixedState::with_seed(0);
    let weight = |f: &&Forwarder<'a>| hasher.hash_one((machine, f.name));
    let near = all.iter().filter(|f| f.zone == zone).max_by_key(weight);
    near.or_else(|| all.iter().max_by_key(weight)).map(|f| f.name)
}

/// A report without news: it says what the report before it said.  The leader takes it only if
/// that one is the last that it took of this machine, directly or not.
#[derive(Debug, Clone, PartialEq)]
pub struct UnchangedHeartbeat {
    /// Machine.
    pub machine: Name,
    /// Its session.
    pub incarnation: u64,
    /// Number of this report.
    pub sequence: u64,
    /// Number of the report whose content it repeats.
    pub repeats_sequence: u64,
}

/// What is sent to the leader of a report.
#[derive(Debug, Clone, PartialEq)]
pub enum ForwardedHeartbeat {
    /// All of it.
    Full,
    /// That nothing has changed.
    UnchangedHeartbeat(UnchangedHeartbeat),
}

/// The last report of a machine that a leader took from here.
#[derive(Debug)]
struct AcceptedHeartbeat {
    report: Heartbeat,
    term: u64,
    at: Instant,
}

/// What a leader took of the reports that were forwarded from here.
#[derive(Debug, Default)]
pub struct HeartbeatForwarding {
    taken: HashMap<Name, AcceptedHeartbeat>,
}

impl HeartbeatForwarding {
    /// How a report is sent to the leader of this term.
    pub fn message(&self, r: &Heartbeat, term: u64) -> ForwardedHeartbeat {
        let known = self.taken.get(&r.machine).filter(|t| t.term == term);
        match known.filter(|t| same_content(&t.report, r)) {
            Some(t) => ForwardedHeartbeat::UnchangedHeartbeat(UnchangedHeartbeat {
                machine: r.machine.clone(),
                incarnation: r.incarnation,
                sequence: r.sequence,
                repeats_sequence: t.report.sequence,
            }),
            None => ForwardedHeartbeat::Full,
        }
    }

    /// The leader of this term has taken a report.
    pub fn mark_accepted(&mut self, report: Heartbeat, term: u64, now: Instant) {
        let older =
            |t: &AcceptedHeartbeat| (t.report.incarnation, t.report.sequence) > (report.incarnation, report.sequence);
        if !self.taken.get(&report.machine).is_some_and(older) {
            self.taken.insert(report.machine.clone(), AcceptedHeartbeat { report, term, at: now });
        }
    }

    /// The leader wants a machine's reports in full again.
    pub fn forget(&mut self, machine: &str) {
        self.taken.remove(machine);
    }

    /// Machines that have not reported here for so long report elsewhere.
    pub fn evict_idle(&mut self, after: Duration, now: Instant) {
        self.taken.retain(|_, t| now.saturating_duration_since(t.at) <= after);
    }

    /// Machines whose last report is kept.
    pub fn len(&self) -> usize {
        self.taken.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.taken.is_empty()
    }
}

/// Whether a report says what an earlier one said.
fn same_content(earlier: &Heartbeat, r: &Heartbeat) -> bool {
    r.sequence > earlier.sequence && *earlier == Heartbeat { sequence: earlier.sequence, ..r.clone() }
}

/// Whether a leader of so many machines has the other controllers take their reports.  It goes
/// on with that until there are markedly fewer.
pub fn should_forward(machines: usize, from: usize, spread: bool) -> bool {
    let back = from - from / 4;
    machines > if spread { back } else { from }
}

#[cfg(test)]
mod tests;
