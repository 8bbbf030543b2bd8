//! Application of workers' heartbeats to the leader's state.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Heartbeat, HeartbeatReply};
use crate::cluster::{Assignment, Cluster, Machine, TaskPhase};
use crate::heartbeat_forwarding::UnchangedHeartbeat;
use crate::model::*;

/// Maximum reclaim notice in seconds.  A longer notice is treated as one of this length.
const MAX_RECLAIM_NOTICE_S: f64 = 3600.0;

/// How a heartbeat reached the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent the heartbeat on its own initiative.  It can no longer carry out a reply to
    /// an earlier heartbeat.
    Worker,
    /// The heartbeat is the response to a direct command.  It proves nothing about replies to
    /// earlier heartbeats.
    DirectResponse,
}

/// The result of applying a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat was newer than all earlier ones and was applied.
    Applied,
    /// The heartbeat was delivered late and changed nothing: a newer one was applied before, or
    /// its machine is gone.
    Stale,
    /// The worker has seen a token of a later term, so this controller is no longer the leader.
    Superseded,
}

/// What a heartbeat proves about assignments that it does not list.
#[derive(Debug, Clone, Copy)]
struct AbsenceEvidence {
    /// The heartbeat carries a token of this term, so the worker refuses every start of an
    /// earlier leader that is still in flight.
    current_term: bool,
    /// No start that was sent can be carried out any more: the worker has sent a heartbeat after
    /// the last reply, and no direct start is in doubt.
    no_start_in_flight: bool,
}

impl Cluster {
    /// Applies a heartbeat if it is newer than those that were applied before for its machine.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Instant,
    ) -> HeartbeatOutcome {
        let Some(raised_offset) = self.raised_fence_offset(heartbeat) else { return HeartbeatOutcome::Superseded };
        let current_term = heartbeat.fencing_token >= self.base_token();
        let size = self.machine_types.get(&heartbeat.machine_type).map(|machine_type| machine_type.resources());
        let machine = get_or_register_machine(&mut self.machines, heartbeat, now);
        if !is_newer(heartbeat, machine) {
            // the heartbeat was delivered late, and its worker does not wait for a reply
            return HeartbeatOutcome::Stale;
        }
        let incarnation_changed = heartbeat.incarnation != machine.incarnation;
        self.queue_changed |= machine.last_heartbeat.is_none();
        record_heartbeat(machine, heartbeat, now);
        machine.fence_offset = machine.fence_offset.max(raised_offset);
        machine.size = size.unwrap_or(machine.size);
        self.queue_changed |= update_reclaim_notice(machine, heartbeat, now);

        let no_start_in_flight = source == HeartbeatSource::Worker && machine.in_doubt_token.is_none();
        let absent = absent_tasks(machine, heartbeat, AbsenceEvidence { current_term, no_start_in_flight });
        machine.exited.retain(|task, attempt| is_listed(heartbeat, task, *attempt));
        for task in absent {
            tracing::debug!(%task, machine = %heartbeat.machine, "released a task that is no longer on its machine");
            self.release_assignment(&heartbeat.machine, &task, now);
        }
        if incarnation_changed {
            self.apply_machine_hints(&heartbeat.machine);
        }
        for status in &heartbeat.tasks {
            self.apply_task_status(heartbeat, status, current_term, now);
        }
        HeartbeatOutcome::Applied
    }

    /// Applies a heartbeat that repeats the last one, and returns the reply; `None` if the full
    /// heartbeat is needed.
    ///
    /// The repetition is accepted only if no other heartbeat of the machine was applied in between
    /// and the machine is settled.  In that case the full heartbeat would change nothing either.
    pub fn apply_unchanged(&mut self, unchanged: &UnchangedHeartbeat, now: Instant) -> Option<HeartbeatReply> {
        let fencing_token = self.fencing_token_for(&unchanged.machine);
        let machine = self.machines.get_mut(&unchanged.machine)?;
        let repeats_last = (machine.incarnation, machine.sequence)
            == (unchanged.incarnation, unchanged.repeats_sequence)
            && unchanged.sequence > unchanged.repeats_sequence;
        if !repeats_last || machine.last_heartbeat.is_none() || !machine.is_settled() {
            return None;
        }
        machine.sequence = unchanged.sequence;
        machine.last_heartbeat = Some(now);
        Some(HeartbeatReply { fencing_token, commands: Vec::new() })
    }

    /// Returns the fence offset that the worker's token requires, or 0 if the token is not above
    /// the machine's.  Returns `None` if the token belongs to a later term.
    fn raised_fence_offset(&self, heartbeat: &Heartbeat) -> Option<u64> {
        if heartbeat.fencing_token > self.fencing_token_for(&heartbeat.machine) {
            self.fence_offset_of(heartbeat.fencing_token)
        } else {
            Some(0)
        }
    }

    /// Sets the speed and the cached images of a machine to what the previous leader had learned.
    /// If nothing is known from the previous leader, the speed stays and the list of images becomes
    /// empty, because a new incarnation of the worker starts with an empty cache.
    fn apply_machine_hints(&mut self, name: &Name) {
        let hints = self.machine_hints.remove(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.images.clear();
        if let Some(hints) = hints {
            machine.speed = hints.speed;
            machine.speed_samples = hints.speed_samples;
            machine.images = hints.images;
        }
    }
}

