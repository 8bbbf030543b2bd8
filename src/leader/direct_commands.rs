//! Commands that the leader sends to workers without waiting for their next heartbeat.

use std::time::{Duration, Instant};

use futures_lite::future::or;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::controller::Controller;
use crate::http;
use crate::leadership::step_down::StepDownReason;
use crate::operators::telemetry::count;
use crate::workers::{DirectCommand, Heartbeat};

/// How long to wait for commands before looking again.
const IDLE_WAIT: Duration = Duration::from_millis(500);

/// A command that was sent.
struct DirectResult {
    command: DirectCommand,
    /// The worker's answer; `None` if the command may be lost.
    heartbeat: Option<Heartbeat>,
}

impl Controller {
    /// Sends direct commands, a limited number at once, and applies the answers.  Never ends the
    /// term.
    pub(super) async fn run_direct_commands(&self) -> StepDownReason {
        let mut in_flight = FuturesUnordered::new();
        loop {
            let free = self.policy.direct_calls.saturating_sub(in_flight.len());
            if free > 0 && self.may_act(Instant::now()) {
                let commands = self.lock().cluster.as_mut().map(|c| c.take_direct_commands(free));
                in_flight.extend(commands.unwrap_or_default().into_iter().map(|c| self.send_direct_command(c)));
            }
            let answered = async {
                match in_flight.next().await {
                    Some(result) => Some(result),
                    None => std::future::pending().await,
                }
            };
            let woken = async {
                self.command_wake.wait(IDLE_WAIT).await;
                None
            };
            if let Some(result) = or(answered, woken).await {
                self.apply_direct_result(&result);
            }
        }
    }

    async fn send_direct_command(&self, command: DirectCommand) -> DirectResult {
        // checked as the bytes leave: this controller may have been stalled since the decision
        if !self.may_act(Instant::now()) {
            return DirectResult { command, heartbeat: None };
        }
        let body = http::encode(&command.body);
        let limit = self.policy.direct_limit;
        let sent = self.worker_client.send(command.address, "POST", "/commands", Some(&body), limit);
        let heartbeat = match sent.await {
            Ok((200 | 409, body)) => http::decode::<Heartbeat>(&body).ok(),
            Ok((status, _)) => {
                tracing::info!(machine = %command.machine, status, "worker refused direct commands");
                None
            }
            Err(error) => {
                tracing::debug!(machine = %command.machine, %error, "direct commands failed");
                None
            }
        };
        DirectResult { command, heartbeat }
    }

    fn apply_direct_result(&self, result: &DirectResult) {
        if let Some(cluster) = self.lock().cluster.as_mut() {
            count(&self.telemetry.counters.direct_calls);
            if result.heartbeat.is_none() {
                count(&self.telemetry.counters.direct_calls_lost);
            }
            cluster.apply_direct_result(&result.command, result.heartbeat.as_ref(), Instant::now());
            if cluster.queue_changed {
                self.placement_wake.wake();
            }
        }
        self.commit_wake.wake();
    }
}
