//! Commands that a leader sends to a worker outside of heartbeats.

use super::*;

/// How long a leader waits for the response to a command.
const DIRECT_COMMAND_TIMEOUT: Ms = 1500;

/// A command whose response comes too late.
struct LateCommand {
    from: usize,
    incarnation: u64,
    call: DirectCommand,
}

impl Controller {
    /// Whether a command waits for its response, and is the last one to its machine.
    fn awaits_response(&self, call: &DirectCommand) -> bool {
        self.cluster.machines.get(&call.machine).is_some_and(|machine| {
            machine.command_in_flight && machine.in_doubt_token.is_none_or(|token| token == call.body.fencing_token)
        })
    }
}

impl World {
    /// A worker gets commands; a machine that hangs, or is cut off, carries them out later.
    pub(super) fn receive_direct_command(&mut self, from: usize, incarnation: u64, call: DirectCommand) {
        let Some(i) = self.workers.iter().position(|worker| worker.name == call.machine) else { return };
        if self.now < self.workers[i].inbound_lost_until {
            // lost, and given up after a while
            let lost = Message::DirectCommandResponse { to: from, incarnation, call, heartbeat: None };
            self.enqueue(self.now + DIRECT_COMMAND_TIMEOUT, lost);
            return;
        }
        let held_up_until = self.workers[i]
            .hung_until
            .max(self.faults.zone_partitioned_until[zone_of(i)])
            .max(self.faults.workers_unreachable_until[from]);
        if self.workers[i].alive && self.now < held_up_until {
            self.enqueue(held_up_until + STEP, Message::DirectCommandRequest { from, incarnation, call });
            return;
        }
        let heartbeat = self.workers[i].alive.then(|| self.execute_direct_command(i, &call));
        self.send(Message::DirectCommandResponse { to: from, incarnation, call, heartbeat });
    }

    /// A worker carries commands out, unless they are fenced off.
    fn execute_direct_command(&mut self, i: usize, call: &DirectCommand) -> Heartbeat {
        let worker = &mut self.workers[i];
        if call.body.fencing_token >= worker.fencing_token && call.body.incarnation == worker.incarnation {
            worker.fencing_token = call.body.fencing_token;
            self.execute_commands(i, &call.body.commands);
        }
        self.workers[i].heartbeat()
    }

    /// A leader gets the response, unless it has given the command up.
    pub(super) fn receive_direct_command_response(
        &mut self,
        to: usize,
        incarnation: u64,
        call: &DirectCommand,
        heartbeat: Option<&Heartbeat>,
    ) {
        let now = self.at(self.now);
        if let Some(controller) = self.controller_mut(to, incarnation).filter(|c| c.awaits_response(call)) {
            controller.cluster.apply_direct_result(call, heartbeat, now);
        }
    }

    /// Commands whose response comes too late are given up; a paused leader does so when
    /// it resumes.
    pub(super) fn time_out_direct_commands(&mut self) {
        let now = self.at(self.now);
        let forgets = self.defect == InjectedDefect::ForgetUnansweredStart;
        for LateCommand { from, incarnation, call } in self.late_commands() {
            if self.now < self.faults.paused_until[from] {
                continue;
            }
            let controller = self.controller_mut(from, incarnation);
            let Some(controller) = controller.filter(|c| c.awaits_response(&call)) else { continue };
            controller.cluster.apply_direct_result(&call, None, now);
            if forgets {
                controller.forget_unanswered_start(&call.machine, now);
            }
        }
    }

    fn late_commands(&self) -> Vec<LateCommand> {
        let due = self.now + DIRECT_COMMAND_TIMEOUT;
        let late = self.in_flight.iter().filter(|(key, _)| key.at > due);
        late.filter_map(|(_, message)| match message {
            Message::DirectCommandRequest { from, incarnation, call }
            | Message::DirectCommandResponse { to: from, incarnation, call, .. } => {
                Some(LateCommand { from: *from, incarnation: *incarnation, call: call.clone() })
            }
            _ => None,
        })
        .collect()
    }
}