/// Returns the machine that sent a heartbeat, and registers it if it is unknown.
fn get_or_register_machine<'a>(
    machines: &'a mut BTreeMap<Name, Machine>,
    heartbeat: &Heartbeat,
    now: Instant,
) -> &'a mut Machine {
    let Heartbeat { machine: name, machine_type, zone, spot, .. } = heartbeat;
    match machines.entry(name.clone()) {
        Entry::Occupied(known) => known.into_mut(),
        Entry::Vacant(unknown) => {
            tracing::info!(machine = %name, machine_type = %machine_type, %zone, spot, "machine registered");
            unknown.insert(Machine::new(name.clone(), machine_type.clone(), zone.clone(), *spot, now))
        }
    }
}

/// Reports whether a heartbeat is newer than the last one of its machine, and the machine still
/// exists.
fn is_newer(heartbeat: &Heartbeat, machine: &Machine) -> bool {
    let order = (heartbeat.incarnation, heartbeat.sequence);
    machine.removed_at.is_none() && order > (machine.incarnation, machine.sequence)
}

/// Records what a heartbeat says about the worker itself.
fn record_heartbeat(machine: &mut Machine, heartbeat: &Heartbeat, now: Instant) {
    // the worker refuses direct starts under a lower token or for an earlier incarnation
    let incarnation_changed = heartbeat.incarnation != machine.incarnation;
    if incarnation_changed || machine.in_doubt_token.is_some_and(|token| heartbeat.fencing_token > token) {
        machine.in_doubt_token = None;
    }
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.highest_fencing_token = machine.highest_fencing_token.max(heartbeat.fencing_token);
    machine.last_heartbeat = Some(now);
    machine.address = heartbeat.address.parse().ok();
}

/// Sets or clears the time at which the cloud reclaims the machine.  A repeated notice does not
/// move the time.  Returns true if the notice is new.
fn update_reclaim_notice(machine: &mut Machine, heartbeat: &Heartbeat, now: Instant) -> bool {
    let Some(seconds) = heartbeat.reclaim_in_s else {
        machine.reclaim_at = None;
        return false;
    };
    if machine.reclaim_at.is_some() {
        return false;
    }
    tracing::info!(machine = %heartbeat.machine, seconds, "cloud announced that it will reclaim the machine");
    machine.reclaim_at = Some(now + Duration::from_secs_f64(seconds.clamp(0.0, MAX_RECLAIM_NOTICE_S)));
    true
}

/// Returns the assigned tasks that are proved to be absent from the machine.
fn absent_tasks(machine: &Machine, heartbeat: &Heartbeat, evidence: AbsenceEvidence) -> Vec<Task> {
    let assigned = machine.tasks.iter();
    let unlisted = assigned.filter(|(task, assignment)| !is_listed(heartbeat, task, assignment.attempt));
    let absent = unlisted.filter(|(_, assignment)| is_absent(assignment, heartbeat.incarnation, evidence));
    absent.map(|(task, _)| task.clone()).collect()
}

/// Reports whether a heartbeat lists this attempt of a task.
fn is_listed(heartbeat: &Heartbeat, task: &Task, attempt: u64) -> bool {
    heartbeat.tasks.iter().any(|status| status.task == *task && status.attempt == attempt)
}

/// Reports whether the task of an assignment that a heartbeat of this incarnation does not list is
/// proved to be absent.
fn is_absent(assignment: &Assignment, incarnation: u64, evidence: AbsenceEvidence) -> bool {
    if assignment.incarnation < incarnation {
        // the tasks of an earlier incarnation were killed when it ended
        return true;
    }
    if !assignment.confirmed {
        return evidence.current_term;
    }
    match assignment.phase {
        // The start has not been sent or has not arrived, and is sent (again).  If the task is
        // to stop instead, it is absent as soon as no start can arrive any more.
        TaskPhase::Assigned => assignment.stop_grace_s.is_some() && evidence.no_start_in_flight,
        TaskPhase::Completed => false,
        TaskPhase::Pulling | TaskPhase::WaitingForGang | TaskPhase::Running | TaskPhase::Checkpointing => true,
    }
}
