//! Commands that a leader sends to a worker outside of heartbeat replies.

use super::*;

/// Time for which a leader waits for the response to a direct command.
const DIRECT_COMMAND_TIMEOUT: Ms = 1500;

/// A direct command whose response will not arrive within the timeout.
struct TimedOutCommand {
    from: usize,
    incarnation: u64,
    command: DirectCommand,
}

impl Controller {
    /// Reports whether a command still awaits its response and is the last one to its machine.
    fn awaits_response(&self, command: &DirectCommand) -> bool {
        self.cluster.machines.get(&command.machine).is_some_and(|machine| {
            machine.command_in_flight && machine.in_doubt_token.is_none_or(|token| token == command.body.fencing_token)
        })
    }
}

impl World {
    /// Handles a direct command at a worker.  A machine that hangs or that is unreachable
    /// executes the command later.
    pub(super) fn receive_direct_command(&mut self, from: usize, incarnation: u64, command: DirectCommand) {
        let Some(i) = self.workers.iter().position(|worker| worker.name == command.machine) else { return };
        if self.now < self.workers[i].inbound_lost_until {
            // the command is lost, and the leader learns of this only by the timeout
            let lost = Message::DirectCommandResponse { to: from, incarnation, command, heartbeat: None };
            self.enqueue(self.now + DIRECT_COMMAND_TIMEOUT, lost);
            return;
        }
        let delayed_until = self.workers[i]
            .hung_until
            .max(self.faults.zone_partitioned_until[zone_of(i)])
            .max(self.faults.workers_unreachable_until[from]);
        if self.workers[i].alive && self.now < delayed_until {
            self.enqueue(delayed_until + STEP, Message::DirectCommandRequest { from, incarnation, command });
            return;
        }
        let heartbeat = self.workers[i].alive.then(|| self.execute_direct_command(i, &command));
        self.send(Message::DirectCommandResponse { to: from, incarnation, command, heartbeat });
    }

    /// Executes a direct command on a worker, unless its fencing token or its incarnation is
    /// outdated.  Returns the worker's next heartbeat in either case.
    fn execute_direct_command(&mut self, i: usize, command: &DirectCommand) -> Heartbeat {
        let worker = &mut self.workers[i];
        if command.body.fencing_token >= worker.fencing_token && command.body.incarnation == worker.incarnation {
            worker.fencing_token = command.body.fencing_token;
            self.execute_commands(i, &command.body.commands);
        }
        self.workers[i].heartbeat()
    }

    /// Applies the response to a direct command, unless the leader no longer waits for it.
    pub(super) fn receive_direct_command_response(
        &mut self,
        to: usize,
        incarnation: u64,
        command: &DirectCommand,
        heartbeat: Option<&Heartbeat>,
    ) {
        let now = self.instant_at(self.now);
        if let Some(controller) = self.controller_mut(to, incarnation).filter(|c| c.awaits_response(command)) {
            controller.cluster.apply_direct_result(command, heartbeat, now);
        }
    }

    /// Ends the wait for responses that will not arrive within the timeout.  A paused leader
    /// does so when it resumes.
    pub(super) fn time_out_direct_commands(&mut self) {
        let now = self.instant_at(self.now);
        let forgets_start = self.defect == InjectedDefect::ForgetUnansweredStart;
        for TimedOutCommand { from, incarnation, command } in self.timed_out_commands() {
            if self.now < self.faults.paused_until[from] {
                continue;
            }
            let controller = self.controller_mut(from, incarnation);
            let Some(controller) = controller.filter(|c| c.awaits_response(&command)) else { continue };
            controller.cluster.apply_direct_result(&command, None, now);
            if forgets_start {
                controller.forget_unanswered_start(&command.machine, now);
            }
        }
    }

    fn timed_out_commands(&self) -> Vec<TimedOutCommand> {
        let due = self.now + DIRECT_COMMAND_TIMEOUT;
        let late = self.in_flight.iter().filter(|(key, _)| key.at > due);
        late.filter_map(|(_, message)| match message {
            Message::DirectCommandRequest { from, incarnation, command }
            | Message::DirectCommandResponse { to: from, incarnation, command, .. } => {
                Some(TimedOutCommand { from: *from, incarnation: *incarnation, command: command.clone() })
            }
            _ => None,
        })
        .collect()
    }
}
